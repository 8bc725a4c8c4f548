#include "placement/LayerPlanner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace placement {

namespace {

/// A range leaves room for this many usual requests if its kind can hold more than one block.
constexpr double ComfortableRequests = 100;
/// The smallest useful room, in usual requests; a kind with less takes no part unless nothing else holds the model.
constexpr double LeastRequests = 20;
/// Stages of a path: each adds a wait for the pass that is in progress there.
constexpr std::uint32_t MostBlocks = 16;
/// Sequences in a batch at which holders are compared.
constexpr double ReferenceBatch = 60;
/// Time that a usual request may take at full speed of all its stages, in ms.
constexpr double ReferenceRequestMs = 4000;
/// What a layer available in the whole fleet is worth against one in the own zone.
constexpr double FleetWeight = 0.4;
/// Smallest gain for which an endpoint is moved, and what each request that passes through it takes from the gain.
constexpr double LeastMoveGain = 0.35;
constexpr double OpenRequestCost = 0.05;

double usualTokens(const EngineProfile &profile)
{
    return std::max(1.0, profile.typicalPromptTokens + profile.typicalAnswerTokens / 2);
}

/// Work of one usual request on one layer of an accelerator, in ms.
double layerMsPerRequest(const EngineProfile &profile, const AcceleratorKind &kind)
{
    const double step = stepMs(profile, kind, 1, ReferenceBatch, ReferenceBatch * usualTokens(profile)) / ReferenceBatch;
    return prefillMs(profile, kind, 1, profile.typicalPromptTokens) + step * profile.typicalAnswerTokens;
}

/// Requests that can pass each block at the same time, by zone and in all.
class Coverage
{
public:
    Coverage(const EngineProfile &profile, std::uint32_t block)
        : profile_(profile)
        , block_(block)
        , fleet_(profile.layers / block, 0)
    {
    }

    void add(const PlannerEndpoint &host, LayerRange range, double sign = 1)
    {
        const double capacity = sign * capacityOf(host, range);
        std::vector<double> &zone = zoneOf(host.zone);
        for (std::uint32_t b = range.first / block_; b < range.end / block_ && b < fleet_.size(); ++b) {
            zone[b] += capacity;
            fleet_[b] += capacity;
        }
    }

    /// What the host would add by holding the range: the logarithm makes the first holder worth most.
    double gain(const PlannerEndpoint &host, LayerRange range)
    {
        const double capacity = capacityOf(host, range);
        const std::vector<double> &zone = zoneOf(host.zone);
        double sum = 0;
        for (std::uint32_t b = range.first / block_; b < range.end / block_; ++b) {
            sum += std::log((1 + zone[b] + capacity) / (1 + zone[b])) + FleetWeight * std::log((1 + fleet_[b] + capacity) / (1 + fleet_[b]));
        }
        return sum;
    }

private:
    double capacityOf(const PlannerEndpoint &host, LayerRange range) const
    {
        return concurrentRequests(profile_, host.kind, range.size()) / std::max(1.0, host.slowdown);
    }

    std::vector<double> &zoneOf(std::uint32_t zone)
    {
        return zones_.try_emplace(zone, fleet_.size(), 0).first->second;
    }

    const EngineProfile &profile_;
    std::uint32_t block_;
    std::vector<double> fleet_;
    std::map<std::uint32_t, std::vector<double>> zones_;
};

LayerRange bestRange(const EngineProfile &profile, Coverage &coverage, const PlannerEndpoint &host, std::uint32_t size, std::uint32_t block)
{
    LayerRange best;
    double bestGain = -1;
    for (std::uint32_t first = 0; first + size <= profile.layers; first += block) {
        const LayerRange range{first, first + size};
        const double gain = coverage.gain(host, range);
        if (gain > bestGain + 1e-9) {
            bestGain = gain;
            best = range;
        }
    }
    return best;
}

} // namespace

double concurrentRequests(const EngineProfile &profile, std::uint32_t kind, std::uint32_t layers)
{
    if (kind >= profile.kinds.size() || layers == 0) {
        return 0;
    }
    const double byMemory = kvTokens(profile, profile.kinds[kind], layers) / usualTokens(profile);
    const double bySpeed = ReferenceRequestMs / (layerMsPerRequest(profile, profile.kinds[kind]) * layers);
    return std::min(byMemory, bySpeed);
}

std::uint32_t blockLayers(const EngineProfile &profile)
{
    std::uint32_t fallback = 0;
    for (std::uint32_t count = 1; count <= std::min(MostBlocks, profile.layers); ++count) {
        if (profile.layers % count != 0) {
            continue;
        }
        const std::uint32_t block = profile.layers / count;
        const auto room = [&](const AcceleratorKind &kind) {
            return kvTokens(profile, kind, block) / usualTokens(profile);
        };
        if (std::all_of(profile.kinds.begin(), profile.kinds.end(), [&](const auto &kind) { return room(kind) >= LeastRequests; })) {
            return block;
        }
        if (std::any_of(profile.kinds.begin(), profile.kinds.end(), [&](const auto &kind) { return room(kind) >= 1; })) {
            fallback = block;
        }
    }
    return fallback;
}

std::uint32_t rangeLayers(const EngineProfile &profile, std::uint32_t kind)
{
    const std::uint32_t block = blockLayers(profile);
    if (block == 0 || kind >= profile.kinds.size() || kvTokens(profile, profile.kinds[kind], block) < 1) {
        return 0;
    }
    std::uint32_t layers = block;
    while (layers + block <= profile.layers && kvTokens(profile, profile.kinds[kind], layers + block) >= ComfortableRequests * usualTokens(profile)) {
        layers += block;
    }
    return layers;
}

std::optional<Assignment> planMove(const EngineProfile &profile, const std::vector<PlannerEndpoint> &hosts)
{
    const std::uint32_t block = blockLayers(profile);
    if (block == 0) {
        return std::nullopt;
    }
    Coverage coverage(profile, block);
    for (const PlannerEndpoint &host : hosts) {
        coverage.add(host, host.held);
    }
    std::optional<Assignment> best;
    double bestGain = LeastMoveGain;
    for (std::uint32_t i = 0; i < hosts.size(); ++i) {
        const PlannerEndpoint &host = hosts[i];
        const std::uint32_t size = rangeLayers(profile, host.kind);
        if (!host.mayMove || host.held.empty() || size == 0) {
            continue;
        }
        coverage.add(host, host.held, -1);
        const LayerRange range = bestRange(profile, coverage, host, size, block);
        const double gain = coverage.gain(host, range) - coverage.gain(host, host.held) - OpenRequestCost * host.openRequests;
        if (range != host.held && gain > bestGain) {
            bestGain = gain;
            best = Assignment{i, range};
        }
        coverage.add(host, host.held);
    }
    return best;
}

std::vector<Assignment> planLayers(const EngineProfile &profile, const std::vector<PlannerEndpoint> &hosts)
{
    std::vector<Assignment> plan;
    const std::uint32_t block = blockLayers(profile);
    if (block == 0) {
        return plan;
    }
    Coverage coverage(profile, block);
    std::vector<std::uint32_t> empty;
    for (std::uint32_t i = 0; i < hosts.size(); ++i) {
        if (hosts[i].held.empty()) {
            empty.push_back(i);
        } else {
            coverage.add(hosts[i], hosts[i].held);
        }
    }
    const auto slowdown = [&](std::uint32_t host) {
        const std::uint32_t kind = hosts[host].kind;
        return kind < profile.kinds.size() ? layerMsPerRequest(profile, profile.kinds[kind]) : HUGE_VAL;
    };
    std::stable_sort(empty.begin(), empty.end(), [&](std::uint32_t a, std::uint32_t b) { return slowdown(a) < slowdown(b); });
    for (const std::uint32_t index : empty) {
        const std::uint32_t size = rangeLayers(profile, hosts[index].kind);
        if (size == 0) {
            continue;
        }
        const LayerRange range = bestRange(profile, coverage, hosts[index], size, block);
        coverage.add(hosts[index], range);
        plan.push_back({index, range});
    }
    return plan;
}

} // namespace placement
