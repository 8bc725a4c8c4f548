#include "details/KernelImpl.h"

#include <algorithm>

namespace relay {

namespace {

/// An endpoint that was slow is asked again after this time, by whichever instance comes first.
constexpr Ms SlowPeriod{1000};
/// A word of the endpoint itself that is newer than this goes before what others say of it.
constexpr Ms OwnWordLife{500};
constexpr double LeastSlowness = 1.3;
/// A list of endpoints that is older is no news to the others.
constexpr Ms UpdateLifetime{1000};

} // namespace

void RelayKernel::Impl::askReport(Instant now, EndpointIndex index, Ms period)
{
    EndpointState &state = endpoints.at(index);
    if (state.reportPending || now < state.reportRequestedAt + period || state.entry.accelerator.empty()) {
        return;
    }
    state.reportPending = true;
    state.reportRequestedAt = now;
    ++counters.reports;
    driver.readReport(state.entry.id, state.entry.address);
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
        if (state.listed && state.slowdown >= LeastSlowness && now >= state.reportedAt + SlowPeriod) {
            askReport(now, i, SlowPeriod);
        }
    }
}

void RelayKernel::Impl::checkCrashes(Instant now)
{
    for (const wire::CrashReport &strike : crashes.tick(now)) {
        unsentCrashReports.push_back(strike);
        peers.expedite();
        driver.record({"crash_strike", "", std::to_string(strike.fingerprint), "an endpoint crashed on this request"});
    }
}

void RelayKernel::Impl::sendDigest(Instant now)
{
    if (auto digest = peers.dueDigest(now, settings.node, stopping)) {
        digest->crashReports.swap(unsentCrashReports);
        digest->configVersion = known.configVersion;
        digest->endpointsHash = now - known.endpointsAt < UpdateLifetime ? known.endpointsHash : 0;
        digest->endpointsRevision = known.endpointsRevision;
        digest->isStale = StoreDuty::isStale(now, known);
        driver.sendDigest(peers.addresses(), *digest);
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
    storeDuty.onStoreUpdate(digest, settings.node, now, known);
    for (const wire::CrashReport &strike : digest.crashReports) {
        crashes.onCrashReport(strike, now);
    }
    for (const wire::SlowEndpoint &slow : digest.slow) {
        const auto index = endpoints.findHash(slow.endpoint);
        if (index && now >= endpoints.at(*index).reportedAt + OwnWordLife) {
            endpoints.at(*index).slowdown = slow.slowdown;
            endpoints.at(*index).reportedAt = std::max(endpoints.at(*index).reportedAt, now - OwnWordLife);
        }
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
    const double slownessBefore = state.slowdown;
    impl_->endpoints.onReport(*index, *report, now);
    if ((state.slowdown >= LeastSlowness) != (slownessBefore >= LeastSlowness)) {
        const char *const event = state.slowdown >= LeastSlowness ? "endpoint_slow" : "endpoint_usual";
        impl_->driver.record({event, "", endpoint, std::to_string(state.slowdown) + " times the usual time"});
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

} // namespace relay
