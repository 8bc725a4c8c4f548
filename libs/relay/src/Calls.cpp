#include "details/KernelImpl.h"

#include <algorithm>

namespace relay {

namespace {

/// Returns what follows an endpoint's name in the log when an attempt there has failed.
std::string phraseOf(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::NotSent:
        return " could not be reached";
    case AttemptFailure::TimedOut:
        return " did not answer in time";
    case AttemptFailure::Malformed:
        return " sent what is no answer";
    case AttemptFailure::Broken:
        break;
    }
    return " broke off";
}

} // namespace

Call *RelayKernel::Impl::callOf(AttemptId attempt)
{
    const auto found = attempts.find(attempt);
    if (found == attempts.end()) {
        return nullptr;
    }
    const auto call = calls.find(found->second.call);
    return call == calls.end() ? nullptr : call->second.get();
}

void RelayKernel::Impl::dropAttempt(AttemptId attempt)
{
    const auto found = attempts.find(attempt);
    if (found == attempts.end()) {
        return;
    }
    const Attempt &ended = found->second;
    if (!ended.layers.empty() && ended.hasEvents) {
        if (const auto call = calls.find(ended.call); call != calls.end()) {
            streamDemand[call->second->service->name].onEnded(ended.lastProgressAt - ended.sentAt);
        }
    }
    clearPendingPrefill(found->second);
    for (const EndpointIndex stage : found->second.stages) {
        EndpointState &state = endpoints.at(stage);
        --state.openRequests;
        state.contextTokens -= found->second.contextTokens;
    }
    if (const auto call = calls.find(found->second.call); call != calls.end()) {
        std::erase(call->second->attempts, attempt);
    }
    attempts.erase(found);
}

void RelayKernel::Impl::clearPendingPrefill(Attempt &attempt)
{
    for (const EndpointIndex stage : attempt.pendingPrefillStages) {
        endpoints.at(stage).pendingPrefillTokens -= attempt.promptTokens;
    }
    attempt.pendingPrefillStages.clear();
    for (const EndpointIndex stage : attempt.pendingLinkStages) {
        endpoints.at(stage).pendingLinkTokens -= attempt.promptTokens;
    }
    attempt.pendingLinkStages.clear();
}

void RelayKernel::Impl::replaceStages(Attempt &attempt, std::vector<EndpointIndex> stages, std::vector<placement::LayerRange> layers)
{
    const auto contains = [](const std::vector<EndpointIndex> &list, EndpointIndex stage) {
        return std::find(list.begin(), list.end(), stage) != list.end();
    };
    for (const EndpointIndex stage : attempt.stages) {
        if (contains(stages, stage)) {
            continue;
        }
        EndpointState &state = endpoints.at(stage);
        --state.openRequests;
        state.contextTokens -= attempt.contextTokens;
        if (std::erase(attempt.pendingPrefillStages, stage) > 0) {
            state.pendingPrefillTokens -= attempt.promptTokens;
        }
        if (std::erase(attempt.pendingLinkStages, stage) > 0) {
            state.pendingLinkTokens -= attempt.promptTokens;
        }
    }
    for (std::size_t i = 0; i < stages.size(); ++i) {
        const EndpointIndex stage = stages[i];
        if (contains(attempt.stages, stage)) {
            continue;
        }
        if (i > 0 && endpoints.at(stages[i - 1]).zone != endpoints.at(stage).zone) {
            endpoints.at(stage).pendingLinkTokens += attempt.promptTokens;
            attempt.pendingLinkStages.push_back(stage);
        }
        EndpointState &state = endpoints.at(stage);
        ++state.openRequests;
        state.contextTokens += attempt.contextTokens;
        state.pendingPrefillTokens += attempt.promptTokens;
        attempt.pendingPrefillStages.push_back(stage);
    }
    attempt.stages = std::move(stages);
    attempt.layers = std::move(layers);
}

void RelayKernel::Impl::cancelAttempts(Call &call)
{
    const std::vector<AttemptId> open = call.attempts;
    for (const AttemptId attempt : open) {
        driver.cancel(attempt);
        dropAttempt(attempt);
    }
    if (const auto handedOver = call.handOver) {
        driver.cancel(*handedOver);
        dropHandOver(*handedOver);
    }
}

void RelayKernel::Impl::close(CallId call)
{
    const auto found = calls.find(call);
    if (found != calls.end()) {
        cancelAttempts(*found->second);
        calls.erase(found);
    }
}

void RelayKernel::Impl::fail(Instant now, Call &call, base::ErrorKind kind, const std::string &detail)
{
    const CallId id = call.id;
    ++counters.failed;
    if (call.streamBegun) {
        ++counters.streamsBroken;
        driver.record({"stream_broken", call.requestId, std::string(base::nameOf(kind)), detail});
        cancelAttempts(call);
        driver.breakStream(id);
    } else {
        // An error that says "not run" may be given only if no attempt can have run.
        const bool saysNotRun = base::errorAnswer(kind).ran == base::HasRun::No;
        // An attempt that is still open may be running at this moment.
        const bool mayHaveRun = call.mayHaveRun || isUnderWay(call);
        const base::ErrorKind reportedKind = saysNotRun && mayHaveRun ? base::ErrorKind::UpstreamBroken : kind;
        cancelAttempts(call);
        const Ms retryAfter = reject(now, id, call.requestId, std::chrono::duration_cast<Ms>(call.callerDeadline - now), reportedKind, detail);
        loadAdmission.onRejected(call, retryAfter, now);
    }
    close(id);
}

void RelayKernel::Impl::forward(Call &call, AttemptId attempt, int status)
{
    const CallId id = call.id;
    driver.forward(id, attempt);
    driver.record({"answered", call.requestId, endpoints.at(attempts.at(attempt).stages.front()).entry.id, "status " + std::to_string(status)});
    dropAttempt(attempt);
    close(id);
}

void RelayKernel::Impl::exclude(Call &call, EndpointIndex index)
{
    if (!call.isExcluded(index)) {
        call.excluded.push_back(index);
    }
}

std::string RelayKernel::Impl::retryText(Instant now, const Call &call)
{
    const RetryUsage usage = retries.usage(call.service->name, now);
    return "runs " + std::to_string(countedRuns(call)) + " of " + std::to_string(call.route->maxAttempts) + ", retries " + std::to_string(usage.used) + " of "
        + std::to_string(static_cast<std::uint64_t>(usage.allowed)) + ", reserve divided among " + std::to_string(usage.instances) + " instances";
}

bool RelayKernel::Impl::hasRestarted(const Run &run) const
{
    return endpoints.at(run.first).entry.incarnation > run.incarnation;
}

bool RelayKernel::Impl::hasEnded(const Run &run) const
{
    return hasRestarted(run) || (!endpoints.at(run.first).listed && isSilent(run.first));
}

std::uint32_t RelayKernel::Impl::countedRuns(const Call &call) const
{
    return call.priorRuns + static_cast<std::uint32_t>(std::count_if(call.runs.begin(), call.runs.end(), [&](const Run &run) { return !hasEnded(run); }));
}

bool RelayKernel::Impl::mayRunAgain(const Call &call) const
{
    if (runsOnce(*call.route)) {
        // A run that has ended was a run, too.
        return !call.mayHaveRun && call.runs.empty() && call.priorRuns == 0 && !call.handOver;
    }
    return countedRuns(call) < call.route->maxAttempts;
}

const Run &RelayKernel::Impl::runOf(AttemptId attempt) const
{
    const std::vector<Run> &runs = calls.at(attempts.at(attempt).call)->runs;
    return *std::find_if(runs.begin(), runs.end(), [&](const Run &run) { return run.attempt == attempt; });
}

std::uint64_t RelayKernel::Impl::incarnationOf(AttemptId attempt) const
{
    return runOf(attempt).incarnation;
}

void RelayKernel::Impl::forgetRun(Call &call, AttemptId attempt)
{
    std::erase_if(call.runs, [&](const Run &run) { return run.attempt == attempt; });
}

bool RelayKernel::Impl::retryIsPermitted(Instant now, Call &call)
{
    if (retries.permits(call.service->name, now)) {
        return true;
    }
    if (!call.retryWasRefused) {
        call.retryWasRefused = true;
        driver.record({"retry_refused", call.requestId, call.service->name, retryText(now, call)});
    }
    return false;
}

bool RelayKernel::Impl::hasAttemptsLeft(const Call &call) const
{
    // A stream that may have run gets more attempts, since failing it loses the answer so far.
    constexpr std::uint32_t MaxAttempts = 5;
    constexpr std::uint32_t MaxResumedStreamAttempts = 8;
    const std::uint32_t attemptLimit = call.mayHaveRun && call.route->kind == RequestKind::Stream ? MaxResumedStreamAttempts : MaxAttempts;
    return !isBarred(call) && mayRunAgain(call) && call.attemptCount < attemptLimit;
}

bool RelayKernel::Impl::mayRetry(Instant now, Call &call)
{
    return call.attemptCount == 0 || (hasAttemptsLeft(call) && retryIsPermitted(now, call));
}

void RelayKernel::Impl::retryOrFail(Instant now, Call &call, base::ErrorKind kind, const std::string &detail)
{
    if (call.route->kind == RequestKind::Stream) {
        retryStreamOrFail(now, call, detail);
    } else {
        retryPlainOrFail(now, call, kind, detail);
    }
}

AttemptId RelayKernel::Impl::startAttempt(Instant now, Call &call, Attempt attempt)
{
    const AttemptId id = nextAttempt++;
    attempt.call = call.id;
    attempt.sentAt = now;
    attempt.isRetry = call.attemptCount > 0;
    attempt.lastProgressAt = now;
    attempt.resumedAfter = call.lastEvent;
    std::vector<EndpointIndex> stages;
    stages.swap(attempt.stages);
    replaceStages(attempt, std::move(stages), std::move(attempt.layers));
    if (!attempt.layers.empty()) {
        streamDemand[call.service->name].onStarted(now, attempt.contextTokens);
    }
    attempts.emplace(id, std::move(attempt));
    call.attempts.push_back(id);
    if (call.attemptCount > 0) {
        ++counters.retries;
        retries.onRetry(call.service->name, now);
        driver.record({"retry", call.requestId, call.service->name, retryText(now, call)});
    }
    if (call.isProbe && call.attemptCount == 0) {
        crashGuard.onProbeSent(call.signatures, now);
        peers.expedite();
        driver.record({"crash_probe", call.requestId, endpoints.at(attempts.at(id).stages.front()).entry.id, crashGuard.evidenceText(call.signatures, now)});
    }
    const EndpointIndex first = attempts.at(id).stages.front();
    limits.onSent(first, now);
    endpoints.at(first).refusals.onSent(now);
    ++call.attemptCount;
    call.runs.push_back({id, first, endpoints.at(first).entry.incarnation});
    ++counters.attempts;
    return id;
}

Dispatch RelayKernel::Impl::dispatchOf(Instant now, const Call &call, AttemptId id) const
{
    const Attempt &attempt = attempts.at(id);
    const EndpointState &first = endpoints.at(attempt.stages.front());
    Dispatch dispatch;
    dispatch.attempt = id;
    dispatch.call = call.id;
    dispatch.endpoint = first.entry.id;
    dispatch.address = first.entry.address;
    dispatch.hops = hopsOf(attempt);
    dispatch.isStream = call.route->kind == RequestKind::Stream;
    dispatch.team = call.team;
    dispatch.timeLeft = std::chrono::duration_cast<Ms>(call.deadline - now);
    dispatch.priority = call.priority;
    dispatch.freshConnection = runsOnce(*call.route) || call.attemptCount > 1;
    return dispatch;
}

std::vector<Hop> RelayKernel::Impl::hopsOf(const Attempt &attempt) const
{
    std::vector<Hop> hops;
    for (std::size_t i = 0; i < attempt.layers.size(); ++i) {
        hops.push_back({endpoints.at(attempt.stages[i]).entry.address, attempt.layers[i]});
    }
    return hops;
}

std::string RelayKernel::Impl::pipelineText(const Attempt &attempt) const
{
    std::string text = "path";
    std::uint32_t crossings = 0;
    for (std::size_t i = 0; i < attempt.layers.size(); ++i) {
        text += " " + endpoints.at(attempt.stages[i]).entry.id + "=" + std::to_string(attempt.layers[i].first) + "-" + std::to_string(attempt.layers[i].end);
        crossings += i > 0 && endpoints.at(attempt.stages[i]).zone != endpoints.at(attempt.stages[i - 1]).zone ? 1 : 0;
    }
    return text + ", " + std::to_string(crossings) + " changes of zone";
}

void RelayKernel::Impl::countLateAttempts(Instant now, const Call &call)
{
    for (const AttemptId id : call.attempts) {
        const Attempt &attempt = attempts.at(id);
        const EndpointIndex first = attempt.stages.front();
        const bool isPlain = endpoints.at(first).entry.accelerator.empty();
        // One that was begun, or has gone on, a moment ago isn't late. The silence of a pipeline is looked into stage by stage.
        if (isPlain && now >= attempt.lastProgressAt + call.route->targetLatency) {
            endpoints.onPlainFailure(first, now);
        }
    }
}

void RelayKernel::Impl::failExpiredCalls(Instant now)
{
    std::vector<CallId> due;
    for (const auto &[id, call] : calls) {
        if (now >= call->deadline) {
            due.push_back(id);
        }
    }
    for (const CallId id : due) {
        Call &call = *calls.at(id);
        suspectLateCrash(now, call);
        countLateAttempts(now, call);
        const bool neverSent = !call.mayHaveRun && !isUnderWay(call);
        fail(now, call, neverSent ? base::ErrorKind::DeadlineUnreachable : base::ErrorKind::UpstreamTimeout, "no whole answer within the time limit");
    }
}

void RelayKernel::onFailure(Instant now, AttemptId attempt, AttemptFailure failure, const std::string &progress)
{
    if (Call *handedOver = impl_->callOfHandOver(attempt)) {
        return impl_->onHandOverFailed(now, *handedOver, attempt, failure);
    }
    Call *call = impl_->callOf(attempt);
    if (call == nullptr) {
        return;
    }
    const EndpointIndex first = impl_->attempts.at(attempt).stages.front();
    const std::string detail = impl_->endpoints.at(first).entry.id + phraseOf(failure);
    impl_->driver.record({"attempt_failed", call->requestId, impl_->endpoints.at(first).entry.id, progress.empty() ? detail : detail + "; " + progress});
    if (failure == AttemptFailure::Malformed) {
        impl_->endpoints.at(first).damage.onDamaged(impl_->attempts.at(attempt).sentAt, now);
    } else {
        impl_->reach.onFailed(first, now); // What is damaged has come from there.
    }
    if (failure == AttemptFailure::TimedOut) {
        impl_->suspectLateCrash(now, *call);
    } else if (failure == AttemptFailure::Broken) {
        impl_->suspectCrash(now, *call, first);
    }
    const bool reachedNothing = failure == AttemptFailure::NotSent;
    if (const Attempt &failed = impl_->attempts.at(attempt); reachedNothing && failed.isRetry) {
        impl_->retries.onRetryNotSent(call->service->name, failed.sentAt, now);
    }
    impl_->dropAttempt(attempt);
    impl_->exclude(*call, first);
    if (reachedNothing) {
        impl_->forgetRun(*call, attempt);
    } else {
        call->mayHaveRun = true;
    }
    if (call->route->kind == RequestKind::Stream) {
        impl_->endpoints.at(first).recent.onAnswer(true, now);
        if (reachedNothing) {
            impl_->onFault(now, first);
            impl_->endpoints.setSilent(first, now);
        } else {
            impl_->requestReport(now, first);
        }
    } else {
        impl_->endpoints.onPlainFailure(first, now);
        if (reachedNothing) {
            impl_->endpoints.at(first).foundGoneAt = now;
        }
    }
    impl_->retryOrFail(now, *call, reachedNothing ? base::ErrorKind::NoEndpoint : base::ErrorKind::UpstreamBroken, detail);
}

} // namespace relay
