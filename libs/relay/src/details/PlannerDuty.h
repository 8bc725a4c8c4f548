#pragma once

#include "details/EndpointRegistry.h"
#include "details/PeerLoads.h"
#include "placement/LayerPlanner.h"

#include <map>
#include <optional>

namespace relay {

/// Competes for the planner's lease. While this instance holds the lease, it orders empty endpoints to load layers, and moves endpoints to layers
/// that have become scarce.
class PlannerDuty
{
public:
    PlannerDuty(EndpointRegistry &endpoints, const PeerLoads &loads, RelayDriver &driver);

    /// Takes the settings. Called at the start and whenever they change.
    void configure(const RelaySettings &settings);

    /// Renews the lease, or takes it if it is free and `mayTakeLease` is set, and sends the orders that are due. Only few instances may take the
    /// lease, so that the number of writes at the end of a lease doesn't grow with the fleet.
    void tick(Instant now, const FleetConfigPtr &config, bool mayTakeLease);
    /// Takes the epoch of the store that an answer about anything has named. In a later one than known the lease has to be read again, and it is free only
    /// once a lease of the epoch before has ended: the copy may lack its record.
    void onStoreEpoch(Instant now, std::uint64_t epoch);
    /// Takes the answer to a read of the lease, which may be older than the known state. Revision 0 means that there is no lease.
    void onLeaseRead(Instant now, wire::StoreVersion version, const LeaseRecord &record);
    /// Takes the result of a write that was sent at `sentAt`. Revision 0 means that the write failed or that its outcome is unknown.
    void onLeaseWritten(Instant now, Instant sentAt, wire::StoreVersion version);
    /// Takes an endpoint's answer to an order. A refused fencing number ends the lease of this instance.
    void onOrderAnswer(Instant now, EndpointIndex index, OrderOutcome outcome);
    /// Compares a pending order with the endpoint's report, after the registry has taken it. `answered` is false if the endpoint sent none.
    void onReport(Instant now, EndpointIndex index, bool answered);
    /// Releases the lease, so that another instance need not wait for its end, and stops planning for good.
    void release();
    /// Lets this instance take the lease again after release().
    void resume();

    /// Returns true while this instance may send orders under its lease.
    bool holdsLease(Instant now) const;

private:
    /// An order that was sent and is not yet known to be carried out.
    struct PendingOrder {
        placement::LayerRange range;
        /// Incarnation of the endpoint that the order was sent to.
        std::uint64_t incarnation = 0;
        /// A report is requested from the endpoint from this time on.
        Instant checkAt{0};
        /// Predicted time of the load.
        Ms predictedLoad{0};
        /// The endpoint has confirmed that it takes the order.
        bool accepted = false;
    };
    /// A layer that has been scarce since that time.
    struct ScarceLayer {
        std::uint32_t layer = 0;
        Instant since{0};
        /// The log says so.
        bool isRecorded = false;
    };

    /// Renews, reads or takes the lease when its next action is due.
    void maintainLease(Instant now, bool mayTakeLease);
    /// Returns true if this instance may go on with its lease, as far as the known state of the record tells.
    bool mayRenew(Instant now) const;
    /// Returns true if the record may be replaced by one of this instance.
    bool isLeaseFree(Instant now) const;
    /// Returns a fencing number that is higher than all known ones and all of earlier epochs.
    std::uint64_t nextFence() const;
    /// Takes a lease of this instance that the store has confirmed in that version.
    void adoptLease(std::uint64_t fence, wire::StoreVersion version);
    /// Starts a write of the lease.
    void write(const LeaseRecord &record, std::uint64_t expectedRevision);
    /// Drops pending orders that are carried out or obsolete, and requests the reports that are due for the others.
    void checkPendingOrders(Instant now);
    /// Plans the layers of a service and sends the resulting orders.
    void orderLayers(Instant now, const Service &service);
    /// Orders at most one endpoint to move to other layers. `registryIndices` holds the index in the registry of each planner
    /// endpoint.
    void orderMove(Instant now,
                   const Service &service,
                   const std::vector<placement::PlannerEndpoint> &plannerEndpoints,
                   const std::vector<EndpointIndex> &registryIndices);
    /// Returns a layer of the service that has been scarce for a while, see placement::scarcestLayer(); nothing if none has.
    std::optional<std::uint32_t> lastingScarceLayer(Instant now, const Service &service, const std::vector<placement::PlannerEndpoint> &plannerEndpoints);
    /// Records that a layer has been scarce for a while: with each move that relieves it, and once if there is none.
    void recordScarcity(const Service &service, std::uint32_t layer, bool isRelieved);
    /// Sends an order to load a range.
    void orderRange(Instant now, EndpointIndex index, placement::LayerRange range, const placement::EngineProfile &profile);

    EndpointRegistry &endpoints_;
    const PeerLoads &loads_;
    RelayDriver &driver_;
    std::string instance_;
    bool enabled_ = true;
    Ms leaseLifetime_{0};

    /// The last known state of the lease and its version in the store; revision 0 if there is no lease.
    wire::StoreVersion version_;
    LeaseRecord record_;
    /// When this version was first seen.
    Instant seenAt_{0};
    /// The state above was read from the store and isn't outdated.
    bool hasReadLease_ = false;
    /// A write of written_ is under way.
    bool writing_ = false;
    /// release() was called: the lease is given up for good.
    bool releasing_ = false;
    LeaseRecord written_;
    /// Epoch of the store as it was known when written_ was sent.
    std::uint64_t writtenEpoch_ = 0;
    /// Fencing number of this instance's latest lease, and the epoch of the store that has confirmed it last; 0 before the first. The record may show other
    /// numbers after a restore.
    std::uint64_t heldFence_ = 0;
    std::uint64_t heldEpoch_ = 0;
    /// Orders are sent under the lease until then.
    Instant validUntil_{0};
    /// The latest epoch of the store that is known; none before the first answer.
    std::optional<std::uint64_t> epoch_;
    /// When a later epoch than the first was first seen; zero if none was.
    Instant restoredAt_{0};
    /// Earliest time of the next read or write of the lease.
    Instant nextLeaseAction_{0};
    /// The highest fencing number that an endpoint has refused; no more orders are sent under it.
    std::uint64_t refusedFence_ = 0;

    std::map<EndpointIndex, PendingOrder> pending_;
    /// The layer of each service that became scarce first of those that are, if any is.
    std::map<std::string, ScarceLayer> scarceLayers_;
    Instant nextPlan_{0};
    Instant nextMove_{0};
};

} // namespace relay
