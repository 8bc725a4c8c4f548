#pragma once

#include "relay/FleetConfig.h"

#include <algorithm>
#include <cmath>

namespace relay {

/// The share of the requests sent to an endpoint lately that it refused without running them, smoothed over requests and over time.
///
/// An endpoint that refuses now and then among many that it takes is sound, and pausing it would lose what it would take; one that refuses most is full,
/// leaving or out of order. Where requests are rare, the latest one decides.
class RefusalShare
{
public:
    using Instant = std::chrono::nanoseconds;

    /// Takes what became of a request at that time.
    void onOutcome(bool isRefused, Instant now)
    {
        const double age = std::chrono::duration<double>(now - updatedAt_) / HalfLife;
        const double weight = std::max(MinWeight, 1 - std::exp2(-std::max(0.0, age)));
        share_ += weight * ((isRefused ? 1 : 0) - share_);
        updatedAt_ = now;
    }

    /// Returns whether it has refused half of the last requests or more.
    bool isMost() const
    {
        return share_ >= MostShare;
    }

    /// Returns whether it has refused so many of them that they are more than chance.
    bool isHigh() const
    {
        return share_ >= HighShare;
    }

    /// Returns whether it has refused hardly any of them.
    bool isRare() const
    {
        return share_ < RareShare;
    }

private:
    /// Weight of the latest of many requests: small enough that some refusals in a row by chance don't count as most, large enough to find a full endpoint
    /// soon.
    static constexpr double MinWeight = 0.0625;
    /// Time after which an earlier request counts half.
    static constexpr std::chrono::duration<double> HalfLife = Ms(300);
    static constexpr double MostShare = 0.5;
    static constexpr double HighShare = 1.0 / 3;
    static constexpr double RareShare = 0.0625;

    double share_ = 0;
    Instant updatedAt_{0};
};

} // namespace relay
