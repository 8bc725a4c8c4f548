#include "details/KernelImpl.h"

#include <algorithm>

namespace relay {

namespace {

/// Detours that are tried for one run before it is given up for a new one.
constexpr int MostDetours = 3;

} // namespace

bool RelayKernel::Impl::isLost(EndpointIndex stage) const
{
    return endpoints.at(stage).suspectUntil.count() != 0;
}

Candidates RelayKernel::Impl::standIns(Instant now, const Call &call, const Attempt &attempt) const
{
    Candidates others = candidates(now, call);
    for (std::size_t i = 0; i < others.indices.size(); ++i) {
        // An endpoint may stand in a path only once.
        others.holders[i].usable = std::find(attempt.stages.begin(), attempt.stages.end(), others.indices[i]) == attempt.stages.end();
    }
    return others;
}

bool RelayKernel::Impl::detour(Instant now, Call &call, AttemptId id, std::optional<EndpointIndex> fault)
{
    Attempt &attempt = attempts.at(id);
    const auto mustGo = [&](EndpointIndex stage) {
        return isLost(stage) || stage == fault;
    };
    if (attempt.detours >= MostDetours || mustGo(attempt.stages.front())) {
        return false;
    }
    Candidates others = standIns(now, call, attempt);
    std::vector<EndpointIndex> stages;
    std::vector<placement::LayerRange> layers;
    for (std::size_t i = 0; i < attempt.stages.size(); ++i) {
        if (!mustGo(attempt.stages[i])) {
            stages.push_back(attempt.stages[i]);
            layers.push_back(attempt.layers[i]);
            continue;
        }
        const std::size_t first = i;
        while (i + 1 < attempt.stages.size() && mustGo(attempt.stages[i + 1])) {
            ++i;
        }
        const placement::Pipeline way = wayRound(call, attempt, first, i + 1, others);
        if (way.stages.empty()) {
            return false;
        }
        for (const placement::PipelineStage &stage : way.stages) {
            stages.push_back(others.indices[stage.holder]);
            layers.push_back(stage.layers);
            others.holders[stage.holder].usable = false;
        }
    }
    ++attempt.detours;
    attempt.detourPending = true;
    attempt.progressAt = now;
    replaceStages(attempt, std::move(stages), std::move(layers));
    tellDetour(call, id);
    return true;
}

placement::Pipeline RelayKernel::Impl::wayRound(const Call &call, const Attempt &attempt, std::size_t first, std::size_t end, const Candidates &others) const
{
    placement::PipelineRequest request;
    request.promptTokens = call.promptTokens;
    request.answerTokens = call.answerTokens;
    request.layers = {attempt.layers[first].first, attempt.layers[end - 1].end};
    request.zone = endpoints.at(attempt.stages[first - 1]).zone;
    if (end < attempt.stages.size()) {
        request.nextZone = endpoints.at(attempt.stages[end]).zone;
    }
    return placement::choosePipeline(*call.service->engine, others.holders, request);
}

void RelayKernel::Impl::tellDetour(const Call &call, AttemptId id)
{
    const Attempt &attempt = attempts.at(id);
    const EndpointState &first = endpoints.at(attempt.stages.front());
    ++counters.streamsDetoured;
    driver.record({"stream_detoured", call.requestId, first.entry.id, "detour " + std::to_string(attempt.detours) + ", " + pathText(attempt)});
    driver.sendDetour({id, call.requestId, first.entry.id, first.entry.address, hopsOf(attempt)});
}

void RelayKernel::Impl::onDetourAnswer(Instant now, Call &call, AttemptId id, OrderOutcome outcome, const std::string &faultAddress)
{
    Attempt &attempt = attempts.at(id);
    attempt.detourPending = false;
    if (outcome == OrderOutcome::Accepted) {
        return;
    }
    driver.record({"detour_failed", call.requestId, faultAddress, std::string(base::nameIn(OrderOutcomeNames, outcome))});
    const auto fault = endpoints.findAddress(faultAddress);
    if (fault) {
        exclude(call, *fault);
        endpoints.avoid(*fault, now);
    }
    const bool canTryAgain = outcome == OrderOutcome::NoAnswer || (outcome == OrderOutcome::Refused && fault);
    if (canTryAgain && detour(now, call, id, fault)) {
        return;
    }
    if (!call.route->isResumable) {
        return; // The endpoints may still go on with it.
    }
    const EndpointIndex first = attempt.stages.front();
    if (isLost(first)) {
        return moveStream(now, call, id, first);
    }
    runAnew(now, call, id, "the way round a lost stage was refused");
}

} // namespace relay
