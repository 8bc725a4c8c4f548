#include "details/PeerLoads.h"

#include <algorithm>

namespace relay {

namespace {

/// Minimum interval between two digests that updates expedite.
constexpr Ms MinDigestInterval{30};
/// An instance that was last seen longer ago is forgotten and no longer counts among those that share limits.
constexpr Ms PeerLifetime{8000};
/// Slowdown from which on a digest names an endpoint as slow.
constexpr double MinReportedSlowdown = 1.3;
/// How long after an endpoint's report a digest repeats its slowdown.
constexpr Ms SlowdownLifetime{1200};
/// Number of recent failures from which on a digest names an endpoint as failing.
constexpr double MinReportedFailures = 0.25;
/// Work below this, in typical requests, is not reported: the digest would round it to 0.
constexpr double MinReportedWork = 0.005;
/// One of this many digests to all instances names the address and the zone of the sender: only those that have not read the sender's entry in the
/// list of instances need them.
constexpr std::uint64_t AddressPeriod = 4;
/// Returns a count or a number of tokens, which may be negative in a sum since digests overlap in time.
std::uint64_t positive(double count)
{
    return static_cast<std::uint64_t>(std::max(0.0, count));
}

} // namespace

std::vector<PeerLoads::Load> PeerLoads::ownLoads(Instant now) const
{
    std::vector<Load> loads;
    for (EndpointIndex i = 0; i < endpoints_.size(); ++i) {
        const EndpointState &state = endpoints_.at(i);
        const double failures = state.recent.failures(now);
        const bool hasFailed = failures >= MinReportedFailures;
        if (state.openRequests > 0 || hasFailed) {
            loads.push_back({i,
                             state.openRequests,
                             static_cast<std::uint64_t>(std::max(0.0, state.contextTokens)),
                             static_cast<std::uint64_t>(std::max(0.0, state.pendingPrefillTokens)),
                             static_cast<std::uint64_t>(std::max(0.0, state.pendingLinkTokens)),
                             hasFailed ? state.recent.answers(now) : 0,
                             hasFailed ? failures : 0});
        }
    }
    return loads;
}

wire::RelayDigest PeerLoads::makeDigest(wire::DigestScope scope, bool leaving, Instant now) const
{
    wire::RelayDigest digest;
    digest.instance = ownId_;
    digest.leaving = leaving;
    digest.meshAddress = ownMeshAddress_;
    digest.handOverAddress = ownHandOverAddress_;
    digest.zone = ownZone_;
    digest.scope = scope;
    digest.acceptsChanges = usesChanges_;
    for (EndpointIndex i = 0; i < endpoints_.size(); ++i) {
        const EndpointState &state = endpoints_.at(i);
        if (state.listed && state.entry.draining && !state.listedAsDraining) {
            digest.leavingEndpoints.push_back({state.idHash, state.entry.incarnation});
        }
        if (state.listed && state.silentCheckAt.count() != 0) {
            digest.silent.push_back({state.idHash, state.entry.incarnation});
        } else if (state.listed && state.slowdown >= MinReportedSlowdown && now < state.reportedAt + SlowdownLifetime) {
            digest.slow.push_back({state.idHash, state.slowdown});
        }
    }
    Totals totals = scope == wire::DigestScope::Instance ? Totals{} : sumOfOthers(scope, now);
    add(totals, sentLoads_);
    addFlows(totals.flows, sentFlows_);
    for (const auto &[key, work] : totals.flows) {
        if (work.offered >= MinReportedWork) {
            digest.flows.push_back({key.service, key.team, static_cast<std::uint32_t>(key.priority), work.offered, work.admitted, work.congested});
        }
    }
    digest.countedInstances = totals.countedInstances + 1;
    digest.knownInstances = totals.knownInstances + 1;
    digest.loads = loadsIn(totals);
    for (EndpointIndex i = 0; i < totals.loads.size(); ++i) {
        const LoadEstimate &load = totals.loads[i];
        if (load.failures >= MinReportedFailures) {
            digest.failing.push_back({endpoints_.at(i).idHash, load.answers, load.failures});
        }
    }
    return digest;
}

std::vector<wire::EndpointLoad> PeerLoads::loadsIn(const Totals &totals) const
{
    std::vector<wire::EndpointLoad> loads;
    for (EndpointIndex i = 0; i < totals.loads.size(); ++i) {
        const LoadEstimate &load = totals.loads[i];
        if (load.openRequests > 0) {
            loads.push_back({endpoints_.at(i).idHash,
                             static_cast<std::uint32_t>(load.openRequests),
                             positive(load.contextTokens),
                             positive(load.pendingPrefillTokens),
                             positive(load.pendingLinkTokens),
                             i});
        }
    }
    return loads;
}

void PeerLoads::addSum(std::vector<DueDigest> &due, const std::vector<std::string> &addresses, wire::RelayDigest sum, SentSums &sent, Ms elapsed)
{
    std::vector<std::string> others;
    std::map<std::uint64_t, std::vector<std::string>> byKnownNumber;
    for (const std::string &address : addresses) {
        const auto found = receivers_.find(address);
        if (found == receivers_.end()) {
            others.push_back(address);
        } else {
            byKnownNumber[sent.changes.knows(found->second.number) ? found->second.number : 0].push_back(address);
        }
    }
    if (!byKnownNumber.empty()) {
        sent.changes.publish(sum.loads, sumNumber_, sent.share.changesFor(addresses.size(), elapsed));
    }
    for (auto &[number, receivers] : byKnownNumber) {
        wire::RelayDigest changes = sum;
        changes.loads = sent.changes.changesSince(number);
        changes.sumNumber = sumNumber_;
        changes.sumBase = number;
        sent.share.onSent(changes, receivers.size());
        due.push_back({std::move(receivers), std::move(changes)});
    }
    if (!others.empty()) {
        due.push_back({std::move(others), std::move(sum)});
    }
}

void PeerLoads::addOwn(std::vector<DueDigest> &due, const std::vector<std::string> &addresses, const wire::RelayDigest &own) const
{
    std::vector<std::string> accepting = addresses;
    std::vector<std::string> others;
    std::erase_if(accepting, [&](const std::string &address) {
        if (!receivers_.contains(address)) {
            others.push_back(address);
            return true;
        }
        return false;
    });
    if (!others.empty()) {
        due.push_back({std::move(others), own});
    }
    if (!accepting.empty()) {
        wire::RelayDigest withoutLoads = own;
        withoutLoads.loads.clear();
        withoutLoads.omitsLoads = true;
        due.push_back({std::move(accepting), std::move(withoutLoads)});
    }
}

void PeerLoads::forget(Instant now)
{
    for (auto *sources : {&peers_, &zoneSums_}) {
        std::erase_if(*sources, [&](const auto &entry) { return now >= entry.second.lastSeen + PeerLifetime; });
    }
    std::erase_if(receivers_, [&](const auto &entry) { return now >= entry.second.lastSeen + PeerLifetime; });
    receivedSums_.forgetBefore(now - PeerLifetime);
}

std::vector<DueDigest> PeerLoads::dueDigests(Instant now, bool leaving)
{
    if (now < digestsSentAt_ + (isExpedited_ ? MinDigestInterval : DigestPeriod)) {
        return {};
    }
    // Ticks come late on a busy machine.
    const Ms elapsed = std::min(2 * DigestPeriod, std::chrono::duration_cast<Ms>(now - digestsSentAt_));
    digestsSentAt_ = now;
    isExpedited_ = false;
    othersValidUntil_ = Instant{0};
    forget(now);
    routes_.update(now);
    sentLoads_ = ownLoads(now);
    sentFlows_ = ownFlows_;
    std::vector<DueDigest> due;
    const auto addDigest = [&](std::vector<std::string> addresses, wire::RelayDigest digest) {
        if (!addresses.empty()) {
            due.push_back({std::move(addresses), std::move(digest)});
        }
    };
    wire::RelayDigest own = makeDigest(wire::DigestScope::Instance, leaving, now);
    if (routes_.isFullMesh()) {
        if (sentDigests_++ % AddressPeriod != 0) {
            own.meshAddress.clear();
            own.handOverAddress.clear();
            own.zone.clear();
        }
        addDigest(routes_.allAddresses(), std::move(own));
        return due;
    }
    ++sumNumber_;
    const bool isAggregator = routes_.isAggregator(now);
    if (isAggregator) {
        wire::RelayDigest fleet = makeDigest(wire::DigestScope::Fleet, leaving, now);
        fleet.aggregators = routes_.knownAggregators(now);
        addSum(due, routes_.users(true, now), std::move(fleet), fleetSums_, elapsed);
        addOwn(due, routes_.users(false, now), own);
        wire::RelayDigest zone = makeDigest(wire::DigestScope::Zone, leaving, now);
        zone.receivedSums = receivedSums_.received();
        addSum(due, routes_.otherZones(now), std::move(zone), zoneSumsSent_, elapsed);
    }
    own.toAggregator = true;
    own.receivedSums = receivedSums_.received();
    addDigest(routes_.secondaryAggregators(now), own);
    own.requestsFleetLoads = routes_.needsFleetLoads(now);
    if (const std::string primary = routes_.primaryAggregator(now); !primary.empty()) {
        addDigest({primary}, std::move(own));
    }
    return due;
}

} // namespace relay
