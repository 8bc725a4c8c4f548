#pragma once

#include "details/ChoicePolicy.h"

#include <set>
#include <string>
#include <vector>

namespace trefoilport {

/// What a chain of stages is wanted for.
struct PipelineRequest {
    std::string model;
    std::uint32_t layers = 0;
    std::string policy;
    /// Endpoints that must not be part of the chain.
    const std::set<EndpointIndex> *avoid = nullptr;
    std::size_t liveInstances = 1;
    std::uint32_t prefillTokens = 0;
    /// The part of an endpoint's capacity that calls of this class may fill.
    std::uint32_t capacityPercent = 100;
    /// Endpoints must be idle at this instance (for requests that are suspected of crashing endpoints).
    bool isolated = false;
    /// False: look only at which endpoints are usable, not at their room.
    bool needsRoom = true;
};

/// Puts endpoints with layer ranges together into the cheapest chain that covers every layer exactly once.
///
/// The cheapest path over the endpoints as nodes, in order of first layer: O(E²) for E endpoints of the model.
class PipelineChooser
{
public:
    PipelineChooser(const EndpointTable &table, std::string ownZone, std::uint64_t seed);

    /// The stages in layer order, or an empty chain.
    std::vector<EndpointIndex> choosePipeline(const PipelineRequest &request);

    /// One endpoint of a plain service, or none.
    std::optional<EndpointIndex> chooseService(const std::string &service, const std::set<EndpointIndex> &avoid, std::size_t liveInstances);

private:
    bool isCandidate(EndpointIndex index, const PipelineRequest &request) const;

    const EndpointTable &table_;
    std::string ownZone_;
    base::Random random_;
    std::uint64_t turn_ = 0;
};

/// True if the chain covers [0, layers) in order without gap or overlap.
bool coversAllLayers(const std::vector<PlanStage> &plan, std::uint32_t layers);

/// True if a token's stage reports agree with the plan: every stage once, in order, same range and incarnation.
bool agreesWithPlan(const std::vector<StageReport> &reports, const std::vector<PlanStage> &plan);

} // namespace trefoilport
