#include "base/Time.h"
#include "details/KernelImpl.h"

#include <algorithm>

namespace relay {

namespace {

/// A stream is checked once it has had no event for this part of its route's target interval between events, within bounds, or for a multiple of the predicted
/// interval if that is longer. A lost stage has to be found and replaced, and its successor has to read the prompt, before the target interval is over.
constexpr double CheckTargetRatio = 0.3;
constexpr Ms MinCheckAfterEventGap{50};
constexpr Ms MaxCheckAfterEventGap{150};
constexpr double MaxEventIntervalRatio = 2.0;
/// Before its first event, an attempt is checked after this time at the earliest.
constexpr Ms CheckAfterDispatch{350};
/// Time between two checks of a stream without progress.
constexpr Ms CheckPeriod{100};
/// The reports of all stages of a late stream are requested to see whether they are slow, at most once in this period.
constexpr Ms StageReportPeriod{1200};
/// A stream whose pipeline has a silent stage is moved once it has had no event for this time.
constexpr Ms SilentStageTimeout{75};
/// A stream that has had events but none for this time is moved if its first stage makes progress with other streams meanwhile.
constexpr Ms StalledStreamTimeout{1200};
/// An attempt without an event is checked only after this multiple of the predicted time to the first token.
constexpr double MaxFirstTokenRatio = 3.0;

/// Returns the shortest time without an event after which a stream of the route is checked.
Ms checkAfterEventGap(const Route &route)
{
    if (route.targetEventInterval.count() == 0) {
        return MaxCheckAfterEventGap;
    }
    const double targetMs = static_cast<double>(route.targetEventInterval.count());
    return std::clamp(base::boundedMs(CheckTargetRatio * targetMs), MinCheckAfterEventGap, MaxCheckAfterEventGap);
}

/// Returns the time without an event after which an attempt is checked.
Instant eventTimeout(const Route &route, const Attempt &attempt)
{
    const Ms minimum = attempt.hasEvents ? checkAfterEventGap(route) : CheckAfterDispatch;
    const double predictedMs =
        attempt.hasEvents ? MaxEventIntervalRatio * attempt.predictedEventIntervalMs : MaxFirstTokenRatio * attempt.predictedFirstTokenMs;
    return std::max(minimum, base::boundedMs(predictedMs));
}

} // namespace

void RelayKernel::Impl::watchStream(Instant now, Call &call)
{
    if (now < call.nextCheckAt) {
        return;
    }
    if (call.handOver) {
        return watchHandOver(now, call);
    }
    if (call.attempts.empty()) {
        // The retry was permitted some time ago.
        if (isBarred(call)) {
            return fail(now, call, base::ErrorKind::PromptPartQuarantined, "requests like it have crashed endpoints meanwhile");
        }
        // An earlier run that counted as ended may have turned out to go on.
        if (mayRunAgain(call) && retryIsPermitted(now, call)) {
            return startStream(now, call);
        }
        if (waitsForRetry(now, call)) {
            return;
        }
        return fail(now, call, base::ErrorKind::Overloaded, "the limit on retries is used up");
    }
    const AttemptId id = watchedAttempt(call);
    const Attempt &attempt = attempts.at(id);
    // Its connection may say nothing of that, and a first stage that is back is no longer marked as silent.
    const bool isLate = call.service->engine && now - attempt.lastProgressAt >= SilentStageTimeout;
    if ((attempt.isKept || isLate) && hasEnded(runOf(id)) && mayRetry(now, call) && canStartStream(now, call)) {
        return supersedeAttempt(now, call, id, "its first stage has ended");
    }
    const Instant silence = now - attempt.lastProgressAt;
    // An engine that has restarted runs nothing of before. A stream that makes progress all the same was sent before the list showed the restart.
    const bool isOver = call.service->engine && hasRestarted(runOf(id)) && silence >= StalledStreamTimeout;
    if (isOver && runsOnce(*call.route)) {
        return fail(now, call, base::ErrorKind::UpstreamBroken, "its first stage has restarted, and the request may run once only");
    }
    if (const auto silent = silentStage(now, attempt)) {
        return bypassStage(now, call, id, *silent);
    }
    if (attempt.isUnknown && silence >= SilentStageTimeout) {
        return leaveUnknownRun(now, call, id);
    }
    // Streams over connections that live on through a cut make progress.
    if (reach.isCutOff() && silence >= MaxCheckAfterEventGap && mayRetry(now, call) && canStartStream(now, call)) {
        return supersedeAttempt(now, call, id, "this instance reaches no endpoint");
    }
    if (silence < eventTimeout(*call.route, attempt)) {
        return;
    }
    call.nextCheckAt = now + CheckPeriod;
    const EndpointIndex first = attempt.stages.front();
    requestReport(now, first);
    // The report of the first stage names a lost stage; those of the others show only whether they are slow, and many streams pause for a moment.
    if (silence >= MaxCheckAfterEventGap) {
        for (const EndpointIndex stage : attempt.stages) {
            requestReport(now, stage, StageReportPeriod);
        }
    }
    // A stream that waits for its prefill, or whose first stage delays all its streams, would only wait longer on other endpoints.
    const bool othersProgress = endpoints.at(first).lastEventAt > attempt.lastProgressAt + Instant(StalledStreamTimeout) / 2;
    if (silence < StalledStreamTimeout || !attempt.hasEvents || !othersProgress) {
        return;
    }
    if (!mayRetry(now, call) || !canStartStream(now, call)) {
        return; // No further attempt is permitted now, or nothing could take it.
    }
    supersedeAttempt(now, call, id, "no progress for " + std::to_string(silence / Ms(1)) + " ms");
}

std::optional<Instant> RelayKernel::Impl::nextStreamCheck() const
{
    std::optional<Instant> next;
    for (const auto &[id, call] : calls) {
        if (call->route->kind != RequestKind::Stream || call->attempts.empty()) {
            continue;
        }
        const Attempt &attempt = attempts.at(call->attempts.back());
        const Instant due = std::max(call->nextCheckAt, attempt.lastProgressAt + eventTimeout(*call->route, attempt));
        next = std::min(next.value_or(due), due);
    }
    return next;
}

std::optional<EndpointIndex> RelayKernel::Impl::silentStage(Instant now, const Attempt &attempt) const
{
    if (now - attempt.lastProgressAt < SilentStageTimeout) {
        return std::nullopt;
    }
    const auto found = std::find_if(attempt.stages.begin(), attempt.stages.end(), [&](EndpointIndex stage) { return isSilent(stage); });
    return found == attempt.stages.end() ? std::nullopt : std::optional(*found);
}

void RelayKernel::Impl::bypassStage(Instant now, Call &call, AttemptId attempt, EndpointIndex silent)
{
    Attempt &openAttempt = attempts.at(attempt);
    const bool isFirst = silent == openAttempt.stages.front();
    if (!isFirst && openAttempt.detourPending) {
        return;
    }
    if (openAttempt.suspected != silent) {
        openAttempt.suspected = silent;
        suspectCrash(now, call, silent);
    }
    if (!isFirst && detour(now, call, attempt)) {
        return;
    }
    moveStream(now, call, attempt, silent);
}

void RelayKernel::Impl::moveStream(Instant now, Call &call, AttemptId attempt, EndpointIndex silent)
{
    const std::vector<EndpointIndex> excludedBefore = call.excluded;
    exclude(call, silent);
    if (const auto reason = reasonToKeepAttempt(now, call)) {
        call.excluded = excludedBefore; // It may be the one that is back first.
        call.nextCheckAt = now + CheckPeriod;
        return keepAttempt(call, attempt, silent, *reason);
    }
    supersedeAttempt(now, call, attempt, endpoints.at(silent).entry.id + " is silent");
}

void RelayKernel::Impl::leaveUnknownRun(Instant now, Call &call, AttemptId attempt)
{
    if (const auto reason = reasonToKeepAttempt(now, call)) {
        call.nextCheckAt = now + CheckPeriod;
        return keepAttempt(call, attempt, attempts.at(attempt).stages.front(), *reason);
    }
    supersedeAttempt(now, call, attempt, "its first stage doesn't know it any more");
}

std::optional<std::string> RelayKernel::Impl::reasonToKeepAttempt(Instant now, Call &call)
{
    if (isBarred(call)) {
        return "requests like it have crashed endpoints";
    }
    if (runsOnce(*call.route) && !mayRunAgain(call)) {
        return "it may run once only";
    }
    if (!mayRetry(now, call)) {
        return "no further attempt is permitted; runs " + std::to_string(countedRuns(call)) + " of " + std::to_string(call.route->maxAttempts);
    }
    return canStartStream(now, call) ? std::nullopt : std::optional<std::string>("nothing else can take the stream now");
}

void RelayKernel::Impl::keepAttempt(const Call &call, AttemptId attempt, EndpointIndex silent, const std::string &reason)
{
    Attempt &openAttempt = attempts.at(attempt);
    if (!openAttempt.isKept) {
        openAttempt.isKept = true;
        driver.record({"stream_kept", call.requestId, endpoints.at(silent).entry.id, "silent, but " + reason});
    }
}

void RelayKernel::Impl::supersedeAttempt(Instant now, Call &call, AttemptId attempt, const std::string &reason)
{
    call.mayHaveRun = true;
    Attempt &left = attempts.at(attempt);
    left.isSuperseded = true;
    driver.record({"stream_moved", call.requestId, endpoints.at(left.stages.front()).entry.id, reason});
    counters.streamsResumed += call.streamBegun ? 1 : 0;
    startStream(now, call);
}

AttemptId RelayKernel::Impl::watchedAttempt(const Call &call)
{
    const auto found = std::find_if(call.attempts.rbegin(), call.attempts.rend(), [&](AttemptId id) { return !attempts.at(id).isSuperseded; });
    if (found != call.attempts.rend()) {
        return *found;
    }
    attempts.at(call.attempts.back()).isSuperseded = false;
    return call.attempts.back();
}

void RelayKernel::Impl::settle(Call &call, AttemptId attempt)
{
    const std::vector<AttemptId> open = call.attempts;
    for (const AttemptId other : open) {
        if (other != attempt) {
            driver.cancel(other);
            dropAttempt(other);
        }
    }
    if (const auto handedOver = call.handOver; handedOver && *handedOver != attempt) {
        driver.cancel(*handedOver);
        dropHandOver(*handedOver);
        ++call.priorRuns; // The other instance may have run it.
    }
    if (const auto winner = attempts.find(attempt); winner != attempts.end()) {
        winner->second.isSuperseded = false;
    }
}

void RelayKernel::Impl::continueWith(Call &call, AttemptId attempt)
{
    if (call.streamBegun && call.writer != attempt) {
        call.writer = attempt;
        driver.continueStream(call.id, attempt);
    }
}

void RelayKernel::Impl::moveStreams(Instant now)
{
    std::vector<AttemptId> open;
    open.reserve(attempts.size());
    for (const auto &[id, attempt] : attempts) {
        open.push_back(id);
    }
    std::sort(open.begin(), open.end());
    for (const AttemptId id : open) {
        Call *call = callOf(id);
        if (call == nullptr || call->route->kind != RequestKind::Stream || attempts.at(id).isSuperseded) {
            continue;
        }
        if (const auto silent = silentStage(now, attempts.at(id))) {
            bypassStage(now, *call, id, *silent);
        }
    }
}

} // namespace relay
