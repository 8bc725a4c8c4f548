#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace base {

/// A point in time on a monotonic clock, in nanoseconds since an arbitrary origin. Not comparable between processes. Durations have this type too.
using Instant = std::chrono::nanoseconds;

/// Milliseconds since the Unix epoch. Comparable between processes only up to clock skew, so no decision on safety may depend on it.
using WallMs = std::int64_t;

/// The monotonic and the wall clock, read together. The kernel, which makes the decisions, reads no clock itself; the driver, which does the I/O, passes
/// this to it.
struct Now {
    Instant mono{0};
    WallMs wall = 0;
};

/// Reads the monotonic clock, which stops while the machine is suspended, and the wall clock.
Now readClocks();

/// Reads a monotonic clock that also counts while the machine is suspended (CLOCK_BOOTTIME). Its values aren't comparable with Now::mono.
Instant readBootTimeClock();

/// Returns the whole milliseconds of a duration, rounded towards zero.
inline std::int64_t toMs(Instant duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Converts predicted milliseconds, moved into the range from 0 to one day, so that sums of such times don't overflow. What is no number counts as 0.
inline std::chrono::milliseconds boundedMs(double ms)
{
    constexpr double OneDayMs = 24.0 * 60 * 60 * 1000;
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::isnan(ms) ? 0 : std::clamp(ms, 0.0, OneDayMs)));
}

} // namespace base
