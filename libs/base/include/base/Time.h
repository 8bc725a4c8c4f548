#pragma once

#include <chrono>
#include <cstdint>

namespace base {

/// Time on the monotonic clock since an arbitrary origin of the process. Not comparable between processes.
using Instant = std::chrono::nanoseconds;

/// Milliseconds since the Unix epoch. Comparable between processes only up to clock skew; no safety decision rests on it.
using WallMs = std::int64_t;

/// Both clocks, read at one moment by the driver and handed to the kernel.
struct Now {
    Instant mono{0};
    WallMs wall = 0;
};

/// Reads both clocks.
Now readClocks();

/// Time on a clock that goes on while the machine is suspended, since an arbitrary origin.
Instant readSuspendClock();

/// Whole milliseconds of a duration.
inline std::int64_t toMs(Instant duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace base
