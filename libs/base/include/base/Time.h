#pragma once

#include <chrono>
#include <cstdint>

namespace base {

/// A point in time as the nanoseconds on a monotonic clock since its arbitrary origin, or a duration. Not comparable between processes.
using Instant = std::chrono::nanoseconds;

/// Milliseconds since the Unix epoch. Comparable between processes only up to clock skew, so no decision on safety may depend on it.
using WallMs = std::int64_t;

/// The monotonic and the wall clock, read together. The driver passes it to the kernel, which reads no clock itself.
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

} // namespace base
