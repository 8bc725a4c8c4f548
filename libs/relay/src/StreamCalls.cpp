#include "details/KernelImpl.h"

#include <algorithm>

namespace relay {

namespace {

/// A stream without an event for this time is looked after; before its first event it has longer.
constexpr Ms LookAfterGap{150};
constexpr Ms LookAfterSending{350};
constexpr Ms LookPeriod{100};
/// The later stages of a late stream's path are asked whether they are slow, no more often than this.
constexpr Ms StagePeriod{1200};
/// A stream whose path has a silent stage is moved once it has had no event for this time.
constexpr Ms MoveAfterSilence{75};
/// A stream that has begun and has had no event for this time is moved if its first stage goes on with others meanwhile.
constexpr Ms MoveAfter{1200};
/// Callers leave after a pause of about two seconds: a stream that can't go on before is broken off.
constexpr Ms ResumeWithin{1900};
constexpr Ms ResumePeriod{50};
/// Multiple of the predicted time to the first event that is still no cause for a look.
constexpr double FirstTokenFactor = 3.0;
constexpr int MisdirectedStatus = 421;

/// Why there is no path: the first layer that no candidate holds, or else a lack of room.
std::string whyNoPath(const std::vector<placement::LayerHolder> &holders, std::uint32_t layers)
{
    std::uint32_t covered = 0;
    for (bool grows = true; grows && covered < layers;) {
        std::uint32_t next = covered;
        for (const placement::LayerHolder &holder : holders) {
            next = holder.held.first <= covered ? std::max(next, holder.held.end) : next;
        }
        grows = next > covered;
        covered = next;
    }
    return covered < layers ? "no usable endpoint holds layer " + std::to_string(covered) : "no path over all layers has room";
}

} // namespace

Candidates RelayKernel::Impl::candidates(Instant now, const Call &call) const
{
    Candidates found;
    for (EndpointIndex i = 0; i < endpoints.size(); ++i) {
        const EndpointState &state = endpoints.at(i);
        const bool isExcluded = std::find(call.excluded.begin(), call.excluded.end(), i) != call.excluded.end();
        if (state.entry.service != call.service->name || state.entry.layers.empty() || isExcluded || !endpoints.isUsable(i, now)) {
            continue;
        }
        const std::uint32_t kind = placement::kindIndex(*call.service->engine, state.entry.accelerator);
        const LoadEstimate load = peers.loadOn(i, now);
        // What the others have sent in these moments isn't known yet; after a loss they send as much as this instance.
        const double unread = state.pendingPrefillTokens * peers.instances();
        found.holders.push_back({kind, state.zone, state.entry.layers, load.openRequests, load.contextTokens, unread, state.slowdown, true, true});
        found.indices.push_back(i);
    }
    return found;
}

void RelayKernel::Impl::startStream(Instant now, Call &call)
{
    if (!call.service->engine) {
        return startPlain(now, call);
    }
    const auto [holders, indices] = candidates(now, call);
    const placement::PipelineRequest request{
        static_cast<double>(call.promptTokens), static_cast<double>(call.answerTokens), endpoints.zoneNumber(settings.zone), {}, std::nullopt};
    const placement::Pipeline path = placement::choosePipeline(*call.service->engine, holders, request);
    if (path.stages.empty()) {
        if (call.attemptCount > 0 && now - call.lastDelivery < ResumeWithin && call.mayHaveRun) {
            call.nextLook = now + ResumePeriod; // A path may be back before the caller leaves.
            return;
        }
        return fail(now, call, base::ErrorKind::NoEndpoint, whyNoPath(holders, call.service->engine->layers));
    }
    Attempt attempt;
    for (const placement::PipelineStage &stage : path.stages) {
        attempt.stages.push_back(indices[stage.holder]);
        attempt.layers.push_back(stage.layers);
    }
    attempt.contextTokens = call.promptTokens + call.answerTokens;
    attempt.promptTokens = call.promptTokens;
    attempt.predictedFirstMs = path.firstTokenMs;
    const AttemptId id = startAttempt(now, call, std::move(attempt));
    Dispatch dispatch = dispatchOf(now, call, id);
    dispatch.lastEventId = call.lastEventId;
    driver.record({"sent",
                   call.requestId,
                   dispatch.endpoint,
                   "attempt " + std::to_string(call.attemptCount) + ", configuration " + std::to_string(call.config->version) + ", " + pathText(attempts.at(id))
                       + ", predicted " + std::to_string(static_cast<int>(path.firstTokenMs)) + " ms to the first token"});
    driver.send(std::move(dispatch));
}

void RelayKernel::Impl::onStreamRefused(Instant now, Call &call, AttemptId attempt, const AnswerHead &head)
{
    const EndpointIndex first = attempts.at(attempt).stages.front();
    if (!head.notRun) {
        call.mayHaveRun = true;
        if (head.verified && !call.streamBegun) {
            return forward(call, attempt, head.status);
        }
        dropAttempt(attempt);
        exclude(call, first);
        return afterStreamFailure(now, call, "the endpoint answered with status " + std::to_string(head.status));
    }
    const EndpointIndex atFault = head.faultAddress.empty() ? first : endpoints.findAddress(head.faultAddress).value_or(first);
    driver.record({"attempt_refused", call.requestId, endpoints.at(atFault).entry.id, "status " + std::to_string(head.status)});
    --call.runs;
    dropAttempt(attempt);
    if (head.status == MisdirectedStatus) {
        endpoints.forgetLayers(atFault);
    } else {
        endpoints.avoid(atFault, now);
    }
    askReport(now, atFault);
    if (mayRepeat(now, call)) {
        // A stream that has begun can't be refused any more. Room comes back within moments, while its caller waits for the next event.
        if (call.mayHaveRun && call.refusals++ > 0) {
            call.nextLook = now + ResumePeriod * call.refusals;
            return;
        }
        return startStream(now, call);
    }
    fail(now, call, base::ErrorKind::Overloaded, "the path's endpoints refused the request without running it");
}

void RelayKernel::Impl::afterStreamFailure(Instant now, Call &call, const std::string &detail)
{
    const bool canGoOn = !call.mayHaveRun || call.route->isResumable;
    if (!canGoOn || !mayRepeat(now, call)) {
        return fail(now, call, call.mayHaveRun ? base::ErrorKind::UpstreamBroken : base::ErrorKind::NoEndpoint, detail);
    }
    counters.streamsResumed += call.streamBegun ? 1 : 0;
    startStream(now, call);
}

void RelayKernel::Impl::watchStream(Instant now, Call &call)
{
    if (now < call.nextLook) {
        return;
    }
    if (call.attempts.empty()) {
        return startStream(now, call);
    }
    const AttemptId id = call.attempts.front();
    const Attempt &attempt = attempts.at(id);
    if (const auto silent = silentStage(now, attempt)) {
        return leaveStage(now, call, id, *silent);
    }
    const Instant silence = now - attempt.progressAt;
    const Instant firstLimit = std::max(Instant(LookAfterSending), Instant(Ms(static_cast<std::int64_t>(FirstTokenFactor * attempt.predictedFirstMs))));
    if (silence < (attempt.hasEvents ? Instant(LookAfterGap) : firstLimit)) {
        return;
    }
    call.nextLook = now + LookPeriod;
    const EndpointIndex first = attempt.stages.front();
    askReport(now, first);
    for (const EndpointIndex stage : attempt.stages) {
        askReport(now, stage, StagePeriod);
    }
    // Streams that wait for their prompt to be read, or whose stages are all late, would only wait longer elsewhere.
    const bool othersGoOn = endpoints.at(first).eventAt > attempt.progressAt + Instant(MoveAfter) / 2;
    if (silence < MoveAfter || !call.route->isResumable || !attempt.hasEvents || !othersGoOn) {
        return;
    }
    call.mayHaveRun = true;
    if (call.runs >= call.route->maxAttempts) {
        return; // There is no sending left to move to.
    }
    runAnew(now, call, id, "no progress for " + std::to_string(silence / Ms(1)) + " ms");
}

std::optional<EndpointIndex> RelayKernel::Impl::silentStage(Instant now, const Attempt &attempt) const
{
    if (now - attempt.progressAt < MoveAfterSilence) {
        return std::nullopt;
    }
    const auto found = std::find_if(attempt.stages.begin(), attempt.stages.end(), [&](EndpointIndex stage) { return isLost(stage); });
    return found == attempt.stages.end() ? std::nullopt : std::optional(*found);
}

void RelayKernel::Impl::leaveStage(Instant now, Call &call, AttemptId attempt, EndpointIndex silent)
{
    const Attempt &state = attempts.at(attempt);
    const bool isFirst = silent == state.stages.front();
    if (!isFirst && state.detourPending) {
        return;
    }
    noteBroken(now, call, state, silent);
    if (!isFirst && detour(now, call, attempt)) {
        return;
    }
    if (call.route->isResumable) {
        moveStream(now, call, attempt, silent);
    }
}

void RelayKernel::Impl::moveStream(Instant now, Call &call, AttemptId attempt, EndpointIndex silent)
{
    // A run is counted at its first stage: it doesn't count against the route's limit only if that endpoint is the one that was lost.
    if (silent == attempts.at(attempt).stages.front()) {
        --call.runs;
    }
    exclude(call, silent);
    runAnew(now, call, attempt, endpoints.at(silent).entry.id + " is silent");
}

void RelayKernel::Impl::runAnew(Instant now, Call &call, AttemptId attempt, const std::string &reason)
{
    call.mayHaveRun = true;
    const EndpointIndex first = attempts.at(attempt).stages.front();
    driver.record({"stream_moved", call.requestId, endpoints.at(first).entry.id, reason});
    driver.cancel(attempt);
    dropAttempt(attempt);
    afterStreamFailure(now, call, reason);
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
        if (call == nullptr || call->route->kind != RequestKind::Stream) {
            continue;
        }
        if (const auto silent = silentStage(now, attempts.at(id))) {
            leaveStage(now, *call, id, *silent);
        }
    }
}

bool RelayKernel::onEvent(Instant now, AttemptId attempt, std::uint64_t eventId)
{
    Call *call = impl_->callOf(attempt);
    if (call == nullptr) {
        return false;
    }
    Attempt &state = impl_->attempts.at(attempt);
    state.progressAt = now;
    if (!state.hasEvents) {
        for (const EndpointIndex stage : state.stages) {
            impl_->endpoints.onAccepted(stage);
        }
        impl_->crashes.onServed(call->fingerprint);
    }
    state.hasEvents = true;
    impl_->settleUnread(state);
    impl_->endpoints.at(state.stages.front()).eventAt = now;
    call->mayHaveRun = true;
    const bool isNext = eventId == call->lastEvent + 1 || (!call->streamBegun && call->lastEvent == 0);
    if (eventId <= call->lastEvent && call->lastEvent != 0) {
        return false; // The caller has it already.
    }
    if (!isNext) {
        impl_->driver.record({"event_gap", call->requestId, "", "event " + std::to_string(eventId) + " after " + std::to_string(call->lastEvent)});
        impl_->fail(now, *call, base::ErrorKind::AnswerIncomplete, "an event of the stream is missing");
        return false;
    }
    call->lastEvent = eventId;
    call->lastEventId = std::to_string(eventId);
    if (call->streamBegun) {
        call->longestGap = std::max(call->longestGap, now - call->lastDelivery);
    } else {
        call->firstWait = now - call->arrivedAt;
    }
    call->lastDelivery = now;
    if (!call->streamBegun) {
        call->streamBegun = true;
        impl_->driver.beginStream(call->id, attempt);
    }
    return true;
}

void RelayKernel::onStreamEnd(Instant now, AttemptId attempt)
{
    Call *call = impl_->callOf(attempt);
    if (call == nullptr) {
        return;
    }
    const EndpointIndex first = impl_->attempts.at(attempt).stages.front();
    if (!call->streamBegun) {
        impl_->dropAttempt(attempt);
        impl_->exclude(*call, first);
        call->mayHaveRun = true;
        return impl_->afterStreamFailure(now, *call, "the stream ended without an event");
    }
    ++impl_->counters.streamsEnded;
    impl_->driver.record({"stream_ended",
                          call->requestId,
                          impl_->endpoints.at(first).entry.id,
                          "last event " + call->lastEventId + ", first after " + std::to_string(call->firstWait / Ms(1)) + " ms, longest pause "
                              + std::to_string(call->longestGap / Ms(1)) + " ms, sendings " + std::to_string(call->attemptCount)});
    impl_->dropAttempt(attempt);
    const CallId id = call->id;
    impl_->driver.endStream(id);
    impl_->close(id);
}

} // namespace relay
