#include "placement/LayerPlanner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace placement {

namespace {

/// A range of more than one block leaves memory for at least this many typical requests.
constexpr double TargetRequestsPerRange = 100;
/// Every kind must have memory for this many typical requests beside one block. If no block size achieves that, the smallest block beside which
/// any kind has memory for one request is used.
constexpr double MinRequestsPerBlock = 20;
/// Maximum number of blocks of a model, and so of stages of a pipeline. Each stage adds a wait for the pass that is in progress there.
constexpr std::uint32_t MaxBlocks = 16;
/// Batch size at which the speeds of holders are compared.
constexpr double ReferenceBatchSequences = 60;
/// Time that a typical request may take if all its stages run at full speed; limits the number of concurrent requests by speed.
constexpr double ReferenceRequestMs = 4000;
/// Weight of capacity in the whole fleet relative to capacity in the endpoint's own zone.
constexpr double FleetWeight = 0.4;
/// Smallest gain for which an endpoint is moved.
constexpr double MinMoveGain = 0.35;
/// Layers are scarce if other layers have at least this multiple of their capacity in the whole fleet.
constexpr double MinScarceRatio = 1.5;
/// Differences below this part of a capacity, and gains below it, are errors of rounding: sums depend on the order in which they were made.
constexpr double Rounding = 1e-9;
/// Subtracted from the gain of a move for each request that passes through the endpoint.
constexpr double OpenRequestCost = 0.05;

/// Mean context of a typical request while it is answered: its prompt and half of its answer.
double typicalContextTokens(const EngineProfile &profile)
{
    return std::max(1.0, profile.typicalPromptTokens + profile.typicalAnswerTokens / 2);
}

/// Time that one typical request takes on one layer of an accelerator, in ms: its prefill and its part of the decoding steps of a batch.
double layerMsPerRequest(const EngineProfile &profile, const AcceleratorKind &kind)
{
    const double step = stepMs(profile, kind, 1, ReferenceBatchSequences, ReferenceBatchSequences * typicalContextTokens(profile)) / ReferenceBatchSequences;
    return prefillMs(profile, kind, 1, profile.typicalPromptTokens) + step * profile.typicalAnswerTokens;
}

/// Number of requests that the holders of each block can serve at the same time, by zone and in the whole fleet.
class Coverage
{
public:
    Coverage(const EngineProfile &profile, std::uint32_t block)
        : profile_(profile)
        , block_(block)
        , fleetCapacities_(profile.layers / block, 0)
    {
    }

    /// Coverage by what the endpoints hold.
    Coverage(const EngineProfile &profile, std::uint32_t block, const std::vector<PlannerEndpoint> &endpoints)
        : Coverage(profile, block)
    {
        for (const PlannerEndpoint &endpoint : endpoints) {
            add(endpoint, endpoint.held);
        }
    }

    /// Adds the capacity of an endpoint that holds the range; a sign of -1 removes it.
    void add(const PlannerEndpoint &endpoint, LayerRange range, double sign = 1)
    {
        const double capacity = sign * capacityOf(endpoint, range);
        std::vector<double> &zone = zoneCapacities(endpoint.zone);
        for (std::uint32_t b = range.first / block_; b < endBlock(range); ++b) {
            zone[b] += capacity;
            fleetCapacities_[b] += capacity;
        }
    }

    /// Value of the endpoint as a further holder of the range. The logarithm gives the first holder of a block the highest value.
    double gain(const PlannerEndpoint &endpoint, LayerRange range)
    {
        const double capacity = capacityOf(endpoint, range);
        const std::vector<double> &zone = zoneCapacities(endpoint.zone);
        double sum = 0;
        for (std::uint32_t b = range.first / block_; b < endBlock(range); ++b) {
            sum +=
                std::log((1 + zone[b] + capacity) / (1 + zone[b])) + FleetWeight * std::log((1 + fleetCapacities_[b] + capacity) / (1 + fleetCapacities_[b]));
        }
        return sum;
    }

    /// First layer of the block with the lowest capacity in the whole fleet.
    std::uint32_t scarcestLayer() const
    {
        const auto lowest = std::min_element(fleetCapacities_.begin(), fleetCapacities_.end());
        return static_cast<std::uint32_t>(lowest - fleetCapacities_.begin()) * block_;
    }

    /// Capacity of the whole fleet on that layer.
    double capacityOn(std::uint32_t layer) const
    {
        return fleetCapacities_[layer / block_];
    }

    /// The lowest capacity of the whole fleet on any layer of the range; infinite for a range without a block.
    double lowestCapacity(LayerRange range) const
    {
        double lowest = HUGE_VAL;
        for (std::uint32_t b = range.first / block_; b < endBlock(range); ++b) {
            lowest = std::min(lowest, fleetCapacities_[b]);
        }
        return lowest;
    }

    /// Returns whether other layers have far more capacity than that one.
    bool isScarce(std::uint32_t layer) const
    {
        const double highest = *std::max_element(fleetCapacities_.begin(), fleetCapacities_.end());
        return highest > 0 && capacityOn(layer) * MinScarceRatio <= highest;
    }

private:
    /// Returns the block after the last one of the range. An endpoint may say that it holds layers which the model doesn't have.
    std::uint32_t endBlock(LayerRange range) const
    {
        return std::min(range.end / block_, static_cast<std::uint32_t>(fleetCapacities_.size()));
    }

    double capacityOf(const PlannerEndpoint &endpoint, LayerRange range) const
    {
        return concurrentRequests(profile_, endpoint.kind, range.size()) / std::max(1.0, endpoint.slowdown);
    }

    std::vector<double> &zoneCapacities(std::uint32_t zone)
    {
        return capacitiesByZone_.try_emplace(zone, fleetCapacities_.size(), 0).first->second;
    }

    const EngineProfile &profile_;
    std::uint32_t block_;
    std::vector<double> fleetCapacities_;
    std::map<std::uint32_t, std::vector<double>> capacitiesByZone_;
};

bool includes(LayerRange range, std::uint32_t layer)
{
    return range.first <= layer && layer < range.end;
}

/// Returns the range of the given size with the highest gain for the endpoint; the first one of equals. If `layer` is given, only ranges that include it
/// are considered.
LayerRange bestRange(const EngineProfile &profile,
                     Coverage &coverage,
                     const PlannerEndpoint &endpoint,
                     std::uint32_t size,
                     std::uint32_t block,
                     std::optional<std::uint32_t> layer = std::nullopt)
{
    LayerRange best;
    double bestGain = -1;
    for (std::uint32_t first = 0; first + size <= profile.layers; first += block) {
        const LayerRange range{first, first + size};
        if (layer && !includes(range, *layer)) {
            continue;
        }
        const double gain = coverage.gain(endpoint, range);
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
    const double byMemory = kvCapacityTokens(profile, profile.kinds[kind], layers) / typicalContextTokens(profile);
    const double bySpeed = ReferenceRequestMs / (layerMsPerRequest(profile, profile.kinds[kind]) * layers);
    return std::min(byMemory, bySpeed);
}

std::uint32_t layersPerBlock(const EngineProfile &profile)
{
    std::uint32_t fallback = 0;
    for (std::uint32_t count = 1; count <= std::min(MaxBlocks, profile.layers); ++count) {
        if (profile.layers % count != 0) {
            continue;
        }
        const std::uint32_t block = profile.layers / count;
        const auto requestsPerBlock = [&](const AcceleratorKind &kind) {
            return kvCapacityTokens(profile, kind, block) / typicalContextTokens(profile);
        };
        if (std::all_of(profile.kinds.begin(), profile.kinds.end(), [&](const auto &kind) { return requestsPerBlock(kind) >= MinRequestsPerBlock; })) {
            return block;
        }
        if (std::any_of(profile.kinds.begin(), profile.kinds.end(), [&](const auto &kind) { return requestsPerBlock(kind) >= 1; })) {
            fallback = block;
        }
    }
    return fallback;
}

std::uint32_t layersPerRange(const EngineProfile &profile, std::uint32_t kind)
{
    const std::uint32_t block = layersPerBlock(profile);
    if (block == 0 || kind >= profile.kinds.size() || kvCapacityTokens(profile, profile.kinds[kind], block) < 1) {
        return 0;
    }
    std::uint32_t layers = block;
    while (layers + block <= profile.layers
           && kvCapacityTokens(profile, profile.kinds[kind], layers + block) >= TargetRequestsPerRange * typicalContextTokens(profile)) {
        layers += block;
    }
    return layers;
}

std::optional<Assignment> planMove(const EngineProfile &profile, const std::vector<PlannerEndpoint> &endpoints)
{
    const std::uint32_t block = layersPerBlock(profile);
    if (block == 0) {
        return std::nullopt;
    }
    Coverage coverage(profile, block, endpoints);
    std::optional<Assignment> best;
    double bestGain = MinMoveGain;
    for (std::uint32_t i = 0; i < endpoints.size(); ++i) {
        const PlannerEndpoint &endpoint = endpoints[i];
        const std::uint32_t size = layersPerRange(profile, endpoint.kind);
        if (!endpoint.mayMove || endpoint.held.empty() || size == 0) {
            continue;
        }
        coverage.add(endpoint, endpoint.held, -1);
        const LayerRange range = bestRange(profile, coverage, endpoint, size, block);
        const double gain = coverage.gain(endpoint, range) - coverage.gain(endpoint, endpoint.held) - OpenRequestCost * endpoint.openRequests;
        if (range != endpoint.held && gain > bestGain) {
            bestGain = gain;
            best = Assignment{i, range};
        }
        coverage.add(endpoint, endpoint.held);
    }
    return best;
}

std::optional<std::uint32_t> scarcestLayer(const EngineProfile &profile, const std::vector<PlannerEndpoint> &endpoints)
{
    const std::uint32_t block = layersPerBlock(profile);
    if (block == 0) {
        return std::nullopt;
    }
    const Coverage coverage(profile, block, endpoints);
    const std::uint32_t layer = coverage.scarcestLayer();
    return coverage.isScarce(layer) ? std::optional(layer) : std::nullopt;
}

bool isScarce(const EngineProfile &profile, const std::vector<PlannerEndpoint> &endpoints, std::uint32_t layer)
{
    const std::uint32_t block = layersPerBlock(profile);
    return block != 0 && layer < profile.layers && Coverage(profile, block, endpoints).isScarce(layer);
}

std::optional<Assignment> planRelief(const EngineProfile &profile, const std::vector<PlannerEndpoint> &endpoints, std::uint32_t layer)
{
    const std::uint32_t block = layersPerBlock(profile);
    if (block == 0) {
        return std::nullopt;
    }
    Coverage coverage(profile, block, endpoints);
    const double before = coverage.capacityOn(layer);
    std::optional<Assignment> best;
    double bestRank = -HUGE_VAL;
    for (std::uint32_t i = 0; i < endpoints.size(); ++i) {
        const PlannerEndpoint &endpoint = endpoints[i];
        const std::uint32_t size = layersPerRange(profile, endpoint.kind);
        if (!endpoint.mayMove || endpoint.held.empty() || includes(endpoint.held, layer) || size == 0) {
            continue;
        }
        coverage.add(endpoint, endpoint.held, -1);
        const LayerRange range = bestRange(profile, coverage, endpoint, size, block, layer);
        const double gain = coverage.gain(endpoint, range) - coverage.gain(endpoint, endpoint.held);
        // The layers that it gives up must not become as scarce as those that it takes were.
        const bool isAffordable = coverage.lowestCapacity(endpoint.held) > before * (1 + Rounding);
        const double rank = gain - OpenRequestCost * endpoint.openRequests;
        if (isAffordable && gain > Rounding && rank > bestRank) {
            bestRank = rank;
            best = Assignment{i, range};
        }
        coverage.add(endpoint, endpoint.held);
    }
    return best;
}

std::vector<Assignment> planLayers(const EngineProfile &profile, const std::vector<PlannerEndpoint> &endpoints)
{
    std::vector<Assignment> plan;
    const std::uint32_t block = layersPerBlock(profile);
    if (block == 0) {
        return plan;
    }
    Coverage coverage(profile, block);
    std::vector<std::uint32_t> empty;
    for (std::uint32_t i = 0; i < endpoints.size(); ++i) {
        if (endpoints[i].held.empty()) {
            empty.push_back(i);
        } else {
            coverage.add(endpoints[i], endpoints[i].held);
        }
    }
    // Time that a typical request takes per layer on the endpoint's kind, in ms. Endpoints of unknown kinds come last.
    const auto layerMs = [&](std::uint32_t endpoint) {
        const std::uint32_t kind = endpoints[endpoint].kind;
        return kind < profile.kinds.size() ? layerMsPerRequest(profile, profile.kinds[kind]) : HUGE_VAL;
    };
    std::stable_sort(empty.begin(), empty.end(), [&](std::uint32_t a, std::uint32_t b) { return layerMs(a) < layerMs(b); });
    for (const std::uint32_t index : empty) {
        const std::uint32_t size = layersPerRange(profile, endpoints[index].kind);
        if (size == 0) {
            continue;
        }
        const LayerRange range = bestRange(profile, coverage, endpoints[index], size, block);
        coverage.add(endpoints[index], range);
        plan.push_back({index, range});
    }
    return plan;
}

} // namespace placement
