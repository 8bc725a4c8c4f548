#include "relay/RelayKernel.h"

#include "base/Hash.h"
#include "details/KernelImpl.h"

#include <algorithm>

namespace relay {

RelayKernel::Impl::Impl(RelaySettings relaySettings, RelayDriver &relayDriver)
    : settings(std::move(relaySettings))
    , driver(relayDriver)
    , peers(endpoints)
    , planner(endpoints, peers, relayDriver)
    , storeDuty(peers, relayDriver)
    , limits(endpoints)
    , loadAdmission(endpoints, peers)
    , crashGuard(endpoints)
{
    configure();
}

void RelayKernel::Impl::configure()
{
    planner.configure(settings);
    retries.configure(settings);
    peers.configure(settings);
    storeDuty.configure(settings);
    listReplies.configure(settings.linkBytesPerSecond);
    crashGuard.configure(settings);
    reach.configure(settings.seed);
    handOverPeers.configure(settings);
}

std::uint64_t RelayKernel::Impl::nextRandom()
{
    return base::mixBits(settings.seed + ++randomCount);
}

double RelayKernel::Impl::nextFraction()
{
    constexpr std::uint64_t Steps = 1U << 20;
    return static_cast<double>(nextRandom() % Steps) / Steps;
}

void RelayKernel::Impl::tick(Instant now)
{
    startQueue.onStart(now);
    admitWaiting(now);
    rejectExpiredWaiting(now);
    failExpiredCalls(now);
    endpoints.confirmBackoffs(now);
    std::vector<CallId> open;
    open.reserve(calls.size());
    for (const auto &[id, call] : calls) {
        open.push_back(id);
    }
    for (const CallId id : open) {
        const auto found = calls.find(id);
        if (found == calls.end()) {
            continue;
        }
        if (found->second->route->kind == RequestKind::Stream) {
            watchStream(now, *found->second);
        } else {
            hedge(now, *found->second);
        }
    }
    endpoints.endGracePeriods(now);
    checkSilentEndpoints(now);
    checkSlowEndpoints(now);
    checkReach(now);
    checkCrashes(now);
    keepQuarantines(now);
    updateLimitShare(now);
    for (const std::string &change : loadAdmission.tick(now)) {
        driver.record({"admission_level", "", settings.instance, change});
    }
    retries.onInstances(peers.mostInstances(now), now);
    storeDuty.tick(now, known);
    planner.tick(now, config, storeDuty.mayTakeLease());
    sendDigests(now);
    updateReadiness(now);
    if (stopping) {
        continueStopping(now);
    }
}

void RelayKernel::Impl::applyEndpointList(Instant now)
{
    const bool afterOutage = listConfirmedAt.count() != 0 && now - listConfirmedAt > storeDuty.times().minOutage;
    listConfirmedAt = now;
    known.endpointsVersion = list.version();
    planner.onStoreEpoch(now, list.version().epoch);
    endpoints.onList(now, list.entries(), list.version().epoch, afterOutage);
    const std::uint64_t hash = list.hash();
    if (hash != known.endpointsHash) {
        known.endpointsHash = hash;
        peers.expedite();
    }
    updateReadiness(now);
    admitWaiting(now);
}

void RelayKernel::Impl::reply(Instant now, const wire::FreshnessRequest &request)
{
    const std::string address = request.meshAddress.empty() ? peers.addressOf(request.instance) : request.meshAddress;
    auto reply = storeDuty.replyTo(request, now, known);
    const bool mayGetList = listReplies.maySend(request.instance, now);
    const bool isNew = request.endpointsVersion.revision == 0;
    if (!reply || address.empty() || (isNew && !mayGetList)) {
        return; // A new instance asks others, and reads the store after a while.
    }
    reply->changes = list.changesSince(request.endpointsVersion);
    if (reply->changes && reply->changes->isComplete) {
        if (mayGetList) {
            listReplies.onSent(request.instance, *reply->changes, now);
        } else {
            reply->changes.reset();
        }
    }
    driver.sendFreshnessReply(address, *reply);
}

void RelayKernel::Impl::onFreshnessReply(Instant now, const wire::FreshnessReply &reply)
{
    if (reply.changes && storeDuty.isReplyToMe(reply) && list.apply(*reply.changes, reply.endpointsVersion)) {
        applyEndpointList(now);
    }
    const Instant endpointsAtBefore = known.endpointsAt;
    storeDuty.onReply(reply, now, known);
    listConfirmedAt = known.endpointsAt > endpointsAtBefore ? now : listConfirmedAt;
    updateReadiness(now);
}

void RelayKernel::Impl::updateReadiness(Instant now)
{
    // One that is cut off serves its callers through other instances.
    const bool canServe = !reach.isCutOff() || handOverPeers.hasAny(now) || peers.isAlone(now);
    const bool shouldBeReady = !stopping && canServe && endpoints.hasList() && configIsCurrent(now, storeDuty.times().maxAgeForReadiness);
    if (shouldBeReady != ready) {
        ready = shouldBeReady;
        driver.setReady(ready);
        driver.record({ready ? "ready" : "not_ready", "", settings.instance, "configuration " + std::to_string(config ? config->version : 0)});
    }
}

void RelayKernel::Impl::continueStopping(Instant now)
{
    const StopSchedule schedule = stopScheduleOf(settings.gracePeriod);
    const Instant elapsed = now - stopAt;
    if (!connectionsClosed && elapsed >= schedule.refuseAfter) {
        connectionsClosed = true;
        driver.closeConnections();
    }
    if (elapsed >= schedule.failAfter) {
        while (!calls.empty()) {
            fail(now, *calls.begin()->second, base::ErrorKind::Stopping, "this instance has to stop now");
        }
    }
    const bool hasEnded = calls.empty() && elapsed >= schedule.minDuration;
    if (hasEnded && !listenerClosed) {
        // Callers that come back at once would otherwise always have a request under way, also when the process ends.
        listenerClosed = true;
        driver.stopAccepting();
    }
    const bool isDelivered = hasEnded && driver.unfinishedExchanges() == 0;
    if (!exited && (isDelivered || elapsed >= schedule.exitAfter)) {
        exited = true;
        driver.exit();
    }
}

RelayKernel::RelayKernel(RelaySettings settings, RelayDriver &driver)
    : impl_(std::make_unique<Impl>(std::move(settings), driver))
{
}

RelayKernel::~RelayKernel() = default;

void RelayKernel::onTick(Instant now)
{
    impl_->tick(now);
}

std::optional<Instant> RelayKernel::nextStreamCheck() const
{
    return impl_->nextStreamCheck();
}

void RelayKernel::onSettings(const RelaySettings &settings)
{
    impl_->settings = settings;
    impl_->configure();
}

void RelayKernel::onStop(Instant now)
{
    if (impl_->stopping) {
        return;
    }
    impl_->stopping = true;
    impl_->stopAt = now;
    impl_->driver.record({"stopping", "", impl_->settings.instance, std::to_string(impl_->calls.size()) + " open requests"});
    impl_->planner.release();
    impl_->updateReadiness(now);
}

void RelayKernel::onConfig(Instant now, Instant sentAt, FleetConfigPtr config)
{
    Impl &impl = *impl_;
    impl.storeDuty.onConfigRead(now);
    const std::uint64_t shown = config ? config->version : impl.known.configVersion;
    if (config && (!impl.config || config->version > impl.config->version)) {
        impl.routes = RouteTable(config);
        impl.config = std::move(config);
        if (impl.settings.admitsByPriority) {
            impl.loadAdmission.onConfig(impl.config);
        }
        impl.known.configVersion = impl.config->version;
        impl.peers.expedite();
        impl.driver.record({"config_in_force", "", impl.settings.instance, "version " + std::to_string(impl.config->version)});
    }
    if (!impl.config) {
        return;
    }
    const std::uint64_t newest = std::max(impl.known.configVersion, impl.storeDuty.namedConfigVersion(now));
    if (shown >= newest) {
        impl.known.configAt = std::max(impl.known.configAt, sentAt);
        impl.admitWaiting(now);
    } else {
        impl.driver.record(
            {"config_unconfirmed", "", impl.settings.instance, "the store shows version " + std::to_string(shown) + ", known is " + std::to_string(newest)});
    }
    impl.updateReadiness(now);
}

void RelayKernel::onEndpoints(Instant now, const std::vector<EndpointEntry> &entries, wire::StoreVersion version)
{
    impl_->storeDuty.onEndpointsRead(now);
    const wire::StoreVersion before = impl_->list.version();
    if (!impl_->list.replace(entries, version)) {
        return impl_->driver.record({"endpoint_list_refused", "", "", "version " + toText(version) + " is older than " + toText(before)});
    }
    impl_->known.endpointsAt = now;
    impl_->applyEndpointList(now);
}

void RelayKernel::onInstances(Instant now, const std::vector<InstanceEntry> &instances)
{
    impl_->peers.onInstances(instances);
    impl_->handOverPeers.onInstances(instances);
    impl_->retries.onInstances(impl_->peers.mostInstances(now), now);
    if (!impl_->endpoints.hasList()) {
        impl_->sendDigests(now);
        impl_->storeDuty.tick(now, impl_->known);
    }
}

void RelayKernel::onPeerMessage(Instant now, const wire::RelayMessage &message)
{
    if (const auto *digest = std::get_if<wire::RelayDigest>(&message)) {
        impl_->onDigest(now, *digest);
    } else if (const auto *request = std::get_if<wire::FreshnessRequest>(&message)) {
        impl_->reply(now, *request);
    } else if (const auto *reply = std::get_if<wire::FreshnessReply>(&message)) {
        impl_->onFreshnessReply(now, *reply);
    }
}

void RelayKernel::onCall(Instant now, const CallArrival &arrival)
{
    ++impl_->counters.calls;
    if (!impl_->awaitsStore() || !impl_->startQueue.add(now, arrival)) {
        impl_->admit(now, arrival);
    }
}

void RelayKernel::onCallerGone(Instant now, CallId call)
{
    impl_->counters.callersGone += impl_->startQueue.remove(call) ? 1 : 0;
    const auto found = impl_->calls.find(call);
    if (found == impl_->calls.end()) {
        return;
    }
    ++impl_->counters.callersGone;
    impl_->suspectLateCrash(now, *found->second);
    impl_->driver.record({"caller_gone", found->second->requestId, "", ""});
    impl_->close(call);
}

void RelayKernel::onHead(Instant now, AttemptId attempt, const AnswerHead &head)
{
    const auto found = impl_->attempts.find(attempt);
    if (found == impl_->attempts.end() || !(head.verified || head.notRun)) {
        return;
    }
    if (head.status == MisdirectedStatus) {
        return; // Perhaps another endpoint has answered, at an address that is in use again.
    }
    const EndpointIndex first = found->second.stages.front();
    impl_->onReceived(now, first, head.isOnNewConnection);
    if (head.leaving) {
        impl_->onLeaving(first, impl_->incarnationOf(attempt), "in an answer to this instance");
    }
    if (head.retryAfter.count() > 0) {
        const bool isKnown = impl_->endpoints.backoffLeft(first, now).count() > 0;
        impl_->endpoints.backOff(first, now, head.retryAfter);
        if (!isKnown) {
            const std::string &endpoint = impl_->endpoints.at(first).entry.id;
            impl_->driver.record({"backoff_requested", "", endpoint, "no requests for " + std::to_string(head.retryAfter.count()) + " ms"});
        }
    }
    if (impl_->limits.onStated(first, head.requestLimit, now)) {
        impl_->recordLimit(first, head.requestLimit, "to this instance");
        impl_->peers.expedite();
    }
}

void RelayKernel::onAnswer(Instant now, AttemptId attempt, const AnswerHead &head)
{
    if (Call *handedOver = impl_->callOfHandOver(attempt)) {
        return impl_->onHandOverAnswer(now, *handedOver, attempt, head);
    }
    Call *call = impl_->callOf(attempt);
    if (call == nullptr) {
        return;
    }
    impl_->onReceived(now, impl_->attempts.at(attempt).stages.front(), head.isOnNewConnection);
    if (call->route->kind == RequestKind::Stream) {
        impl_->onStreamRefused(now, *call, attempt, head);
    } else {
        impl_->onPlainAnswer(now, *call, attempt, head);
    }
}

void RelayKernel::onOrderAnswer(Instant now, const std::string &endpoint, OrderOutcome outcome)
{
    ++impl_->counters.orders;
    if (const auto index = impl_->endpoints.find(endpoint)) {
        impl_->planner.onOrderAnswer(now, *index, outcome);
    }
}

void RelayKernel::onDetourAnswer(Instant now, AttemptId attempt, OrderOutcome outcome, const std::string &faultAddress)
{
    if (Call *call = impl_->callOf(attempt)) {
        impl_->onDetourAnswer(now, *call, attempt, outcome, faultAddress);
    }
}

void RelayKernel::onLeaseRead(Instant now, wire::StoreVersion version, const LeaseRecord &record)
{
    impl_->planner.onLeaseRead(now, version, record);
}

void RelayKernel::onLeaseWritten(Instant now, Instant sentAt, wire::StoreVersion version)
{
    impl_->planner.onLeaseWritten(now, sentAt, version);
}

const RelayCounters &RelayKernel::counters() const
{
    return impl_->counters;
}

std::vector<EndpointView> RelayKernel::endpoints() const
{
    std::vector<EndpointView> views;
    for (EndpointIndex i = 0; i < impl_->endpoints.size(); ++i) {
        const EndpointState &state = impl_->endpoints.at(i);
        const char *const name = !state.listed ? "gone" : state.entry.draining ? "draining" : state.silentCheckAt.count() != 0 ? "silent" : "usable";
        views.push_back({state.entry.id, state.entry.service, state.entry.zone, name, state.entry.layers, state.openRequests, state.contextTokens});
    }
    return views;
}

std::vector<AdmissionView> RelayKernel::admissionLevels() const
{
    return impl_->loadAdmission.views();
}

std::vector<QuarantineView> RelayKernel::quarantine(Instant now) const
{
    const auto ms = [](Instant duration) {
        return std::chrono::duration_cast<Ms>(std::max(Instant{0}, duration));
    };
    std::vector<QuarantineView> views;
    for (const auto &[signature, conviction] : impl_->crashGuard.evidence().convictions()) {
        views.push_back({signature,
                         conviction.crashes,
                         ms(now - conviction.since),
                         ms(now - conviction.lastCrashAt),
                         conviction.failedProbes,
                         ms(conviction.lastCrashAt + probeInterval(conviction) - now)});
    }
    return views;
}

bool RelayKernel::liftQuarantine(Instant now, std::uint64_t signature)
{
    if (!impl_->crashGuard.lift(signature, now)) {
        return false;
    }
    impl_->peers.expedite();
    impl_->driver.record({"quarantine_lifted", "", std::to_string(signature), "by an operator"});
    return true;
}

std::uint64_t RelayKernel::configVersion() const
{
    return impl_->config ? impl_->config->version : 0;
}

std::size_t RelayKernel::openCalls() const
{
    return impl_->calls.size() + impl_->startQueue.size();
}

bool RelayKernel::reachesEndpoints() const
{
    return !impl_->reach.isCutOff();
}

bool RelayKernel::isPlanner(Instant now) const
{
    return impl_->planner.holdsLease(now);
}

} // namespace relay
