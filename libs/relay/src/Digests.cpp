#include "details/KernelImpl.h"

#include <algorithm>

namespace relay {

namespace {

/// A digest names the endpoint list only if the list was known to be current no longer ago than this.
constexpr Ms UpdateLifetime{1000};
/// A sign of life of an endpoint that is taken for crashed without proof is looked for once in this period.
constexpr Ms DoubtPeriod{700};

} // namespace

void RelayKernel::Impl::sendDigests(Instant now)
{
    std::vector<DueDigest> due = peers.dueDigests(now, stopping);
    if (due.empty()) {
        return;
    }
    const CrashNews news = crashGuard.takeNews(now);
    for (auto &[addresses, digest] : due) {
        digest.crashReports = news.reports;
        digest.crashRefutations = news.refutations;
        digest.crashProbes = news.probes;
        if (reach.isInDoubt()) {
            // What this instance finds of endpoints may be due to its own network.
            digest.silent.clear();
            digest.slow.clear();
            digest.failing.clear();
        }
        digest.reachesNoEndpoint = reach.isCutOff();
        digest.limits = limits.reports(digest.scope == wire::DigestScope::Instance, now);
        digest.configVersion = known.configVersion;
        digest.endpointsHash = now - known.endpointsAt < UpdateLifetime ? known.endpointsHash : 0;
        digest.endpointsVersion = known.endpointsVersion;
        digest.isStale = StoreDuty::isStale(now, known);
        driver.sendDigest(addresses, digest);
    }
}

void RelayKernel::Impl::onDigest(Instant now, const wire::RelayDigest &digest)
{
    peers.onDigest(digest, now);
    handOverPeers.onDigest(digest, now);
    for (const wire::SilentEndpoint &silent : digest.silent) {
        onSilenceReported(now, digest, silent);
    }
    for (const wire::LeavingEndpoint &leaving : digest.leavingEndpoints) {
        if (const auto index = endpoints.findHash(leaving.endpoint)) {
            onLeaving(*index, leaving.incarnation, "from " + digest.instance);
        }
    }
    if (digest.scope == wire::DigestScope::Fleet) {
        recheckSilentEndpoints(now, digest);
    }
    storeDuty.onStoreUpdate(digest, now, known);
    onCrashNews(now, digest);
    for (const wire::EndpointLimit &limit : digest.limits) {
        if (limits.onReport(limit, now)) {
            recordLimit(*endpoints.findHash(limit.endpoint), limit.perSecond, "from " + digest.instance);
        }
    }
    for (const wire::SlowEndpoint &slow : digest.slow) {
        onSlownessReported(now, slow);
    }
}

void RelayKernel::Impl::checkCrashes(Instant now)
{
    for (const SettledAttempt &attempt : crashGuard.tick(!reach.isInDoubt(), now)) {
        const std::string &endpoint = endpoints.at(attempt.endpoint).entry.id;
        if (!attempt.sign) {
            driver.record({"crash_unconfirmed", "", endpoint, "a broken attempt is forgotten, since the endpoint has shown no sign of a crash"});
        }
        for (const wire::CrashReport &report : attempt.reports) {
            quarantineKeeper.onConfirmed(report.signature);
            driver.record({"crash_strike",
                           "",
                           std::to_string(report.signature),
                           "crash " + std::to_string(report.crash) + ", " + endpoint
                               + " crashed on this request: " + std::string(base::nameIn(CrashSignNames, *attempt.sign))});
        }
    }
    for (const EndpointIndex endpoint : crashGuard.doubtfulEndpoints()) {
        if (peers.isVerifier(now) || endpoints.at(endpoint).openRequests > 0) {
            requestSign(now, endpoint, DoubtPeriod);
        }
    }
    if (crashGuard.hasNews()) {
        peers.expedite();
    }
}

void RelayKernel::Impl::keepQuarantines(Instant now)
{
    for (const std::uint64_t signature : crashGuard.takeAcquitted()) {
        quarantineKeeper.onAcquitted(signature);
    }
    const QuarantineKeeper::Due due = quarantineKeeper.takeDue(crashGuard.evidence(), now);
    for (const QuarantineRecord &record : due.written) {
        driver.record({"quarantine_kept", "", std::to_string(record.signature), std::to_string(record.crashes.size()) + " crashes, written to the store"});
        driver.writeQuarantine(record);
    }
    for (const std::uint64_t signature : due.removed) {
        driver.record({"quarantine_ended", "", std::to_string(signature), "removed from the store"});
        driver.removeQuarantine(signature);
    }
    if (config && quarantineKeeper.isReadDue(now)) {
        driver.readQuarantines();
    }
}

void RelayKernel::onQuarantines(Instant now, const std::vector<QuarantineRecord> &records)
{
    for (const std::uint64_t old : impl_->quarantineKeeper.onRead(records, impl_->crashGuard.evidence(), now)) {
        impl_->driver.removeQuarantine(old);
    }
    if (!records.empty()) {
        impl_->driver.record({"quarantines_read", "", impl_->settings.instance, std::to_string(records.size()) + " records in the store"});
    }
}

void RelayKernel::onQuarantineWritten(std::uint64_t signature, bool ok)
{
    impl_->quarantineKeeper.onWritten(signature, ok);
}

void RelayKernel::Impl::onCrashNews(Instant now, const wire::RelayDigest &digest)
{
    CrashNews fresh;
    for (const wire::CrashReport &report : digest.crashReports) {
        if (crashGuard.onReport(report, now)) {
            fresh.reports.push_back(report);
            driver.record({"crash_report_taken",
                           "",
                           std::to_string(report.signature),
                           "crash " + std::to_string(report.crash) + (report.inference != 0 ? ", inferred" : "") + ", from " + digest.instance});
        }
    }
    for (const wire::CrashRefutation &refutation : digest.crashRefutations) {
        if (crashGuard.onRefutation(refutation, now)) {
            fresh.refutations.push_back(refutation);
            driver.record({"crash_refutation_taken",
                           "",
                           std::to_string(refutation.signature),
                           "crash " + std::to_string(refutation.crash) + ", from " + digest.instance});
        }
    }
    for (const std::uint64_t signature : digest.crashProbes) {
        if (crashGuard.onProbe(signature, now)) {
            fresh.probes.push_back(signature);
        }
    }
    // An aggregator passes on what is new to it.
    if (peers.isAggregator(now)) {
        crashGuard.addNews(fresh);
    }
    if (crashGuard.hasNews()) {
        peers.expedite();
    }
}

void RelayKernel::Impl::recordLimit(EndpointIndex endpoint, double perSecond, const std::string &origin)
{
    const char *const event = perSecond > 0 ? "limit_named" : "limit_ended";
    driver.record({event, "", endpoints.at(endpoint).entry.id, std::to_string(perSecond) + " requests a second, " + origin});
}

void RelayKernel::Impl::updateLimitShare(Instant now)
{
    constexpr Ms UpdatePeriod{500};
    if (now < shareUpdatedAt + UpdatePeriod) {
        return;
    }
    shareUpdatedAt = now;
    const auto instances = peers.instances(now);
    if (!instances) {
        return limits.setShare(0); // How many share the limits isn't known yet.
    }
    double own = 0;
    double all = 0;
    for (EndpointIndex i = 0; i < endpoints.size(); ++i) {
        own += endpoints.at(i).openRequests;
        all += peers.loadOn(i, now).openRequests;
    }
    // Half of a limit is divided evenly, so that an instance without requests can begin with some; half of it by the requests that each has.
    const double equalShare = 1.0 / *instances;
    limits.setShare(all > 0 ? (equalShare + own / all) / 2 : equalShare);
}

} // namespace relay
