#include "base/Time.h"
#include "details/KernelImpl.h"

#include <algorithm>

namespace relay {

namespace {

/// Other instances that a request is handed over to one after the other if each of them refuses it. In a large fleet it isn't known which others are cut off as
/// well; they refuse at once.
constexpr std::size_t MaxPeersTried = 6;
/// Hand-overs that fail may each take the time of a connection.
constexpr std::uint32_t MaxFailedHandOvers = 3;
/// A connection that fails within this time was refused: nobody listens there, and the next instance can be tried at once.
constexpr Ms MaxRefusalTime{100};
/// Instances at which nobody listens that are tried for one request.
constexpr std::uint32_t MaxUnreachedPeers = 16;
/// A stream is moved to another instance after this time without an event at the earliest. The instance that serves it moves it sooner if the cause lies behind
/// it.
constexpr Ms StalledTimeout{1500};
/// One that has not begun is moved once this part of its caller's patience has passed, too.
constexpr double MaxFirstEventRatio = 0.6;

/// Returns whether another instance may be able to serve a request that one has refused for this reason.
bool concernsInstanceOnly(base::ErrorKind kind)
{
    return kind == base::ErrorKind::NoEndpoint || kind == base::ErrorKind::Stopping || kind == base::ErrorKind::Unconfirmed;
}

/// Returns whether a refusal for this reason follows from the configuration.
bool followsFromConfig(base::ErrorKind kind)
{
    return kind == base::ErrorKind::UnknownRoute || kind == base::ErrorKind::Unauthenticated;
}

} // namespace

std::optional<std::string> RelayKernel::Impl::chooseReceiver(Instant now, const Call &call)
{
    const bool hasTriedEnough = call.triedPeers.size() >= MaxPeersTried + call.unreachedPeers || call.unreachedPeers >= MaxUnreachedPeers;
    if (!reach.isCutOff() || call.isHandedOver || hasTriedEnough || call.failedHandOvers >= MaxFailedHandOvers) {
        return std::nullopt;
    }
    return handOverPeers.choose(call.triedPeers, call.config->version, now);
}

bool RelayKernel::Impl::handOver(Instant now, Call &call)
{
    const auto peer = chooseReceiver(now, call);
    if (!peer) {
        return false;
    }
    const AttemptId id = nextAttempt++;
    const bool mayRunTwice = call.mayHaveRun || !call.runs.empty();
    if (mayRunTwice) {
        ++counters.retries;
        retries.onRetry(call.service->name, now);
    }
    ++call.attemptCount;
    ++counters.handedOver;
    handOvers.emplace(id, OpenHandOver{call.id, *peer, now, mayRunTwice, now, call.lastEvent, false, {}});
    handOverPeers.onBegun(*peer);
    call.handOver = id;
    HandOver order;
    order.attempt = id;
    order.call = call.id;
    order.instance = *peer;
    order.address = handOverPeers.addressOf(*peer);
    order.timeLeft = std::chrono::duration_cast<Ms>(call.deadline - now);
    order.isStream = call.route->kind == RequestKind::Stream;
    order.lastEventId = call.lastEventId;
    order.runs = countedRuns(call);
    order.configVersion = call.config->version;
    order.freshConnection = runsOnce(*call.route) || call.attemptCount > 1;
    driver.record({"handed_over", call.requestId, *peer, "attempt " + std::to_string(call.attemptCount) + ", since this instance reaches no endpoint"});
    driver.handOver(std::move(order));
    return true;
}

bool RelayKernel::Impl::handOverOrReject(Instant now, Call &call)
{
    if (handOver(now, call)) {
        return true;
    }
    if (!reach.isCutOff() || call.mayHaveRun || isUnderWay(call)) {
        return false;
    }
    fail(now, call, base::ErrorKind::NoEndpoint, "this instance reaches no endpoint, and no other one takes the request");
    return true;
}

bool RelayKernel::Impl::isUnderWay(const Call &call)
{
    return !call.attempts.empty() || call.handOver.has_value();
}

void RelayKernel::Impl::dropHandOver(AttemptId attempt)
{
    const auto found = handOvers.find(attempt);
    if (found == handOvers.end()) {
        return;
    }
    handOverPeers.onEnded(found->second.peer);
    if (const auto call = calls.find(found->second.call); call != calls.end()) {
        call->second->handOver.reset();
    }
    handOvers.erase(found);
}

Call *RelayKernel::Impl::callOfHandOver(AttemptId attempt)
{
    const auto found = handOvers.find(attempt);
    const auto call = found == handOvers.end() ? calls.end() : calls.find(found->second.call);
    return call == calls.end() ? nullptr : call->second.get();
}

void RelayKernel::Impl::onHandOverAnswer(Instant now, Call &call, AttemptId attempt, const AnswerHead &head)
{
    const std::string peer = handOvers.at(attempt).peer;
    if (head.peerError) {
        // This instance has admitted the request: an older configuration, and one of unknown age, proves nothing against that.
        const bool isOutdated = followsFromConfig(*head.peerError) && head.peerConfigVersion < call.config->version;
        return onHandOverRefused(now, call, attempt, isOutdated ? base::ErrorKind::Unconfirmed : *head.peerError, head.peerRetryAfter);
    }
    call.mayHaveRun = true;
    if (!head.verified || call.streamBegun) {
        return onHandOverFailed(now, call, attempt, AttemptFailure::Broken); // It is damaged, or no continuation of the stream.
    }
    const CallId id = call.id;
    driver.forward(id, attempt);
    driver.record({"answered", call.requestId, peer, "status " + std::to_string(head.status) + ", by another instance"});
    dropHandOver(attempt);
    close(id);
}

void RelayKernel::Impl::onHandOverRefused(Instant now, Call &call, AttemptId attempt, base::ErrorKind kind, Ms retryAfter)
{
    const std::string peer = handOvers.at(attempt).peer;
    const std::string detail = peer + " says " + std::string(base::nameOf(kind));
    driver.record({"handover_refused", call.requestId, peer, std::string(base::nameOf(kind))});
    if (const OpenHandOver &refused = handOvers.at(attempt); kind == base::ErrorKind::Unconfirmed && refused.isRetry) {
        // An instance that lacks the configuration has sent the request to no endpoint.
        retries.onRetryNotSent(call.service->name, refused.begunAt, now);
    }
    dropHandOver(attempt);
    call.triedPeers.push_back(peer);
    if (base::errorAnswer(kind).ran != base::HasRun::No) {
        call.mayHaveRun = true;
        ++call.priorRuns;
        ++call.failedHandOvers;
        if (isUnderWay(call)) {
            return;
        }
        return call.route->kind == RequestKind::Stream ? retryStreamOrFail(now, call, detail) : fail(now, call, kind, detail);
    }
    if (concernsInstanceOnly(kind)) {
        kind == base::ErrorKind::Unconfirmed ? handOverPeers.avoidWhileBehind(peer, now) : handOverPeers.avoid(peer, now);
        if (handOver(now, call)) {
            return;
        }
    }
    // An attempt that this instance has sent itself may still be answered.
    if (isUnderWay(call) || waitsForEndpoints(now, call)) {
        if (concernsInstanceOnly(kind)) {
            call.triedPeers.clear(); // They are avoided for a while, and may take it later.
        }
        return;
    }
    if (concernsInstanceOnly(kind) && !reach.isCutOff()) {
        return retryOrFail(now, call, kind, detail); // It can be served here again.
    }
    if (kind == base::ErrorKind::Overloaded) {
        return rejectForLoad(now, call, retryAfter, detail);
    }
    fail(now, call, kind, detail);
}

void RelayKernel::Impl::onHandOverFailed(Instant now, Call &call, AttemptId attempt, AttemptFailure failure)
{
    const std::string peer = handOvers.at(attempt).peer;
    const std::string detail = peer + (failure == AttemptFailure::NotSent ? " could not be reached" : " broke off");
    driver.record({"handover_failed", call.requestId, peer, detail});
    const OpenHandOver &failed = handOvers.at(attempt);
    const bool wasRefused = failure == AttemptFailure::NotSent && now < failed.begunAt + MaxRefusalTime;
    if (failure == AttemptFailure::NotSent && failed.isRetry) {
        retries.onRetryNotSent(call.service->name, failed.begunAt, now);
    }
    dropHandOver(attempt);
    handOverPeers.avoid(peer, now);
    call.triedPeers.push_back(peer);
    ++(wasRefused ? call.unreachedPeers : call.failedHandOvers);
    if (wasRefused) {
        --call.attemptCount; // Nobody has received the request.
    }
    if (failure == AttemptFailure::NotSent && handOver(now, call)) {
        return;
    }
    if (failure != AttemptFailure::NotSent) {
        call.mayHaveRun = true;
        ++call.priorRuns;
    }
    retryOrFail(now, call, call.mayHaveRun ? base::ErrorKind::UpstreamBroken : base::ErrorKind::NoEndpoint, detail);
}

bool RelayKernel::Impl::onHandOverEvent(Instant now, Call &call, AttemptId attempt, std::uint64_t eventId, std::uint64_t content)
{
    OpenHandOver &open = handOvers.at(attempt);
    if (!open.hasEvents && isNewRun(eventId, open.resumedAfter)) {
        driver.record({"not_resumed", call.requestId, open.peer, "it began with event " + std::to_string(eventId)});
        driver.cancel(attempt);
        onHandOverFailed(now, call, attempt, AttemptFailure::Broken);
        return false;
    }
    if (!open.order.takes(eventId, content)) {
        loseOrder(now, call, attempt, eventId);
        return false;
    }
    open.hasEvents = true;
    open.lastProgressAt = now;
    return deliverEvent(now, call, attempt, eventId);
}

void RelayKernel::Impl::onHandOverStreamEnd(Instant now, Call &call, AttemptId attempt)
{
    if (!call.streamBegun) {
        return onHandOverFailed(now, call, attempt, AttemptFailure::Broken);
    }
    endStream(call, attempt, handOvers.at(attempt).peer);
}

bool RelayKernel::Impl::canLeaveReceiver(Instant now, Call &call)
{
    // It counts as a run and as a failed hand-over once it is left.
    call.triedPeers.push_back(handOvers.at(*call.handOver).peer);
    ++call.priorRuns;
    ++call.failedHandOvers;
    const bool canLeave = mayRetry(now, call) && canStartStream(now, call);
    call.triedPeers.pop_back();
    --call.priorRuns;
    --call.failedHandOvers;
    return canLeave;
}

void RelayKernel::Impl::watchHandOver(Instant now, Call &call)
{
    const AttemptId attempt = *call.handOver;
    const OpenHandOver &open = handOvers.at(attempt);
    const Instant firstEventLimit = base::boundedMs(MaxFirstEventRatio * static_cast<double>(call.route->callerPatience.count()));
    const Instant limit = open.hasEvents ? Instant(StalledTimeout) : std::max(Instant(StalledTimeout), firstEventLimit);
    if (now < open.lastProgressAt + limit || !canLeaveReceiver(now, call)) {
        return;
    }
    driver.cancel(attempt);
    onHandOverFailed(now, call, attempt, AttemptFailure::TimedOut);
}

} // namespace relay
