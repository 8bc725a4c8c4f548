#include "details/LoadObserver.h"

#include "base/Hash.h"

#include <algorithm>

namespace trefoilport {

LoadObserver::LoadObserver(const KernelSettings &settings)
    : settings_(settings)
{
}

void LoadObserver::selectObserved(const EndpointTable &table)
{
    observed_.clear();
    rankedEndpointCount_ = table.size();
    for (EndpointIndex index = 0; index < table.size(); ++index) {
        const std::uint64_t endpointHash = base::hashOf(table.at(index).info.id);
        const std::uint64_t own = base::mixBits(base::hashOf(settings_.id, endpointHash));
        const auto ranksHigher = [&](const std::string &member) {
            return base::mixBits(base::hashOf(member, endpointHash)) > own;
        };
        if (std::count_if(members_.begin(), members_.end(), ranksHigher) < settings_.observers) {
            observed_.push_back(index);
        }
    }
}

void LoadObserver::tick(const EndpointTable &table, const Membership &membership, base::Now now, Actions &actions)
{
    if (now.mono < nextPoll_) {
        return;
    }
    nextPoll_ = now.mono + std::chrono::milliseconds(settings_.loadPollMs);
    std::vector<std::string> members = membership.liveMembers();
    if (members != members_ || table.size() != rankedEndpointCount_) {
        members_ = std::move(members);
        selectObserved(table);
    }
    for (const EndpointIndex index : observed_) {
        const Endpoint &endpoint = table.at(index);
        // EndpointTable::tick() probes endpoints whose circuit is open.
        if (endpoint.listed && endpoint.failures == 0) {
            actions.push_back(ProbeEndpoint{endpoint.info.id, endpoint.info.address});
        }
    }
}

} // namespace trefoilport
