#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cstddef>

namespace trefoilport {

/// Bounds the store writes of this instance to its share of a fleet-wide rate. Unused share is saved up for BurstSeconds, so that writes
/// start at once while the fleet is quiet and are batched when it is busy.
class WriteBudget
{
public:
    /// Writes per second of the whole fleet and how many instances share them.
    void configure(double fleetPerSecond, std::size_t instances)
    {
        perSecond_ = fleetPerSecond / static_cast<double>(std::max<std::size_t>(1, instances));
    }

    /// Takes one write; false if the share is used up for now.
    bool tryAcquire(base::Instant now)
    {
        const double elapsed = std::chrono::duration<double>(now - lastRefill_).count();
        lastRefill_ = now;
        saved_ = std::min(std::max(1.0, perSecond_ * BurstSeconds), saved_ + elapsed * perSecond_);
        if (saved_ < 1.0) {
            return false;
        }
        saved_ -= 1.0;
        return true;
    }

private:
    static constexpr double BurstSeconds = 0.25;

    double perSecond_ = 1.0;
    double saved_ = 1.0;
    base::Instant lastRefill_{0};
};

} // namespace trefoilport
