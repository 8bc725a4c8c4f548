#pragma once

#include "admission/Flow.h"

#include <optional>

namespace admission {

/// Measures the recent work of the flows of one instance.
class FlowMeter
{
public:
    /// Counts a request. `work` is its size times its expected duration in seconds.
    void count(const FlowKey &key, const FlowWork &work, Instant now);
    /// Returns the work of the flows that have lately offered any. Flows beyond the `limit` largest are added up for each service and priority, with
    /// team 0.
    FlowMap flows(Instant now, std::size_t limit) const;

private:
    /// Sums that decay exponentially, and the time up to which they have decayed.
    struct Sum {
        FlowWork work;
        Instant at{0};
    };
    static FlowWork decayed(const Sum &sum, Instant now);
    void forgetIdle(Instant now);
    /// Returns the factor by which the sums are too low since the start, as they contain no work from before.
    double startFactor(Instant now) const;

    std::map<FlowKey, Sum> sums_;
    Instant forgottenAt_{0};
    /// When the first request was counted.
    std::optional<Instant> firstAt_;
};

} // namespace admission
