#pragma once

#include "relay/RelayKernel.h"

#include <algorithm>
#include <cmath>

namespace relay {

/// Number of recent answers of an endpoint to requests of this instance, and of failures among them. Both decay, so that an endpoint that has failed gets
/// requests again after a while.
class RecentFailures
{
public:
    /// Counts an answer, or an attempt that ended without one.
    void onAnswer(bool hasFailed, Instant now)
    {
        decay(now);
        answers_ = std::min(MaxCount, answers_ + 1);
        failures_ = std::min(answers_, failures_ + (hasFailed ? 1 : 0));
    }

    double answers(Instant now) const
    {
        return answers_ * decayFactor(now);
    }

    double failures(Instant now) const
    {
        return failures_ * decayFactor(now);
    }

private:
    /// Limits how long an endpoint that has failed often is avoided.
    static constexpr double MaxCount = 16;
    static constexpr double HalfLifeMs = 2000;

    double decayFactor(Instant now) const
    {
        return std::exp2(-std::chrono::duration<double, std::milli>(now - updatedAt_).count() / HalfLifeMs);
    }

    void decay(Instant now)
    {
        const double factor = decayFactor(now);
        answers_ *= factor;
        failures_ *= factor;
        updatedAt_ = now;
    }

    double answers_ = 0;
    double failures_ = 0;
    Instant updatedAt_{0};
};

} // namespace relay
