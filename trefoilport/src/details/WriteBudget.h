#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cstddef>

namespace trefoilport {

/// Limits the store writes of this instance to an equal part of a fleet-wide rate, as a token bucket. The bucket holds the writes of BurstSeconds, but at least
/// one, so that writes start at once while the load is low and are batched when it is high.
class WriteBudget
{
public:
    /// Sets the write rate of the whole fleet, per second, and the number of instances that divide it evenly; 0 instances count as 1.
    void configure(double fleetPerSecond, std::size_t instances)
    {
        perSecond_ = fleetPerSecond / static_cast<double>(std::max<std::size_t>(1, instances));
    }

    /// Consumes one write if the budget allows it; otherwise returns false.
    bool tryAcquire(base::Instant now)
    {
        const double elapsed = std::chrono::duration<double>(now - lastRefill_).count();
        lastRefill_ = now;
        available_ = std::min(std::max(1.0, perSecond_ * BurstSeconds), available_ + elapsed * perSecond_);
        if (available_ < 1.0) {
            return false;
        }
        available_ -= 1.0;
        return true;
    }

private:
    static constexpr double BurstSeconds = 0.25;

    double perSecond_ = 1.0;
    /// Writes that may start at once.
    double available_ = 1.0;
    base::Instant lastRefill_{0};
};

} // namespace trefoilport
