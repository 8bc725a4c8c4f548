#pragma once

#include "net/Http.h"
#include "relay/RelayKernel.h"

#include <cstddef>
#include <string>

namespace relayhost {

/// Memory that a process may use if its settings name no limit.
inline constexpr std::size_t DefaultMemoryBytes = 256UL * 1024 * 1024;

/// Settings of one instance, read from its settings file. When the file changes later, only `store` and `relay` are applied; the other members
/// keep their values until the process restarts.
struct HostSettings {
    /// Name of the instance, unchanged by restarts.
    std::string node;
    /// Availability zone in which the instance runs.
    std::string zone;
    /// Address on which callers' requests are accepted.
    net::Address callers;
    /// Address on which the balancer's readiness check is answered.
    net::Address readiness;
    /// Address on which the metrics are served.
    net::Address metrics;
    /// Address on which messages from other instances are received.
    net::Address mesh;
    /// Address on which requests from other instances are taken over; its host is empty if none are.
    net::Address handOvers;
    /// Address of the platform's store.
    net::Address store;
    /// Memory that the process may use before the platform ends it. What peers make it hold is bounded by it.
    std::size_t memoryBytes = DefaultMemoryBytes;
    /// The settings name the memory; then what peers may hold also follows the memory that the process has resident.
    bool isMemoryStated = false;
    /// Descriptors that the process may open; 0 if the settings name no limit.
    std::size_t maxDescriptors = 0;
    /// Settings of the kernel. Its `instance` and `seed` are not in the file: they are chosen at the start of each process.
    relay::RelaySettings relay;
};

} // namespace relayhost
