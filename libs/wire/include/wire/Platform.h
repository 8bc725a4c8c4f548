#pragma once

#include "base/EnumNames.h"

#include <cstdint>
#include <string>
#include <vector>

/// Data from the platform: the instance list and the results of store operations.
namespace wire {

/// The kind of work that an endpoint does.
enum class EndpointKind {
    /// Runs a range of the layers of a model.
    Engine,
    /// Answers the calls of a plain HTTP service.
    Service,
};

/// Names of the kinds in the instance list and in status reports.
inline constexpr base::EnumNames<EndpointKind, 2> EndpointKindNames = {{
    {EndpointKind::Engine, "engine"},
    {EndpointKind::Service, "service"},
}};

/// An entry of the instance list that describes an endpoint.
struct EndpointInfo {
    std::string id;
    EndpointKind kind = EndpointKind::Engine;
    /// Network address at which the endpoint takes calls.
    std::string address;
    std::string zone;
    /// Increases with each start of the endpoint.
    std::uint64_t incarnation = 0;
    /// The endpoint is shutting down and takes no new work.
    bool leaving = false;
    /// Model name of an engine, service name of a service.
    std::string serves;
    /// For engines: the range of layers [firstLayer, endLayer) that the endpoint holds.
    std::uint32_t firstLayer = 0;
    std::uint32_t endLayer = 0;
    /// For engines: time in microseconds in which one token passes the layer range. For services: duration of one call in microseconds.
    std::uint32_t stepMicros = 1000;
    /// Number of calls that the endpoint processes at the same time.
    std::uint32_t capacity = 8;
};

/// An entry of the instance list that describes an instance.
struct InstanceInfo {
    std::string id;
    /// Address at which other instances connect.
    std::string mesh;
    std::string zone;
    /// The instance is shutting down and takes no new work.
    bool leaving = false;
    /// Address at which callers and operators connect.
    std::string address;
};

/// The result of a store operation.
enum class StoreStatus {
    Ok,
    /// Read: the object does not exist.
    NotFound,
    /// Write: the version of the object is not the expected one.
    Conflict,
    /// The operation did not take effect: nothing was sent, or the store refused it.
    Unavailable,
    /// It is unknown whether the operation took effect, and it may still take effect later.
    Ambiguous,
};

/// Names of the results.
inline constexpr base::EnumNames<StoreStatus, 5> StoreStatusNames = {{
    {StoreStatus::Ok, "ok"},
    {StoreStatus::NotFound, "not_found"},
    {StoreStatus::Conflict, "conflict"},
    {StoreStatus::Unavailable, "unavailable"},
    {StoreStatus::Ambiguous, "ambiguous"},
}};

} // namespace wire
