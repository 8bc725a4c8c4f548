#include "details/ServiceCalls.h"

#include "base/Hash.h"

#include <algorithm>

namespace trefoilport {

namespace {

/// Maximum length of a caller's idempotency key in bytes.
constexpr std::size_t MaxKeyBytes = 255;

/// True if the method is safe (read-only), so that the call may be repeated whatever the service.
bool isSafeMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

std::uint64_t requestHashOf(const ServiceRequest &request)
{
    std::uint64_t hash = base::hashOf(request.method);
    hash = base::mixBits(base::hashOf(request.target, hash));
    return base::mixBits(base::hashOf(request.body, hash));
}

/// Maps the failure of an attempt to the kind of error that the caller gets.
base::ErrorKind errorOf(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::NotSent:
    case AttemptFailure::Refused:
    case AttemptFailure::RefusedLeaving:
        return base::ErrorKind::NoEndpoint;
    case AttemptFailure::TimedOut:
        return base::ErrorKind::UpstreamTimeout;
    case AttemptFailure::Broken:
    case AttemptFailure::StageBroken:
    case AttemptFailure::StageRefused:
    case AttemptFailure::Inconsistent:
        return base::ErrorKind::UpstreamBroken;
    }
    return base::ErrorKind::UpstreamBroken;
}

} // namespace

std::string matchService(const settings::RoutingConfig &config, const std::string &target)
{
    const std::string path = target.substr(0, target.find('?'));
    std::string best;
    std::size_t bestLength = 0;
    for (const auto &[name, service] : config.services) {
        const std::string &prefix = service.prefix;
        const bool matches = path.rfind(prefix, 0) == 0 && (path.size() == prefix.size() || path[prefix.size()] == '/' || prefix.back() == '/');
        if (matches && prefix.size() > bestLength) {
            best = name;
            bestLength = prefix.size();
        }
    }
    return best;
}

ServiceCalls::ServiceCalls(KernelContext &context)
    : context_(context)
{
}

std::uint32_t ServiceCalls::openCountOf(const std::string &team) const
{
    const auto found = openByTeam_.find(team);
    return found == openByTeam_.end() ? 0 : found->second;
}

void ServiceCalls::arrive(const ServiceCallArrived &event, const std::string &team, base::Now now, Actions &actions)
{
    const settings::RoutingConfig &config = *context_.config.inForce();
    const std::string service = matchService(config, event.request.target);
    if (service.empty()) {
        refuse(context_, event.call, base::ErrorKind::UnknownRoute, "no route matches this path", actions);
        return;
    }
    Call call;
    call.id = event.call;
    call.team = team;
    call.service = service;
    call.request = event.request;
    call.config = config.services.at(service);
    call.atMostOnce = !call.config.idempotent && !isSafeMethod(event.request.method);
    call.deadline = now.mono + std::chrono::milliseconds(call.config.timeoutMs);
    if (call.atMostOnce && (event.request.idempotencyKey.empty() || event.request.idempotencyKey.size() > MaxKeyBytes)) {
        refuse(context_, event.call, base::ErrorKind::IdempotencyKeyRequired, "this route needs an Idempotency-Key of 1 to 255 bytes", actions);
        return;
    }
    ++openByTeam_[team];
    context_.retries.onFirstAttempt();
    Call &stored = calls_.emplace(call.id, std::move(call)).first->second;
    if (stored.atMostOnce) {
        beginClaim(stored, now, actions);
    } else {
        tryStart(stored, now, actions);
    }
}

void ServiceCalls::beginClaim(Call &call, base::Now now, Actions &actions)
{
    call.claimKey = ClaimLedger::keyOf(call.team, call.service, call.request.idempotencyKey);
    call.requestHash = requestHashOf(call.request);
    call.phase = Phase::Claiming;
    const auto [open, isFirst] = byClaimKey_.emplace(call.claimKey, call.id);
    if (isFirst) {
        context_.ledger.acquire(call.id, call.claimKey, call.requestHash, now);
        return;
    }
    Call &first = calls_.at(open->second);
    if (first.requestHash != call.requestHash) {
        fail(call, base::ErrorKind::IdempotencyKeyMismatch, "the Idempotency-Key was used for a different request", now, actions);
        return;
    }
    first.joined.push_back(call.id);
    joined_[call.id] = first.id;
}

void ServiceCalls::onDecision(const ClaimDecision &decision, base::Now now, Actions &actions)
{
    const auto found = calls_.find(decision.call);
    if (found == calls_.end() || found->second.phase != Phase::Claiming) {
        return;
    }
    Call &call = found->second;
    switch (decision.verdict) {
    case ClaimVerdict::Granted:
        context_.counters.add(Counter::ClaimsGranted);
        actions.push_back(Record{TimelineKind::ClaimGranted, call.id, call.claimKey, ""});
        call.phase = Phase::Waiting;
        call.deadline = now.mono + std::chrono::milliseconds(call.config.timeoutMs);
        tryStart(call, now, actions);
        return;
    case ClaimVerdict::Replay:
        context_.counters.add(Counter::ClaimsReplayed);
        actions.push_back(Record{TimelineKind::ClaimReplayed, call.id, call.claimKey, ""});
        answer(call, {decision.claim.status, decision.claim.contentType, decision.claim.body}, true, actions);
        return;
    case ClaimVerdict::InProgress:
        fail(call, base::ErrorKind::InProgress, "the first call with this key is still running", now, actions);
        return;
    case ClaimVerdict::OutcomeUnknown:
        fail(call, base::ErrorKind::OutcomeUnknown, "the first call with this key was dispatched and its outcome is not known", now, actions);
        return;
    case ClaimVerdict::Mismatch:
        fail(call, base::ErrorKind::IdempotencyKeyMismatch, "the Idempotency-Key was used for a different request", now, actions);
        return;
    case ClaimVerdict::StoreUnavailable:
        fail(call, base::ErrorKind::StoreUnavailable, "the claim could not be confirmed in time", now, actions);
        return;
    }
}

bool ServiceCalls::tryStart(Call &call, base::Now now, Actions &actions)
{
    auto endpoint = context_.chooser.chooseService(call.service, call.avoid, context_.liveInstances());
    if (!endpoint && !call.hedged && !call.avoid.empty()) {
        endpoint = context_.chooser.chooseService(call.service, {}, context_.liveInstances());
    }
    if (!endpoint) {
        return false;
    }
    const AttemptId attempt = context_.nextAttempt++;
    Endpoint &chosen = context_.endpoints.at(*endpoint);
    ++chosen.inFlight;
    ++call.attempts;
    call.running.push_back({attempt, *endpoint});
    call.phase = Phase::Running;
    call.startedAt = now.mono;
    attempts_[attempt] = call.id;
    context_.counters.add(Counter::Attempts);
    actions.push_back(Record{TimelineKind::AttemptStarted, call.id, chosen.info.id, "attempt " + std::to_string(attempt)});
    actions.push_back(StartService{attempt, chosen.info.id, chosen.info.address, call.request, call.config.timeoutMs, call.atMostOnce, now.mono + SendTimeout});
    return true;
}

ServiceCalls::Call *ServiceCalls::callOfAttempt(AttemptId attempt)
{
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : &calls_.at(found->second);
}

void ServiceCalls::endAttempt(Call &call, AttemptId attempt)
{
    const auto found = std::find_if(call.running.begin(), call.running.end(), [attempt](const Attempt &running) { return running.id == attempt; });
    if (found != call.running.end()) {
        Endpoint &endpoint = context_.endpoints.at(found->endpoint);
        endpoint.inFlight -= endpoint.inFlight > 0 ? 1 : 0;
        call.running.erase(found);
    }
    attempts_.erase(attempt);
}

void ServiceCalls::cancelAttempts(Call &call, Actions &actions)
{
    while (!call.running.empty()) {
        const AttemptId attempt = call.running.back().id;
        actions.push_back(CancelAttempt{attempt});
        endAttempt(call, attempt);
    }
}

void ServiceCalls::onAnswer(const ServiceAnswered &event, base::Now now, Actions &actions)
{
    Call *call = callOfAttempt(event.attempt);
    if (call == nullptr) {
        context_.counters.add(Counter::LateFrames);
        return;
    }
    endAttempt(*call, event.attempt);
    cancelAttempts(*call, actions);
    if (call->atMostOnce) {
        context_.ledger.complete(call->id, call->claimKey, call->requestHash, event.answer, now);
    }
    answer(*call, event.answer, false, actions);
}

void ServiceCalls::answer(Call &call, const ServiceAnswer &result, bool replayed, Actions &actions)
{
    context_.counters.add(Counter::CallsAnswered);
    actions.push_back(Record{TimelineKind::CallAnswered, call.id, call.team, "status " + std::to_string(result.status)});
    actions.push_back(AnswerService{call.id, result, replayed});
    const std::vector<CallId> repeats = call.joined;
    close(call);
    for (const CallId repeat : repeats) {
        const auto found = calls_.find(repeat);
        if (found != calls_.end()) {
            answer(found->second, result, true, actions);
        }
    }
}

void ServiceCalls::fail(Call &call, base::ErrorKind kind, const std::string &detail, base::Now now, Actions &actions)
{
    cancelAttempts(call, actions);
    context_.counters.add(Counter::CallsFailed);
    actions.push_back(Record{TimelineKind::CallFailed, call.id, call.team, std::string(base::nameOf(kind))});
    actions.push_back(AnswerFailure{call.id, {kind, detail}});
    const std::vector<CallId> repeats = call.joined;
    close(call);
    for (const CallId repeat : repeats) {
        const auto found = calls_.find(repeat);
        if (found != calls_.end()) {
            fail(found->second, kind, detail, now, actions);
        }
    }
}

void ServiceCalls::close(Call &call)
{
    const auto byKey = byClaimKey_.find(call.claimKey);
    if (byKey != byClaimKey_.end() && byKey->second == call.id) {
        byClaimKey_.erase(byKey);
    }
    joined_.erase(call.id);
    --openByTeam_[call.team];
    calls_.erase(call.id);
}

void ServiceCalls::onFailure(const AttemptFailed &event, base::Now now, Actions &actions)
{
    Call *call = callOfAttempt(event.attempt);
    if (call == nullptr) {
        context_.counters.add(Counter::LateFrames);
        return;
    }
    const auto attempt = std::find_if(call->running.begin(), call->running.end(), [&](const Attempt &running) { return running.id == event.attempt; });
    const EndpointIndex endpoint = attempt->endpoint;
    const std::string &endpointId = context_.endpoints.at(endpoint).info.id;
    actions.push_back(Record{TimelineKind::AttemptFailed, call->id, endpointId, std::string(base::nameIn(AttemptFailureNames, event.failure))});
    endAttempt(*call, event.attempt);
    call->avoid.insert(endpoint);
    if (event.failure == AttemptFailure::RefusedLeaving) {
        context_.endpoints.markLeaving(endpointId, context_.endpoints.at(endpoint).info.incarnation, actions);
    } else if (event.failure != AttemptFailure::Refused) {
        context_.endpoints.markFailed(endpoint, now, actions);
    }
    call->mayHaveRun = call->mayHaveRun || !provesNotRun(event.failure);
    call->lastError = errorOf(event.failure);
    if (!call->running.empty()) {
        return; // The other attempt of a hedged call is still running.
    }
    if (call->atMostOnce && !provesNotRun(event.failure)) {
        afterAtMostOnceFailure(*call, event.failure, now, actions);
        return;
    }
    retryOrFail(*call, event.failure, now, actions);
}

void ServiceCalls::afterAtMostOnceFailure(Call &call, AttemptFailure failure, base::Now now, Actions &actions)
{
    context_.ledger.markOutcomeUnknown(call.id, call.claimKey, call.requestHash, now);
    fail(call, errorOf(failure), "the call was dispatched and its outcome is not known", now, actions);
}

void ServiceCalls::retryOrFail(Call &call, AttemptFailure failure, base::Now now, Actions &actions)
{
    const bool exhausted = call.attempts >= static_cast<std::uint64_t>(call.config.attempts);
    const bool allowed = !exhausted && context_.retries.tryAcquire();
    if (!exhausted && !allowed) {
        context_.counters.add(Counter::RetriesDenied);
    }
    if (allowed) {
        context_.counters.add(Counter::Retries);
        call.phase = Phase::Waiting;
        tryStart(call, now, actions);
        return;
    }
    if (call.atMostOnce) {
        context_.ledger.giveUp(call.id, call.claimKey, now);
    }
    // The error is not NoEndpoint if an earlier attempt may have run.
    const base::ErrorKind kind = call.mayHaveRun ? errorOf(failure) : base::ErrorKind::NoEndpoint;
    fail(call, provesNotRun(failure) && call.mayHaveRun ? base::ErrorKind::UpstreamBroken : kind, "no endpoint answered", now, actions);
}

void ServiceCalls::onCallerGone(CallId id, base::Now now, Actions &actions)
{
    const auto joined = joined_.find(id);
    if (joined != joined_.end()) {
        std::erase(calls_.at(joined->second).joined, id);
    }
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    Call &call = found->second;
    // A running at-most-once call goes on, so that its outcome is stored. So does an at-most-once call that others have joined.
    if (call.atMostOnce && (call.phase == Phase::Running || !call.joined.empty())) {
        return;
    }
    const bool holdsClaim = call.atMostOnce && joined == joined_.end();
    if (holdsClaim) {
        context_.ledger.giveUp(id, call.claimKey, now);
    }
    fail(call, base::ErrorKind::CallerGone, "the caller closed the connection", now, actions);
}

void ServiceCalls::hedgeIfDue(Call &call, base::Now now, Actions &actions)
{
    const std::chrono::milliseconds hedgeDelay(call.config.hedgeMs);
    if (call.atMostOnce || call.hedged || hedgeDelay.count() == 0 || call.running.size() != 1 || now.mono - call.startedAt < hedgeDelay) {
        return;
    }
    call.hedged = true;
    call.avoid.insert(call.running.front().endpoint);
    if (context_.retries.tryAcquire() && tryStart(call, now, actions)) {
        context_.counters.add(Counter::Hedges);
    }
}

void ServiceCalls::tick(base::Now now, Actions &actions)
{
    std::vector<CallId> ids;
    for (const auto &[id, call] : calls_) {
        ids.push_back(id);
    }
    for (const CallId id : ids) {
        const auto found = calls_.find(id);
        if (found == calls_.end()) {
            continue;
        }
        Call &call = found->second;
        if (call.phase == Phase::Running) {
            hedgeIfDue(call, now, actions);
        } else if (call.phase == Phase::Waiting && !tryStart(call, now, actions) && now.mono >= call.deadline) {
            if (call.atMostOnce) {
                context_.ledger.giveUp(id, call.claimKey, now);
            }
            fail(call, call.mayHaveRun ? call.lastError : base::ErrorKind::NoEndpoint, "no endpoint had room in time", now, actions);
        }
    }
}

void ServiceCalls::failAll(base::Now now, Actions &actions)
{
    while (!calls_.empty()) {
        Call &call = calls_.begin()->second;
        const bool dispatched = call.mayHaveRun || !call.running.empty();
        if (call.atMostOnce && joined_.count(call.id) == 0) {
            if (dispatched) {
                context_.ledger.markOutcomeUnknown(call.id, call.claimKey, call.requestHash, now);
            } else {
                context_.ledger.giveUp(call.id, call.claimKey, now);
            }
        }
        fail(call, dispatched ? base::ErrorKind::UpstreamTimeout : base::ErrorKind::Stopping, "the instance stopped", now, actions);
    }
}

} // namespace trefoilport
