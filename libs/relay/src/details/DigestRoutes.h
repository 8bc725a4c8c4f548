#pragma once

#include "relay/RelayKernel.h"

#include <map>
#include <optional>

namespace relay {

/// Decides to whom an instance sends its digests, so that the number of messages of one instance doesn't grow with the fleet.
///
/// In a small fleet, every instance sends its digest to all others. In a larger one, each instance sends it to the few aggregators of its
/// availability zone. An aggregator sends the sum of its zone to the aggregators of the other zones, and the sum of the fleet to the instances that use
/// it. Nobody appoints the aggregators: all instances order those of a zone in the same way and use the first ones that answer, and whoever is
/// used is an aggregator. Instances that disagree for a while use more of them than needed.
class DigestRoutes
{
public:
    /// Sets the id and the availability zone of this instance.
    void configure(const RelaySettings &settings);

    /// Takes the platform's list of instances, which includes this one.
    void onInstances(const std::vector<InstanceEntry> &instances);
    /// Takes the address, the zone and the requests of a digest's sender.
    void onDigest(const wire::RelayDigest &digest, Instant now);

    /// Returns true while the known instances are few enough for each of them to send its digest to all others.
    bool isFullMesh() const;
    /// Returns true if this instance is an aggregator: others use it, or it is the only one of its zone.
    bool isAggregator(Instant now) const;

    /// Returns true if this instance is one of the few aggregators that come first in its zone: all of them, unless a zone has more than usual for its size.
    bool isLeadingAggregator(Instant now) const;

    /// Returns true if this instance should ask for the sum of the fleet: it isn't an aggregator, or only one in place of others, which may lack sums.
    bool needsFleetLoads(Instant now) const
    {
        return !isAggregator(now) || (sharesUsers_ && !isFirst(ownOrder_));
    }

    /// Chooses the aggregators of all zones again. Those that have not answered in time are left out for a while. Call it once before each digest.
    void update(Instant now);

    /// Returns the mesh addresses of all other instances.
    std::vector<std::string> allAddresses() const;
    /// Returns the address of the aggregator that this instance asks for the loads of the fleet; empty if it has none.
    std::string primaryAggregator(Instant now) const;
    /// Returns the addresses of the other aggregators of this instance's zone that get its digest.
    std::vector<std::string> secondaryAggregators(Instant now) const;
    /// Returns the aggregators of this instance's zone that this instance uses.
    std::vector<wire::Aggregator> knownAggregators(Instant now) const;
    /// Returns the addresses of the aggregators of the other zones.
    std::vector<std::string> otherZones(Instant now) const;
    /// Returns the addresses of the instances that use this one as an aggregator: those that request the loads of the fleet, or those that don't.
    std::vector<std::string> users(bool requestFleetLoads, Instant now) const;

    /// Returns the ids of the aggregators of this instance's zone that have lately answered and whose knowledge of the store isn't stale.
    std::vector<std::string> freshAggregators(Instant now) const;
    /// Returns the ids of the aggregators of this instance's zone that it uses, also of those that have not answered yet.
    std::vector<std::string> chosenAggregators(Instant now) const;
    /// Returns the ids of all other instances.
    std::vector<std::string> allInstances() const;
    /// Returns the ids of other aggregators that have lately sent the sum of their zone and whose knowledge of the store isn't stale.
    std::vector<std::string> freshAggregatorsElsewhere(Instant now) const;

    /// Returns the mesh address of another instance; empty if it is unknown.
    std::string addressOf(const std::string &instance) const;
    /// Returns the number of listed instances, this one included; 0 before the first list.
    std::uint32_t listedInstances() const
    {
        return listedInstances_;
    }

private:
    /// Another instance.
    struct Node {
        std::string meshAddress;
        std::string zone;
        /// Position among the instances of its zone. All instances compute the same one.
        std::uint64_t order = 0;
        bool isListed = false;
        /// Its knowledge of the store was stale when it sent its last digest.
        bool isStale = false;
        /// When its last digest arrived, and its last one with the sum of a zone.
        Instant receivedAt{0};
        Instant zoneSumAt{0};
        /// When it last used this instance as an aggregator, and whether it requested the loads of the fleet.
        Instant usedAt{0};
        bool requestsFleetLoads = false;
        /// This instance has used it since then without an answer; zero if it has answered or isn't used.
        Instant awaitedSince{0};
        /// It isn't used as an aggregator until then.
        Instant avoidedUntil{0};
    };
    using NodeMap = std::map<std::string, Node>;
    /// Aggregators of one zone, in their order. The elements of the map stay where they are.
    using Aggregators = std::vector<const NodeMap::value_type *>;

    /// Takes an aggregator of a zone that another instance has named.
    void addAggregator(const wire::Aggregator &aggregator, const std::string &zone);
    /// Returns true if the instance has answered lately.
    static bool isLive(const Node &node, Instant now);
    /// Chooses the aggregators of one zone from its other instances, which are in their order. `ownOrder` is the position of this instance if the
    /// zone is its own: it counts as one of the aggregators if it comes early enough.
    Aggregators choose(const std::vector<NodeMap::value_type *> &instances, std::optional<std::uint64_t> ownOrder, Instant now) const;
    /// Returns how many aggregators a zone of that many instances uses at the same time.
    std::size_t aggregatorsFor(std::size_t instances) const;
    /// Returns the aggregators of this instance's zone; the first live one comes first.
    Aggregators ownAggregators(Instant now) const;
    /// Returns true if that position is among the first in this instance's zone, which are its aggregators while all answer.
    bool isFirst(std::uint64_t order) const
    {
        return order <= lastFirstOrder_;
    }
    /// Returns which of this instance's aggregators it asks for the loads of the fleet; the list isn't empty, and the live ones come first.
    std::size_t primaryOf(const Aggregators &aggregators, Instant now) const;
    /// Forgets instances that are not listed and have sent nothing lately.
    void forget(Instant now);

    std::string ownId_;
    std::string ownZone_;
    std::uint64_t ownOrder_ = 0;
    std::uint32_t listedInstances_ = 0;
    /// The last position for which isFirst() is true.
    std::uint64_t lastFirstOrder_ = 0;
    /// The users of a zone divide among its aggregators, since the bytes that a link carries are stated. Otherwise all use the first one that answers.
    bool sharesUsers_ = false;
    NodeMap nodes_;
    std::map<std::string, Aggregators> aggregatorsByZone_;
};

} // namespace relay
