#include "details/KernelImpl.h"

#include <algorithm>
#include <map>
#include <utility>

namespace relay {

namespace {

/// Costs of endpoints are multiplied by random factors of up to one more than this, less in a small fleet. Until the next digest, all instances see the
/// same endpoints as the best ones, and the more instances there are, the more requests would go there.
constexpr double MaxCostSpread = 1.5;

/// Multiple of its cost that is added for an endpoint whose requests all fail. One that fails at once has little load and would attract all requests.
constexpr double FailureCost = 20.0;
/// Good answers that are assumed of every endpoint, so that a single failure among few answers counts little.
constexpr double AssumedGoodAnswers = 2.0;

} // namespace

Candidates RelayKernel::Impl::candidates(Instant now, const Call &call)
{
    Candidates found;
    double ownLinkTokens = 0;
    const std::uint32_t instances = peers.instances(now).value_or(1);
    const auto demand = faults.isCalm(now) ? fleetDemand(now, *call.service) : std::nullopt;
    for (EndpointIndex i = 0; i < endpoints.size(); ++i) {
        const EndpointState &state = endpoints.at(i);
        if (state.entry.service != call.service->name || state.entry.layers.empty()) {
            continue;
        }
        const auto backoff = state.entry.layers.first == 0 ? endpoints.returnsIn(i, now) : std::nullopt;
        if (backoff) {
            found.limitWait = std::min(found.limitWait.value_or(*backoff), *backoff);
        }
        if (call.isExcluded(i) || !endpoints.isUsable(i, now)) {
            continue;
        }
        const std::uint32_t kind = placement::kindIndex(*call.service->engine, state.entry.accelerator);
        const LoadEstimate load = peers.loadOn(i, now);
        // What the other instances have dispatched since their last digests isn't known. After the loss of an endpoint each of them dispatches
        // about as much as this one, so that its own pending prefill is multiplied by their number. So are its prompts on the link between zones.
        const double uncertainPrefill = std::max(0.0, state.pendingPrefillTokens * instances - load.pendingPrefillTokens);
        const bool isLimited = state.entry.layers.first == 0 && !limits.maySend(i, nextFraction(), now);
        const bool isAvoided = state.entry.layers.first == 0 && endpoints.isAvoided(i, now);
        const bool canBeFirst = !isLimited && !backoff && !isAvoided;
        if (isLimited) {
            found.limitWait = std::min(found.limitWait.value_or(Ms::max()), limits.expectedWait(i, now));
        }
        const bool isRefused = call.isRefusedBy(i) || (demand && now < state.fullUntil);
        const bool isReserved = !demand || kind >= call.service->engine->kinds.size() || reserves(now, call, i, load, *demand);
        if (isRefused) {
            found.refused.push_back(found.holders.size());
        } else if (!isReserved) {
            found.unreserved.push_back(found.holders.size());
        }
        const double failureRatio = load.failures / (load.answers + AssumedGoodAnswers);
        found.holders.push_back({kind,
                                 state.zone,
                                 state.entry.layers,
                                 load.openRequests,
                                 load.contextTokens,
                                 load.pendingPrefillTokens,
                                 uncertainPrefill,
                                 state.slowdown,
                                 1 + FailureCost * failureRatio,
                                 !isRefused && isReserved,
                                 canBeFirst});
        found.indices.push_back(i);
        ownLinkTokens += state.pendingLinkTokens;
        found.linkTokens += load.pendingLinkTokens;
    }
    found.linkTokens = std::max(found.linkTokens, ownLinkTokens * instances);
    if (demand) {
        found.isReserving = true;
        coverZones(*call.service->engine, found);
        found.stageCostMs = faults.stageCostMs(now, static_cast<double>(found.holders.size()), demand->meanDuration);
    }
    spreadCosts(found.holders, MaxCostSpread * (1 - 1.0 / instances));
    return found;
}

void RelayKernel::Impl::spreadCosts(std::vector<placement::LayerHolder> &holders, double spread)
{
    // The zone and the first layer, so that holders of different kinds that can take the same place in a pipeline are spread over, too.
    using Group = std::pair<std::uint32_t, std::uint32_t>;
    const auto groupOf = [](const placement::LayerHolder &holder) {
        return Group{holder.zone, holder.held.first};
    };
    std::vector<double> draws(holders.size());
    std::map<Group, double> lowest;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        draws[i] = nextFraction();
        const auto [found, isNew] = lowest.try_emplace(groupOf(holders[i]), draws[i]);
        found->second = std::min(found->second, draws[i]);
    }
    for (std::size_t i = 0; i < holders.size(); ++i) {
        holders[i].costFactor *= 1 + spread * (draws[i] - lowest.at(groupOf(holders[i])));
    }
}

} // namespace relay
