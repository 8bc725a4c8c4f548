#include "relayhost/RelayHost.h"

#include "base/Time.h"
#include "net/EventFrames.h"
#include "relayhost/HandOverFields.h"

#include <algorithm>

namespace relayhost {

namespace {

constexpr relay::Ms ConnectTimeout{400};
constexpr relay::Ms ReportTimeout{350};
constexpr relay::Ms OrderTimeout{700};
constexpr relay::Ms DetourTimeout{350};
/// Added to the time left for the call, so that the endpoint can still answer that the request timed out there.
constexpr relay::Ms AnswerTimeoutMargin{300};
constexpr std::size_t MaxAnswerBytes = 16 * 1024 * 1024;

relay::Instant now()
{
    return base::readBootTimeClock();
}

relay::AttemptFailure failureOf(net::CallFailure failure)
{
    switch (failure) {
    case net::CallFailure::NotSent:
        return relay::AttemptFailure::NotSent;
    case net::CallFailure::TimedOut:
        return relay::AttemptFailure::TimedOut;
    default:
        return relay::AttemptFailure::Broken;
    }
}

} // namespace

void RelayHost::send(relay::Dispatch dispatch)
{
    const auto call = calls_.find(dispatch.call);
    if (call == calls_.end()) {
        return;
    }
    net::ClientCall request;
    request.address = net::parseAddress(dispatch.address);
    request.request = dialect_.encodeDispatch(call->second.request, dispatch);
    request.totalTimeout = dispatch.timeLeft + AnswerTimeoutMargin;
    request.freshConnection = dispatch.freshConnection;
    attempts_[dispatch.attempt].mayStream = dispatch.isStream;
    startAttempt(dispatch.attempt, dispatch.call, dispatch.endpoint, std::move(request));
}

void RelayHost::handOver(relay::HandOver order)
{
    const auto call = calls_.find(order.call);
    if (call == calls_.end()) {
        return;
    }
    net::ClientCall request;
    request.address = net::parseAddress(order.address);
    request.request = dialect_.encodeHandOver(call->second.request, order);
    markHandOver(request.request, order);
    request.totalTimeout = order.timeLeft + AnswerTimeoutMargin;
    request.freshConnection = order.freshConnection;
    attempts_[order.attempt].mayStream = order.isStream;
    attempts_[order.attempt].isHandOver = true;
    startAttempt(order.attempt, order.call, order.instance, std::move(request));
}

void RelayHost::startAttempt(relay::AttemptId id, relay::CallId call, const std::string &receiver, net::ClientCall request)
{
    OpenCall &open = calls_.at(call);
    open.response.handOver(id);
    request.connectTimeout = ConnectTimeout;
    request.bodyLimit = MaxAnswerBytes;
    request.isStray = [this, requestId = open.requestId, receiver](const net::Headers &headers) {
        const bool isStray = dialect_.answerIdOf(headers, requestId) == AnswerId::Other;
        if (isStray) {
            record({"answer_skipped", requestId, receiver, "it answers an earlier request"});
        }
        return isStray;
    };
    net::ClientHandlers handlers;
    handlers.onKeptConnection = [this, id]() {
        if (const auto attempt = attempts_.find(id); attempt != attempts_.end()) {
            attempt->second.isOnKeptConnection = true;
        }
    };
    handlers.onHead = [this, id, receiver](int status, const net::Headers &headers) {
        onHead(id, receiver, status, headers);
    };
    handlers.onData = [this, id](const std::string &data) {
        onData(id, data);
    };
    handlers.onEnd = [this, id]() {
        onEnd(id);
    };
    handlers.onFailure = [this, id](net::CallFailure failure, const net::CallProgress &progress) {
        onFailure(id, failure, net::toText(progress));
    };
    attempts_[id].call = call;
    attempts_[id].clientCall = endpointClient_.start(std::move(request), std::move(handlers));
}

void RelayHost::onHead(relay::AttemptId id, const std::string &endpoint, int status, const net::Headers &headers)
{
    const auto attempt = attempts_.find(id);
    if (attempt == attempts_.end()) {
        return;
    }
    attempt->second.status = status;
    attempt->second.headers = headers;
    const auto open = calls_.find(attempt->second.call);
    if (open == calls_.end()) {
        return;
    }
    const std::string &requestId = open->second.requestId;
    const relay::AnswerHead head = answerHead(attempt->second, requestId);
    if (!head.notRun && dialect_.decodeAnswer(status, headers, requestId).notRun) {
        record({"refusal_doubted", requestId, endpoint, "status " + std::to_string(status) + " without an id on a kept connection"});
    }
    attempt->second.isStream = attempt->second.mayStream && head.verified && dialect_.isEventStream(status, headers);
    kernel_.onHead(now(), id, head);
}

relay::AnswerHead RelayHost::answerHead(const OpenAttempt &attempt, const std::string &requestId) const
{
    relay::AnswerHead head = dialect_.decodeAnswer(attempt.status, attempt.headers, requestId);
    const bool mayAnswerAnother = attempt.isOnKeptConnection && dialect_.answerIdOf(attempt.headers, requestId) != AnswerId::Own;
    head.notRun = head.notRun && !mayAnswerAnother;
    head.isOnNewConnection = !attempt.isOnKeptConnection;
    if (attempt.isHandOver) {
        readRejection(attempt.headers, head);
    }
    return head;
}

void RelayHost::onData(relay::AttemptId id, const std::string &data)
{
    auto attempt = attempts_.find(id);
    if (attempt == attempts_.end()) {
        return;
    }
    attempt->second.body += data;
    if (!attempt->second.isStream) {
        return;
    }
    const relay::CallId call = attempt->second.call;
    std::string forwardedBytes;
    std::size_t consumedBytes = 0;
    while (attempt != attempts_.end()) {
        const auto frame = net::firstEvent(std::string_view(attempt->second.body).substr(consumedBytes));
        if (!frame) {
            break;
        }
        consumedBytes += frame->bytes.size();
        const std::string bytes(frame->bytes);
        // Events without an id are not forwarded. onEvent() may end the call and cancel the attempt, so the attempt is looked up again below.
        if (frame->hasId && kernel_.onEvent(now(), id, frame->id)) {
            forwardedBytes += bytes;
        }
        attempt = attempts_.find(id);
    }
    if (!forwardedBytes.empty()) {
        recordEventLatency(call);
        const auto open = calls_.find(call);
        if (open != calls_.end() && !open->second.response.write(id, forwardedBytes)) {
            recordMisfit(call, "events of an attempt that the stream doesn't belong to");
            kernel_.onCallerGone(now(), call);
        }
    }
    attempt = attempts_.find(id);
    if (attempt != attempts_.end()) {
        attempt->second.body.erase(0, consumedBytes);
    }
}

void RelayHost::recordEventLatency(relay::CallId call)
{
    const auto open = calls_.find(call);
    if (open == calls_.end()) {
        return;
    }
    const relay::Instant time = now();
    if (open->second.lastEventAt.count() == 0) {
        firstEventLatency_.add(time - open->second.arrivedAt);
    } else {
        eventIntervals_.add(time - open->second.lastEventAt);
    }
    open->second.lastEventAt = time;
}

void RelayHost::onEnd(relay::AttemptId id)
{
    const auto attempt = attempts_.find(id);
    if (attempt == attempts_.end()) {
        return;
    }
    if (attempt->second.isStream) {
        if (attempt->second.body.empty()) {
            kernel_.onStreamEnd(now(), id);
        } else {
            kernel_.onFailure(now(), id, relay::AttemptFailure::Broken, "its answer ended within an event");
        }
    } else {
        const auto call = calls_.find(attempt->second.call);
        const std::string requestId = call == calls_.end() ? "" : call->second.requestId;
        kernel_.onAnswer(now(), id, answerHead(attempt->second, requestId));
    }
    attempts_.erase(id);
}

void RelayHost::onFailure(relay::AttemptId id, net::CallFailure failure, const std::string &progress)
{
    if (attempts_.erase(id) > 0) {
        kernel_.onFailure(now(), id, failureOf(failure), progress);
    }
}

void RelayHost::cancel(relay::AttemptId attempt)
{
    const auto found = attempts_.find(attempt);
    if (found != attempts_.end()) {
        const net::ClientCallId clientCall = found->second.clientCall;
        attempts_.erase(found);
        endpointClient_.cancel(clientCall);
    }
}

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
        [this, attempt](const net::HttpResponse &response) {
            kernel_.onDetourAnswer(now(), attempt, dialect_.decodeOrderAnswer(response.status), dialect_.decodeDetourFault(response));
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
    if (base::isOk(message)) {
        loop_.post([this, message = std::get<wire::RelayMessage>(std::move(message))]() { kernel_.onPeerMessage(now(), message); });
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
    if (handOverServer_) {
        handOverServer_->stopAccepting();
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
