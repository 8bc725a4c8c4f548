#include "details/RouteTable.h"

#include <algorithm>

namespace relay {

RouteTable::RouteTable(FleetConfigPtr config)
    : config_(std::move(config))
{
    for (const Route &route : config_->routes) {
        byHost_[route.host].push_back(&route);
    }
    for (auto &[host, routes] : byHost_) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *a, const Route *b) { return a->pathPrefix.size() > b->pathPrefix.size(); });
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto found = byHost_.find(std::string(host));
    if (found == byHost_.end()) {
        return nullptr;
    }
    const auto match = std::find_if(found->second.begin(), found->second.end(), [&](const Route *route) { return path.starts_with(route->pathPrefix); });
    return match == found->second.end() ? nullptr : *match;
}

const std::string &serviceOf(const Route &route, std::uint64_t requestHash)
{
    static const std::string none;
    std::uint64_t total = 0;
    for (const WeightedService &service : route.services) {
        total += service.weight;
    }
    if (total == 0) {
        return none;
    }
    std::uint64_t remaining = requestHash % total;
    for (const WeightedService &service : route.services) {
        if (remaining < service.weight) {
            return service.service;
        }
        remaining -= service.weight;
    }
    return none;
}

} // namespace relay
