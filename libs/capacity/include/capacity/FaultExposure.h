#pragma once

#include "capacity/StreamDemand.h"

namespace capacity {

/// What each further stage of a pipeline is expected to cost by failing or stalling, from the faults of endpoints in the last seconds. 0 without faults.
class FaultExposure
{
public:
    /// Takes note that an endpoint has failed or stalled.
    void onFault(Instant now);

    /// Returns the expected cost of one stage of a stream of that duration, in ms, if there are that many endpoints.
    double stageCostMs(Instant now, double endpoints, Seconds streamDuration) const;

    /// Returns whether faults are so rare that using all endpoints evenly costs less than it saves. While endpoints fail, pipelines with few stages matter
    /// more.
    bool isCalm(Instant now) const;

private:
    double faultsPerSecond(Instant now) const;

    double faultsPerSecond_ = 0;
    Instant updatedAt_{0};
};

} // namespace capacity
