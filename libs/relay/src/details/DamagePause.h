#pragma once

#include "base/Time.h"

#include <chrono>
#include <cstdint>

namespace relay {

/// What bytes that were no answer, since they were malformed or came without end, say of the endpoint that has sent them.
///
/// One such answer may be an accident. From the second one in a row on, the endpoint is avoided for a time that doubles with each further one, and gets a
/// single request after it, by which it may show that it is sound again.
class DamagePause
{
public:
    using Instant = std::chrono::nanoseconds;

    /// Takes such bytes in place of the answer to a request that was sent at that time. One that was sent before the endpoint was last avoided says nothing
    /// new, so that many open requests count once.
    void onDamaged(Instant sentAt, Instant now);

    /// Takes a whole answer to a request that was sent at that time, which ends the pause unless the request was sent before it.
    void onSound(Instant sentAt);

    /// Returns whether the endpoint is avoided while that many requests are open there.
    bool isAvoided(Instant now, std::uint32_t open) const;

private:
    /// Damaged answers in a row, up to the maximum.
    int damaged_ = 0;
    Instant avoidedFrom_{0};
    Instant avoidedUntil_{0};
};

} // namespace relay
