#include "details/ChoicePolicy.h"

#include <map>

namespace trefoilport {

namespace {

constexpr double CrossZoneMicros = 1000.0;
constexpr double RandomSpread = 1000.0;

/// Kept in a function so that static initialisers of other files can use it in any order.
std::map<std::string, CostFunction, std::less<>> &registry()
{
    static std::map<std::string, CostFunction, std::less<>> policies;
    return policies;
}

/// Time until the endpoint would finish the next step of this call: everything ahead of it and itself.
struct PredictedFinish {
    static double cost(const ChoiceContext &context, EndpointIndex index)
    {
        const double ahead = context.table.load(index) + 1.0;
        return ahead * context.table.at(index).info.stepMicros;
    }
};

/// Attempts in flight, whatever the endpoint's speed.
struct LeastConnections {
    static double cost(const ChoiceContext &context, EndpointIndex index)
    {
        return context.table.at(index).inFlight;
    }
};

/// Takes the endpoints in turn.
struct RoundRobin {
    static double cost(const ChoiceContext &context, EndpointIndex index)
    {
        const auto &peers = context.table.serving(context.table.at(index).info.serves);
        return static_cast<double>((index + peers.size() - context.turn % peers.size()) % peers.size());
    }
};

struct UniformRandom {
    static double cost(const ChoiceContext &context, EndpointIndex)
    {
        return context.random.nextDouble() * RandomSpread;
    }
};

[[maybe_unused]] const bool Registered = registerPolicy<PredictedFinish>("predicted") && registerPolicy<LeastConnections>("least_connections")
    && registerPolicy<RoundRobin>("round_robin") && registerPolicy<UniformRandom>("random");

} // namespace

bool registerPolicy(std::string_view name, CostFunction cost)
{
    registry().emplace(name, cost);
    return true;
}

CostFunction policyNamed(std::string_view name)
{
    const auto found = registry().find(name);
    return found == registry().end() ? &PredictedFinish::cost : found->second;
}

double linkCost(const std::string &fromZone, const std::string &toZone)
{
    return fromZone == toZone ? 0.0 : CrossZoneMicros;
}

} // namespace trefoilport
