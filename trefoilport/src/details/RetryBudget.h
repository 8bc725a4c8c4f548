#pragma once

#include <algorithm>
#include <cstdint>

namespace trefoilport {

/// Limits retries to a percentage of first attempts, so that retries don't add load to a fleet that is already failing.
///
/// A token bucket: each first attempt adds a fraction of a retry, each retry takes a whole one, and a reserve limits the balance.
class RetryBudget
{
public:
    /// Sets the number of retries per hundred first attempts, and the reserve, which is the number of retries that may be saved up. The first call
    /// fills the reserve; later calls only lower the balance to a smaller reserve.
    void configure(std::int64_t percent, std::int64_t reserve)
    {
        percent_ = percent;
        const std::int64_t limit = reserve * UnitsPerRetry;
        if (!configured_) {
            saved_ = limit;
        }
        configured_ = true;
        limit_ = limit;
        saved_ = std::min(saved_, limit_);
    }

    /// Credits a first attempt with its fraction of a retry.
    void onFirstAttempt()
    {
        saved_ = std::min(limit_, saved_ + percent_);
    }

    /// Returns whether at least one retry is left.
    bool hasRetry() const
    {
        return saved_ >= UnitsPerRetry;
    }

    /// Takes one retry from the balance; returns false if less than one is left.
    bool tryAcquire()
    {
        if (!hasRetry()) {
            return false;
        }
        saved_ -= UnitsPerRetry;
        return true;
    }

private:
    /// The balance is counted in hundredths of a retry.
    static constexpr std::int64_t UnitsPerRetry = 100;

    std::int64_t percent_ = 0;
    /// Upper limit of the balance, in hundredths of a retry.
    std::int64_t limit_ = 0;
    /// Balance, in hundredths of a retry.
    std::int64_t saved_ = 0;
    bool configured_ = false;
};

} // namespace trefoilport
