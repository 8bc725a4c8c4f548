#pragma once

#include "placement/EngineProfile.h"

#include <optional>

namespace placement {

/// An endpoint that holds layers, with its current load.
struct LayerHolder {
    /// Index into EngineProfile::kinds.
    std::uint32_t kind = 0;
    /// Number of its availability zone. Numbers should be small, since the search keeps a node for each one up to the highest.
    std::uint32_t zone = 0;
    LayerRange held;
    /// Number of requests that pass through it, and the total of their tokens of context.
    double sequences = 0;
    double contextTokens = 0;
    /// Prompt tokens of requests through it that have had no token yet, as far as known. Waiting times are predicted from them.
    double pendingPrefillTokens = 0;
    /// Further prompt tokens that others may have sent to it since. They make it less attractive, so that not all choose the same holder.
    double uncertainPrefillTokens = 0;
    /// Time that its work takes, as a multiple of the time that its profile predicts; 1 is as expected.
    double slowdown = 1;
    /// Multiple of its times that counts when pipelines are compared; predictions don't contain it. Random factors keep requesters that have the same
    /// knowledge from all choosing the same holder.
    double costFactor = 1;
    /// False if it may not be a stage.
    bool usable = true;
    /// False if it may only serve as a later stage.
    bool canBeFirst = true;
};

/// A request for which a pipeline is chosen.
struct PipelineRequest {
    double promptTokens = 0;
    /// Expected length of the answer.
    double answerTokens = 0;
    /// Zone of the requesting instance, or of the stage before the layers.
    std::uint32_t zone = 0;
    /// Layers that the pipeline must run; empty for the whole model.
    LayerRange layers = {};
    /// Zone of the stage after the layers, if there is one.
    std::optional<std::uint32_t> nextZone = std::nullopt;
    /// Prompt tokens of other requests that are under way over the link between zones, one after another.
    double zoneLinkTokens = 0;
    /// Expected cost of each stage by faults of its endpoint, in ms; predictions don't contain it.
    double stageCostMs = 0;
    /// Longest time between two events that is wanted; 0 for any. A pipeline that is predicted to be slower is chosen only if a search that prefers a high pace
    /// finds none that keeps to it.
    double maxEventIntervalMs = 0;
};

/// One stage of a pipeline.
struct PipelineStage {
    /// Index into the holders given to choosePipeline().
    std::uint32_t holder = 0;
    /// Layers that it runs, all or some of those that it holds.
    LayerRange layers;
};

/// The stages that together run the requested layers, with predicted times.
struct Pipeline {
    /// In the order of their layers; empty if no pipeline exists.
    std::vector<PipelineStage> stages;
    /// Time until the first token, and time for each token.
    double firstTokenMs = 0;
    double tokenMs = 0;
    /// Part of the time until the first token that the request waits for others, in prefill or on the link between zones.
    double waitMs = 0;
};

/// Returns the pipeline with the lowest cost over holders that are usable and have memory for the request's context. The cost is the predicted
/// time for the whole answer, plus a penalty for traffic between zones.
///
/// Solves a shortest-path problem over the nodes (layer boundary, zone of the previous stage) in a time that is proportional to
/// holders x layer boundaries x zones.
Pipeline choosePipeline(const EngineProfile &profile, const std::vector<LayerHolder> &holders, const PipelineRequest &request);

} // namespace placement
