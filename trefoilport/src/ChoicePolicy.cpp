#include "details/ChoicePolicy.h"

#include <map>

namespace trefoilport {

namespace {

/// Cost of a link between two different zones.
constexpr double CrossZoneCostMicros = 1000.0;
/// The "random" policy draws costs from 0 up to this value.
constexpr double RandomCostRangeMicros = 1000.0;

/// The registered cost functions by policy name. A function-local static, so that static initialisers of other files can register policies in
/// any order.
std::map<std::string, CostFunction, std::less<>> &registry()
{
    static std::map<std::string, CostFunction, std::less<>> policies;
    return policies;
}

/// Estimates the time until the endpoint finishes the next decoding step of this call: one step for each attempt in flight there and one for the
/// call itself.
struct PredictedFinish {
    static double cost(const ChoiceContext &context, EndpointIndex index)
    {
        const double attempts = context.table.load(index) + 1.0;
        return attempts * context.table.at(index).info.stepMicros;
    }
};

/// Number of this instance's attempts in flight at the endpoint, regardless of the endpoint's speed.
struct LeastConnections {
    static double cost(const ChoiceContext &context, EndpointIndex index)
    {
        return context.table.at(index).inFlight;
    }
};

/// Rotates the costs with each choice, so that the endpoints take turns. Endpoints have distinct costs only if their table indexes differ modulo
/// the number of endpoints that serve the model or service.
struct RoundRobin {
    static double cost(const ChoiceContext &context, EndpointIndex index)
    {
        const auto &peers = context.table.serving(context.table.at(index).info.serves);
        return static_cast<double>((index + peers.size() - context.turn % peers.size()) % peers.size());
    }
};

/// Rates every endpoint with a uniformly distributed random cost.
struct UniformRandom {
    static double cost(const ChoiceContext &context, EndpointIndex)
    {
        return context.random.nextDouble() * RandomCostRangeMicros;
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
    return fromZone == toZone ? 0.0 : CrossZoneCostMicros;
}

} // namespace trefoilport
