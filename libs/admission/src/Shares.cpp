#include "admission/Shares.h"

#include <algorithm>

namespace admission {

namespace {

/// Minimum share of a flow, relative to the share of all work that can be served. Callers are promised a quarter; the rest is for what the measured work may
/// be wrong by.
constexpr double MinRelativeShare = 0.35;

/// Divides the budget among the flows [first, end), all of one priority, after each has got the minimum share. Returns what is left.
double divideAmongTeams(FlowMap::const_iterator first, FlowMap::const_iterator end, double minShare, double budget, std::map<FlowKey, double> &shares)
{
    std::vector<double> demands;
    double total = 0;
    for (auto flow = first; flow != end; ++flow) {
        demands.push_back(flow->second.offered * (1 - minShare));
        total += demands.back();
    }
    const double part = equalPart(demands, budget);
    for (auto flow = first; flow != end; ++flow) {
        const double offered = flow->second.offered;
        const double granted = std::min(offered * (1 - minShare), part);
        shares[flow->first] = offered > 0 ? std::min(1.0, minShare + granted / offered) : 1;
    }
    return std::max(0.0, budget - total);
}

} // namespace

double equalPart(std::vector<double> demands, double budget)
{
    std::sort(demands.begin(), demands.end());
    double part = 0;
    double left = budget;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const double possible = left / static_cast<double>(demands.size() - i);
        if (demands[i] > possible) {
            return possible;
        }
        part = demands[i];
        left -= demands[i];
    }
    return part;
}

std::map<FlowKey, double> divide(const FlowMap &flows, double budget)
{
    // The order by priority; all flows are of one service.
    std::map<int, FlowMap> byPriority;
    double offered = 0;
    for (const auto &[key, work] : flows) {
        byPriority[key.priority][key] = work;
        offered += work.offered;
    }
    std::map<FlowKey, double> shares;
    const double minShare = offered > budget ? MinRelativeShare * std::max(0.0, budget) / offered : MinRelativeShare;
    double left = std::max(0.0, budget - minShare * offered);
    for (const auto &[priority, teams] : byPriority) {
        left = divideAmongTeams(teams.begin(), teams.end(), minShare, left, shares);
    }
    return shares;
}

} // namespace admission
