#include "details/KernelImpl.h"

#include <algorithm>

namespace relay {

namespace {

/// A digest names the endpoint list only if the list was known to be current no longer ago than this.
constexpr Ms UpdateLifetime{1000};

} // namespace

void RelayKernel::Impl::sendDigests(Instant now)
{
    std::vector<DueDigest> due = peers.dueDigests(now, stopping);
    if (due.empty()) {
        return;
    }
    const CrashNews news = crashGuard.takeNews(now);
    const admission::ExpectedReturns::News returns = loadAdmission.takeReturns(now);
    for (auto &[addresses, digest] : due) {
        digest.crashReports = news.reports;
        digest.crashRefutations = news.refutations;
        digest.crashProbes = news.probes;
        digest.returning = digest.scope == wire::DigestScope::Instance ? returns.own : returns.all;
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
        digest.isStale = storeDuty.isUnfitReader(now, known);
        driver.sendDigest(addresses, digest);
    }
}

void RelayKernel::Impl::onDigest(Instant now, const wire::RelayDigest &digest)
{
    peers.onDigest(digest, now);
    loadAdmission.onReturns(digest.returning, now);
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
