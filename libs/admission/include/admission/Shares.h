#pragma once

#include "admission/Flow.h"

#include <vector>

namespace admission {

/// Divides a budget of work among the flows of one service. Each flow gets its minimum share first; what remains goes to the priorities in strict order, and
/// within a priority to the teams in equal parts. Returns the share of each flow's offered work that is admitted, from 0 to 1.
std::map<FlowKey, double> divide(const FlowMap &flows, double budget);

/// Returns the level up to which all demands are met in full if the budget is divided in equal parts, so that no one gets more than it demands.
double equalPart(std::vector<double> demands, double budget);

} // namespace admission
