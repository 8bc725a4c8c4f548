#include "relayhost/RelayHost.h"

#include "base/Time.h"
#include "relayhost/HandOverFields.h"

#include <algorithm>

namespace relayhost {

namespace {

constexpr relay::Ms ConnectTimeout{400};
constexpr relay::Ms ReportTimeout{350};
constexpr relay::Ms OrderTimeout{700};
constexpr relay::Ms DetourTimeout{350};
/// Answers to the router's own requests are reports, or not read at all.
constexpr std::size_t MaxReportBytes = 1024 * 1024;

relay::Instant now()
{
    return base::readBootTimeClock();
}

} // namespace

void RelayHost::reject(relay::CallId call, const relay::Rejection &rejection)
{
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    net::HttpResponse response = dialect_.encodeRejection(rejection, found->second.requestId);
    if (found->second.isHandedOver) {
        markRejection(response, rejection);
    }
    if (!found->second.response.answer(response)) {
        recordMisfit(call, "an error answer");
    }
}

void RelayHost::forward(relay::CallId call, relay::AttemptId attempt)
{
    const auto found = attempts_.find(attempt);
    const auto open = calls_.find(call);
    if (found == attempts_.end() || open == calls_.end()) {
        return;
    }
    plainAnswerLatency_.add(now() - open->second.arrivedAt);
    if (!open->second.response.answer({found->second.status, net::endToEndHeaders(found->second.headers, {}), found->second.body})) {
        recordMisfit(call, "a whole answer");
    }
}

void RelayHost::beginStream(relay::CallId call, relay::AttemptId attempt)
{
    const auto found = attempts_.find(attempt);
    const auto open = calls_.find(call);
    if (found == attempts_.end() || open == calls_.end()) {
        return;
    }
    if (!open->second.response.begin(attempt, found->second.status, net::endToEndHeaders(found->second.headers, {}))) {
        recordMisfit(call, "a second beginning");
    }
}

void RelayHost::continueStream(relay::CallId call, relay::AttemptId attempt)
{
    if (const auto open = calls_.find(call); open != calls_.end()) {
        open->second.response.handOver(attempt);
    }
}

void RelayHost::endStream(relay::CallId call, relay::AttemptId attempt)
{
    const auto open = calls_.find(call);
    if (open != calls_.end() && !open->second.response.end(attempt)) {
        recordMisfit(call, "the end of an attempt that the stream doesn't belong to");
    }
}

void RelayHost::breakStream(relay::CallId call)
{
    if (const auto open = calls_.find(call); open != calls_.end()) {
        open->second.response.cut();
    }
}

void RelayHost::recordMisfit(relay::CallId call, const std::string &part)
{
    record({"answer_cut", "", "", "call " + std::to_string(call) + ", instead of " + part});
}

void RelayHost::sendEndpointRequest(const std::string &address,
                                    net::HttpRequest request,
                                    relay::Ms timeout,
                                    bool freshConnection,
                                    std::function<void(const net::HttpResponse &)> onResponse,
                                    std::function<void(net::CallFailure)> onFailure)
{
    net::ClientCall call;
    call.address = net::parseAddress(address);
    call.request = std::move(request);
    call.connectTimeout = std::min(timeout, ConnectTimeout);
    call.totalTimeout = timeout;
    call.freshConnection = freshConnection;
    call.bodyLimit = MaxReportBytes;
    call.held = &held_;
    call.peerKind = net::PeerKind::Endpoint;
    call.isStray = [this](const net::Headers &headers) {
        return dialect_.answerIdOf(headers, "") == AnswerId::Other;
    };
    endpointClient_.fetch(std::move(call), std::move(onResponse), std::move(onFailure));
}

void RelayHost::readReport(const std::string &endpoint, const std::string &address)
{
    sendEndpointRequest(
        address,
        dialect_.encodeReportRequest(endpoint),
        ReportTimeout,
        false,
        [this, endpoint](const net::HttpResponse &response) { kernel_.onReport(now(), endpoint, dialect_.decodeReport(response)); },
        [this, endpoint](net::CallFailure) { kernel_.onReport(now(), endpoint, std::nullopt); });
}

void RelayHost::checkEndpoint(const relay::EndpointCheck &check)
{
    const std::string endpoint = check.endpoint;
    sendEndpointRequest(
        check.address,
        check.healthPath.empty() ? dialect_.encodeReportRequest(endpoint) : dialect_.encodeHealthRequest(endpoint, check.healthPath),
        ReportTimeout,
        true,
        [this, endpoint](const net::HttpResponse &response) {
            kernel_.onCheck(now(), endpoint, dialect_.isFromEndpoint(endpoint, response) ? relay::CheckOutcome::Answered : relay::CheckOutcome::Replaced);
        },
        [this, endpoint](net::CallFailure failure) {
            const bool isConnected = failure != net::CallFailure::NotSent;
            kernel_.onCheck(now(), endpoint, isConnected ? relay::CheckOutcome::NoAnswer : relay::CheckOutcome::Unreachable);
        });
}

void RelayHost::sendOrder(const relay::PlacementOrder &order)
{
    const std::string endpoint = order.endpoint;
    sendEndpointRequest(
        order.address,
        dialect_.encodeOrder(order),
        OrderTimeout,
        true,
        [this, endpoint](const net::HttpResponse &response) { kernel_.onOrderAnswer(now(), endpoint, dialect_.decodeOrderAnswer(response.status)); },
        [this, endpoint](net::CallFailure) { kernel_.onOrderAnswer(now(), endpoint, relay::OrderOutcome::NoAnswer); });
}

void RelayHost::sendDetour(const relay::Detour &detour)
{
    const relay::AttemptId attempt = detour.attempt;
    sendEndpointRequest(
        detour.address,
        dialect_.encodeDetour(detour),
        DetourTimeout,
        true,
        [this, detour](const net::HttpResponse &response) {
            const relay::OrderOutcome outcome = dialect_.decodeOrderAnswer(response.status);
            if (outcome != relay::OrderOutcome::Accepted) {
                record({"detour_answered", detour.requestId, detour.endpoint, "status " + std::to_string(response.status)});
            }
            kernel_.onDetourAnswer(now(), detour.attempt, outcome, dialect_.decodeDetourFault(response));
        },
        [this, attempt](net::CallFailure) { kernel_.onDetourAnswer(now(), attempt, relay::OrderOutcome::NoAnswer, ""); });
}

void RelayHost::readLease()
{
    store_.readLease();
}

void RelayHost::writeLease(const relay::LeaseRecord &lease, std::uint64_t expectedRevision)
{
    store_.writeLease(lease, expectedRevision);
}

void RelayHost::readQuarantines()
{
    store_.readQuarantines();
}

void RelayHost::writeQuarantine(const relay::QuarantineRecord &record)
{
    store_.writeQuarantine(record);
}

void RelayHost::removeQuarantine(std::uint64_t signature)
{
    store_.removeQuarantine(signature);
}

void RelayHost::sendDigest(const std::vector<std::string> &addresses, const wire::RelayDigest &digest)
{
    const std::string bytes = wire::encode(digest);
    for (const std::string &address : addresses) {
        mesh_.send(address, bytes);
    }
}

void RelayHost::onMeshMessage(const std::string &bytes)
{
    auto message = wire::decodeRelayMessage(bytes);
    if (!base::isOk(message) || !meshMessages_.add(bytes.size())) {
        return;
    }
    loop_.post([this, size = bytes.size(), message = std::get<wire::RelayMessage>(std::move(message))]() {
        meshMessages_.take(size);
        kernel_.onPeerMessage(now(), message);
    });
}

void RelayHost::recordMeshDrops()
{
    const std::uint64_t dropped = meshMessages_.dropped();
    if (dropped > loggedMeshDrops_) {
        record({"peer_over_limit", "", "instance", std::to_string(dropped - loggedMeshDrops_) + " messages between instances dropped, too many wait"});
        loggedMeshDrops_ = dropped;
    }
}

void RelayHost::sendFreshnessRequest(const std::string &address, const wire::FreshnessRequest &freshnessRequest)
{
    mesh_.send(address, wire::encode(freshnessRequest));
}

void RelayHost::sendFreshnessReply(const std::string &address, const wire::FreshnessReply &freshnessReply)
{
    mesh_.send(address, wire::encode(freshnessReply));
}

void RelayHost::followStore(relay::Ms spread)
{
    store_.follow(spread);
}

void RelayHost::unfollowStore()
{
    store_.unfollow();
}

void RelayHost::refreshConfig()
{
    store_.refreshConfig();
}

void RelayHost::refreshEndpoints()
{
    store_.refreshEndpoints();
}

void RelayHost::setReady(bool ready)
{
    ready_ = ready;
}

void RelayHost::closeConnections()
{
    callerServer_->closeConnections();
    if (handOverServer_) {
        handOverServer_->closeConnections();
    }
}

void RelayHost::stopAccepting()
{
    callerServer_->stopAccepting();
    callerServer_->refuseArriving();
    if (handOverServer_) {
        handOverServer_->stopAccepting();
        handOverServer_->refuseArriving();
    }
    closeConnections();
}

std::size_t RelayHost::unfinishedExchanges() const
{
    return callerServer_->unfinishedConnections() + (handOverServer_ ? handOverServer_->unfinishedConnections() : 0);
}

void RelayHost::exit()
{
    loop_.stop();
}

} // namespace relayhost
