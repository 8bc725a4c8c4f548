#include "details/DigestRoutes.h"

#include "base/Hash.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace relay {

namespace {

/// In a fleet with more other instances than this, digests go through aggregators. The traffic of one instance grows with the number of those it exchanges
/// digests with, and may take 4 KB/s.
constexpr std::size_t MaxFullMeshPeers = 24;
/// Number of aggregators that an instance uses at the same time: one may fail without a gap in what the others know.
constexpr std::size_t AggregatorsInUse = 2;
/// If the bytes that a link carries are stated, a zone has at least one aggregator for this many instances, since each of them gets its sums. With 24, the
/// part of a link of 20 Mbit/s didn't carry the changes of 3,000 endpoints in time (design note 0022).
constexpr std::size_t MaxUsersPerAggregator = 16;
/// An aggregator that has not answered for this time is left out.
constexpr Ms AnswerTimeout{1500};
/// An aggregator that was left out is tried again after this time.
constexpr Ms AvoidPeriod{8000};
/// An instance counts as a user of this one for this time after its last digest.
constexpr Ms UseLifetime{2000};
/// An instance that isn't listed is forgotten this long after its last digest.
constexpr Ms NodeLifetime{8000};

std::uint64_t orderOf(const std::string &instance)
{
    return base::mixBits(base::hashOf(instance));
}

} // namespace

void DigestRoutes::configure(const RelaySettings &settings)
{
    ownId_ = settings.node;
    ownZone_ = settings.zone;
    ownOrder_ = orderOf(ownId_);
    sharesUsers_ = settings.linkBytesPerSecond > 0;
}

void DigestRoutes::onInstances(const std::vector<InstanceEntry> &instances)
{
    listedInstances_ = static_cast<std::uint32_t>(instances.size());
    for (auto &[id, node] : nodes_) {
        node.isListed = false;
    }
    for (const InstanceEntry &instance : instances) {
        if (instance.id == ownId_) {
            continue;
        }
        Node &node = nodes_[instance.id];
        node.isListed = true;
        node.order = orderOf(instance.id);
        // What an instance says of itself is newer than the list.
        if (node.receivedAt.count() == 0) {
            node.meshAddress = instance.meshAddress;
            node.zone = instance.zone;
        }
    }
}

void DigestRoutes::onDigest(const wire::RelayDigest &digest, Instant now)
{
    if (digest.instance == ownId_) {
        return;
    }
    const auto [found, isNew] = nodes_.try_emplace(digest.instance);
    Node &node = found->second;
    node.order = orderOf(digest.instance);
    if (!digest.meshAddress.empty()) {
        node.meshAddress = digest.meshAddress;
        node.zone = digest.zone;
    }
    node.isStale = digest.isStale;
    node.receivedAt = now;
    node.awaitedSince = Instant{0};
    node.avoidedUntil = digest.leaving ? now + AvoidPeriod : Instant{0};
    node.zoneSumAt = digest.scope == wire::DigestScope::Zone ? now : node.zoneSumAt;
    for (const wire::Aggregator &aggregator : digest.aggregators) {
        addAggregator(aggregator, digest.zone);
    }
    if (digest.toAggregator) {
        node.usedAt = digest.leaving ? Instant{0} : now;
        node.requestsFleetLoads = digest.requestsFleetLoads;
    }
}

void DigestRoutes::addAggregator(const wire::Aggregator &aggregator, const std::string &zone)
{
    if (aggregator.instance == ownId_ || nodes_.contains(aggregator.instance)) {
        return;
    }
    Node &node = nodes_[aggregator.instance];
    node.meshAddress = aggregator.meshAddress;
    node.zone = zone;
    node.order = orderOf(aggregator.instance);
    // It counts as listed until the next list shows whether it is.
    node.isListed = true;
}

bool DigestRoutes::isFullMesh() const
{
    return nodes_.size() <= MaxFullMeshPeers;
}

bool DigestRoutes::isAggregator(Instant now) const
{
    if (isFullMesh()) {
        return false;
    }
    bool isOnlyOne = true;
    for (const auto &[id, node] : nodes_) {
        if (node.usedAt.count() != 0 && now < node.usedAt + UseLifetime) {
            return true;
        }
        isOnlyOne = isOnlyOne && node.zone != ownZone_;
    }
    return isOnlyOne;
}

bool DigestRoutes::isLive(const Node &node, Instant now)
{
    return node.receivedAt.count() != 0 && now < node.receivedAt + AnswerTimeout;
}

void DigestRoutes::forget(Instant now)
{
    std::erase_if(nodes_, [&](const auto &entry) { return !entry.second.isListed && now >= entry.second.receivedAt + NodeLifetime; });
}

void DigestRoutes::update(Instant now)
{
    aggregatorsByZone_.clear();
    forget(now);
    if (isFullMesh()) {
        return;
    }
    // Only an aggregator sends to those of other zones. Others would take their silence for a failure.
    const bool needsOtherZones = isAggregator(now);
    std::map<std::string, std::vector<NodeMap::value_type *>> instancesByZone;
    for (auto &entry : nodes_) {
        if (needsOtherZones || entry.second.zone == ownZone_) {
            instancesByZone[entry.second.zone].push_back(&entry);
        }
    }
    for (auto &[zone, instances] : instancesByZone) {
        std::sort(instances.begin(), instances.end(), [](const auto *a, const auto *b) { return a->second.order < b->second.order; });
        if (zone == ownZone_) {
            std::vector<std::uint64_t> orders{ownOrder_};
            std::transform(instances.begin(), instances.end(), std::back_inserter(orders), [](const auto *instance) { return instance->second.order; });
            const std::size_t last = std::min(aggregatorsFor(orders.size()), orders.size()) - 1;
            std::nth_element(orders.begin(), orders.begin() + static_cast<std::ptrdiff_t>(last), orders.end());
            lastFirstOrder_ = orders[last];
        }
        aggregatorsByZone_[zone] = choose(instances, zone == ownZone_ ? std::optional(ownOrder_) : std::nullopt, now);
    }
}

DigestRoutes::Aggregators DigestRoutes::choose(const std::vector<NodeMap::value_type *> &instances, std::optional<std::uint64_t> ownOrder, Instant now) const
{
    const std::size_t wanted = aggregatorsFor(instances.size() + (ownOrder ? 1 : 0));
    Aggregators chosen;
    std::size_t live = 0;
    std::size_t awaited = 0;
    for (NodeMap::value_type *instance : instances) {
        Node &node = instance->second;
        if (ownOrder && *ownOrder < node.order) {
            ownOrder.reset();
            ++live;
        }
        if (live >= wanted) {
            break;
        }
        if (now < node.avoidedUntil) {
            continue;
        }
        if (isLive(node, now)) {
            ++live;
            chosen.push_back(instance);
            continue;
        }
        if (node.awaitedSince.count() != 0 && now >= node.awaitedSince + AnswerTimeout) {
            node.avoidedUntil = now + AvoidPeriod;
            node.awaitedSince = Instant{0};
        } else if (awaited < wanted) {
            ++awaited;
            node.awaitedSince = node.awaitedSince.count() == 0 ? now : node.awaitedSince;
            chosen.push_back(instance);
        }
    }
    return chosen;
}

std::size_t DigestRoutes::aggregatorsFor(std::size_t instances) const
{
    return sharesUsers_ ? std::max(AggregatorsInUse, (instances + MaxUsersPerAggregator - 1) / MaxUsersPerAggregator) : AggregatorsInUse;
}

bool DigestRoutes::isLeadingAggregator(Instant now) const
{
    if (!isAggregator(now)) {
        return false;
    }
    const Aggregators aggregators = ownAggregators(now);
    const auto comesFirst = [&](const auto *entry) {
        return entry->second.order < ownOrder_ && isLive(entry->second, now);
    };
    const auto before = static_cast<std::size_t>(std::count_if(aggregators.begin(), aggregators.end(), comesFirst));
    return !sharesUsers_ || before < AggregatorsInUse;
}

DigestRoutes::Aggregators DigestRoutes::ownAggregators(Instant now) const
{
    const auto found = aggregatorsByZone_.find(ownZone_);
    Aggregators aggregators = found == aggregatorsByZone_.end() ? Aggregators{} : found->second;
    std::stable_partition(aggregators.begin(), aggregators.end(), [&](const auto *entry) { return isLive(entry->second, now); });
    return aggregators;
}

std::vector<std::string> DigestRoutes::allAddresses() const
{
    std::vector<std::string> addresses;
    addresses.reserve(nodes_.size());
    for (const auto &[id, node] : nodes_) {
        addresses.push_back(node.meshAddress);
    }
    std::erase(addresses, "");
    return addresses;
}

std::string DigestRoutes::primaryAggregator(Instant now) const
{
    const Aggregators aggregators = ownAggregators(now);
    if (aggregators.empty()) {
        return "";
    }
    return aggregators[primaryOf(aggregators, now)]->second.meshAddress;
}

std::size_t DigestRoutes::primaryOf(const Aggregators &aggregators, Instant now) const
{
    if (!sharesUsers_) {
        return 0;
    }
    // One that takes the place of another for a while may not have the sums of all zones, so that it is asked only if there is no other. Of the rest the
    // highest hash of a pair wins (rendezvous hashing): if an aggregator fails, only its own users change to another one.
    const auto weightOf = [&](const Node &node) {
        return std::tuple(isLive(node, now), isFirst(node.order), base::mixBits(node.order ^ base::mixBits(ownOrder_)));
    };
    std::size_t primary = 0;
    for (std::size_t i = 1; i < aggregators.size(); ++i) {
        if (weightOf(aggregators[i]->second) > weightOf(aggregators[primary]->second)) {
            primary = i;
        }
    }
    return primary;
}

std::vector<std::string> DigestRoutes::secondaryAggregators(Instant now) const
{
    const Aggregators aggregators = ownAggregators(now);
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < aggregators.size(); ++i) {
        if (i != primaryOf(aggregators, now)) {
            addresses.push_back(aggregators[i]->second.meshAddress);
        }
    }
    return addresses;
}

std::vector<wire::Aggregator> DigestRoutes::knownAggregators(Instant now) const
{
    std::vector<wire::Aggregator> known;
    for (const auto *aggregator : ownAggregators(now)) {
        known.push_back({aggregator->first, aggregator->second.meshAddress});
    }
    return known;
}

std::vector<std::string> DigestRoutes::otherZones(Instant now) const
{
    std::vector<std::string> addresses;
    for (const auto &[zone, aggregators] : aggregatorsByZone_) {
        for (const auto *aggregator : aggregators) {
            if (zone != ownZone_) {
                addresses.push_back(aggregator->second.meshAddress);
            }
        }
    }
    // Aggregators that use this one for its zone want its sum, also where this instance would choose others.
    for (const auto &[id, node] : nodes_) {
        const bool isAggregator = node.zoneSumAt.count() != 0 && now < node.zoneSumAt + AnswerTimeout;
        if (isAggregator && node.zone != ownZone_ && std::find(addresses.begin(), addresses.end(), node.meshAddress) == addresses.end()) {
            addresses.push_back(node.meshAddress);
        }
    }
    return addresses;
}

std::vector<std::string> DigestRoutes::users(bool requestFleetLoads, Instant now) const
{
    const Aggregators aggregators = ownAggregators(now);
    std::vector<std::string> addresses;
    for (const auto &entry : nodes_) {
        const Node &node = entry.second;
        const bool isUser = node.usedAt.count() != 0 && now < node.usedAt + UseLifetime;
        // Aggregators that this instance uses itself get its digest anyway.
        const bool getsDigest = !requestFleetLoads && std::find(aggregators.begin(), aggregators.end(), &entry) != aggregators.end();
        if (isUser && node.requestsFleetLoads == requestFleetLoads && !getsDigest) {
            addresses.push_back(node.meshAddress);
        }
    }
    return addresses;
}

std::vector<std::string> DigestRoutes::freshAggregators(Instant now) const
{
    std::vector<std::string> ids;
    for (const auto *aggregator : ownAggregators(now)) {
        if (isLive(aggregator->second, now) && !aggregator->second.isStale) {
            ids.push_back(aggregator->first);
        }
    }
    return ids;
}

std::vector<std::string> DigestRoutes::chosenAggregators(Instant now) const
{
    std::vector<std::string> ids;
    for (const auto *aggregator : ownAggregators(now)) {
        ids.push_back(aggregator->first);
    }
    return ids;
}

std::vector<std::string> DigestRoutes::allInstances() const
{
    std::vector<std::string> ids;
    ids.reserve(nodes_.size());
    for (const auto &[id, node] : nodes_) {
        ids.push_back(id);
    }
    return ids;
}

std::vector<std::string> DigestRoutes::freshAggregatorsElsewhere(Instant now) const
{
    std::vector<std::string> ids;
    for (const auto &[id, node] : nodes_) {
        if (node.zoneSumAt.count() != 0 && now < node.zoneSumAt + AnswerTimeout && !node.isStale) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::string DigestRoutes::addressOf(const std::string &instance) const
{
    const auto found = nodes_.find(instance);
    return found == nodes_.end() ? "" : found->second.meshAddress;
}

} // namespace relay
