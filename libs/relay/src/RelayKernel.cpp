#include "relay/RelayKernel.h"

#include "base/Hash.h"
#include "details/KernelImpl.h"

#include <algorithm>

namespace relay {

namespace {

/// A list read later than this after the previous one counts as read after an outage.
constexpr Ms OutageTime{2700};
/// A caller without a time limit of its own is given this one.
constexpr Ms DefaultTimeLimit{30000};
/// From the request to stop until idle connections are closed: by then the balancer sends nothing new.
constexpr Ms CloseConnectionsAfter{2500};
/// From the request to stop until requests on open connections are turned away.
constexpr Ms RefuseAfter{3500};
/// The process stays so long after the request to stop even when idle.
constexpr Ms LeastStopTime{2800};
/// A configuration older than this doesn't prove that a key or a route is unknown.
constexpr Ms ProofAge{1800};
constexpr Ms RetryAfterLeast{250};
constexpr std::uint64_t RetryAfterSpreadMs = 700;
/// An endpoint that was slow is asked again after this time, by whichever instance comes first.
constexpr Ms SlowPeriod{1000};
/// A word of the endpoint itself that is newer than this goes before what others say of it.
constexpr Ms OwnWordLife{500};
constexpr double LeastSlowness = 1.3;

} // namespace

RelayKernel::Impl::Impl(RelaySettings relaySettings, RelayDriver &relayDriver)
    : settings(std::move(relaySettings))
    , driver(relayDriver)
    , peers(endpoints)
    , planner(endpoints, peers, relayDriver)
{
    planner.configure(settings);
    retries.configure(settings);
    retries.setInstances(peers.instances());
}

std::uint64_t RelayKernel::Impl::draw()
{
    return base::mixBits(settings.seed + ++draws);
}

bool RelayKernel::Impl::configIsCurrent(Instant now, Ms limit) const
{
    return config && now - configSentAt <= limit;
}

void RelayKernel::Impl::reject(Instant, CallId call, const std::string &requestId, base::ErrorKind kind, const std::string &detail)
{
    ++counters.rejected;
    Rejection rejection{kind, detail, Ms{0}};
    if (base::errorAnswer(kind).retriable) {
        rejection.retryAfter = RetryAfterLeast + Ms(draw() % RetryAfterSpreadMs);
    }
    driver.reject(call, rejection);
    driver.record({"rejected", requestId, std::string(base::nameOf(kind)), detail});
}

void RelayKernel::Impl::arrive(Instant now, const CallArrival &arrival)
{
    ++counters.calls;
    const auto refuse = [&](base::ErrorKind kind, const std::string &detail) {
        reject(now, arrival.call, arrival.requestId, kind, detail);
    };
    if (!config || !endpoints.hasList()) {
        return refuse(base::ErrorKind::Unconfirmed, "no configuration has been read yet");
    }
    if (stopping && now - stopAt > RefuseAfter) {
        return refuse(base::ErrorKind::Stopping, "this instance is shutting down");
    }
    const std::string age =
        "configuration " + std::to_string(config->version) + ", age " + std::to_string(std::chrono::duration_cast<Ms>(now - configSentAt).count()) + " ms";
    const Route *route = routes.find(arrival.host, arrival.path);
    const bool isProof = configIsCurrent(now, ProofAge);
    if (route == nullptr) {
        return refuse(isProof ? base::ErrorKind::UnknownRoute : base::ErrorKind::Unconfirmed, "no route for this host and path; " + age);
    }
    Team team;
    if (config->hasTeams && !route->isPublic) {
        if (!configIsCurrent(now, settings.maxConfigAge)) {
            return refuse(base::ErrorKind::Unconfirmed, "the configuration is too old to check a key; " + age);
        }
        const auto found = config->teamOfKey.find(arrival.keyDigest);
        if (found == config->teamOfKey.end()) {
            return refuse(isProof ? base::ErrorKind::Unauthenticated : base::ErrorKind::Unconfirmed, "the API key is missing or unknown; " + age);
        }
        team = found->second;
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
    call.config = config;
    call.route = route;
    call.service = &*service;
    call.team = team.name;
    call.priority = team.priority.value_or(route->priority);
    call.arrivedAt = now;
    call.callerDeadline = now + (arrival.timeLimit.count() > 0 ? arrival.timeLimit : DefaultTimeLimit);
    call.deadline = call.callerDeadline;
    if (route->timeout.count() > 0 && now + route->timeout < call.deadline) {
        call.deadline = now + route->timeout;
        call.routeEndsFirst = true;
    }
    call.promptTokens = arrival.promptTokens;
    call.answerTokens = arrival.answerTokens;
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
    noteRead(found->second);
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

void RelayKernel::Impl::noteRead(Attempt &attempt)
{
    if (attempt.hasEvents) {
        return;
    }
    attempt.hasEvents = true;
    for (const EndpointIndex stage : attempt.stages) {
        endpoints.at(stage).unreadTokens -= attempt.promptTokens;
    }
}

void RelayKernel::Impl::cancelAttempts(Call &call)
{
    const std::vector<AttemptId> open = call.attempts;
    for (const AttemptId attempt : open) {
        driver.cancel(attempt);
        dropAttempt(attempt);
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
        // A status that promises "not run" is for requests of which no sending may have run.
        const bool saysNotRun = base::errorAnswer(kind).ran == base::Ran::No;
        const base::ErrorKind truthful = saysNotRun && call.mayHaveRun ? base::ErrorKind::UpstreamBroken : kind;
        cancelAttempts(call);
        reject(now, id, call.requestId, truthful, detail);
    }
    close(id);
}

void RelayKernel::Impl::forward(Instant, Call &call, AttemptId attempt, int status)
{
    const CallId id = call.id;
    driver.forward(id, attempt);
    driver.record({"answered", call.requestId, endpoints.at(attempts.at(attempt).stages.front()).entry.id, "status " + std::to_string(status)});
    dropAttempt(attempt);
    close(id);
}

void RelayKernel::Impl::exclude(Call &call, EndpointIndex index)
{
    if (std::find(call.excluded.begin(), call.excluded.end(), index) == call.excluded.end()) {
        call.excluded.push_back(index);
    }
}

bool RelayKernel::Impl::mayRepeat(Instant now, Call &call)
{
    constexpr std::uint32_t MostSendings = 5;
    if (call.sendings == 0) {
        return true;
    }
    const bool mayRunAgain = call.route->kind == RequestKind::OnceOnly ? !call.mayHaveRun : call.runs < call.route->maxAttempts;
    return mayRunAgain && call.sendings < MostSendings && retries.take(call.service->name, now);
}

AttemptId RelayKernel::Impl::startAttempt(Instant now, Call &call, Attempt attempt)
{
    const AttemptId id = nextAttempt++;
    attempt.call = call.id;
    attempt.sentAt = now;
    attempt.progressAt = now;
    for (const EndpointIndex stage : attempt.stages) {
        EndpointState &state = endpoints.at(stage);
        ++state.openRequests;
        state.contextTokens += attempt.contextTokens;
        state.unreadTokens += attempt.promptTokens;
    }
    attempts.emplace(id, std::move(attempt));
    call.attempts.push_back(id);
    counters.retries += call.sendings > 0 ? 1 : 0;
    ++call.sendings;
    ++call.runs;
    ++counters.attempts;
    return id;
}

void RelayKernel::Impl::askReport(Instant now, EndpointIndex index, Ms period)
{
    EndpointState &state = endpoints.at(index);
    if (state.reportPending || now < state.reportAskedAt + period || state.entry.accelerator.empty()) {
        return;
    }
    state.reportPending = true;
    state.reportAskedAt = now;
    ++counters.reports;
    driver.readReport(state.entry.id, state.entry.address);
}

void RelayKernel::Impl::expire(Instant now)
{
    std::vector<CallId> due;
    for (const auto &[id, call] : calls) {
        if (now >= call->deadline) {
            due.push_back(id);
        }
    }
    for (const CallId id : due) {
        Call &call = *calls.at(id);
        const bool neverSent = !call.mayHaveRun && call.attempts.empty();
        fail(now, call, neverSent ? base::ErrorKind::DeadlineUnreachable : base::ErrorKind::UpstreamTimeout, "no whole answer within the time limit");
    }
}

void RelayKernel::Impl::checkSuspects(Instant now)
{
    for (EndpointIndex i = 0; i < endpoints.size(); ++i) {
        EndpointState &state = endpoints.at(i);
        if (state.listed && state.suspectUntil.count() != 0 && now >= state.suspectUntil) {
            askReport(now, i);
        }
    }
}

void RelayKernel::Impl::checkSlow(Instant now)
{
    for (EndpointIndex i = 0; i < endpoints.size(); ++i) {
        const EndpointState &state = endpoints.at(i);
        if (state.listed && state.slowness >= LeastSlowness && now >= state.reportedAt + SlowPeriod) {
            askReport(now, i, SlowPeriod);
        }
    }
}

void RelayKernel::Impl::takeForSilent(Instant now, EndpointIndex index, const std::string &requestId, const std::string &evidence)
{
    endpoints.suspect(index, now);
    peers.expedite();
    driver.record({"endpoint_silent", requestId, endpoints.at(index).entry.id, evidence});
    moveStreams(now);
}

void RelayKernel::Impl::onDigest(Instant now, const wire::RelayDigest &digest)
{
    peers.onDigest(digest, now);
    retries.setInstances(peers.instances());
    for (const wire::SilentEndpoint &silent : digest.silent) {
        const auto index = endpoints.findHash(silent.endpoint);
        if (!index) {
            continue;
        }
        const EndpointState &state = endpoints.at(*index);
        const bool isNews = state.suspectUntil.count() == 0 && state.entry.incarnation == silent.incarnation && now >= state.reportedAt + OwnWordLife;
        if (state.listed && isNews) {
            // The other may be the one that is cut off: new work keeps away for the time of a question.
            endpoints.pause(*index, now);
            askReport(now, *index);
        }
    }
    for (const wire::SlowEndpoint &slow : digest.slow) {
        const auto index = endpoints.findHash(slow.endpoint);
        if (index && now >= endpoints.at(*index).reportedAt + OwnWordLife) {
            endpoints.at(*index).slowness = slow.slowness;
            endpoints.at(*index).reportedAt = std::max(endpoints.at(*index).reportedAt, now - OwnWordLife);
        }
    }
}

void RelayKernel::Impl::tick(Instant now)
{
    expire(now);
    std::vector<CallId> open;
    open.reserve(calls.size());
    for (const auto &[id, call] : calls) {
        open.push_back(id);
    }
    for (const CallId id : open) {
        const auto found = calls.find(id);
        if (found == calls.end()) {
            continue;
        }
        if (found->second->route->kind == RequestKind::Stream) {
            watchStream(now, *found->second);
        } else {
            hedge(now, *found->second);
        }
    }
    checkSuspects(now);
    checkSlow(now);
    planner.tick(now, config);
    if (const auto digest = peers.dueDigest(now, settings.node, stopping)) {
        driver.sendDigest(peers.addresses(), *digest);
    }
    updateReadiness(now);
    if (stopping) {
        continueStopping(now);
    }
}

void RelayKernel::Impl::updateReadiness(Instant now)
{
    const bool should = !stopping && endpoints.hasList() && configIsCurrent(now, settings.readyConfigAge);
    if (should != ready) {
        ready = should;
        driver.setReady(ready);
        driver.record({ready ? "ready" : "not_ready", "", settings.instance, "configuration " + std::to_string(config ? config->version : 0)});
    }
}

void RelayKernel::Impl::continueStopping(Instant now)
{
    const Instant elapsed = now - stopAt;
    if (!connectionsClosed && elapsed >= CloseConnectionsAfter) {
        connectionsClosed = true;
        driver.closeConnections();
    }
    if (elapsed >= settings.stopTime) {
        while (!calls.empty()) {
            fail(now, *calls.begin()->second, base::ErrorKind::Stopping, "this instance has to stop now");
        }
    }
    if (!exited && calls.empty() && elapsed >= LeastStopTime) {
        exited = true;
        driver.exit();
    }
}

RelayKernel::RelayKernel(RelaySettings settings, RelayDriver &driver)
    : impl_(std::make_unique<Impl>(std::move(settings), driver))
{
}

RelayKernel::~RelayKernel() = default;

void RelayKernel::onTick(Instant now)
{
    impl_->tick(now);
}

void RelayKernel::onSettings(const RelaySettings &settings)
{
    impl_->settings = settings;
    impl_->planner.configure(settings);
    impl_->retries.configure(settings);
}

void RelayKernel::onStop(Instant now)
{
    if (impl_->stopping) {
        return;
    }
    impl_->stopping = true;
    impl_->stopAt = now;
    impl_->driver.record({"stopping", "", impl_->settings.instance, std::to_string(impl_->calls.size()) + " open requests"});
    impl_->planner.release();
    impl_->updateReadiness(now);
}

void RelayKernel::onConfig(Instant now, Instant sentAt, FleetConfigPtr config)
{
    Impl &impl = *impl_;
    if (config && (!impl.config || config->version > impl.config->version)) {
        impl.routes = RouteTable(config);
        impl.config = std::move(config);
        impl.driver.record({"config_in_force", "", impl.settings.instance, "version " + std::to_string(impl.config->version)});
    }
    impl.configSentAt = std::max(impl.configSentAt, sentAt);
    impl.updateReadiness(now);
}

void RelayKernel::onEndpoints(Instant now, const std::vector<EndpointEntry> &entries)
{
    const bool afterOutage = impl_->listedAt.count() != 0 && now - impl_->listedAt > OutageTime;
    impl_->listedAt = now;
    impl_->endpoints.onList(now, entries, afterOutage);
    impl_->updateReadiness(now);
}

void RelayKernel::onInstances(Instant, const std::vector<InstanceEntry> &instances)
{
    impl_->peers.onInstances(instances, impl_->settings.node);
    impl_->retries.setInstances(impl_->peers.instances());
}

void RelayKernel::onDigest(Instant now, const wire::RelayDigest &digest)
{
    impl_->onDigest(now, digest);
}

void RelayKernel::onCall(Instant now, const CallArrival &arrival)
{
    impl_->arrive(now, arrival);
}

void RelayKernel::onCallerGone(Instant, CallId call)
{
    const auto found = impl_->calls.find(call);
    if (found == impl_->calls.end()) {
        return;
    }
    ++impl_->counters.callersGone;
    impl_->driver.record({"caller_gone", found->second->requestId, "", ""});
    impl_->close(call);
}

void RelayKernel::onAnswer(Instant now, AttemptId attempt, const AnswerHead &head)
{
    Call *call = impl_->callOf(attempt);
    if (call == nullptr) {
        return;
    }
    if (call->route->kind == RequestKind::Stream) {
        impl_->onStreamRefused(now, *call, attempt, head);
    } else {
        impl_->onPlainAnswer(now, *call, attempt, head);
    }
}

void RelayKernel::onFailure(Instant now, AttemptId attempt, AttemptFailure failure)
{
    Call *call = impl_->callOf(attempt);
    if (call == nullptr) {
        return;
    }
    const EndpointIndex first = impl_->attempts.at(attempt).stages.front();
    const std::string detail = impl_->endpoints.at(first).entry.id
        + (failure == AttemptFailure::NotSent        ? " could not be reached"
               : failure == AttemptFailure::TimedOut ? " did not answer in time"
                                                     : " broke off");
    impl_->driver.record({"attempt_failed", call->requestId, impl_->endpoints.at(first).entry.id, detail});
    impl_->dropAttempt(attempt);
    impl_->exclude(*call, first);
    if (failure == AttemptFailure::NotSent) {
        --call->runs;
    } else {
        call->mayHaveRun = true;
    }
    if (call->route->kind == RequestKind::Stream) {
        if (failure == AttemptFailure::NotSent) {
            impl_->endpoints.suspect(first, now);
        } else {
            impl_->askReport(now, first);
        }
        impl_->afterStreamFailure(now, *call, detail);
    } else {
        impl_->endpoints.onPlainFailure(first, now);
        impl_->afterPlainFailure(now, *call, failure == AttemptFailure::NotSent ? base::ErrorKind::NoEndpoint : base::ErrorKind::UpstreamBroken, detail);
    }
}

void RelayKernel::onReport(Instant now, const std::string &endpoint, const std::optional<EndpointReport> &report)
{
    const auto index = impl_->endpoints.find(endpoint);
    if (!index) {
        return;
    }
    EndpointState &state = impl_->endpoints.at(*index);
    state.reportPending = false;
    if (!report) {
        if (state.suspectUntil.count() == 0) {
            impl_->takeForSilent(now, *index, "", "no answer to a question for its state");
        } else {
            impl_->endpoints.suspect(*index, now);
        }
        impl_->planner.onReport(now, *index, false);
        return;
    }
    const double slownessBefore = state.slowness;
    impl_->endpoints.onReport(*index, *report, now);
    if ((state.slowness >= LeastSlowness) != (slownessBefore >= LeastSlowness)) {
        const char *const event = state.slowness >= LeastSlowness ? "endpoint_slow" : "endpoint_usual";
        impl_->driver.record({event, "", endpoint, std::to_string(state.slowness) + " times the usual time"});
        impl_->peers.expedite();
    }
    impl_->planner.onReport(now, *index, true);
    for (const StalledRequest &stalled : report->stalled) {
        const auto atFault = impl_->endpoints.findAddress(stalled.address);
        if (atFault && impl_->endpoints.at(*atFault).suspectUntil.count() == 0) {
            impl_->takeForSilent(now, *atFault, stalled.requestId, "requests stall on it, says " + endpoint);
        }
    }
}

void RelayKernel::onOrderAnswer(Instant now, const std::string &endpoint, OrderOutcome outcome)
{
    ++impl_->counters.orders;
    if (const auto index = impl_->endpoints.find(endpoint)) {
        impl_->planner.onOrderAnswer(now, *index, outcome);
    }
}

void RelayKernel::onLeaseRead(Instant now, std::uint64_t revision, const LeaseRecord &record)
{
    impl_->planner.onLeaseRead(now, revision, record);
}

void RelayKernel::onLeaseWritten(Instant now, Instant sentAt, std::uint64_t revision)
{
    impl_->planner.onLeaseWritten(now, sentAt, revision);
}

const RelayCounters &RelayKernel::counters() const
{
    return impl_->counters;
}

std::vector<EndpointView> RelayKernel::endpoints() const
{
    std::vector<EndpointView> views;
    for (EndpointIndex i = 0; i < impl_->endpoints.size(); ++i) {
        const EndpointState &state = impl_->endpoints.at(i);
        const char *const name = !state.listed ? "gone" : state.entry.draining ? "draining" : state.suspectUntil.count() != 0 ? "silent" : "usable";
        views.push_back({state.entry.id, state.entry.service, state.entry.zone, name, state.entry.layers, state.openRequests, state.contextTokens});
    }
    return views;
}

std::uint64_t RelayKernel::configVersion() const
{
    return impl_->config ? impl_->config->version : 0;
}

std::size_t RelayKernel::openCalls() const
{
    return impl_->calls.size();
}

bool RelayKernel::isPlanner(Instant now) const
{
    return impl_->planner.holdsLease(now);
}

} // namespace relay
