#include "timeline/HybridClock.h"

#include <algorithm>
#include <chrono>

namespace timeline {

namespace {

/// Received stamps that are further ahead of the local wall clock than this come from a broken clock and are ignored.
constexpr std::int64_t MaxSkewMicros = 60'000'000;

Stamp wallStamp()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<Stamp>(std::chrono::duration_cast<std::chrono::microseconds>(wall).count()) << 16U;
}

} // namespace

Stamp HybridClock::now()
{
    Stamp before = last_.load(std::memory_order_relaxed);
    Stamp next = 0;
    do {
        next = std::max(before + 1, wallStamp());
    } while (!last_.compare_exchange_weak(before, next, std::memory_order_relaxed));
    return next;
}

void HybridClock::receive(Stamp remote)
{
    if (wallMicros(remote) > wallMicros(wallStamp()) + MaxSkewMicros) {
        return;
    }
    Stamp before = last_.load(std::memory_order_relaxed);
    while (before < remote && !last_.compare_exchange_weak(before, remote, std::memory_order_relaxed)) { }
}

} // namespace timeline
