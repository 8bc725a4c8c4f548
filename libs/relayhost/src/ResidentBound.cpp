#include "relayhost/ResidentBound.h"

#include "base/Allocator.h"
#include "relayhost/MemoryShares.h"

namespace relayhost {

namespace {

/// Free memory is returned to the system once in this period at most, while the process is short of it: it takes some milliseconds.
constexpr std::chrono::milliseconds ReturnPeriod{200};

} // namespace

void ResidentBound::look(base::Instant now)
{
    std::size_t resident = base::residentBytes();
    if (resident > calmBytesOf(memoryBytes_) && now >= returnedAt_ + ReturnPeriod) {
        base::returnFreedMemory();
        returnedAt_ = now;
        resident = base::residentBytes();
    }
    const net::HeldLimits limits = heldLimitsAt(memoryBytes_, resident);
    if (limits.all != heldAtMost_) {
        heldAtMost_ = limits.all;
        held_.setLimits(limits);
    }
}

} // namespace relayhost
