#pragma once

#include "details/ChoicePolicy.h"

#include <set>
#include <string>
#include <vector>

namespace trefoilport {

/// The requirements for a pipeline.
struct PipelineRequest {
    std::string model;
    /// Number of layers of the model.
    std::uint32_t layers = 0;
    /// Name of the choice policy in the settings.
    std::string policy;
    /// Endpoints that must not be part of the pipeline; null means none.
    const std::set<EndpointIndex> *avoid = nullptr;
    /// Number of live instances, which share the endpoints' capacity.
    std::size_t liveInstances = 1;
    /// Tokens to be prefilled: those of the prompt and those already delivered to the caller.
    std::uint32_t prefillTokens = 0;
    /// Percentage of an endpoint's capacity that calls of this class may fill.
    std::uint32_t capacityPercent = 100;
    /// True: take only endpoints at which this instance has no attempt in flight. Meant for requests that are suspected of crashing endpoints; no
    /// caller sets it at present.
    bool isolated = false;
    /// False: take every usable endpoint, whether or not it has room.
    bool needsRoom = true;
};

/// Chooses the endpoints for attempts: a pipeline for a completion call, a single endpoint for a call of a plain service.
///
/// A pipeline is the cheapest sequence of endpoints whose layer ranges cover every layer exactly once. It is found as a shortest path in the graph
/// whose nodes are the endpoints and whose edges join adjacent layer ranges, by dynamic programming in order of first layer: O(E²) for E
/// endpoints of the model.
class PipelineChooser
{
public:
    /// The table must outlive the chooser. The seed makes random choices reproducible.
    PipelineChooser(const EndpointTable &table, std::string ownZone, std::uint64_t seed);

    /// Returns the endpoints of the cheapest pipeline in stage order, or nothing if no pipeline meets the request.
    std::vector<EndpointIndex> choosePipeline(const PipelineRequest &request);

    /// Returns the cheapest endpoint of a plain service that has room, by the "predicted" policy with random tie-breaking; empty if there is none.
    std::optional<EndpointIndex> chooseService(const std::string &service, const std::set<EndpointIndex> &avoid, std::size_t liveInstances);

private:
    /// True if the endpoint may be part of the requested pipeline.
    bool isCandidate(EndpointIndex index, const PipelineRequest &request) const;

    const EndpointTable &table_;
    std::string ownZone_;
    base::Random random_;
    /// Number of choices made so far.
    std::uint64_t turn_ = 0;
};

/// True if the stages cover the layers [0, layers) in order without gap or overlap.
bool coversAllLayers(const std::vector<PlanStage> &plan, std::uint32_t layers);

/// True if the stage reports of a token agree with the plan: every stage once and in order, with the same endpoint, layer range and incarnation.
bool agreesWithPlan(const std::vector<StageReport> &reports, const std::vector<PlanStage> &plan);

} // namespace trefoilport
