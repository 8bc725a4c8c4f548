#pragma once

#include "net/HeldBytes.h"
#include "net/HttpServer.h"

namespace relayhost {

/// Returns the bounds on what peers may make a process hold that may use that much memory.
net::HeldLimits heldLimitsFor(std::size_t memoryBytes);

/// Returns the bounds that hold while the process has so much resident: those above in calm, and smaller ones the nearer it is to its memory, so that what
/// isn't counted, such as copies and gaps in the heap, leaves less to peers. Never less than a tenth.
net::HeldLimits heldLimitsAt(std::size_t memoryBytes, std::size_t residentBytes);

/// Returns the resident memory up to which heldLimitsAt() lets peers hold all of their bounds.
std::size_t calmBytesOf(std::size_t memoryBytes);

/// Returns limits with a number of callers' connections that the memory has room for while they wait.
net::ServerLimits withMemory(net::ServerLimits limits, std::size_t memoryBytes);

/// Returns the limits on the callers' connections of a process that may open so many descriptors, with the other limits as they are. Each exchange may need a
/// descriptor towards an endpoint, too. 0 descriptors leave all limits as they are.
net::ServerLimits withDescriptors(net::ServerLimits limits, std::size_t maxDescriptors);

} // namespace relayhost
