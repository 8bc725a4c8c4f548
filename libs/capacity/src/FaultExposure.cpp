#include "capacity/FaultExposure.h"

#include <algorithm>
#include <cmath>

namespace capacity {

namespace {

/// Time constant of the rate of faults. Faults of the past say little about those to come, so that it spans several of them.
constexpr Seconds FaultTimeConstant{10};
/// Cost of a pause in a stream, as time for its whole response: a pause above the target makes the response late, which costs its caller most of its value.
constexpr double PauseCostMs = 4000;

/// Rate below which faults count as rare. A single fault is above it for some 20 s.
constexpr double MaxCalmFaultsPerSecond = 0.01;

} // namespace

void FaultExposure::onFault(Instant now)
{
    faultsPerSecond_ = faultsPerSecond(now) + 1 / FaultTimeConstant.count();
    updatedAt_ = now;
}

double FaultExposure::faultsPerSecond(Instant now) const
{
    return faultsPerSecond_ * std::exp(-std::max(0.0, Seconds(now - updatedAt_) / FaultTimeConstant));
}

double FaultExposure::stageCostMs(Instant now, double endpoints, Seconds streamDuration) const
{
    if (endpoints <= 0) {
        return 0;
    }
    const double faults = std::min(1.0, faultsPerSecond(now) / endpoints * streamDuration.count());
    return PauseCostMs * faults;
}

bool FaultExposure::isCalm(Instant now) const
{
    return faultsPerSecond(now) <= MaxCalmFaultsPerSecond;
}

} // namespace capacity
