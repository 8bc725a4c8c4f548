#include "details/KernelImpl.h"

#include <algorithm>

namespace relay {

namespace {

/// Assumed latency of an endpoint that has not answered yet, as a fraction of the route's target latency.
constexpr double AssumedLatencyRatio = 0.3;
/// Cost of an endpoint whose requests all fail, in multiples of the route's target latency.
constexpr double FailureCost = 6.0;
/// Cost of an endpoint in another zone.
constexpr double ZoneCostMs = 1.5;
/// An idempotent request that is unanswered after this fraction of the route's target latency is hedged.
constexpr double HedgeTargetRatio = 0.6;
/// It is hedged earlier if this multiple of the endpoint's smoothed latency, as far as known, has passed.
constexpr double HedgeLatencyRatio = 2.5;
/// Statuses from this one on count as failures of the endpoint.
constexpr int FirstFailureStatus = 500;

double msBetween(Instant from, Instant to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

} // namespace

std::optional<EndpointIndex> RelayKernel::Impl::choosePlain(Instant now, const Call &call)
{
    const double target = std::max(1.0, static_cast<double>(call.route->targetLatency.count()));
    std::optional<EndpointIndex> best;
    double bestCost = 0;
    for (EndpointIndex i = 0; i < endpoints.size(); ++i) {
        const EndpointState &state = endpoints.at(i);
        const bool isUsable =
            endpoints.isUsable(i, now) && endpoints.backoffLeft(i, now).count() == 0 && endpoints.hasRoom(i, now) && !endpoints.isAvoided(i, now);
        if (state.entry.service != call.service->name || call.isExcluded(i) || !isUsable || !limits.maySend(i, nextFraction(), now)) {
            continue;
        }
        const double latency = state.latencyMs > 0 ? state.latencyMs : AssumedLatencyRatio * target;
        const double queueFactor = 1.0 + peers.loadOn(i, now).openRequests / std::max(1U, state.entry.slots);
        const double zoneCost = state.entry.zone == settings.zone ? 0 : ZoneCostMs;
        const double cost = latency * queueFactor + zoneCost + FailureCost * target * failureRatioAt(state, now);
        if (!best || cost < bestCost) {
            best = i;
            bestCost = cost;
        }
    }
    return best;
}

bool RelayKernel::Impl::hasEndpointLeft(const Call &call) const
{
    for (EndpointIndex i = 0; i < endpoints.size(); ++i) {
        const EndpointState &state = endpoints.at(i);
        if (state.entry.service == call.service->name && state.listed && !state.entry.draining && !call.isExcluded(i)) {
            return true;
        }
    }
    return false;
}

std::optional<Ms> RelayKernel::Impl::plainLimitWait(Instant now, const Call &call) const
{
    std::optional<Ms> shortest;
    for (EndpointIndex i = 0; i < endpoints.size(); ++i) {
        if (endpoints.at(i).entry.service != call.service->name) {
            continue;
        }
        if (const auto backoff = endpoints.returnsIn(i, now)) {
            shortest = std::min(shortest.value_or(*backoff), *backoff);
            continue;
        }
        const Ms wait = limits.expectedWait(i, now);
        if (!call.isExcluded(i) && endpoints.isUsable(i, now) && wait.count() > 0) {
            shortest = std::min(shortest.value_or(wait), wait);
        }
    }
    return shortest;
}

void RelayKernel::Impl::startPlain(Instant now, Call &call)
{
    if (handOverOrReject(now, call)) {
        return;
    }
    const auto endpoint = choosePlain(now, call);
    if (!endpoint) {
        if (isUnderWay(call)) {
            return; // An attempt beside this one may still be answered.
        }
        if (hasEndpointLeft(call) && waitsForEndpoints(now, call)) {
            return;
        }
        if (const auto wait = plainLimitWait(now, call)) {
            return rejectForLoad(now, call, *wait, "the endpoints limit their requests");
        }
        return fail(now, call, base::ErrorKind::NoEndpoint, "no usable endpoint of service '" + call.service->name + "'");
    }
    if (!canEndBeforeStop(now, call, endpoints.at(*endpoint).latencyMs)) {
        return fail(now, call, base::ErrorKind::Stopping, "this instance stops before the answer would be whole");
    }
    Attempt attempt;
    attempt.stages = {*endpoint};
    const AttemptId id = startAttempt(now, call, std::move(attempt));
    Dispatch dispatch = dispatchOf(now, call, id);
    dispatch.lastEventId = call.lastEventId;
    driver.record({"sent",
                   call.requestId,
                   dispatch.endpoint,
                   "attempt " + std::to_string(call.attemptCount) + ", configuration " + std::to_string(call.config->version)});
    driver.send(std::move(dispatch));
}

void RelayKernel::Impl::onPlainAnswer(Instant now, Call &call, AttemptId attempt, const AnswerHead &head)
{
    const EndpointIndex endpoint = attempts.at(attempt).stages.front();
    const double latency = msBetween(attempts.at(attempt).sentAt, now);
    if (head.notRun) {
        driver.record({"attempt_refused", call.requestId, endpoints.at(endpoint).entry.id, "status " + std::to_string(head.status)});
        const Instant sentAt = attempts.at(attempt).sentAt;
        exclude(call, endpoint);
        forgetRun(call, attempt);
        dropAttempt(attempt);
        endpoints.onRefused(endpoint, sentAt, now, head.retryAfter);
        return retryPlainOrFail(now, call, base::ErrorKind::Overloaded, "the endpoint refused the request without running it");
    }
    call.mayHaveRun = true;
    endpoints.onAccepted(endpoint, attempts.at(attempt).sentAt, now);
    const bool isSuccess = head.status < FirstFailureStatus && head.verified;
    if (isSuccess) {
        endpoints.onPlainAnswer(endpoint, latency, now);
        endpoints.at(endpoint).damage.onSound(attempts.at(attempt).sentAt);
        crashGuard.onServed(call.signatures, now);
    } else {
        endpoints.onPlainFailure(endpoint, now);
    }
    const bool canRetry = call.route->kind == RequestKind::Idempotent && !isSuccess;
    if (canRetry && (call.attempts.size() > 1 || call.handOver)) {
        dropAttempt(attempt);
        return; // The other attempt may still succeed.
    }
    if (canRetry && choosePlain(now, call) && mayRunAgain(call)) {
        exclude(call, endpoint);
        if (choosePlain(now, call) && mayRetry(now, call)) {
            dropAttempt(attempt);
            return startPlain(now, call);
        }
    }
    if (!head.verified) {
        dropAttempt(attempt);
        return fail(now, call, base::ErrorKind::UpstreamBroken, "the endpoint's answer is damaged");
    }
    forward(call, attempt, head.status);
}

void RelayKernel::Impl::retryPlainOrFail(Instant now, Call &call, base::ErrorKind kind, const std::string &detail)
{
    if (isUnderWay(call)) {
        return; // Another attempt is still open.
    }
    const bool hasEndpoint = reach.isCutOff() || choosePlain(now, call).has_value();
    if (hasEndpoint && mayRetry(now, call)) {
        return startPlain(now, call);
    }
    const auto wait = hasEndpoint ? std::nullopt : plainLimitWait(now, call);
    if (wait) {
        return rejectForLoad(now, call, *wait, detail);
    }
    fail(now, call, kind, detail);
}

void RelayKernel::Impl::hedge(Instant now, Call &call)
{
    if (call.route->kind != RequestKind::Idempotent || call.attempts.size() != 1 || call.handOver || !mayRunAgain(call)) {
        return;
    }
    const Attempt &attempt = attempts.at(call.attempts.front());
    const EndpointIndex endpoint = attempt.stages.front();
    const double target = static_cast<double>(call.route->targetLatency.count());
    const double latency = endpoints.at(endpoint).latencyMs;
    const double hedgeDelay = latency > 0 ? std::min(target * HedgeTargetRatio, latency * HedgeLatencyRatio) : target * HedgeTargetRatio;
    if (!reach.isCutOff() && msBetween(attempt.sentAt, now) < hedgeDelay) {
        return;
    }
    exclude(call, endpoint);
    if (reach.isCutOff()) {
        if (mayRetry(now, call)) {
            handOver(now, call);
        }
        return;
    }
    if (choosePlain(now, call) && mayRetry(now, call)) {
        startPlain(now, call);
    }
}

} // namespace relay
