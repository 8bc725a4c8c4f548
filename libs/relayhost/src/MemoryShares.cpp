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

/// Part of the memory, out of 100, up to which peers may hold all of their bounds, and the one at which they may hold the least.
constexpr std::size_t CalmPercent = 75;
constexpr std::size_t FullPercent = 92;
/// The least that they may hold, out of 100 of their bounds.
constexpr std::size_t LeastPercent = 10;

/// What a connection takes while it waits for a request: its object and timers, its coroutines and what the system's library keeps for its socket, in bytes.
constexpr std::size_t WaitingConnectionBytes = 4096;

/// Descriptors of the process itself: its listening sockets, its log, the store, and some that the mesh opens.
constexpr std::size_t OwnDescriptors = 64;
/// Descriptors for each connection of a caller: its own, and that of the connection to an endpoint.
constexpr std::size_t DescriptorsPerCaller = 2;

/// Returns the part of its bounds that peers may hold, out of 100.
std::size_t sharePercent(std::size_t residentPercent)
{
    if (residentPercent <= CalmPercent) {
        return 100;
    }
    const std::size_t left = FullPercent - std::min(FullPercent, residentPercent);
    return std::max(LeastPercent, left * 100 / (FullPercent - CalmPercent));
}

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

std::size_t calmBytesOf(std::size_t memoryBytes)
{
    return memoryBytes / 100 * CalmPercent;
}

net::HeldLimits heldLimitsAt(std::size_t memoryBytes, std::size_t residentBytes)
{
    const std::size_t percent = sharePercent(residentBytes / std::max<std::size_t>(1, memoryBytes / 100));
    net::HeldLimits limits = heldLimitsFor(memoryBytes);
    limits.all = limits.all / 100 * percent;
    for (std::size_t &bytes : limits.kinds) {
        bytes = bytes / 100 * percent;
    }
    return limits;
}

net::ServerLimits withMemory(net::ServerLimits limits, std::size_t memoryBytes)
{
    limits.connections = std::min(limits.connections, heldLimitsFor(memoryBytes).of(net::PeerKind::Caller) / WaitingConnectionBytes);
    return limits;
}

net::ServerLimits withDescriptors(net::ServerLimits limits, std::size_t maxDescriptors)
{
    if (maxDescriptors > 0) {
        const std::size_t descriptors = maxDescriptors - std::min(OwnDescriptors, maxDescriptors / 2);
        limits.connections = std::min(limits.connections, std::max<std::size_t>(1, descriptors / DescriptorsPerCaller));
        limits.descriptors = descriptors;
    }
    return limits;
}

} // namespace relayhost
