#include "details/KernelImpl.h"

#include "base/Hash.h"

#include <algorithm>

namespace relay {

namespace {

/// A caller without a time limit of its own is given this one.
constexpr Ms DefaultTimeLimit{30000};
/// Expected length of an answer of which the caller says nothing.
constexpr std::uint32_t AssumedAnswerTokens = 200;
/// From the request to stop until requests on open connections are turned away.
constexpr Ms RefuseAfter{2500};
/// A configuration older than this doesn't prove that a key or a route is unknown.
constexpr Ms ProofAge{1800};
constexpr Ms RetryAfterLeast{250};
constexpr std::uint64_t RetryAfterSpreadMs = 700;
/// Callers don't return later than after this part of the time that they have left.
constexpr int RetryAfterParts = 3;
/// A configuration is used for keys until so long before the bound on keys that were taken away.
constexpr Ms RevocationMargin{500};
/// Share of that bound after which the balancer is told to look for another instance.
constexpr double ReadinessShare = 0.6;

Ms timeLimitOf(const CallArrival &arrival)
{
    return arrival.timeLimit.count() > 0 ? arrival.timeLimit : DefaultTimeLimit;
}

} // namespace

bool RelayKernel::Impl::configIsCurrent(Instant now, Ms limit) const
{
    return config && now - known.configAt <= limit;
}

Ms RelayKernel::Impl::oldestForKeys() const
{
    return settings.maxRevocationDelay - RevocationMargin;
}

Ms RelayKernel::Impl::oldestForReadiness() const
{
    return Ms(static_cast<std::int64_t>(ReadinessShare * static_cast<double>(settings.maxRevocationDelay.count())));
}

void RelayKernel::Impl::reject(CallId call, const std::string &requestId, Ms timeLeft, base::ErrorKind kind, const std::string &detail)
{
    ++counters.rejected;
    Rejection rejection{kind, detail, Ms{0}};
    if (base::errorAnswer(kind).retriable) {
        const Ms longest = std::max(Ms{0}, timeLeft / RetryAfterParts);
        rejection.retryAfter = std::min(longest, RetryAfterLeast + Ms(draw() % RetryAfterSpreadMs));
    }
    driver.reject(call, rejection);
    driver.record({"rejected", requestId, std::string(base::nameOf(kind)), detail});
}

void RelayKernel::Impl::arrive(Instant now, const CallArrival &arrival)
{
    ++counters.calls;
    const auto refuse = [&](base::ErrorKind kind, const std::string &detail) {
        reject(arrival.call, arrival.requestId, timeLimitOf(arrival), kind, detail);
    };
    if (!config || !endpoints.hasList()) {
        return refuse(base::ErrorKind::Unconfirmed, "no configuration has been read yet");
    }
    if (stopping && now - stopAt > RefuseAfter) {
        return refuse(base::ErrorKind::Stopping, "this instance is shutting down");
    }
    const std::string age =
        "configuration " + std::to_string(config->version) + ", age " + std::to_string(std::chrono::duration_cast<Ms>(now - known.configAt).count()) + " ms";
    const Route *route = routes.find(arrival.host, arrival.path);
    const bool isProof = configIsCurrent(now, ProofAge);
    if (route == nullptr) {
        return refuse(isProof ? base::ErrorKind::UnknownRoute : base::ErrorKind::Unconfirmed, "no route for this host and path; " + age);
    }
    Team team;
    if (config->hasTeams && !route->isPublic) {
        if (!configIsCurrent(now, oldestForKeys())) {
            return refuse(base::ErrorKind::Unconfirmed, "the configuration is too old to check a key; " + age);
        }
        const auto found = config->teamOfKey.find(arrival.keySha256);
        if (found == config->teamOfKey.end()) {
            return refuse(isProof ? base::ErrorKind::Unauthenticated : base::ErrorKind::Unconfirmed, "the API key is missing or unknown; " + age);
        }
        team = found->second;
    }
    if (crashes.isQuarantined(arrival.fingerprint, now)) {
        return refuse(base::ErrorKind::Quarantined, "this request has crashed the endpoints that ran it");
    }
    const std::string &serviceName = serviceOf(*route, base::hashOf(arrival.requestId));
    const auto service = std::find_if(config->services.begin(), config->services.end(), [&](const Service &entry) { return entry.name == serviceName; });
    if (service == config->services.end()) {
        return refuse(base::ErrorKind::NoEndpoint, "the route's service is not configured; " + age);
    }

    auto owned = std::make_unique<Call>();
    Call &call = *owned;
    call.id = arrival.call;
    call.requestId = arrival.requestId;
    call.fingerprint = arrival.fingerprint;
    call.config = config;
    call.route = route;
    call.service = &*service;
    call.team = team.name;
    call.priority = team.priority.value_or(route->priority);
    call.arrivedAt = now;
    call.callerDeadline = now + timeLimitOf(arrival);
    call.deadline = call.callerDeadline;
    if (route->timeout.count() > 0 && now + route->timeout < call.deadline) {
        call.deadline = now + route->timeout;
        call.routeEndsFirst = true;
    }
    call.promptTokens = arrival.promptTokens;
    call.answerTokens = arrival.answerTokens > 0 ? arrival.answerTokens : AssumedAnswerTokens;
    call.lastEventId = arrival.lastEventId;
    call.lastEvent = std::strtoull(arrival.lastEventId.c_str(), nullptr, 10);
    call.lastDelivery = now;
    calls.emplace(call.id, std::move(owned));
    retries.onRequest(service->name, now);
    if (route->kind == RequestKind::Stream) {
        startStream(now, call);
    } else {
        startPlain(now, call);
    }
}

} // namespace relay
