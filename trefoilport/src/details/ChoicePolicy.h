#pragma once

#include "base/Hash.h"
#include "details/EndpointTable.h"

#include <concepts>
#include <string>
#include <string_view>

namespace trefoilport {

/// Input of a policy's cost function.
struct ChoiceContext {
    const EndpointTable &table;
    /// Zone of this instance.
    const std::string &ownZone;
    base::Random &random;
    /// Number of earlier choices by the same chooser. Round robin derives from it which endpoint is the cheapest.
    std::uint64_t turn = 0;
    /// Tokens to be prefilled: those of the prompt and those already delivered to the caller. The built-in policies ignore them.
    std::uint32_t prefillTokens = 0;
};

/// A type that rates endpoints for the choice of a pipeline or of a service's endpoint.
///
/// The chooser adds the cost to linkCost(), which is in microseconds, and takes the lowest sum. The costs of "least_connections" and
/// "round_robin" are plain counts, so with these policies the link cost between zones outweighs most differences between endpoints.
template<typename Policy>
concept ChoicePolicy = requires(const ChoiceContext &context, EndpointIndex index)
{
    {
        Policy::cost(context, index)
        } -> std::same_as<double>;
};

/// Rates one endpoint; the lower the cost, the better.
using CostFunction = double (*)(const ChoiceContext &, EndpointIndex);

/// Registers a cost function under the policy's name in the settings. A name that is already registered keeps its function. Always returns
/// true, so that the initialiser of a static variable can call it.
bool registerPolicy(std::string_view name, CostFunction cost);

/// Registers the cost function of a policy type.
template<ChoicePolicy Policy>
bool registerPolicy(std::string_view name)
{
    return registerPolicy(name, &Policy::cost);
}

/// Returns the cost function registered under a name, or that of "predicted" if the name is unknown.
CostFunction policyNamed(std::string_view name);

/// Cost in microseconds of passing activations from one zone to another; 0 within a zone.
double linkCost(const std::string &fromZone, const std::string &toZone);

} // namespace trefoilport
