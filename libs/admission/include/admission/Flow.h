#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <tuple>

/// Decides which requests are rejected while the capacity of a service is insufficient. Pure computation, without I/O or clocks.
namespace admission {

using Ms = std::chrono::milliseconds;
/// Time since an arbitrary origin.
using Instant = std::chrono::nanoseconds;

/// Identifies the requests of one team to one service with one priority.
struct FlowKey {
    /// Hashes of the names; `team` is 0 for requests without a team.
    std::uint32_t service = 0;
    std::uint32_t team = 0;
    /// 0 is the most urgent.
    int priority = 0;

    friend bool operator<(const FlowKey &a, const FlowKey &b)
    {
        return std::tie(a.service, a.priority, a.team) < std::tie(b.service, b.priority, b.team);
    }
};

/// Recent work of a flow, as the mean number of typical requests that would be open at the same time: the size of a request, as a multiple of that of a
/// typical one, times its expected duration, for each unit of time.
struct FlowWork {
    double offered = 0;
    /// Part of it that the admission level has let through.
    double admitted = 0;
    /// Part of the admitted work that found no free capacity, or would have had to wait for long.
    double congested = 0;
};

using FlowMap = std::map<FlowKey, FlowWork>;

/// Adds the work of a flow, multiplied by `sign`.
inline void add(FlowWork &sum, const FlowWork &work, double sign = 1)
{
    sum.offered += sign * work.offered;
    sum.admitted += sign * work.admitted;
    sum.congested += sign * work.congested;
}

} // namespace admission
