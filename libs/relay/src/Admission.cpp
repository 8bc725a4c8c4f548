#include "details/KernelImpl.h"

#include "base/Hash.h"
#include "base/Time.h"

#include <algorithm>
#include <charconv>

namespace relay {

namespace {

/// Time limit of requests whose caller states none.
constexpr Ms DefaultTimeLimit{30000};
/// Expected length of the answer if the caller states none.
constexpr std::uint32_t AssumedAnswerTokens = 200;
/// Retry delays of rejected callers are spread evenly over [MinRetryAfter, MinRetryAfter + RetryAfterJitterMs), later and over more time while there is no
/// room.
constexpr Ms MinRetryAfter{250};
constexpr std::uint64_t RetryAfterJitterMs = 700;
/// Callers that a stopping instance rejects are spread over this time only: the instances that they come to have room.
constexpr std::uint64_t StopRetryJitterMs = 100;
/// A retry delay is at most the time that the caller still has, divided by this.
constexpr int RetryAfterDivisor = 3;
/// An instance that stops sends a request to an endpoint only if this multiple of its predicted duration, and at least that time, is left for it.
constexpr double RunTimeMarginRatio = 1.5;
constexpr Ms MinRunTime{300};
/// While a newer configuration than the own one is known to exist, keys are accepted until the age of the own one is this far below `maxConfigDelay`.
constexpr Ms NewerConfigMargin{200};

/// Returns the number that an event's id is; 0, which no event has, if it is none.
std::uint64_t eventNumber(const std::string &id)
{
    std::uint64_t number = 0;
    const char *const idEnd = id.data() + id.size();
    const auto [end, error] = std::from_chars(id.data(), idEnd, number);
    return error == std::errc() && end == idEnd ? number : 0;
}

/// Returns the caller's time limit, or the default if the caller states none.
Ms timeLimitOf(const CallArrival &arrival)
{
    return arrival.timeLimit.count() > 0 ? arrival.timeLimit : DefaultTimeLimit;
}

/// Returns the call of an arrival as far as the arrival, its route and its team determine it.
std::unique_ptr<Call> makeCall(Instant now, const CallArrival &arrival, const Route &route, const Team &team)
{
    auto call = std::make_unique<Call>();
    call->id = arrival.call;
    call->requestId = arrival.requestId;
    call->route = &route;
    call->team = team.name;
    call->priority = team.priority.value_or(route.priority);
    call->arrivedAt = now;
    call->callerDeadline = now + timeLimitOf(arrival);
    call->deadline = call->callerDeadline;
    if (route.timeout.count() > 0 && now + route.timeout < call->deadline) {
        call->deadline = now + route.timeout;
    }
    call->promptTokens = arrival.promptTokens;
    call->answerTokens = arrival.answerTokens > 0 ? arrival.answerTokens : AssumedAnswerTokens;
    call->lastEventId = arrival.lastEventId;
    call->lastEvent = eventNumber(arrival.lastEventId);
    call->lastDeliveredAt = now;
    return call;
}

} // namespace

bool RelayKernel::Impl::configIsCurrent(Instant now, Ms limit) const
{
    return config && now - known.configAt <= limit;
}

Ms RelayKernel::Impl::maxConfigAgeForKeys(Instant now) const
{
    const Ms maxAge = settings.maxRevocationDelay - RevocationMargin;
    const bool lacksNewer = storeDuty.namedConfigVersion(now) > config->version;
    return lacksNewer && settings.maxConfigDelay.count() > 0 ? std::min(maxAge, settings.maxConfigDelay - NewerConfigMargin) : maxAge;
}

Ms RelayKernel::Impl::retryDelay(Ms busyFor)
{
    const std::uint64_t jitterMs = RetryAfterJitterMs + static_cast<std::uint64_t>(busyFor.count());
    return MinRetryAfter + busyFor + Ms(nextRandom() % jitterMs);
}

Ms RelayKernel::Impl::stopRetryDelay(Instant now)
{
    const Ms elapsed = std::chrono::duration_cast<Ms>(now - stopAt);
    const Ms untilReturn = std::max(Ms{0}, stopScheduleOf(settings.gracePeriod).returnAfter - elapsed);
    return untilReturn + Ms(1 + nextRandom() % StopRetryJitterMs);
}

Ms RelayKernel::Impl::reject(Instant now, CallId call, const std::string &requestId, Ms timeLeft, base::ErrorKind kind, const std::string &detail, Ms busyFor)
{
    ++counters.rejected;
    Rejection rejection{kind, detail, Ms{0}, known.configVersion};
    if (base::errorAnswer(kind).retriable) {
        const Ms maxRetryAfter = std::max(Ms{0}, timeLeft / RetryAfterDivisor);
        rejection.retryAfter = std::min(maxRetryAfter, kind == base::ErrorKind::Stopping ? stopRetryDelay(now) : retryDelay(busyFor));
    }
    driver.reject(call, rejection);
    driver.record({"rejected", requestId, std::string(base::nameOf(kind)), detail});
    return rejection.retryAfter;
}

bool RelayKernel::Impl::knowsStore() const
{
    return config && known.configAt.count() != 0 && endpoints.hasList();
}

bool RelayKernel::Impl::awaitsStore() const
{
    // A configuration that was read and not confirmed is older than that of others: who holds the newer one can't be foreseen.
    const bool isConfirmed = known.configAt.count() != 0;
    return !stopping && (!config || (isConfirmed && !endpoints.hasList()));
}

void RelayKernel::Impl::admitWaiting(Instant now)
{
    if (startQueue.size() == 0 || !knowsStore()) {
        return;
    }
    const std::vector<StartQueue::Waiting> calls = startQueue.takeAll(now);
    driver.record({"waiting_calls_admitted", "", settings.instance, std::to_string(calls.size()) + " calls that have arrived during the start"});
    for (const StartQueue::Waiting &call : calls) {
        admit(now, call.arrival);
    }
}

void RelayKernel::Impl::rejectExpiredWaiting(Instant now)
{
    const std::vector<StartQueue::Waiting> expired = stopping ? startQueue.takeAll(now) : startQueue.takeExpired(now);
    for (const StartQueue::Waiting &call : expired) {
        admit(now, call.arrival);
    }
}

void RelayKernel::Impl::admit(Instant now, const CallArrival &arrival)
{
    const auto refuse = [&](base::ErrorKind kind, const std::string &detail) {
        reject(now, arrival.call, arrival.requestId, timeLimitOf(arrival), kind, detail);
    };
    if (!knowsStore()) {
        return refuse(base::ErrorKind::Unconfirmed, "no current configuration has been read yet");
    }
    if (stopping && now - stopAt >= stopScheduleOf(settings.gracePeriod).refuseAfter) {
        return refuse(base::ErrorKind::Stopping, "this instance is shutting down");
    }
    if (arrival.configVersion > config->version) {
        // What the sender knows of the route, the key and the service may be unknown here, or may lead elsewhere by now.
        storeDuty.onConfigNamed(arrival.configVersion, now, known);
        return refuse(base::ErrorKind::Unconfirmed,
                      "the other instance knows configuration " + std::to_string(arrival.configVersion) + ", known here is " + std::to_string(config->version));
    }
    const std::string configAge =
        "configuration " + std::to_string(config->version) + ", age " + std::to_string(std::chrono::duration_cast<Ms>(now - known.configAt).count()) + " ms";
    const Route *route = routes.find(arrival.host, arrival.path);
    const bool isConclusive = configIsCurrent(now, storeDuty.times().maxConclusiveAge) && storeDuty.namedConfigVersion(now) <= config->version;
    if (route == nullptr) {
        return refuse(isConclusive ? base::ErrorKind::UnknownRoute : base::ErrorKind::Unconfirmed, "no route for this host and path; " + configAge);
    }
    Team team;
    if (config->hasTeams && !route->isPublic) {
        if (!configIsCurrent(now, maxConfigAgeForKeys(now))) {
            return refuse(base::ErrorKind::Unconfirmed, "the configuration is too old to check a key; " + configAge);
        }
        const auto found = config->teamOfKey.find(arrival.keySha256);
        if (found == config->teamOfKey.end()) {
            return refuse(isConclusive ? base::ErrorKind::Unauthenticated : base::ErrorKind::Unconfirmed, "the API key is missing or unknown; " + configAge);
        }
        team = found->second;
    }
    std::vector<std::uint64_t> signatures = {arrival.fingerprint};
    signatures.insert(signatures.end(), arrival.sharedPromptParts.begin(), arrival.sharedPromptParts.end());
    const CrashGuard::Verdict verdict = crashGuard.judge(signatures, peers.instances(now).value_or(1), now);
    if (verdict == CrashGuard::Verdict::RequestConvicted) {
        return refuse(base::ErrorKind::Quarantined, "this request has crashed the endpoints that ran it; " + crashGuard.evidenceText(signatures, now));
    }
    if (verdict == CrashGuard::Verdict::PartConvicted) {
        return refuse(base::ErrorKind::PromptPartQuarantined,
                      "requests with a part of this prompt have crashed endpoints; " + crashGuard.evidenceText(signatures, now));
    }
    if (reach.isCutOff() && (arrival.isHandedOver || !handOverPeers.hasAny(now))) {
        return refuse(base::ErrorKind::NoEndpoint, "this instance reaches no endpoint");
    }
    const std::string &serviceName = serviceOf(*route, base::hashOf(arrival.requestId));
    const auto service = std::find_if(config->services.begin(), config->services.end(), [&](const Service &entry) { return entry.name == serviceName; });
    if (service == config->services.end()) {
        return refuse(base::ErrorKind::NoEndpoint, "the route's service is not configured; " + configAge);
    }

    auto call = makeCall(now, arrival, *route, team);
    call->signatures = std::move(signatures);
    // Another instance that takes the request decides for itself whether it is the turn of that one.
    call->isProbe = verdict == CrashGuard::Verdict::Probe && !reach.isCutOff();
    call->isHandedOver = arrival.isHandedOver;
    call->priorRuns = arrival.priorRuns;
    call->config = config;
    call->service = &*service;
    start(now, std::move(call));
}

bool RelayKernel::Impl::canEndBeforeStop(Instant now, const Call &call, double predictedMs) const
{
    const bool canBeResumed = call.route->kind == RequestKind::Stream && !runsOnce(*call.route);
    if (!stopping || canBeResumed || call.mayHaveRun || !call.attempts.empty()) {
        return true;
    }
    const Instant failAt = stopAt + stopScheduleOf(settings.gracePeriod).failAfter;
    const Instant needed = std::max(base::boundedMs(predictedMs * RunTimeMarginRatio), MinRunTime);
    return now + needed <= failAt || call.deadline <= failAt;
}

void RelayKernel::Impl::start(Instant now, std::unique_ptr<Call> admitted)
{
    Call &call = *admitted;
    calls.emplace(call.id, std::move(admitted));
    counters.takenOver += call.isHandedOver ? 1 : 0;
    if (call.isHandedOver || !reach.isCutOff()) {
        // The instance that a request is handed over to counts it.
        retries.onRequest(call.service->name, now);
    }
    if (call.route->kind == RequestKind::Stream) {
        startStream(now, call);
    } else {
        startPlain(now, call);
    }
}

} // namespace relay
