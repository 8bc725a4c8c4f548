#pragma once

#include "relay/FleetConfig.h"

#include <string_view>

namespace relay {

/// Finds the route of a request by host and longest path prefix.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(FleetConfigPtr config);

    /// Null if no route matches.
    const Route *find(std::string_view host, std::string_view path) const;

private:
    FleetConfigPtr config_;
    /// Routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> byHost_;
};

/// The service of one request, by the weights of its route; the same for the same draw.
const std::string &serviceOf(const Route &route, std::uint64_t draw);

} // namespace relay
