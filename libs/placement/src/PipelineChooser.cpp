#include "placement/PipelineChooser.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace placement {

namespace {

/// A token waits at each stage for the pass that is in progress there: half of one on average, on top of its own.
constexpr double WaitFactor = 1.5;
/// Stages that the endpoints accept in one path.
constexpr std::size_t MostStages = 32;
/// Share of a holder's memory above which its cost rises, since estimates of answer length are often too low.
constexpr double ComfortableFill = 0.7;
constexpr double FillPenalty = 4.0;
/// The pipe between two zones serves all requests one after another: what one takes there delays many others.
constexpr double PipeSharing = 60;
/// Fixed cost of one more stage for each token, in ms.
constexpr double HopMs = 0.2;
constexpr double Unreachable = std::numeric_limits<double>::infinity();

/// Predicted times of one stage.
struct StageCost {
    double firstMs = 0;
    double tokenMs = 0;
};

/// Best way found to one layer boundary with the previous stage in one zone.
struct Node {
    double cost = Unreachable;
    double firstMs = 0;
    double tokenMs = 0;
    std::uint32_t holder = 0;
    LayerRange layers;
    std::size_t previous = 0;
    std::uint32_t stages = 0;
};

class Search
{
public:
    Search(const EngineProfile &profile, const std::vector<LayerHolder> &holders, const PipelineRequest &request)
        : profile_(profile)
        , holders_(holders)
        , request_(request)
        , wanted_(request.layers.empty() ? LayerRange{0, profile.layers} : request.layers)
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
        return best();
    }

private:
    void collectBoundaries()
    {
        boundaries_ = {wanted_.first, wanted_.end};
        for (const LayerHolder &holder : holders_) {
            if (holder.usable && !holder.held.empty()) {
                boundaries_.push_back(std::clamp(holder.held.first, wanted_.first, wanted_.end));
                boundaries_.push_back(std::clamp(holder.held.end, wanted_.first, wanted_.end));
            }
        }
        std::sort(boundaries_.begin(), boundaries_.end());
        boundaries_.erase(std::unique(boundaries_.begin(), boundaries_.end()), boundaries_.end());
    }

    std::size_t boundaryOf(std::uint32_t layer) const
    {
        return static_cast<std::size_t>(std::lower_bound(boundaries_.begin(), boundaries_.end(), layer) - boundaries_.begin());
    }

    /// Infinite times if the holder has no room for the request.
    StageCost costOf(const LayerHolder &holder, std::uint32_t layers) const
    {
        const AcceleratorKind &kind = profile_.kinds[holder.kind];
        const double room = kvTokens(profile_, kind, holder.held.size());
        const double needed = request_.promptTokens + request_.answerTokens;
        const double fill = room > 0 ? (holder.contextTokens + needed) / room : Unreachable;
        if (fill > 1) {
            return {Unreachable, Unreachable};
        }
        const double pressure = fill > ComfortableFill ? 1 + FillPenalty * (fill - ComfortableFill) : 1;
        const double step = stepMs(profile_, kind, layers, holder.sequences + 1, holder.contextTokens + needed);
        const double factor = WaitFactor * holder.slowdown * pressure;
        const double read = prefillMs(profile_, kind, layers, request_.promptTokens) + prefillMs(profile_, kind, layers, 1) * holder.pendingPrefillTokens;
        return {factor * (read + step), factor * step + HopMs};
    }

    void extend(std::size_t boundary, std::uint32_t zone)
    {
        const std::size_t from = boundary * zones_ + zone;
        if (nodes_[from].cost == Unreachable || nodes_[from].stages >= MostStages) {
            return;
        }
        const std::uint32_t layer = boundaries_[boundary];
        for (std::uint32_t i = 0; i < holders_.size(); ++i) {
            const LayerHolder &holder = holders_[i];
            const bool covers = holder.usable && holder.held.first <= layer && layer < holder.held.end && holder.kind < profile_.kinds.size();
            if (covers && (layer > 0 || holder.canBeFirst)) {
                tryStage(from, i, {layer, std::min(holder.held.end, wanted_.end)}, layer > 0 && holder.zone != zone);
            }
        }
    }

    void tryStage(std::size_t from, std::uint32_t index, LayerRange layers, bool crossesZone)
    {
        StageCost stage = costOf(holders_[index], layers.size());
        const double perToken = transferMs(profile_, 1, crossesZone) + (crossesZone ? profile_.zoneDelayMs : 0);
        stage.firstMs += transferMs(profile_, request_.promptTokens, crossesZone) + (crossesZone ? profile_.zoneDelayMs : 0);
        stage.tokenMs += perToken;
        const double pipeMs = crossesZone ? transferMs(profile_, request_.promptTokens + request_.answerTokens, true) : 0;
        const double cost = nodes_[from].cost + stage.firstMs + stage.tokenMs * request_.answerTokens + PipeSharing * pipeMs;
        Node &to = nodes_[boundaryOf(layers.end) * zones_ + holders_[index].zone];
        if (cost < to.cost) {
            to = {cost, nodes_[from].firstMs + stage.firstMs, nodes_[from].tokenMs + stage.tokenMs, index, layers, from, nodes_[from].stages + 1};
        }
    }

    /// Of getting from the last stage, in that zone, to the stage after the wanted layers.
    double costToNext(std::size_t zone) const
    {
        if (!request_.nextZone || *request_.nextZone == zone) {
            return 0;
        }
        const double tokenMs = transferMs(profile_, 1, true) + profile_.zoneDelayMs;
        return tokenMs * request_.answerTokens + PipeSharing * transferMs(profile_, request_.promptTokens + request_.answerTokens, true);
    }

    Pipeline best() const
    {
        const std::size_t begin = (boundaries_.size() - 1) * zones_;
        std::size_t last = begin;
        for (std::size_t node = begin; node < nodes_.size(); ++node) {
            last = nodes_[node].cost + costToNext(node - begin) < nodes_[last].cost + costToNext(last - begin) ? node : last;
        }
        Pipeline path;
        if (nodes_[last].cost == Unreachable) {
            return path;
        }
        path.firstTokenMs = nodes_[last].firstMs;
        path.tokenMs = nodes_[last].tokenMs;
        for (std::size_t node = last; nodes_[node].stages > 0; node = nodes_[node].previous) {
            path.stages.push_back({nodes_[node].holder, nodes_[node].layers});
        }
        std::reverse(path.stages.begin(), path.stages.end());
        return path;
    }

    const EngineProfile &profile_;
    const std::vector<LayerHolder> &holders_;
    const PipelineRequest &request_;
    const LayerRange wanted_;
    std::vector<std::uint32_t> boundaries_;
    std::uint32_t zones_ = 1;
    std::vector<Node> nodes_;
};

} // namespace

Pipeline choosePipeline(const EngineProfile &profile, const std::vector<LayerHolder> &holders, const PipelineRequest &request)
{
    return Search(profile, holders, request).run();
}

} // namespace placement
