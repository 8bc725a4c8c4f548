#include "CallersDuty.h"

#include <boost/json.hpp>

using namespace trefoilport;
namespace json = boost::json;

namespace {

json::array endpointsOf(const StatusReport &status)
{
    json::array out;
    for (const EndpointStatus &endpoint : status.endpoints) {
        out.push_back(json::object{{"id", endpoint.id},
                                   {"kind", endpoint.kind},
                                   {"zone", endpoint.zone},
                                   {"serves", endpoint.serves},
                                   {"state", endpoint.state},
                                   {"first_layer", endpoint.firstLayer},
                                   {"end_layer", endpoint.endLayer},
                                   {"in_flight", endpoint.inFlight},
                                   {"reported", endpoint.reported}});
    }
    return out;
}

json::array instancesOf(const StatusReport &status)
{
    json::array out;
    for (const InstanceStatus &instance : status.instances) {
        out.push_back(json::object{{"id", instance.id},
                                   {"zone", instance.zone},
                                   {"state", instance.state},
                                   {"accepted", instance.acceptedRevision},
                                   {"staged", instance.stagedRevision},
                                   {"store_reachable", instance.storeReachable},
                                   {"silent_ms", instance.silentMs}});
    }
    return out;
}

json::array routesOf(const StatusReport &status)
{
    json::array out;
    for (const RouteStatus &route : status.routes) {
        out.push_back(json::object{{"name", route.name},
                                   {"kind", route.kind},
                                   {"match", route.match},
                                   {"usable_endpoints", route.usableEndpoints},
                                   {"pipeline", json::value_from(route.pipeline)},
                                   {"queued", route.queued}});
    }
    return out;
}

} // namespace

std::string toJson(const StatusReport &status)
{
    json::object counters;
    for (std::size_t i = 0; i < CounterCount; ++i) {
        counters[json::string_view(CounterNames[i].data(), CounterNames[i].size())] = status.counters.value(static_cast<Counter>(i));
    }
    return json::serialize(json::object{{"instance", status.instance},
                                        {"zone", status.zone},
                                        {"revision", status.revision},
                                        {"staged_revision", status.stagedRevision},
                                        {"waiting_for", json::value_from(status.waitingFor)},
                                        {"confirmed", status.confirmed},
                                        {"store_reachable", status.storeReachable},
                                        {"stopping", status.stopping},
                                        {"open_calls", status.openCalls},
                                        {"endpoints", endpointsOf(status)},
                                        {"instances", instancesOf(status)},
                                        {"routes", routesOf(status)},
                                        {"counters", counters}});
}
