#pragma once

#include "details/EndpointRegistry.h"
#include "details/PeerLoads.h"
#include "placement/LayerPlanner.h"

#include <map>

namespace relay {

/// Holds the planner's lease, and while it is held, orders empty endpoints to load layers.
class PlannerDuty
{
public:
    PlannerDuty(EndpointRegistry &endpoints, const PeerLoads &loads, RelayDriver &driver);

    void configure(const RelaySettings &settings);

    /// Renews the lease, or takes it if this instance is one of those that may, and sends what is due. Few may, so that the writes at the end
    /// of a lease don't grow with the fleet.
    void tick(Instant now, const FleetConfigPtr &config, bool mayTakeLease);
    void onLeaseRead(Instant now, std::uint64_t revision, const LeaseRecord &record);
    void onLeaseWritten(Instant now, Instant sentAt, std::uint64_t revision);
    void onOrderAnswer(Instant now, EndpointIndex index, OrderOutcome outcome);
    void onReport(Instant now, EndpointIndex index, bool answered);
    /// Gives the lease back, so that another instance need not wait for its end.
    void release();

    bool holdsLease(Instant now) const;

private:
    /// An order that was given and not yet seen to be carried out.
    struct Pending {
        placement::LayerRange range;
        std::uint64_t incarnation = 0;
        /// The endpoint is asked for its state then.
        Instant checkAt{0};
        bool accepted = false;
    };

    void keepLease(Instant now, bool mayTakeLease);
    void write(const LeaseRecord &record, std::uint64_t expectedRevision);
    void settlePending(Instant now);
    void orderLayers(Instant now, const Service &service);
    void moveOne(Instant now,
                 const placement::EngineProfile &profile,
                 const std::vector<placement::PlannerEndpoint> &hosts,
                 const std::vector<EndpointIndex> &indices);
    void order(Instant now, EndpointIndex index, placement::LayerRange range, const placement::EngineProfile &profile);

    EndpointRegistry &endpoints_;
    const PeerLoads &loads_;
    RelayDriver &driver_;
    std::string instance_;
    bool enabled_ = true;
    Ms leaseTime_{0};

    std::uint64_t revision_ = 0;
    LeaseRecord record_;
    /// When this revision was first seen.
    Instant seenAt_{0};
    bool hasRead_ = false;
    bool writing_ = false;
    bool releasing_ = false;
    LeaseRecord written_;
    Instant validUntil_{0};
    Instant nextAction_{0};
    /// A fencing number that an endpoint has refused; nothing more is ordered under it.
    std::uint64_t refusedFence_ = 0;

    std::map<EndpointIndex, Pending> pending_;
    Instant nextPlan_{0};
    Instant nextMove_{0};
    double loadMs_ = 0;
};

} // namespace relay
