#pragma once

#include "placement/EngineProfile.h"

#include <cstdint>
#include <string>
#include <vector>

namespace relay {

/// One entry of the platform's list of endpoints.
struct EndpointEntry {
    std::string id;
    /// Name of the service that the endpoint belongs to.
    std::string service;
    /// IP:port at which it accepts requests.
    std::string address;
    std::string zone;
    /// Time at which the endpoint's process started, in milliseconds since the Unix epoch; each restart under the same id has a higher value.
    std::uint64_t incarnation = 0;
    /// The endpoint finishes its open requests and must get no new ones.
    bool draining = false;
    /// Requests that it serves in parallel.
    std::uint32_t slots = 1;
    /// Name of its accelerator kind in EngineProfile::kinds; empty for endpoints that hold no model layers.
    std::string accelerator;
    /// Model layers that it has loaded.
    placement::LayerRange layers;
    /// Version of the model that these layers belong to.
    std::uint64_t modelVersion = 0;
};

/// One entry of the platform's list of router instances.
struct InstanceEntry {
    /// Name of the instance; unchanged by restarts.
    std::string id;
    /// IP:port at which it receives messages from the other instances.
    std::string meshAddress;
    /// Its availability zone; empty if the entry doesn't state it.
    std::string zone = {};
    /// IP:port at which it takes requests from the other instances; empty if it is of a version that takes none.
    std::string handOverAddress = {};
};

/// A request that makes no progress at the reporting endpoint because it waits for another endpoint of its pipeline.
struct StalledRequest {
    std::string requestId;
    /// Address of the endpoint that the request waits for.
    std::string address;
};

/// The state of an endpoint, as the endpoint reports it on request.
struct EndpointReport {
    std::uint64_t incarnation = 0;
    /// Placement orders that it has begun to carry out since it started.
    std::uint64_t orderCount = 0;
    /// It is loading layers at the moment.
    bool loading = false;
    /// Model layers that it has loaded, and the version of their model.
    placement::LayerRange layers;
    std::uint64_t modelVersion = 0;
    /// Time that its work takes, as a multiple of the time that its profile predicts; above 1 it is slower than expected.
    double slowdown = 1;
    /// It says that it is leaving: it must get no new requests.
    bool leaving = false;
    /// Requests that wait for another endpoint.
    std::vector<StalledRequest> stalled;
};

} // namespace relay
