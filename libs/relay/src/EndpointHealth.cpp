#include "details/KernelImpl.h"

#include <algorithm>

namespace relay {

namespace {

/// Minimum interval between two requests for the report of a silent endpoint, by verifiers and by the instances that they inform.
constexpr Ms MinReportPeriod{120};
constexpr Ms UserReportPeriod{4000};
/// A slow endpoint's report is requested again once it is older than this, by whichever instance comes first: its digest informs the others.
constexpr Ms SlowReportPeriod{1000};
/// An endpoint gets no new work for this time while its report is awaited.
constexpr Ms ReportHold{350};
/// For this time after an endpoint's own report, what other instances' digests say of the endpoint is ignored.
constexpr Ms OwnReportLifetime{500};
/// An endpoint counts as slow from this multiple of the expected time.
constexpr double MinSlowdown = 1.3;
/// An endpoint that an aggregator reports as silent gets no new work for this time, which is longer than the interval between two digests.
constexpr Ms VerifiedSilenceHold{900};

} // namespace

void RelayKernel::Impl::requestReport(Instant now, EndpointIndex index, Ms period)
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

void RelayKernel::Impl::checkSilentEndpoints(Instant now)
{
    const bool isVerifier = peers.isVerifier(now);
    for (EndpointIndex i = 0; i < endpoints.size(); ++i) {
        EndpointState &state = endpoints.at(i);
        if (state.listed && state.silentCheckAt.count() != 0 && now >= state.silentCheckAt) {
            requestSign(now, i, isVerifier ? MinReportPeriod : UserReportPeriod);
        }
    }
}

void RelayKernel::Impl::checkSlowEndpoints(Instant now)
{
    if (!peers.isVerifier(now)) {
        return;
    }
    for (EndpointIndex i = 0; i < endpoints.size(); ++i) {
        const EndpointState &state = endpoints.at(i);
        if (state.listed && state.slowdown >= MinSlowdown && now >= state.reportedAt + SlowReportPeriod) {
            requestReport(now, i, SlowReportPeriod);
        }
    }
}

void RelayKernel::Impl::markSilent(Instant now, EndpointIndex index, const std::string &requestId, const std::string &evidence)
{
    onFault(now, index);
    endpoints.setSilent(index, now);
    peers.expedite();
    driver.record({"endpoint_silent", requestId, endpoints.at(index).entry.id, evidence});
    moveStreams(now);
    // Streams of other instances pass through it, too, and have to move before their target interval between events is over.
    sendDigests(now);
}

void RelayKernel::Impl::recheckSilentEndpoints(Instant now, const wire::RelayDigest &digest)
{
    for (EndpointIndex i = 0; i < endpoints.size(); ++i) {
        const EndpointState &state = endpoints.at(i);
        if (!state.listed || state.silentCheckAt.count() == 0 || now < state.silentCheckAt) {
            continue;
        }
        const std::uint32_t hash = wire::endpointHash(state.entry.id);
        const bool isStillSilent = std::any_of(digest.silent.begin(), digest.silent.end(), [&](const auto &silent) { return silent.endpoint == hash; });
        if (!isStillSilent) {
            requestReport(now, i);
        }
    }
}

void RelayKernel::Impl::onSilenceReported(Instant now, const wire::RelayDigest &digest, const wire::SilentEndpoint &silent)
{
    const auto index = endpoints.findHash(silent.endpoint);
    if (!index) {
        return;
    }
    const EndpointState &state = endpoints.at(*index);
    const bool isUpdate = state.silentCheckAt.count() == 0 && state.entry.incarnation == silent.incarnation && now >= state.reportedAt + OwnReportLifetime;
    if (!state.listed || !isUpdate) {
        return;
    }
    onFault(now, *index);
    // In a large fleet the aggregators and the instances with requests there ask the endpoint. If all did, it would be flooded when it returns.
    if (digest.scope == wire::DigestScope::Fleet && state.openRequests == 0) {
        return endpoints.hold(*index, now, VerifiedSilenceHold);
    }
    // The other instance itself may be cut off from the network, so the endpoint isn't marked as silent: it only gets no new work until its report
    // can have arrived.
    endpoints.hold(*index, now, ReportHold);
    requestReport(now, *index);
}

void RelayKernel::Impl::onLeaving(EndpointIndex endpoint, std::uint64_t incarnation, const std::string &origin)
{
    if (!endpoints.setLeaving(endpoint, incarnation)) {
        return;
    }
    peers.expedite();
    driver.record({"endpoint_leaving", "", endpoints.at(endpoint).entry.id, "incarnation " + std::to_string(incarnation) + ", " + origin});
}

void RelayKernel::Impl::onSlownessReported(Instant now, const wire::SlowEndpoint &slow)
{
    const auto index = endpoints.findHash(slow.endpoint);
    if (index && now >= endpoints.at(*index).reportedAt + OwnReportLifetime) {
        endpoints.at(*index).slowdown = slow.slowdown;
        endpoints.at(*index).reportedAt = std::max(endpoints.at(*index).reportedAt, now - OwnReportLifetime);
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
        impl_->reach.onFailed(*index, now);
        if (state.silentCheckAt.count() == 0) {
            impl_->markSilent(now, *index, "", "no answer to a question for its state");
        } else {
            impl_->endpoints.setSilent(*index, now);
        }
        impl_->planner.onReport(now, *index, false);
        return;
    }
    impl_->onReceived(now, *index, false);
    const double slowdownBefore = state.slowdown;
    impl_->endpoints.onReport(*index, *report, now);
    if ((state.slowdown >= MinSlowdown) != (slowdownBefore >= MinSlowdown)) {
        const char *const event = state.slowdown >= MinSlowdown ? "endpoint_slow" : "endpoint_usual";
        impl_->driver.record({event, "", endpoint, std::to_string(state.slowdown) + " times the usual time"});
        impl_->peers.expedite();
    }
    if (report->leaving) {
        const std::uint64_t incarnation = report->incarnation == 0 ? state.entry.incarnation : report->incarnation; // A report may state none.
        impl_->onLeaving(*index, incarnation, "in a report to this instance");
    }
    impl_->planner.onReport(now, *index, true);
    for (const StalledRequest &stalled : report->stalled) {
        const auto atFault = impl_->endpoints.findAddress(stalled.address);
        if (atFault && impl_->endpoints.at(*atFault).silentCheckAt.count() == 0) {
            impl_->markSilent(now, *atFault, stalled.requestId, "requests stall on it, says " + endpoint);
        }
    }
}

} // namespace relay
