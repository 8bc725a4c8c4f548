#include "details/PipelineCalls.h"

#include <algorithm>

namespace trefoilport {

void PipelineCalls::onFailure(const AttemptFailed &event, base::Now now, Actions &actions)
{
    Call *call = callOfAttempt(event.attempt);
    if (call == nullptr) {
        dropLateFrame(event.attempt, actions);
        return;
    }
    const std::string failureName(base::nameIn(AttemptFailureNames, event.failure));
    const std::string failedEndpoint = event.endpoint.empty() ? call->plan.front().endpoint : event.endpoint;
    actions.push_back(Record{TimelineKind::AttemptFailed, call->id, failedEndpoint, failureName});
    const auto endpoint = context_.endpoints.find(failedEndpoint);
    const bool crashed = event.failure == AttemptFailure::Broken || event.failure == AttemptFailure::StageBroken;
    if (endpoint && event.failure == AttemptFailure::RefusedLeaving) {
        context_.endpoints.markLeaving(failedEndpoint, context_.endpoints.at(*endpoint).info.incarnation, actions);
    } else if (endpoint) {
        context_.endpoints.markFailed(*endpoint, now, actions);
        call->avoid.insert(*endpoint);
    }
    call->mayHaveRun = call->mayHaveRun || !provesNotRun(event.failure);
    leavePipeline(*call);
    if (crashed) {
        context_.quarantine.addCrash(call->fingerprint, now.mono, std::chrono::milliseconds(call->limits.quarantineMs));
    }
    failOver(*call, now, actions);
    startWaiting(now, actions);
}

bool PipelineCalls::mayFailOver(const Call &call) const
{
    return call.attempts < static_cast<std::uint64_t>(call.limits.attempts) && context_.retries.hasRetry();
}

void PipelineCalls::failOver(Call &call, base::Now now, Actions &actions)
{
    if (context_.quarantine.isQuarantined(call.fingerprint, now.mono)) {
        actions.push_back(Record{TimelineKind::RequestQuarantined, call.id, call.team, ""});
        context_.counters.add(Counter::Quarantined);
        fail(call, base::ErrorKind::EndpointsCrashed, "the request crashed " + std::to_string(QuarantineCrashes) + " endpoints", actions);
        return;
    }
    if (call.attempts >= static_cast<std::uint64_t>(call.limits.attempts)) {
        fail(call, call.mayHaveRun ? base::ErrorKind::AnswerIncomplete : base::ErrorKind::NoEndpoint, "no pipeline finished the answer", actions);
        return;
    }
    if (!context_.retries.tryAcquire()) {
        context_.counters.add(Counter::RetriesDenied);
        fail(call, call.mayHaveRun ? base::ErrorKind::AnswerIncomplete : base::ErrorKind::Overloaded, "too many retries in the fleet", actions);
        return;
    }
    context_.counters.add(Counter::Retries);
    call.resumeDeadline = now.mono + std::chrono::milliseconds(call.limits.resumeMs);
    awaitingPipeline_.push_back(call.id);
}

void PipelineCalls::resumeInterrupted(base::Now now, Actions &actions)
{
    std::deque<CallId> waiting;
    waiting.swap(awaitingPipeline_);
    for (const CallId id : waiting) {
        const auto found = calls_.find(id);
        if (found == calls_.end() || found->second.attempt != 0) {
            continue;
        }
        Call &call = found->second;
        if (tryStart(call, now, actions)) {
            if (!call.delivered.empty()) {
                context_.counters.add(Counter::Resumed);
                actions.push_back(Record{TimelineKind::Resumed, id, "", "after " + std::to_string(call.delivered.size()) + " tokens"});
            }
        } else if (now.mono >= call.resumeDeadline) {
            fail(call, call.mayHaveRun ? base::ErrorKind::AnswerIncomplete : base::ErrorKind::NoEndpoint, "no replacement pipeline in time", actions);
        } else {
            awaitingPipeline_.push_back(id);
        }
    }
}

base::Instant PipelineCalls::stallTimeout(const Call &call) const
{
    const std::uint32_t prefill = call.delivered.empty() || call.attempts > 1 ? call.promptTokens + static_cast<std::uint32_t>(call.delivered.size()) : 0;
    std::uint64_t micros = 0;
    for (const EndpointIndex index : call.pipeline) {
        const std::uint64_t steps = context_.endpoints.load(index) + prefill / PrefillSpeedup;
        micros += steps * context_.endpoints.at(index).info.stepMicros;
    }
    return std::chrono::milliseconds(call.limits.stallMs) + std::chrono::microseconds(micros);
}

void PipelineCalls::checkStall(Call &call, base::Now now, Actions &actions)
{
    const base::Instant silence = now.mono - call.lastProgress;
    const base::Instant timeout = stallTimeout(call);
    if (silence > timeout) {
        context_.counters.add(Counter::Stalls);
        const AttemptId attempt = call.attempt;
        actions.push_back(Record{TimelineKind::AttemptFailed, call.id, call.plan.front().endpoint, "stalled"});
        actions.push_back(CancelAttempt{attempt});
        call.avoid.insert(call.pipeline.begin(), call.pipeline.end());
        call.mayHaveRun = true;
        leavePipeline(call);
        failOver(call, now, actions);
        return;
    }
    if (silence > timeout / 2 && !call.probed) {
        call.probed = true;
        for (const PlanStage &stage : call.plan) {
            actions.push_back(ProbeEndpoint{stage.endpoint, stage.address});
        }
    }
}

void PipelineCalls::onEndpointSilent(EndpointIndex endpoint, base::Now now, Actions &actions)
{
    std::vector<CallId> affected;
    for (const auto &[id, call] : calls_) {
        const bool usesEndpoint = std::find(call.pipeline.begin(), call.pipeline.end(), endpoint) != call.pipeline.end();
        if (usesEndpoint && now.mono - call.lastProgress > std::chrono::milliseconds(call.limits.stallMs) / 4) {
            affected.push_back(id);
        }
    }
    for (const CallId id : affected) {
        Call &call = calls_.at(id);
        if (!mayFailOver(call)) {
            continue; // Its tokens may be on their way. If they aren't, checkStall() ends it.
        }
        context_.counters.add(Counter::Stalls);
        actions.push_back(Record{TimelineKind::AttemptFailed, id, context_.endpoints.at(endpoint).info.id, "silent"});
        actions.push_back(CancelAttempt{call.attempt});
        call.avoid.insert(endpoint);
        call.mayHaveRun = true;
        leavePipeline(call);
        failOver(call, now, actions);
    }
    startWaiting(now, actions);
}

} // namespace trefoilport
