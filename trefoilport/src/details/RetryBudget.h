#pragma once

#include <algorithm>
#include <cstdint>

namespace trefoilport {

/// Bounds retries to a share of first attempts, so that a failing fleet isn't loaded further by its own retries.
class RetryBudget
{
public:
    /// Both from settings: retries per hundred first attempts, and how many may be saved up.
    void configure(std::int64_t percent, std::int64_t reserve)
    {
        percent_ = percent;
        const std::int64_t limit = reserve * PerRetry;
        if (!configured_) {
            saved_ = limit;
        }
        configured_ = true;
        limit_ = limit;
        saved_ = std::min(saved_, limit_);
    }

    /// A first attempt earns its share of a retry.
    void onFirstAttempt()
    {
        saved_ = std::min(limit_, saved_ + percent_);
    }

    /// Takes one retry; false if none is left.
    bool tryAcquire()
    {
        if (saved_ < PerRetry) {
            return false;
        }
        saved_ -= PerRetry;
        return true;
    }

private:
    /// Hundredths of a retry.
    static constexpr std::int64_t PerRetry = 100;

    std::int64_t percent_ = 0;
    std::int64_t limit_ = 0;
    std::int64_t saved_ = 0;
    bool configured_ = false;
};

} // namespace trefoilport
