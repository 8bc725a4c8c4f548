#include "base/Time.h"
#include "details/KernelImpl.h"

#include <algorithm>

namespace relay {

namespace {

/// A stream that can't be resumed is failed this long before its caller would abandon it.
constexpr Ms AbandonMargin{100};
/// Time between two attempts to resume a stream.
constexpr Ms ResumePeriod{50};
/// A new stream is rejected if it would wait for others longer than this part of its caller's patience: the caller might leave before the first event,
/// and those that come after it would wait longer still.
constexpr double MaxWaitRatio = 0.5;

/// An endpoint that has refused a stream for lack of capacity counts as full for this long: about as long as digests take to show what it is doing.
constexpr Ms FullTime{300};

/// Statuses from this one on count as failures of the endpoint.
constexpr int FirstFailureStatus = 500;

/// Returns the longest time that a new stream may wait for others.
double maxAdmittedWaitMs(const Route &route)
{
    return MaxWaitRatio * static_cast<double>(route.callerPatience.count());
}

/// Returns why there is no pipeline over layers [0, `layers`): the first layer that no candidate holds, or else a lack of memory.
std::string noPipelineReason(const std::vector<placement::LayerHolder> &holders, std::uint32_t layers)
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

void RelayKernel::Impl::startStream(Instant now, Call &call)
{
    if (handOverOrReject(now, call)) {
        return;
    }
    if (!call.service->engine) {
        return startPlain(now, call);
    }
    Candidates found = candidates(now, call);
    const placement::Pipeline pipeline = choosePathWidening(call, found);
    if (rejectNewStream(now, call, pipeline)) {
        return;
    }
    // An attempt that comes too late for its caller would only delay the others.
    const bool isTooLate = call.attemptCount > 0 && pipeline.waitMs > patienceLeftMs(now, call);
    if (pipeline.stages.empty() || isTooLate) {
        if (isUnderWay(call) || waitsForEndpoints(now, call)) {
            return;
        }
        if (found.limitWait && !isTooLate) {
            return rejectForLoad(now, call, *found.limitWait, "the endpoints with the first layers limit their requests");
        }
        return isTooLate ? fail(now, call, base::ErrorKind::Overloaded, "the wait for another path is too long")
                         : fail(now, call, base::ErrorKind::NoEndpoint, noPipelineReason(found.holders, call.service->engine->layers));
    }
    if (!canEndBeforeStop(now, call, pipeline.firstTokenMs + call.answerTokens * pipeline.tokenMs)) {
        return fail(now, call, base::ErrorKind::Stopping, "this instance stops before the stream would end");
    }
    Attempt attempt;
    for (const placement::PipelineStage &stage : pipeline.stages) {
        attempt.stages.push_back(found.indices[stage.holder]);
        attempt.layers.push_back(stage.layers);
    }
    attempt.contextTokens = call.promptTokens + call.answerTokens;
    attempt.promptTokens = call.promptTokens;
    attempt.predictedFirstTokenMs = pipeline.firstTokenMs;
    attempt.predictedEventIntervalMs = pipeline.tokenMs * call.service->engine->stepsPerPass;
    const AttemptId id = startAttempt(now, call, std::move(attempt));
    Dispatch dispatch = dispatchOf(now, call, id);
    dispatch.lastEventId = call.lastEventId;
    driver.record({"sent",
                   call.requestId,
                   dispatch.endpoint,
                   "attempt " + std::to_string(call.attemptCount) + ", configuration " + std::to_string(call.config->version) + ", "
                       + pipelineText(attempts.at(id)) + ", predicted " + std::to_string(static_cast<int>(pipeline.firstTokenMs)) + " ms to the first token"});
    driver.send(std::move(dispatch));
}

bool RelayKernel::Impl::rejectNewStream(Instant now, Call &call, const placement::Pipeline &pipeline)
{
    if (call.attemptCount > 0 || call.lastEvent > 0) {
        return false;
    }
    double maxWaitMs = maxAdmittedWaitMs(*call.route);
    if (loadAdmission.isActive(call.service->name)) {
        const LoadAdmission::Prediction prediction{pipeline.firstTokenMs, pipeline.tokenMs, pipeline.waitMs, !pipeline.stages.empty()};
        const auto draw = [this] {
            return nextFraction();
        };
        const LoadAdmission::Verdict verdict = loadAdmission.judge(call, prediction, draw, now);
        if (!verdict.isAdmitted) {
            rejectForLoad(now, call, verdict.busyFor, verdict.reason);
            return true;
        }
        if (verdict.isReturn) {
            // The caller doesn't come a third time, so that the only limit is its patience.
            maxWaitMs = std::max(maxWaitMs, patienceLeftMs(now, call) - (pipeline.firstTokenMs - pipeline.waitMs));
        }
    }
    if (pipeline.stages.empty() || pipeline.waitMs <= maxWaitMs) {
        return false;
    }
    const Ms wait = base::boundedMs(pipeline.waitMs);
    rejectForLoad(now, call, wait, "predicted wait " + std::to_string(wait.count()) + " ms");
    return true;
}

placement::Pipeline RelayKernel::Impl::choosePath(const Call &call, const Candidates &found)
{
    const placement::PipelineRequest request{static_cast<double>(call.promptTokens),
                                             static_cast<double>(call.answerTokens),
                                             endpoints.zoneNumber(settings.zone),
                                             {},
                                             std::nullopt,
                                             found.linkTokens,
                                             found.stageCostMs,
                                             found.isReserving ? wantedEventIntervalMs(call) : 0};
    return placement::choosePipeline(*call.service->engine, found.holders, request);
}

bool RelayKernel::Impl::canStartStream(Instant now, Call &call)
{
    if (reach.isCutOff()) {
        return chooseReceiver(now, call).has_value();
    }
    if (!call.service->engine) {
        return choosePlain(now, call).has_value();
    }
    Candidates found = candidates(now, call);
    const placement::Pipeline pipeline = chooseWidening(found, [&]() { return choosePath(call, found); });
    return !pipeline.stages.empty() && pipeline.waitMs <= patienceLeftMs(now, call);
}

bool RelayKernel::Impl::waitsForEndpoints(Instant now, Call &call)
{
    const bool isInTime = now - call.lastDeliveredAt < call.route->callerPatience - AbandonMargin;
    if (call.route->kind != RequestKind::Stream || call.attemptCount == 0 || !call.mayHaveRun || !isInTime) {
        return false;
    }
    call.nextCheckAt = now + ResumePeriod;
    return true;
}

bool RelayKernel::Impl::waitsForRetry(Instant now, Call &call)
{
    // The caller of a stream that hasn't begun loses nothing by an answer at once, and may ask again.
    return call.streamBegun && hasAttemptsLeft(call) && waitsForEndpoints(now, call);
}

double RelayKernel::Impl::patienceLeftMs(Instant now, const Call &call)
{
    const Instant patience = call.route->callerPatience - (now - call.lastDeliveredAt);
    return std::max(0.0, std::chrono::duration<double, std::milli>(patience).count());
}

void RelayKernel::Impl::rejectForLoad(Instant now, Call &call, Ms wait, const std::string &reason)
{
    if (call.mayHaveRun || isUnderWay(call)) {
        return fail(now, call, base::ErrorKind::Overloaded, reason);
    }
    const CallId id = call.id;
    counters.failed += call.attemptCount > 0 ? 1 : 0;
    const Ms timeLeft = std::chrono::duration_cast<Ms>(call.callerDeadline - now);
    const Ms retryAfter = reject(now, id, call.requestId, timeLeft, base::ErrorKind::Overloaded, reason, wait);
    loadAdmission.onRejected(call, retryAfter, now);
    close(id);
}

void RelayKernel::Impl::onStreamRefused(Instant now, Call &call, AttemptId attempt, const AnswerHead &head)
{
    const EndpointIndex first = attempts.at(attempt).stages.front();
    const Instant sentAt = attempts.at(attempt).sentAt;
    if (!head.notRun) {
        return onStreamFailed(now, call, attempt, head);
    }
    const EndpointIndex atFault = head.faultAddress.empty() ? first : endpoints.findAddress(head.faultAddress).value_or(first);
    driver.record({"attempt_refused", call.requestId, endpoints.at(atFault).entry.id, "status " + std::to_string(head.status)});
    forgetRun(call, attempt);
    dropAttempt(attempt);
    if (!call.isRefusedBy(atFault)) {
        call.refusedBy.push_back(atFault);
    }
    if (head.status == MisdirectedStatus) {
        endpoints.forgetLayers(atFault);
    } else {
        endpoints.at(atFault).fullUntil = now + FullTime;
        if (!peers.isFullMesh() && isKnownToHaveRoom(now, call, atFault)) {
            // One that refuses all looks idle. In a large fleet, each of many instances would find that out for itself.
            endpoints.at(atFault).recent.onAnswer(true, now);
        }
        // The time that the first stage asks for isn't that of another stage, whose refusal it passes on.
        endpoints.onRefused(atFault, sentAt, now, atFault == first ? head.retryAfter : Ms(0));
    }
    if (endpoints.backoffLeft(atFault, now).count() == 0) {
        requestReport(now, atFault);
    }
    if (isUnderWay(call)) {
        // The attempt that it was to supersede may go on. The next one beside it is delayed as are those below: refusals use up the limit on retries, too.
        call.nextCheckAt = now + ResumePeriod * ++call.refusals;
        return;
    }
    if (mayRetry(now, call)) {
        // A stream that has begun can't be rejected any more. Its retries are delayed: endpoints accept work again soon, and the caller waits for the
        // next event meanwhile.
        if (call.mayHaveRun && call.refusals++ > 0) {
            call.nextCheckAt = now + ResumePeriod * call.refusals;
            return;
        }
        return startStream(now, call);
    }
    if (waitsForRetry(now, call)) {
        return;
    }
    fail(now, call, base::ErrorKind::Overloaded, "the path's endpoints refused the request without running it");
}

void RelayKernel::Impl::onStreamFailed(Instant now, Call &call, AttemptId attempt, const AnswerHead &head)
{
    const EndpointIndex first = attempts.at(attempt).stages.front();
    const bool hasFailed = !head.verified || head.status >= FirstFailureStatus;
    call.mayHaveRun = true;
    endpoints.at(first).recent.onAnswer(hasFailed, now);
    exclude(call, first);
    if (hasFailed && (call.attempts.size() > 1 || call.handOver)) {
        dropAttempt(attempt);
        return; // The other attempt may still go on.
    }
    const bool canRetry = hasFailed && mayRunAgain(call);
    if (head.verified && !call.streamBegun && !(canRetry && mayRetry(now, call))) {
        return forward(call, attempt, head.status);
    }
    const std::string detail = "the endpoint answered with status " + std::to_string(head.status);
    driver.record({"attempt_failed", call.requestId, endpoints.at(first).entry.id, detail});
    dropAttempt(attempt);
    if (head.verified && !call.streamBegun) {
        return startStream(now, call); // The retry is permitted.
    }
    retryStreamOrFail(now, call, detail);
}

void RelayKernel::Impl::retryStreamOrFail(Instant now, Call &call, const std::string &detail)
{
    if (isUnderWay(call)) {
        return; // Another attempt is still open.
    }
    if (!mayRetry(now, call)) {
        if (waitsForRetry(now, call)) {
            return;
        }
        return fail(now, call, call.mayHaveRun ? base::ErrorKind::UpstreamBroken : base::ErrorKind::NoEndpoint, detail);
    }
    counters.streamsResumed += call.streamBegun ? 1 : 0;
    startStream(now, call);
}

void RelayKernel::Impl::giveUpNewRun(Instant now, Call &call, AttemptId attempt, std::uint64_t eventId)
{
    const Attempt &openAttempt = attempts.at(attempt);
    const EndpointIndex first = openAttempt.stages.front();
    const std::string &endpoint = endpoints.at(first).entry.id;
    driver.record({"not_resumed",
                   call.requestId,
                   endpoint,
                   "asked for what follows event " + std::to_string(openAttempt.resumedAfter) + ", it began with event " + std::to_string(eventId)});
    call.mayHaveRun = true;
    exclude(call, first);
    driver.cancel(attempt);
    dropAttempt(attempt);
    retryStreamOrFail(now, call, endpoint + " has begun a new run instead of resuming the stream");
}

bool RelayKernel::onEvent(Instant now, AttemptId attempt, std::uint64_t eventId, std::uint64_t content)
{
    if (Call *handedOver = impl_->callOfHandOver(attempt)) {
        return impl_->onHandOverEvent(now, *handedOver, attempt, eventId, content);
    }
    Call *call = impl_->callOf(attempt);
    if (call == nullptr || call->route->kind != RequestKind::Stream) {
        return false;
    }
    Attempt &openAttempt = impl_->attempts.at(attempt);
    if (!openAttempt.hasEvents && isNewRun(eventId, openAttempt.resumedAfter)) {
        impl_->giveUpNewRun(now, *call, attempt, eventId);
        return false;
    }
    if (!openAttempt.order.takes(eventId, content)) {
        impl_->loseOrder(now, *call, attempt, eventId);
        return false;
    }
    openAttempt.lastProgressAt = now;
    impl_->onReceived(now, openAttempt.stages.front(), false);
    if (!openAttempt.hasEvents) {
        const std::size_t counted = impl_->peers.isFullMesh() ? 1 : openAttempt.stages.size();
        for (std::size_t i = 0; i < openAttempt.stages.size(); ++i) {
            const EndpointIndex stage = openAttempt.stages[i];
            if (i < counted) {
                impl_->endpoints.at(stage).recent.onAnswer(false, now);
            }
            impl_->endpoints.onAccepted(stage, openAttempt.sentAt, now);
        }
        impl_->crashGuard.onServed(call->signatures, now);
    }
    openAttempt.hasEvents = true;
    impl_->clearPendingPrefill(openAttempt);
    impl_->endpoints.at(openAttempt.stages.front()).lastEventAt = now;
    return impl_->deliverEvent(now, *call, attempt, eventId);
}

bool RelayKernel::Impl::deliverEvent(Instant now, Call &call, AttemptId attempt, std::uint64_t eventId)
{
    call.mayHaveRun = true;
    const bool isNext = eventId == call.lastEvent + 1 || (!call.streamBegun && call.lastEvent == 0);
    if (eventId <= call.lastEvent && call.lastEvent != 0) {
        return false; // The caller has received it already.
    }
    if (!isNext) {
        loseOrder(now, call, attempt, eventId);
        return false;
    }
    call.lastEvent = eventId;
    call.lastEventId = std::to_string(eventId);
    if (call.streamBegun) {
        call.maxEventInterval = std::max(call.maxEventInterval, now - call.lastDeliveredAt);
    } else {
        call.firstEventDelay = now - call.arrivedAt;
    }
    call.lastDeliveredAt = now;
    settle(call, attempt);
    if (!call.streamBegun) {
        call.streamBegun = true;
        call.writer = attempt;
        driver.beginStream(call.id, attempt);
    }
    continueWith(call, attempt);
    return true;
}

void RelayKernel::Impl::loseOrder(Instant now, Call &call, AttemptId attempt, std::uint64_t eventId)
{
    driver.record({"event_gap", call.requestId, "", "event " + std::to_string(eventId) + " after " + std::to_string(call.lastEvent)});
    const std::size_t openAttempts = call.attempts.size() + (call.handOver ? 1 : 0);
    if (openAttempts == 1) {
        return fail(now, call, base::ErrorKind::AnswerIncomplete, "an event of the stream is missing, or has the id of another one");
    }
    // Another attempt may still go on.
    driver.cancel(attempt);
    if (call.handOver == attempt) {
        return onHandOverFailed(now, call, attempt, AttemptFailure::Broken);
    }
    exclude(call, attempts.at(attempt).stages.front());
    dropAttempt(attempt);
}

void RelayKernel::onStreamEnd(Instant now, AttemptId attempt)
{
    if (Call *handedOver = impl_->callOfHandOver(attempt)) {
        return impl_->onHandOverStreamEnd(now, *handedOver, attempt);
    }
    Call *call = impl_->callOf(attempt);
    if (call == nullptr) {
        return;
    }
    const EndpointIndex first = impl_->attempts.at(attempt).stages.front();
    if (!call->streamBegun) {
        impl_->dropAttempt(attempt);
        impl_->exclude(*call, first);
        call->mayHaveRun = true;
        return impl_->retryStreamOrFail(now, *call, "the stream ended without an event");
    }
    impl_->endpoints.at(first).damage.onSound(impl_->attempts.at(attempt).sentAt);
    impl_->endStream(*call, attempt, impl_->endpoints.at(first).entry.id);
}

void RelayKernel::Impl::endStream(Call &call, AttemptId attempt, const std::string &server)
{
    ++counters.streamsEnded;
    loadAdmission.onEnded(call);
    driver.record({"stream_ended",
                   call.requestId,
                   server,
                   "last event " + call.lastEventId + ", first after " + std::to_string(call.firstEventDelay / Ms(1)) + " ms, longest pause "
                       + std::to_string(call.maxEventInterval / Ms(1)) + " ms, attempts " + std::to_string(call.attemptCount)});
    continueWith(call, attempt);
    dropAttempt(attempt);
    dropHandOver(attempt);
    const CallId id = call.id;
    driver.endStream(id, attempt);
    close(id);
}

} // namespace relay
