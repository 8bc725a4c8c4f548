#pragma once

#include "trefoilport/Action.h"
#include "trefoilport/Event.h"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilport {

/// Index of an endpoint in the EndpointTable; stays valid for the life of the process.
using EndpointIndex = std::uint32_t;

/// An endpoint and what this instance knows about it.
struct Endpoint {
    EndpointInfo info;
    /// The instance list names the endpoint, or did so until at most MissingGracePeriod ago.
    bool listed = false;
    /// The highest incarnation that was seen to be leaving, valid if leavingSeen; it and earlier ones get no new work.
    std::uint64_t leavingIncarnation = 0;
    bool leavingSeen = false;
    /// Failures since the last load report or new incarnation. Serves as a circuit breaker: while it isn't 0, the circuit is open and the endpoint gets no new
    /// work.
    std::uint32_t failures = 0;
    base::Instant nextProbe{0};
    /// Attempts of this instance in flight at the endpoint.
    std::uint32_t inFlight = 0;
    /// Load from all instances as last reported, and the value of inFlight at that time.
    std::uint32_t reported = 0;
    std::uint32_t inFlightAtReport = 0;
    /// When the entry went missing from the instance list; zero while it is there.
    base::Instant missingSince{0};
};

/// All endpoints that the instance list has ever named, with their load, circuit breaker and leaving state.
class EndpointTable
{
public:
    /// Applies a new instance list. An endpoint that is missing from it stays usable for MissingGracePeriod, since the list lags behind.
    void onList(const std::vector<EndpointInfo> &endpoints, base::Now now, Actions &actions);

    /// Applies a load report, which also closes the endpoint's circuit. The load of an earlier incarnation is ignored.
    void onLoad(const LoadReported &report, Actions &actions);

    /// Marks an incarnation of an endpoint as leaving; only a later incarnation gets work again. Returns true if the endpoint is known and its leaving state
    /// changed. A notice for an unknown endpoint is kept until the list names the endpoint.
    bool markLeaving(const std::string &id, std::uint64_t incarnation, Actions &actions);

    /// Opens the circuit; a load report or a new incarnation closes it.
    void markFailed(EndpointIndex index, base::Now now, Actions &actions);

    /// Marks endpoints that have been missing for longer than MissingGracePeriod as not listed, and probes those whose circuit is open, with exponential
    /// backoff.
    void tick(base::Now now, Actions &actions);

    /// True if new work may be sent to the endpoint.
    bool isUsable(EndpointIndex index) const;

    /// True if the endpoint is usable and can take another call from this instance within capacityPercent of its capacity, which liveInstances instances share.
    bool hasRoom(EndpointIndex index, std::size_t liveInstances, std::uint32_t capacityPercent = 100) const;

    /// Estimated current load: the last report, corrected by the attempts that this instance has started and ended since.
    std::uint32_t load(EndpointIndex index) const;

    /// The index of the endpoint with this id, if it is known.
    std::optional<EndpointIndex> find(const std::string &id) const;

    Endpoint &at(EndpointIndex index)
    {
        return endpoints_[index];
    }

    const Endpoint &at(EndpointIndex index) const
    {
        return endpoints_[index];
    }

    std::size_t size() const
    {
        return endpoints_.size();
    }

    /// Endpoints that serve a model or service, ordered by first layer and id; includes endpoints that are not usable.
    const std::vector<EndpointIndex> &serving(const std::string &name) const;

    /// Leaving notices for gossip.
    std::vector<wire::LeavingNotice> leavingNotices() const;

    /// State for the status report: "up", "leaving", "suspect" (the circuit is open) or "missing" (not listed).
    std::string stateOf(EndpointIndex index) const;

private:
    /// Returns the index of the endpoint, which is added if it is not known.
    EndpointIndex indexFor(const EndpointInfo &info);
    void rebuildServing();

    std::vector<Endpoint> endpoints_;
    std::unordered_map<std::string, EndpointIndex> byId_;
    /// Endpoints by the name of the model or service that they serve.
    std::unordered_map<std::string, std::vector<EndpointIndex>> serving_;
    /// Leaving incarnations by the ids of endpoints that the list has not named yet.
    std::unordered_map<std::string, std::uint64_t> earlyNotices_;
};

} // namespace trefoilport
