#pragma once

#include "net/HeldBytes.h"

namespace relayhost {

/// Returns the bounds on what peers may make a process hold that may use that much memory.
net::HeldLimits heldLimitsFor(std::size_t memoryBytes);

} // namespace relayhost
