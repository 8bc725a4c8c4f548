#pragma once

#include <atomic>
#include <cstdint>

namespace timeline {

/// Hybrid logical time: wall-clock time in microseconds since the Unix epoch in the upper 48 bits, a counter in the lower 16. The receipt of a message gets a
/// later stamp than its sending, whatever the skew between the clocks of the two machines, up to the limit in HybridClock::receive(). See S. Kulkarni et al.,
/// OPODIS 2014.
using Stamp = std::uint64_t;

/// Returns the wall-clock part of a stamp, in microseconds since the Unix epoch.
inline std::int64_t wallMicros(Stamp stamp)
{
    return static_cast<std::int64_t>(stamp >> 16U);
}

/// The hybrid clock of one process. Thread-safe and lock-free.
class HybridClock
{
public:
    /// Returns a stamp for a local event or a message to be sent. It is later than all stamps that this clock returned or accepted before.
    Stamp now();

    /// Advances the clock to the stamp of a received message, so that later stamps of now() are greater. A stamp more than 60 s ahead of the local wall clock
    /// is ignored.
    void receive(Stamp remote);

private:
    std::atomic<Stamp> last_{0};
};

} // namespace timeline
