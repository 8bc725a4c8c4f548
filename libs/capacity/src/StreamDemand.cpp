#include "capacity/StreamDemand.h"

#include <algorithm>
#include <cmath>

namespace capacity {

namespace {

/// Time constant of the rate. An instance of a large fleet starts a few streams per second, so that a shorter one would follow chance.
constexpr Seconds RateTimeConstant{3};
/// Weight of the latest stream in the mean size and the mean duration.
constexpr double StreamWeight = 0.05;
/// Limits on the duration that counts: one that fails at once, or that hangs, says nothing about when capacity is released.
constexpr Seconds MinDuration{0.2};
constexpr Seconds MaxDuration{10};

double decay(Instant elapsed)
{
    return std::exp(-std::max(0.0, Seconds(elapsed) / RateTimeConstant));
}

} // namespace

void StreamDemand::onStarted(Instant now, double contextTokens)
{
    startsPerSecond_ = startsPerSecond(now) + 1 / RateTimeConstant.count();
    updatedAt_ = now;
    meanContextTokens_ = meanContextTokens_ > 0 ? meanContextTokens_ + StreamWeight * (contextTokens - meanContextTokens_) : contextTokens;
}

void StreamDemand::onEnded(Seconds duration)
{
    meanDuration_ += StreamWeight * (std::clamp(duration, MinDuration, MaxDuration) - meanDuration_);
}

double StreamDemand::startsPerSecond(Instant now) const
{
    return startsPerSecond_ * decay(now - updatedAt_);
}

} // namespace capacity
