#include "relayhost/MemoryShares.h"

#include <algorithm>

namespace relayhost {

namespace {

constexpr std::size_t Megabyte = 1024UL * 1024;

/// What the process uses without any peer: its code, its log, and what it knows of a large fleet.
constexpr std::size_t OwnBytes = 24 * Megabyte;
/// Less than this can't be shared out in a useful way.
constexpr std::size_t MinSharedBytes = 16 * Megabyte;
/// Part of the rest that may be counted as held, out of 100. Bytes are copied when they are parsed, forwarded or decoded, and the allocator keeps some more.
constexpr std::size_t CountedPercent = 50;

/// Parts of what may be held, out of 100, for each kind of peer. They add up to more than 100, since it is rare that several kinds need much at a time; a
/// single kind leaves the others enough to go on.
constexpr std::size_t CallerPercent = 70;
constexpr std::size_t EndpointPercent = 60;
/// What another instance hands over has passed its limits on callers already.
constexpr std::size_t InstancePercent = 50;
/// Several pages of a list, each of about a megabyte, and a configuration.
constexpr std::size_t StorePercent = 25;
/// Operators' requests have no body.
constexpr std::size_t OperatorPercent = 5;

} // namespace

net::HeldLimits heldLimitsFor(std::size_t memoryBytes)
{
    const std::size_t sharedBytes = std::max(MinSharedBytes, memoryBytes - std::min(memoryBytes, OwnBytes));
    const std::size_t countedBytes = sharedBytes / 100 * CountedPercent;
    net::HeldLimits limits;
    limits.all = countedBytes;
    limits.of(net::PeerKind::Caller) = countedBytes / 100 * CallerPercent;
    limits.of(net::PeerKind::Endpoint) = countedBytes / 100 * EndpointPercent;
    limits.of(net::PeerKind::Instance) = countedBytes / 100 * InstancePercent;
    limits.of(net::PeerKind::Store) = countedBytes / 100 * StorePercent;
    limits.of(net::PeerKind::Operator) = countedBytes / 100 * OperatorPercent;
    return limits;
}

} // namespace relayhost
