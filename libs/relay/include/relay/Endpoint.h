#pragma once

#include "placement/EngineProfile.h"

#include <cstdint>
#include <string>
#include <vector>

namespace relay {

/// One endpoint as the platform lists it.
struct EndpointEntry {
    std::string id;
    std::string service;
    /// IP:port.
    std::string address;
    std::string zone;
    /// Grows with each start under the same id; milliseconds since the Unix epoch.
    std::uint64_t incarnation = 0;
    bool draining = false;
    std::uint32_t slots = 1;
    /// Name in EngineProfile::kinds; empty for endpoints without layers.
    std::string accelerator;
    placement::LayerRange layers;
    std::uint64_t modelVersion = 0;
};

/// One instance of the router.
struct InstanceEntry {
    /// The same over restarts.
    std::string id;
    /// Where it takes messages of the others, IP:port.
    std::string meshAddress;
};

/// A request that makes no progress at the endpoint that reports it, since it depends on another one.
struct StalledRequest {
    std::string requestId;
    /// Address of the endpoint at fault.
    std::string address;
};

/// What an endpoint says of itself when asked.
struct EndpointReport {
    std::uint64_t incarnation = 0;
    /// Orders that it has begun since its start.
    std::uint64_t orderCount = 0;
    bool loading = false;
    placement::LayerRange layers;
    std::uint64_t modelVersion = 0;
    /// Over 1 means that it works more slowly than its profile.
    double slowdown = 1;
    std::vector<StalledRequest> stalled;
};

} // namespace relay
