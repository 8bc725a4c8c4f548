#include "details/PipelineChooser.h"

#include <algorithm>
#include <limits>

namespace trefoilport {

namespace {

/// Cost of an endpoint that no sequence of stages from layer 0 reaches.
constexpr double Unreachable = std::numeric_limits<double>::infinity();
/// Predecessor of a first stage.
constexpr std::size_t NoPredecessor = std::numeric_limits<std::size_t>::max();

} // namespace

PipelineChooser::PipelineChooser(const EndpointTable &table, std::string ownZone, std::uint64_t seed)
    : table_(table)
    , ownZone_(std::move(ownZone))
    , random_(seed)
{
}

bool PipelineChooser::isCandidate(EndpointIndex index, const PipelineRequest &request) const
{
    const Endpoint &endpoint = table_.at(index);
    if (endpoint.info.kind != EndpointKind::Engine || endpoint.info.endLayer <= endpoint.info.firstLayer) {
        return false;
    }
    if (request.avoid != nullptr && request.avoid->count(index) > 0) {
        return false;
    }
    if (request.isolated && endpoint.inFlight > 0) {
        return false;
    }
    return request.needsRoom ? table_.hasRoom(index, request.liveInstances, request.capacityPercent) : table_.isUsable(index);
}

std::vector<EndpointIndex> PipelineChooser::choosePipeline(const PipelineRequest &request)
{
    std::vector<EndpointIndex> candidates;
    for (const EndpointIndex index : table_.serving(request.model)) {
        if (isCandidate(index, request)) {
            candidates.push_back(index);
        }
    }
    const CostFunction policyCost = policyNamed(request.policy);
    const ChoiceContext context{table_, ownZone_, random_, turn_++, request.prefillTokens};
    std::vector<double> best(candidates.size(), Unreachable);
    std::vector<std::size_t> predecessor(candidates.size(), NoPredecessor);
    std::size_t last = NoPredecessor;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const EndpointInfo &info = table_.at(candidates[i]).info;
        const double endpointCost = policyCost(context, candidates[i]);
        if (info.firstLayer == 0) {
            best[i] = endpointCost + linkCost(ownZone_, info.zone);
        }
        for (std::size_t j = 0; j < i; ++j) {
            const EndpointInfo &previous = table_.at(candidates[j]).info;
            const double cost = best[j] + endpointCost + linkCost(previous.zone, info.zone);
            if (previous.endLayer == info.firstLayer && cost < best[i]) {
                best[i] = cost;
                predecessor[i] = j;
            }
        }
        if (info.endLayer == request.layers && best[i] < Unreachable && (last == NoPredecessor || best[i] < best[last])) {
            last = i;
        }
    }
    std::vector<EndpointIndex> pipeline;
    for (std::size_t i = last; i != NoPredecessor; i = predecessor[i]) {
        pipeline.push_back(candidates[i]);
    }
    std::reverse(pipeline.begin(), pipeline.end());
    return pipeline;
}

std::optional<EndpointIndex> PipelineChooser::chooseService(const std::string &service, const std::set<EndpointIndex> &avoid, std::size_t liveInstances)
{
    const CostFunction cost = policyNamed("predicted");
    const ChoiceContext context{table_, ownZone_, random_, turn_++, 0};
    std::optional<EndpointIndex> best;
    double bestCost = Unreachable;
    for (const EndpointIndex index : table_.serving(service)) {
        const EndpointInfo &info = table_.at(index).info;
        if (info.kind != EndpointKind::Service || avoid.count(index) > 0 || !table_.hasRoom(index, liveInstances)) {
            continue;
        }
        const double totalCost = cost(context, index) + linkCost(ownZone_, info.zone) + random_.nextDouble();
        if (totalCost < bestCost) {
            bestCost = totalCost;
            best = index;
        }
    }
    return best;
}

bool coversAllLayers(const std::vector<PlanStage> &plan, std::uint32_t layers)
{
    std::uint32_t next = 0;
    for (const PlanStage &stage : plan) {
        if (stage.firstLayer != next || stage.endLayer <= stage.firstLayer) {
            return false;
        }
        next = stage.endLayer;
    }
    return next == layers;
}

bool agreesWithPlan(const std::vector<StageReport> &reports, const std::vector<PlanStage> &plan)
{
    const auto same = [](const StageReport &report, const PlanStage &stage) {
        return report.endpoint == stage.endpoint && report.incarnation == stage.incarnation && report.firstLayer == stage.firstLayer
            && report.endLayer == stage.endLayer;
    };
    return std::equal(reports.begin(), reports.end(), plan.begin(), plan.end(), same);
}

} // namespace trefoilport
