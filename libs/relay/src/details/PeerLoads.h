#pragma once

#include "admission/Flow.h"
#include "details/DigestRoutes.h"
#include "details/EndpointRegistry.h"
#include "details/LinkShare.h"
#include "details/SumChanges.h"
#include "wire/RelayDigest.h"

#include <map>

namespace relay {

/// Interval between the digests of an instance.
inline constexpr Ms DigestPeriod{600};

/// Estimated load of an endpoint: its open requests, the total of their tokens of context, and the prompt tokens of those that are in prefill.
struct LoadEstimate {
    double openRequests = 0;
    double contextTokens = 0;
    double pendingPrefillTokens = 0;
    /// Prompt tokens that are under way to it over the link between two zones.
    double pendingLinkTokens = 0;
    /// Recent answers to all instances, and failures among them, as far as digests name them.
    double answers = 0;
    double failures = 0;
};

/// A digest that is due, with the mesh addresses of its receivers.
struct DueDigest {
    std::vector<std::string> addresses;
    wire::RelayDigest digest;
};

/// The other instances and the load that they put on the endpoints, as known from their digests.
///
/// Digests may be lost: an instance without a recent digest is assumed to put the mean load of this instance and those with a recent digest on each
/// endpoint. The loads are summed when digests arrive, so that a look-up costs the same in a fleet of any size.
class PeerLoads
{
public:
    explicit PeerLoads(EndpointRegistry &endpoints);

    /// Takes the settings. Called at the start and whenever they change.
    void configure(const RelaySettings &settings);
    /// Takes the platform's list of instances, which includes this one.
    void onInstances(const std::vector<InstanceEntry> &instances);
    /// Takes a digest of another instance; one that is leaving is forgotten.
    void onDigest(const wire::RelayDigest &digest, Instant now);

    /// Returns this instance's digests if they are due. The fields about crashes and the store are left to the caller. Also forgets instances whose
    /// digests have been missing for long.
    std::vector<DueDigest> dueDigests(Instant now, bool leaving);
    /// Makes the next digests due soon, for an update that the others need without delay.
    void expedite();

    /// Estimates the load that all instances together put on an endpoint.
    LoadEstimate loadOn(EndpointIndex index, Instant now) const;

    /// Returns the mean age of the other instances' loads in loadOn(), from when they were determined. Without recent digests it is the age from which on
    /// they are not relied on.
    Instant loadAge(Instant now) const;
    /// Sets the recent work of this instance by flow, which the next digests contain.
    void setOwnFlows(admission::FlowMap flows)
    {
        ownFlows_ = std::move(flows);
    }
    /// Estimates the recent work that all instances together have been offered. An instance without a recent digest counts with the mean of the others.
    admission::FlowMap flows(Instant now) const;

    /// Returns the ids of the instances that read the store for this one, in an order that all instances agree on. This instance is among them if it is
    /// a reader itself. `isStale` tells that its own knowledge is stale. Empty if no instance that isn't stale has been seen lately.
    std::vector<std::string> readers(bool isStale, Instant now) const;
    /// Returns the ids of all other instances.
    std::vector<std::string> otherInstances() const
    {
        return routes_.allInstances();
    }
    /// Returns the ids of instances that may know the list of endpoints before any digest has arrived, in an order that all instances agree on. This
    /// instance is among them if it should read the list itself.
    std::vector<std::string> joinCandidates(Instant now) const;
    /// Returns true if this instance is one of the few that may take the planner's lease, as far as digests tell.
    bool isPlannerCandidate(bool isStale, Instant now) const;

    /// Returns true if all instances exchange their digests directly.
    bool isFullMesh() const
    {
        return routes_.isFullMesh();
    }
    /// Returns true if this instance sums digests for others.
    bool isAggregator(Instant now) const
    {
        return routes_.isAggregator(now);
    }
    /// Returns true if this instance regularly asks silent and slow endpoints for their reports: an aggregator does that for those that use it.
    bool isVerifier(Instant now) const
    {
        return routes_.isFullMesh() || routes_.isLeadingAggregator(now);
    }
    /// Returns true if no other instance has been seen lately.
    bool isAlone(Instant now) const;
    /// Returns the mesh address of another instance; empty if it is unknown.
    std::string addressOf(const std::string &instance) const
    {
        return routes_.addressOf(instance);
    }

    /// Returns the number of instances that share fleet-wide limits, this one included: those known by digests, else the listed ones; none before the
    /// first list.
    std::optional<std::uint32_t> instances(Instant now) const;
    /// Returns the most instances that there may be: those known by digests or the listed ones, whichever are more; none before the first list. An instance
    /// that is cut off from others receives the digests of few of them, but they live.
    std::optional<std::uint32_t> mostInstances(Instant now) const;

private:
    /// The load on one endpoint.
    struct Load {
        EndpointIndex endpoint = 0;
        std::uint32_t openRequests = 0;
        std::uint64_t contextTokens = 0;
        std::uint64_t pendingPrefillTokens = 0;
        std::uint64_t pendingLinkTokens = 0;
        double answers = 0;
        double failures = 0;
    };
    /// The last digest of an instance, or of an aggregator for a zone or the fleet.
    struct Source {
        std::string sender;
        std::string zone;
        std::vector<Load> loads;
        std::uint32_t countedInstances = 0;
        std::uint32_t knownInstances = 0;
        bool isStale = false;
        Instant lastSeen{0};
        admission::FlowMap flows;
    };
    /// Sums of loads, by endpoint.
    struct Totals {
        std::vector<LoadEstimate> loads;
        std::uint32_t countedInstances = 0;
        std::uint32_t knownInstances = 0;
        /// Sum of the times at which the loads of the counted instances were determined.
        std::chrono::duration<double> determinedAtSum{0};
        admission::FlowMap flows;
    };

    /// What another instance has said of the sums that it accepts.
    struct Receiver {
        /// Number of the latest sum that it has from this instance; 0 if it has none.
        std::uint64_t number = 0;
        Instant lastSeen{0};
    };
    /// The sums that this instance sends within one scope, and how much of its link they may use.
    struct SentSums {
        SumSender changes;
        LinkShare share;
    };

    /// Returns true if the digest is recent enough to rely on.
    static bool isFresh(const Source &source, Instant now);
    /// Returns when the loads of the digest were determined, as a mean over the instances that it counts.
    static std::chrono::duration<double> determinedAt(const Source &source);
    /// Returns true if the sum of the zone, which isn't this instance's, is known from an aggregator.
    bool hasZoneSum(const std::string &zone, Instant now) const;
    Source sourceOf(const wire::RelayDigest &digest, const std::vector<wire::EndpointLoad> &loads, Instant now) const;
    /// Takes the loads of a digest whose sender isn't leaving.
    void takeLoads(const wire::RelayDigest &digest, Instant now);
    /// Takes note of the sums that the sender of a digest accepts and has.
    void takeReceived(const wire::RelayDigest &digest, Instant now);
    /// Removes sources without a recent digest.
    void forget(Instant now);
    /// Replaces the sum of a zone or the fleet, unless the known one is as recent and counts more instances.
    static void replaceSum(Source &known, Source received, Instant now);
    /// Adds the loads of a source, or subtracts them if `sign` is -1. Digests overlap in time, so that sums may become negative.
    static void add(Totals &totals, const std::vector<Load> &loads, double sign = 1);
    /// Adds the work of a source's flows likewise.
    static void addFlows(admission::FlowMap &sums, const admission::FlowMap &flows, double sign = 1);
    /// Returns the sum of the other instances whose digests count within the scope, without this instance.
    Totals sumOfOthers(wire::DigestScope scope, Instant now) const;
    /// Returns the loads of all other instances: from the own sum, or from an aggregator's if that counts more instances. Computed again only after a
    /// change.
    const Totals &others(Instant now) const;
    /// Returns the loads of this instance.
    std::vector<Load> ownLoads(Instant now) const;
    /// Creates a digest with the loads of the scope.
    wire::RelayDigest makeDigest(wire::DigestScope scope, bool leaving, Instant now) const;
    /// Returns the loads that are to be sent, by endpoint; their slots are the indices of the endpoints.
    std::vector<wire::EndpointLoad> loadsIn(const Totals &totals) const;
    /// Adds a sum to the digests that are due: its changes for those that accept them, the whole sum for others.
    void addSum(std::vector<DueDigest> &due, const std::vector<std::string> &addresses, wire::RelayDigest sum, SentSums &sent, Ms elapsed);
    /// Adds the digest of an aggregator itself for those that use it without its sums: without its loads if they accept that.
    void addOwn(std::vector<DueDigest> &due, const std::vector<std::string> &addresses, const wire::RelayDigest &own) const;

    EndpointRegistry &endpoints_;
    DigestRoutes routes_;
    std::string ownId_;
    std::string ownZone_;
    std::string ownMeshAddress_;
    std::string ownHandOverAddress_;
    /// The last digests of other instances by id, the sums of other zones by zone, and the sum of the fleet.
    std::map<std::string, Source> peers_;
    std::map<std::string, Source> zoneSums_;
    Source fleetSum_;
    /// Sums from others, with their changes applied.
    SumReceiver receivedSums_;
    /// Those that accept changes of sums, by mesh address.
    std::map<std::string, Receiver> receivers_;
    SentSums fleetSums_;
    SentSums zoneSumsSent_;
    /// Changes of sums are sent and accepted, since the bytes that the link carries are stated.
    bool usesChanges_ = false;
    /// Number of the last sums; 0 before the settings are known. Each process begins with another number, so that no sum of an earlier one is taken for its
    /// own.
    std::uint64_t sumNumber_ = 0;
    /// Loads in this instance's last digest, which the sum of the fleet contains.
    std::vector<Load> sentLoads_;
    /// This instance's flows, and those in its last digest.
    admission::FlowMap ownFlows_;
    admission::FlowMap sentFlows_;
    Instant digestsSentAt_{0};
    bool isExpedited_ = false;
    /// Number of digests sent to all instances so far.
    std::uint64_t sentDigests_ = 0;
    /// Result of others(), valid until then unless a digest arrives before.
    mutable Totals others_;
    mutable Instant othersValidUntil_{0};
};

} // namespace relay
