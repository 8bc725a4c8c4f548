#pragma once

#include "details/EndpointTable.h"
#include "details/Membership.h"

#include <string>
#include <vector>

namespace trefoilport {

/// Polls the load of the endpoints that are assigned to this instance. Each endpoint is polled by a few instances, however large the fleet is.
///
/// Rendezvous hashing ranks the live instances for each endpoint, and the first `observers` of them poll it. The assignment costs O(endpoints × members) and is
/// computed again only when the live members or the number of endpoints change.
class LoadObserver
{
public:
    /// The settings must outlive the observer.
    explicit LoadObserver(const KernelSettings &settings);

    /// Probes the assigned endpoints once per loadPollMs.
    void tick(const EndpointTable &table, const Membership &membership, base::Now now, Actions &actions);

private:
    /// Computes which endpoints are assigned to this instance.
    void selectObserved(const EndpointTable &table);

    const KernelSettings &settings_;
    /// Live members that the current assignment was computed for.
    std::vector<std::string> members_;
    /// Number of endpoints that the current assignment was computed for.
    std::size_t rankedEndpointCount_ = 0;
    /// Endpoints that are assigned to this instance.
    std::vector<EndpointIndex> observed_;
    base::Instant nextPoll_{0};
};

} // namespace trefoilport
