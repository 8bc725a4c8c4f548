#pragma once

#include "placement/EngineProfile.h"

#include <optional>

namespace placement {

/// An endpoint that holds layers, with the work that is on it.
struct LayerHolder {
    std::uint32_t kind = 0;
    std::uint32_t zone = 0;
    LayerRange held;
    /// Requests whose tokens pass through it, and their tokens of context in all.
    double sequences = 0;
    double contextTokens = 0;
    /// Prompt tokens that it has been sent and has not read yet.
    double pendingPrefillTokens = 0;
    /// How much slower than its profile it works; 1 is as expected.
    double slowdown = 1;
    bool usable = true;
    /// False if it may only serve as a later stage.
    bool canBeFirst = true;
};

/// What the path is for.
struct PipelineRequest {
    double promptTokens = 0;
    double answerTokens = 0;
    /// Zone of the instance that asks, or of the stage before the layers.
    std::uint32_t zone = 0;
    /// The layers that the path must run; empty for the whole model.
    LayerRange layers = {};
    /// Zone of the stage after the layers, if there is one.
    std::optional<std::uint32_t> nextZone = std::nullopt;
};

/// One stage: the holder's index in the call, and the layers that it runs.
struct PipelineStage {
    std::uint32_t holder = 0;
    LayerRange layers;
};

/// A chain of stages over the wanted layers with its predicted times; no stages if there is none.
struct Pipeline {
    std::vector<PipelineStage> stages;
    double firstTokenMs = 0;
    double tokenMs = 0;
};

/// The path with the lowest predicted time for the whole answer, over holders that are usable and have room for the request.
///
/// A shortest path over (layer, zone of the previous stage): the cost is proportional to holders x layer boundaries x zones.
Pipeline choosePipeline(const EngineProfile &profile, const std::vector<LayerHolder> &holders, const PipelineRequest &request);

} // namespace placement
