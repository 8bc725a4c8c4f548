#include "placement/PipelineChooser.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace placement {

namespace {

/// Factor on the time of a pass: a token also waits at each stage for the pass in progress, on average half of one.
constexpr double WaitFactor = 1.5;
/// Maximum number of stages that the endpoints accept in one pipeline.
constexpr std::size_t MaxStages = 32;
/// Fill ratio of a holder's context memory above which its cost rises, since the answer length is often estimated too low.
constexpr double FillPenaltyThreshold = 0.7;
/// Increase of the cost factor for each unit of the fill ratio above the threshold.
constexpr double FillPenaltySlope = 4.0;
/// Weight of time on the link between two zones. The link carries the transfers of all requests one after another, so each delays many others.
constexpr double ZoneLinkWeight = 60;
/// Fixed cost of each stage for each token.
constexpr double StageOverheadMs = 0.2;
/// Weight of the time for each token in the search for a pipeline of a higher pace.
constexpr double PaceWeight = 10;
constexpr double UnreachableCost = std::numeric_limits<double>::infinity();

/// Predicted times of one stage.
struct StageCost {
    /// Time until the first token without waiting, and for each token.
    double firstMs = 0;
    double tokenMs = 0;
    /// Time in the queue of requests that came before.
    double waitMs = 0;
    /// Time that requests which others may have sent meanwhile would add.
    double uncertainMs = 0;
};

/// The cheapest sequence of stages found that ends at one layer boundary with its last stage in one zone. Nodes are indexed by
/// boundary * zones + zone.
struct Node {
    /// Total cost from the start.
    double cost = UnreachableCost;
    double firstMs = 0;
    double tokenMs = 0;
    /// The longest wait at a stage. Requests that wait for each other at one stage follow each other through the later ones without waiting again.
    double waitMs = 0;
    /// Holder and layers of the last stage.
    std::uint32_t holder = 0;
    LayerRange layers;
    /// Index of the node before the last stage.
    std::size_t previous = 0;
    /// Number of stages from the start.
    std::uint32_t stages = 0;
};

/// Shortest-path search for one request. Every stage leads to a higher boundary, so that one pass over the boundaries in order finds all costs.
class PipelineSearch
{
public:
    PipelineSearch(const EngineProfile &profile, const std::vector<LayerHolder> &holders, const PipelineRequest &request, double tokenWeight)
        : profile_(profile)
        , holders_(holders)
        , request_(request)
        , tokenWeight_(tokenWeight)
        , requestedLayers_(request.layers.empty() ? LayerRange{0, profile.layers} : request.layers)
        , zoneLinkBacklogMs_(transferMs(profile, request.zoneLinkTokens, true) - transferMs(profile, request.zoneLinkTokens, false))
    {
        collectBoundaries();
        for (const LayerHolder &holder : holders) {
            zones_ = std::max(zones_, holder.zone + 1);
        }
        zones_ = std::max({zones_, request.zone + 1, request.nextZone.value_or(0) + 1});
        nodes_.resize(boundaries_.size() * zones_);
    }

    Pipeline run()
    {
        if (boundaries_.size() < 2) {
            return {};
        }
        nodes_[request_.zone].cost = 0;
        for (std::size_t boundary = 0; boundary + 1 < boundaries_.size(); ++boundary) {
            for (std::uint32_t zone = 0; zone < zones_; ++zone) {
                extend(boundary, zone);
            }
        }
        return bestPipeline();
    }

private:
    /// Collects the layers at which a stage can begin or end, in ascending order.
    void collectBoundaries()
    {
        boundaries_ = {requestedLayers_.first, requestedLayers_.end};
        for (const LayerHolder &holder : holders_) {
            if (holder.usable && !holder.held.empty()) {
                boundaries_.push_back(std::clamp(holder.held.first, requestedLayers_.first, requestedLayers_.end));
                boundaries_.push_back(std::clamp(holder.held.end, requestedLayers_.first, requestedLayers_.end));
            }
        }
        std::sort(boundaries_.begin(), boundaries_.end());
        boundaries_.erase(std::unique(boundaries_.begin(), boundaries_.end()), boundaries_.end());
    }

    std::size_t boundaryIndex(std::uint32_t layer) const
    {
        return static_cast<std::size_t>(std::lower_bound(boundaries_.begin(), boundaries_.end(), layer) - boundaries_.begin());
    }

    /// Predicts the times of a stage; infinite if the holder has no memory left for the request's context.
    StageCost costOf(const LayerHolder &holder, std::uint32_t layers) const
    {
        const AcceleratorKind &kind = profile_.kinds[holder.kind];
        const double capacityTokens = kvCapacityTokens(profile_, kind, holder.held.size());
        const double neededTokens = request_.promptTokens + request_.answerTokens;
        const double fill = capacityTokens > 0 ? (holder.contextTokens + neededTokens) / capacityTokens : UnreachableCost;
        if (fill > 1) {
            return {UnreachableCost, UnreachableCost, 0, 0};
        }
        const double fillFactor = fill > FillPenaltyThreshold ? 1 + FillPenaltySlope * (fill - FillPenaltyThreshold) : 1;
        const double tokenStepMs = stepMs(profile_, kind, layers, holder.sequences + 1, holder.contextTokens + neededTokens);
        const double factor = WaitFactor * holder.slowdown * fillFactor;
        const auto promptMs = [&](double tokens) {
            return interleavedPrefillMs(profile_, kind, layers, tokens, holder.sequences, holder.contextTokens);
        };
        const double promptTokenMs = promptMs(1);
        const double backlogMs = holder.slowdown * promptTokenMs * holder.pendingPrefillTokens;
        // A prompt counts in the backlog of all its stages until the first token. By Little's law, a stage that isn't saturated has the prompts of about
        // one such time in its backlog although nobody waits there; only what is beyond that is a queue.
        const double typicalFirstMs = holder.slowdown * promptMs(profile_.typicalPromptTokens) * profile_.layers / layers;
        const double waitMs = std::max(0.0, backlogMs - typicalFirstMs);
        const double uncertainMs = factor * promptTokenMs * holder.uncertainPrefillTokens;
        const double firstPassMs = profile_.stepsPerPass * tokenStepMs;
        return {factor * (promptMs(request_.promptTokens) + firstPassMs), factor * tokenStepMs + StageOverheadMs, waitMs, uncertainMs};
    }

    /// Tries every holder of the boundary's layer as the next stage after the node.
    void extend(std::size_t boundary, std::uint32_t zone)
    {
        const std::size_t from = boundary * zones_ + zone;
        if (nodes_[from].cost == UnreachableCost || nodes_[from].stages >= MaxStages) {
            return;
        }
        const std::uint32_t layer = boundaries_[boundary];
        for (std::uint32_t i = 0; i < holders_.size(); ++i) {
            const LayerHolder &holder = holders_[i];
            const bool covers = holder.usable && holder.held.first <= layer && layer < holder.held.end && holder.kind < profile_.kinds.size();
            if (covers && (layer > 0 || holder.canBeFirst)) {
                tryStage(from, i, {layer, std::min(holder.held.end, requestedLayers_.end)}, layer > 0 && holder.zone != zone);
            }
        }
    }

    /// Appends a stage to the node `from` and keeps the result if it is the cheapest way to its end node.
    void tryStage(std::size_t from, std::uint32_t index, LayerRange layers, bool crossesZone)
    {
        StageCost stage = costOf(holders_[index], layers.size());
        const double perToken = transferMs(profile_, 1, crossesZone) + (crossesZone ? profile_.zoneDelayMs : 0);
        stage.firstMs += transferMs(profile_, request_.promptTokens, crossesZone) + (crossesZone ? profile_.zoneDelayMs : 0);
        stage.tokenMs += perToken;
        const double zoneLinkMs = crossesZone ? transferMs(profile_, request_.promptTokens + request_.answerTokens, true) : 0;
        stage.waitMs = crossesZone ? std::max(stage.waitMs, zoneLinkBacklogMs_) : stage.waitMs;
        const Node &before = nodes_[from];
        const double waitMs = std::max(before.waitMs, stage.waitMs);
        const double timeMs = holders_[index].costFactor * (stage.firstMs + stage.uncertainMs + tokenWeight_ * stage.tokenMs * request_.answerTokens);
        const double cost = before.cost + timeMs + stage.waitMs + ZoneLinkWeight * zoneLinkMs + request_.stageCostMs;
        Node &to = nodes_[boundaryIndex(layers.end) * zones_ + holders_[index].zone];
        if (cost < to.cost) {
            to = {cost, before.firstMs + stage.firstMs, before.tokenMs + stage.tokenMs, waitMs, index, layers, from, before.stages + 1};
        }
    }

    /// Cost of the transfers from the last stage, in the given zone, to the stage after the requested layers; 0 if there is none.
    double costToNext(std::size_t zone) const
    {
        if (!request_.nextZone || *request_.nextZone == zone) {
            return 0;
        }
        const double tokenMs = transferMs(profile_, 1, true) + profile_.zoneDelayMs;
        return tokenMs * request_.answerTokens + ZoneLinkWeight * transferMs(profile_, request_.promptTokens + request_.answerTokens, true);
    }

    /// Follows the cheapest node at the last boundary back to the start.
    Pipeline bestPipeline() const
    {
        const std::size_t begin = (boundaries_.size() - 1) * zones_;
        std::size_t last = begin;
        for (std::size_t node = begin; node < nodes_.size(); ++node) {
            last = nodes_[node].cost + costToNext(node - begin) < nodes_[last].cost + costToNext(last - begin) ? node : last;
        }
        Pipeline pipeline;
        if (nodes_[last].cost == UnreachableCost) {
            return pipeline;
        }
        pipeline.waitMs = nodes_[last].waitMs;
        pipeline.firstTokenMs = nodes_[last].firstMs + pipeline.waitMs;
        pipeline.tokenMs = nodes_[last].tokenMs;
        for (std::size_t node = last; nodes_[node].stages > 0; node = nodes_[node].previous) {
            pipeline.stages.push_back({nodes_[node].holder, nodes_[node].layers});
        }
        std::reverse(pipeline.stages.begin(), pipeline.stages.end());
        return pipeline;
    }

    const EngineProfile &profile_;
    const std::vector<LayerHolder> &holders_;
    const PipelineRequest &request_;
    const double tokenWeight_;
    const LayerRange requestedLayers_;
    /// Time that the link between zones needs for what is under way.
    const double zoneLinkBacklogMs_;
    std::vector<std::uint32_t> boundaries_;
    std::uint32_t zones_ = 1;
    std::vector<Node> nodes_;
};

} // namespace

Pipeline choosePipeline(const EngineProfile &profile, const std::vector<LayerHolder> &holders, const PipelineRequest &request)
{
    Pipeline cheapest = PipelineSearch(profile, holders, request, 1).run();
    const double maxTokenMs = request.maxEventIntervalMs / std::max(1U, profile.stepsPerPass);
    if (maxTokenMs <= 0 || cheapest.stages.empty() || cheapest.tokenMs <= maxTokenMs) {
        return cheapest;
    }
    const Pipeline fastest = PipelineSearch(profile, holders, request, PaceWeight).run();
    return fastest.tokenMs <= maxTokenMs ? fastest : cheapest;
}

} // namespace placement
