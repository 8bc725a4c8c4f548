#include "details/KernelImpl.h"

namespace relay {

namespace {

/// A sign of life of an endpoint that is taken for crashed without proof is looked for once in this period.
constexpr Ms DoubtPeriod{700};

} // namespace

std::string RelayKernel::Impl::suspectText(const Call &call)
{
    std::string text = "last event " + std::to_string(call.lastEvent) + ", signatures";
    for (const std::uint64_t signature : call.signatures) {
        text += " " + std::to_string(signature);
    }
    return text;
}

void RelayKernel::Impl::suspectCrash(Instant now, const Call &call, EndpointIndex endpoint)
{
    // A request that crashes its endpoint does so when it begins to run. If it has had events, also from another endpoint, this one crashed for another reason.
    const bool hasBegun = call.route->kind == RequestKind::Stream && call.lastEvent > 0;
    if (!hasBegun) {
        driver.record({"crash_suspected", call.requestId, endpoints.at(endpoint).entry.id, suspectText(call)});
        crashGuard.onBroken(call.signatures, endpoint, reach.isCutOff(), now);
        requestSign(now, endpoint);
    }
}

void RelayKernel::Impl::suspectLateCrash(Instant now, const Call &call)
{
    if (call.lastEvent > 0) {
        return;
    }
    for (const AttemptId attempt : call.attempts) {
        crashGuard.onBroken(call.signatures, attempts.at(attempt).stages.front(), reach.isCutOff(), now);
    }
}

bool RelayKernel::Impl::isBarred(const Call &call) const
{
    return call.attemptCount > 0 && call.lastEvent == 0 && (call.isProbe || crashGuard.isConvicted(call.signatures));
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

} // namespace relay
