#pragma once

#include "relay/FleetConfig.h"

#include <string_view>

namespace relay {

/// Finds the route of a request by its host and the longest matching prefix of its URL path.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(FleetConfigPtr config);

    /// Returns the matching route, which lives as long as the configuration; null if none matches.
    const Route *find(std::string_view host, std::string_view path) const;

private:
    /// Keeps the routes alive.
    FleetConfigPtr config_;
    /// Routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> byHost_;
};

/// Chooses the service of a request by the weights of its route; equal hashes choose the same service. Empty if all weights are 0.
const std::string &serviceOf(const Route &route, std::uint64_t requestHash);

} // namespace relay
