#include "details/PeerLoads.h"

#include "base/Hash.h"

#include <algorithm>

namespace relay {

namespace {

/// An older digest no longer counts as recent: its loads and its sender's knowledge are not relied on.
constexpr Ms DigestLifetime{2000};
/// Number of instances that read the store for all, and that may take the planner's lease.
constexpr std::size_t ReaderCount = 3;

/// Part of the instance's link that messages between instances may use.
constexpr double MaxMessageShare = 0.1;
/// The number of a process's first sum is chosen between 1 and this.
constexpr std::uint64_t MaxFirstSumNumber = 1ULL << 48;

/// Sorts ids in an order that all instances agree on and that doesn't follow the zones.
void sortByHash(std::vector<std::string> &ids)
{
    std::sort(ids.begin(), ids.end(), [](const auto &a, const auto &b) { return base::mixBits(base::hashOf(a)) < base::mixBits(base::hashOf(b)); });
}

} // namespace

PeerLoads::PeerLoads(EndpointRegistry &endpoints)
    : endpoints_(endpoints)
{
}

void PeerLoads::configure(const RelaySettings &settings)
{
    ownId_ = settings.node;
    ownZone_ = settings.zone;
    ownMeshAddress_ = settings.meshAddress;
    ownHandOverAddress_ = settings.handOverAddress;
    routes_.configure(settings);
    // Sums may use somewhat more than three quarters of what messages may; the rest is for digests of single instances, requests and replies.
    constexpr double FleetSumShare = 0.52;
    constexpr double ZoneSumShare = 0.25;
    const double messageBytes = settings.linkBytesPerSecond * MaxMessageShare;
    usesChanges_ = messageBytes > 0;
    fleetSums_.share.configure(messageBytes * FleetSumShare);
    zoneSumsSent_.share.configure(messageBytes * ZoneSumShare);
    sumNumber_ = sumNumber_ == 0 ? 1 + base::mixBits(settings.seed) % MaxFirstSumNumber : sumNumber_;
}

void PeerLoads::onInstances(const std::vector<InstanceEntry> &instances)
{
    if (routes_.listedInstances() == 0) {
        expedite(); // The others have no digest of this instance yet.
    }
    routes_.onInstances(instances);
}

void PeerLoads::onDigest(const wire::RelayDigest &digest, Instant now)
{
    routes_.onDigest(digest, now);
    othersValidUntil_ = Instant{0};
    takeReceived(digest, now);
    if (digest.leaving) {
        receivedSums_.forget(digest.instance);
        peers_.erase(digest.instance);
        std::erase_if(zoneSums_, [&](const auto &entry) { return entry.second.sender == digest.instance; });
        fleetSum_ = fleetSum_.sender == digest.instance ? Source{} : std::move(fleetSum_);
        return;
    }
    takeLoads(digest, now);
}

void PeerLoads::takeLoads(const wire::RelayDigest &digest, Instant now)
{
    if (digest.scope == wire::DigestScope::Instance) {
        Source &peer = peers_[digest.instance];
        peer = sourceOf(digest, digest.loads, now);
        // What puts no load on endpoints in the digest isn't counted with none: the loads of others would seem to be lower.
        peer.countedInstances = digest.omitsLoads ? 0 : peer.countedInstances;
        return;
    }
    const auto loads = receivedSums_.take(digest, now);
    if (!loads) {
        return;
    }
    Source source = sourceOf(digest, *loads, now);
    if (digest.scope == wire::DigestScope::Fleet) {
        replaceSum(fleetSum_, std::move(source), now);
    } else if (digest.zone != ownZone_) {
        replaceSum(zoneSums_[digest.zone], std::move(source), now);
    }
}

void PeerLoads::takeReceived(const wire::RelayDigest &digest, Instant now)
{
    if (digest.meshAddress.empty()) {
        return; // Only in a small fleet, which exchanges no sums, do digests leave out the address.
    }
    if (!usesChanges_ || !digest.acceptsChanges || digest.leaving) {
        receivers_.erase(digest.meshAddress);
        return;
    }
    Receiver &receiver = receivers_[digest.meshAddress];
    receiver = {0, now};
    const std::uint32_t own = wire::endpointHash(ownId_);
    for (const wire::ReceivedSum &received : digest.receivedSums) {
        receiver.number = received.sender == own ? received.number : receiver.number;
    }
}

PeerLoads::Source PeerLoads::sourceOf(const wire::RelayDigest &digest, const std::vector<wire::EndpointLoad> &loads, Instant now) const
{
    Source source{digest.instance, digest.zone, {}, digest.countedInstances, digest.knownInstances, digest.isStale, now, {}};
    source.loads.reserve(loads.size() + digest.failing.size());
    for (const wire::EndpointLoad &load : loads) {
        if (const auto index = endpoints_.findHash(load.endpoint)) {
            source.loads.push_back({*index, load.openRequests, load.contextTokens, load.pendingPrefillTokens, load.pendingLinkTokens, 0, 0});
        }
    }
    for (const wire::FailingEndpoint &failing : digest.failing) {
        if (const auto index = endpoints_.findHash(failing.endpoint)) {
            source.loads.push_back({*index, 0, 0, 0, 0, failing.answers, failing.failures});
        }
    }
    for (const wire::WorkFlow &flow : digest.flows) {
        admission::add(source.flows[{flow.service, flow.team, static_cast<int>(flow.priority)}], {flow.offered, flow.admitted, flow.congested});
    }
    return source;
}

void PeerLoads::replaceSum(Source &known, Source received, Instant now)
{
    const bool isSameSender = known.sender == received.sender;
    if (isSameSender || !isFresh(known, now) || received.countedInstances >= known.countedInstances) {
        known = std::move(received);
    }
}

bool PeerLoads::isFresh(const Source &source, Instant now)
{
    return source.lastSeen.count() != 0 && now < source.lastSeen + DigestLifetime;
}

bool PeerLoads::hasZoneSum(const std::string &zone, Instant now) const
{
    const auto found = zoneSums_.find(zone);
    return found != zoneSums_.end() && isFresh(found->second, now);
}

void PeerLoads::add(Totals &totals, const std::vector<Load> &loads, double sign)
{
    for (const Load &load : loads) {
        if (load.endpoint >= totals.loads.size()) {
            totals.loads.resize(load.endpoint + 1);
        }
        LoadEstimate &total = totals.loads[load.endpoint];
        total.openRequests += sign * load.openRequests;
        total.contextTokens += sign * static_cast<double>(load.contextTokens);
        total.pendingPrefillTokens += sign * static_cast<double>(load.pendingPrefillTokens);
        total.pendingLinkTokens += sign * static_cast<double>(load.pendingLinkTokens);
        total.answers += sign * load.answers;
        total.failures += sign * load.failures;
    }
}

PeerLoads::Totals PeerLoads::sumOfOthers(wire::DigestScope scope, Instant now) const
{
    Totals totals;
    const auto addSource = [&](const Source &source) {
        totals.knownInstances += source.knownInstances;
        if (isFresh(source, now)) {
            totals.countedInstances += source.countedInstances;
            totals.determinedAtSum += source.countedInstances * determinedAt(source);
            add(totals, source.loads);
            addFlows(totals.flows, source.flows);
        }
    };
    const bool isZone = scope == wire::DigestScope::Zone;
    for (const auto &[id, peer] : peers_) {
        const bool isCountedByZone = peer.zone != ownZone_ && (isZone || hasZoneSum(peer.zone, now));
        if (!isCountedByZone) {
            addSource(peer);
        }
    }
    for (const auto &[zone, sum] : zoneSums_) {
        if (!isZone) {
            addSource(sum);
        }
    }
    return totals;
}

const PeerLoads::Totals &PeerLoads::others(Instant now) const
{
    // Digests that have become too old change the sums at the latest after this time.
    constexpr Ms MaxTotalsAge{100};
    if (now < othersValidUntil_) {
        return others_;
    }
    othersValidUntil_ = now + MaxTotalsAge;
    others_ = sumOfOthers(wire::DigestScope::Fleet, now);
    if (isFresh(fleetSum_, now) && fleetSum_.countedInstances > others_.countedInstances + 1) {
        others_ = {};
        others_.countedInstances = fleetSum_.countedInstances - 1;
        others_.knownInstances = fleetSum_.knownInstances - 1;
        others_.determinedAtSum = others_.countedInstances * determinedAt(fleetSum_);
        add(others_, fleetSum_.loads);
        add(others_, sentLoads_, -1);
        addFlows(others_.flows, fleetSum_.flows);
        addFlows(others_.flows, sentFlows_, -1);
    }
    return others_;
}

void PeerLoads::expedite()
{
    isExpedited_ = true;
}

LoadEstimate PeerLoads::loadOn(EndpointIndex index, Instant now) const
{
    const EndpointState &state = endpoints_.at(index);
    const Totals &sum = others(now);
    LoadEstimate load{static_cast<double>(state.openRequests),
                      state.contextTokens,
                      state.pendingPrefillTokens,
                      state.pendingLinkTokens,
                      state.recent.answers(now),
                      state.recent.failures(now)};
    if (index < sum.loads.size()) {
        const LoadEstimate &total = sum.loads[index];
        load.openRequests += std::max(0.0, total.openRequests);
        load.contextTokens += std::max(0.0, total.contextTokens);
        load.pendingPrefillTokens += std::max(0.0, total.pendingPrefillTokens);
        load.pendingLinkTokens += std::max(0.0, total.pendingLinkTokens);
        load.answers += std::max(0.0, total.answers);
        load.failures += std::max(0.0, total.failures);
    }
    const std::uint32_t counted = sum.countedInstances + 1;
    const double scaleFactor = static_cast<double>(std::max(counted, instances(now).value_or(1))) / counted;
    load.openRequests *= scaleFactor;
    load.contextTokens *= scaleFactor;
    load.pendingPrefillTokens *= scaleFactor;
    load.pendingLinkTokens *= scaleFactor;
    return load;
}

Instant PeerLoads::loadAge(Instant now) const
{
    const Totals &sum = others(now);
    if (sum.countedInstances == 0) {
        return DigestLifetime;
    }
    const std::chrono::duration<double> age = now - sum.determinedAtSum / sum.countedInstances;
    return std::clamp(std::chrono::duration_cast<Instant>(age), Instant{0}, Instant{DigestLifetime});
}

std::chrono::duration<double> PeerLoads::determinedAt(const Source &source)
{
    // A sum contains digests that are half a period old on average.
    const bool isSum = source.countedInstances > 1;
    return source.lastSeen - (isSum ? Instant(DigestPeriod) / 2 : Instant{0});
}

std::vector<std::string> PeerLoads::readers(bool isStale, Instant now) const
{
    std::vector<std::string> ids;
    if (!routes_.isFullMesh()) {
        ids = routes_.freshAggregators(now);
        if (!routes_.isAggregator(now)) {
            return ids;
        }
        const std::vector<std::string> elsewhere = routes_.freshAggregatorsElsewhere(now);
        ids.insert(ids.end(), elsewhere.begin(), elsewhere.end());
    }
    // If all aggregators are cut off from the store, another instance of the zone may not be.
    if (ids.empty()) {
        for (const auto &[id, peer] : peers_) {
            if (isFresh(peer, now) && !peer.isStale && !routes_.addressOf(id).empty()) {
                ids.push_back(id);
            }
        }
    }
    if (ids.empty()) {
        return ids;
    }
    if (!isStale) {
        ids.push_back(ownId_);
    }
    sortByHash(ids);
    ids.resize(std::min(ReaderCount, ids.size()));
    return ids;
}

std::vector<std::string> PeerLoads::joinCandidates(Instant now) const
{
    if (!routes_.isFullMesh()) {
        return routes_.chosenAggregators(now);
    }
    std::vector<std::string> ids = routes_.allInstances();
    if (ids.empty()) {
        return ids;
    }
    ids.push_back(ownId_);
    sortByHash(ids);
    ids.resize(std::min(ReaderCount, ids.size()));
    return ids;
}

bool PeerLoads::isPlannerCandidate(bool isStale, Instant now) const
{
    const std::vector<std::string> ids = readers(isStale, now);
    const bool isReader = std::find(ids.begin(), ids.end(), ownId_) != ids.end();
    return isReader && (routes_.isFullMesh() || routes_.isAggregator(now));
}

bool PeerLoads::isAlone(Instant now) const
{
    const auto isSeen = [&](const auto &entry) {
        return isFresh(entry.second, now);
    };
    return std::none_of(peers_.begin(), peers_.end(), isSeen) && std::none_of(zoneSums_.begin(), zoneSums_.end(), isSeen) && !isFresh(fleetSum_, now);
}

std::optional<std::uint32_t> PeerLoads::instances(Instant now) const
{
    const Totals &sum = others(now);
    if (sum.knownInstances > 0) {
        return sum.knownInstances + 1;
    }
    return routes_.listedInstances() > 0 ? std::optional(routes_.listedInstances()) : std::nullopt;
}

std::optional<std::uint32_t> PeerLoads::mostInstances(Instant now) const
{
    const auto known = instances(now);
    return known ? std::optional(std::max(*known, routes_.listedInstances())) : std::nullopt;
}

} // namespace relay
