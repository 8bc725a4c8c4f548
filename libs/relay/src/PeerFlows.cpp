#include "details/PeerLoads.h"

#include <algorithm>

namespace relay {

void PeerLoads::addFlows(admission::FlowMap &sums, const admission::FlowMap &flows, double sign)
{
    for (const auto &[key, work] : flows) {
        admission::add(sums[key], work, sign);
    }
}

admission::FlowMap PeerLoads::flows(Instant now) const
{
    const Totals &sum = others(now);
    admission::FlowMap flows = ownFlows_;
    addFlows(flows, sum.flows);
    const std::uint32_t counted = sum.countedInstances + 1;
    const double scaleFactor = static_cast<double>(std::max(counted, instances(now).value_or(1))) / counted;
    for (auto &[key, work] : flows) {
        const auto scaled = [&](double part) {
            return scaleFactor * std::max(0.0, part);
        };
        work = {scaled(work.offered), scaled(work.admitted), scaled(work.congested)};
    }
    return flows;
}

} // namespace relay
