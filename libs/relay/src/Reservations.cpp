#include "details/KernelImpl.h"

#include <algorithm>
#include <map>

namespace relay {

namespace {

/// Ratio of an endpoint's context memory that no reservation uses: responses become longer than expected.
constexpr double KeptBackRatio = 0.05;
/// The own rate times the number of instances counts only from this multiple on of the rate that follows from the open streams of all: it is known without
/// delay, but a few streams are many by chance.
constexpr double OwnRateRatio = 0.5;
/// Fill ratio of the context memory, by the known loads, below which a refusal for lack of capacity isn't explained by streams that are not known yet.
constexpr double MaxFillWithRoom = 0.25;
/// A further sign of a fault at an endpoint within this time belongs to the same one.
constexpr Ms SameFaultTime{5000};

} // namespace

std::optional<capacity::FleetDemand> RelayKernel::Impl::fleetDemand(Instant now, const Service &service)
{
    if (peers.isFullMesh()) {
        return std::nullopt;
    }
    const capacity::StreamDemand &own = streamDemand[service.name];
    capacity::FleetDemand demand{own.startsPerSecond(now) * peers.instances(now).value_or(1), 0, own.meanDuration(), peers.loadAge(now)};
    for (EndpointIndex i = 0; i < endpoints.size(); ++i) {
        // Each stream passes through one endpoint with the first layer.
        const EndpointState &state = endpoints.at(i);
        if (state.entry.service == service.name && !state.entry.layers.empty() && state.entry.layers.first == 0) {
            demand.openStreams += peers.loadOn(i, now).openRequests;
        }
    }
    const double knownRate = demand.openStreams / demand.meanDuration.count();
    demand.startsPerSecond = demand.openStreams > 0 ? std::max(knownRate, OwnRateRatio * demand.startsPerSecond) : demand.startsPerSecond;
    return demand;
}

bool RelayKernel::Impl::reserves(Instant now, const Call &call, EndpointIndex index, const LoadEstimate &load, const capacity::FleetDemand &demand)
{
    EndpointState &state = endpoints.at(index);
    const placement::EngineProfile &engine = *call.service->engine;
    const double neededTokens = static_cast<double>(call.promptTokens) + call.answerTokens;
    const double knownMeanTokens = streamDemand[call.service->name].meanContextTokens();
    const double meanTokens = std::max(1.0, knownMeanTokens > 0 ? knownMeanTokens : neededTokens);
    const std::uint32_t kind = placement::kindIndex(engine, state.entry.accelerator);
    const double capacityTokens = placement::kvCapacityTokens(engine, engine.kinds[kind], state.entry.layers.size());
    capacity::RequestRoom room{((1 - KeptBackRatio) * capacityTokens - load.contextTokens) / meanTokens, load.contextTokens / meanTokens};
    if (state.entry.layers.first == 0) {
        const double freeSlots = static_cast<double>(state.entry.slots) - load.openRequests;
        room = freeSlots < room.free ? capacity::RequestRoom{freeSlots, load.openRequests} : room;
    }
    const double odds = state.odds.update(now, demand, room, load.openRequests, neededTokens / meanTokens);
    return odds >= 1 || nextFraction() < odds;
}

void RelayKernel::Impl::coverZones(const placement::EngineProfile &engine, Candidates &found)
{
    std::map<std::uint32_t, std::vector<bool>> coveredLayers;
    const auto cover = [&](const placement::LayerHolder &holder) {
        std::vector<bool> &covered = coveredLayers.try_emplace(holder.zone, engine.layers, false).first->second;
        bool isNew = false;
        for (std::uint32_t layer = holder.held.first; layer < std::min(holder.held.end, engine.layers); ++layer) {
            isNew = isNew || !covered[layer];
            covered[layer] = true;
        }
        return isNew;
    };
    for (const placement::LayerHolder &holder : found.holders) {
        if (holder.usable) {
            cover(holder);
        }
    }
    const auto freeTokens = [&](std::size_t position) {
        const placement::LayerHolder &holder = found.holders[position];
        return placement::kvCapacityTokens(engine, engine.kinds[holder.kind], holder.held.size()) - holder.contextTokens;
    };
    std::sort(found.unreserved.begin(), found.unreserved.end(), [&](std::size_t a, std::size_t b) { return freeTokens(a) > freeTokens(b); });
    std::erase_if(found.unreserved, [&](std::size_t position) {
        placement::LayerHolder &holder = found.holders[position];
        holder.usable = freeTokens(position) > 0 && cover(holder);
        return holder.usable;
    });
}

double RelayKernel::Impl::wantedEventIntervalMs(const Call &call) const
{
    const bool hasIntervals = call.answerTokens > call.service->engine->stepsPerPass;
    return hasIntervals && !peers.isFullMesh() ? static_cast<double>(call.route->targetEventInterval.count()) : 0;
}

bool RelayKernel::Impl::isKnownToHaveRoom(Instant now, const Call &call, EndpointIndex index) const
{
    const EndpointState &state = endpoints.at(index);
    const placement::EngineProfile &engine = *call.service->engine;
    const std::uint32_t kind = placement::kindIndex(engine, state.entry.accelerator);
    if (kind >= engine.kinds.size()) {
        return false;
    }
    const double capacityTokens = placement::kvCapacityTokens(engine, engine.kinds[kind], state.entry.layers.size());
    const double neededTokens = static_cast<double>(call.promptTokens) + call.answerTokens;
    return peers.loadOn(index, now).contextTokens + neededTokens < MaxFillWithRoom * capacityTokens;
}

placement::Pipeline RelayKernel::Impl::choosePathWidening(const Call &call, Candidates &found)
{
    const std::size_t unreserved = found.unreserved.size();
    placement::Pipeline path = chooseWidening(found, [&]() { return choosePath(call, found); });
    if (unreserved > 0 && found.unreserved.empty()) {
        ++counters.reservationsWithoutCapacity;
        driver.record({"reservation_without_capacity",
                       call.requestId,
                       call.service->name,
                       std::to_string(unreserved) + " of " + std::to_string(found.holders.size()) + " endpoints not reserved, "
                           + (path.stages.empty() ? "no path with them either" : "a path uses them")});
    }
    return path;
}

void RelayKernel::Impl::onFault(Instant now, EndpointIndex index)
{
    EndpointState &state = endpoints.at(index);
    if (state.faultAt.count() == 0 || now >= state.faultAt + SameFaultTime) {
        faults.onFault(now);
    }
    state.faultAt = now;
}

} // namespace relay
