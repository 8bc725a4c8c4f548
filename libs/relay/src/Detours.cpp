#include "details/KernelImpl.h"

#include <algorithm>

namespace relay {

namespace {

/// Detours that are tried for one attempt before it is replaced by a new one.
constexpr int MaxDetours = 3;

} // namespace

bool RelayKernel::Impl::isSilent(EndpointIndex stage) const
{
    return endpoints.at(stage).silentCheckAt.count() != 0;
}

Candidates RelayKernel::Impl::replacementCandidates(Instant now, const Call &call, const Attempt &attempt)
{
    Candidates replacements = candidates(now, call);
    for (std::size_t i = 0; i < replacements.indices.size(); ++i) {
        // An endpoint may be a stage of a pipeline only once.
        if (std::find(attempt.stages.begin(), attempt.stages.end(), replacements.indices[i]) != attempt.stages.end()) {
            replacements.holders[i].usable = false;
            std::erase(replacements.unreserved, i);
            std::erase(replacements.refused, i);
        }
    }
    return replacements;
}

bool RelayKernel::Impl::detour(Instant now, Call &call, AttemptId id, std::optional<EndpointIndex> fault)
{
    Attempt &attempt = attempts.at(id);
    const auto mustReplace = [&](EndpointIndex stage) {
        return isSilent(stage) || stage == fault;
    };
    if (attempt.detours >= MaxDetours || mustReplace(attempt.stages.front())) {
        return false;
    }
    Candidates replacements = replacementCandidates(now, call, attempt);
    std::vector<EndpointIndex> stages;
    std::vector<placement::LayerRange> layers;
    for (std::size_t i = 0; i < attempt.stages.size(); ++i) {
        if (!mustReplace(attempt.stages[i])) {
            stages.push_back(attempt.stages[i]);
            layers.push_back(attempt.layers[i]);
            continue;
        }
        const std::size_t first = i;
        while (i + 1 < attempt.stages.size() && mustReplace(attempt.stages[i + 1])) {
            ++i;
        }
        const placement::Pipeline replacement = chooseWidening(replacements, [&]() { return chooseDetour(call, attempt, first, i + 1, replacements); });
        if (replacement.stages.empty() || replacement.waitMs > patienceLeftMs(now, call)) {
            return false;
        }
        for (const placement::PipelineStage &stage : replacement.stages) {
            stages.push_back(replacements.indices[stage.holder]);
            layers.push_back(stage.layers);
            replacements.holders[stage.holder].usable = false;
            std::erase(replacements.unreserved, stage.holder);
            std::erase(replacements.refused, stage.holder);
        }
    }
    if (!attempt.pathBeforeDetours) {
        attempt.pathBeforeDetours = StagePath{attempt.stages, attempt.layers};
    }
    ++attempt.detours;
    attempt.detourPending = true;
    attempt.lastProgressAt = now;
    replaceStages(attempt, std::move(stages), std::move(layers));
    requestDetour(call, id);
    return true;
}

placement::Pipeline
RelayKernel::Impl::chooseDetour(const Call &call, const Attempt &attempt, std::size_t first, std::size_t end, const Candidates &replacements) const
{
    placement::PipelineRequest request;
    request.promptTokens = call.promptTokens;
    request.answerTokens = call.answerTokens;
    request.layers = {attempt.layers[first].first, attempt.layers[end - 1].end};
    request.zone = endpoints.at(attempt.stages[first - 1]).zone;
    if (end < attempt.stages.size()) {
        request.nextZone = endpoints.at(attempt.stages[end]).zone;
    }
    request.zoneLinkTokens = replacements.linkTokens;
    request.stageCostMs = replacements.stageCostMs;
    return placement::choosePipeline(*call.service->engine, replacements.holders, request);
}

void RelayKernel::Impl::requestDetour(const Call &call, AttemptId id)
{
    const Attempt &attempt = attempts.at(id);
    const EndpointState &first = endpoints.at(attempt.stages.front());
    ++counters.streamsDetoured;
    driver.record({"stream_detoured", call.requestId, first.entry.id, "detour " + std::to_string(attempt.detours) + ", " + pipelineText(attempt)});
    driver.sendDetour({id, call.requestId, first.entry.id, first.entry.address, hopsOf(attempt)});
}

std::optional<EndpointIndex> RelayKernel::Impl::undoDetours(Attempt &attempt)
{
    if (!attempt.pathBeforeDetours) {
        return std::nullopt;
    }
    const std::vector<EndpointIndex> refused = attempt.stages;
    replaceStages(attempt, std::move(attempt.pathBeforeDetours->stages), std::move(attempt.pathBeforeDetours->layers));
    attempt.pathBeforeDetours.reset();
    if (attempt.hasEvents) {
        clearPendingPrefill(attempt); // Its stages have read the prompt already.
    }
    std::vector<EndpointIndex> added;
    std::copy_if(refused.begin(), refused.end(), std::back_inserter(added), [&](EndpointIndex stage) {
        return std::find(attempt.stages.begin(), attempt.stages.end(), stage) == attempt.stages.end();
    });
    return added.size() == 1 ? std::optional(added.front()) : std::nullopt;
}

void RelayKernel::Impl::onDetourAnswer(Instant now, Call &call, AttemptId id, OrderOutcome outcome, const std::string &faultAddress)
{
    Attempt &attempt = attempts.at(id);
    attempt.detourPending = false;
    if (outcome == OrderOutcome::Accepted) {
        attempt.pathBeforeDetours.reset();
        return;
    }
    const std::optional<EndpointIndex> added = outcome == OrderOutcome::NoAnswer ? std::nullopt : undoDetours(attempt);
    attempt.isUnknown = outcome == OrderOutcome::UnknownRequest;
    if (attempt.isSuperseded) {
        return;
    }
    driver.record({"detour_failed", call.requestId, faultAddress, std::string(base::nameIn(OrderOutcomeNames, outcome))});
    auto fault = endpoints.findAddress(faultAddress);
    if (!fault && outcome == OrderOutcome::Refused) {
        fault = added;
    }
    if (fault) {
        exclude(call, *fault);
        endpoints.onRefused(*fault, now, now);
    }
    if (outcome != OrderOutcome::NoAnswer && !fault) {
        // The first stage reroutes nothing. If it has just ended the run, the rest of the answer gets a moment to arrive before the stream is moved.
        attempt.detours = MaxDetours;
        attempt.lastProgressAt = now;
        return;
    }
    const bool isOnLostStage =
        std::any_of(attempt.stages.begin(), attempt.stages.end(), [&](EndpointIndex stage) { return isSilent(stage) || stage == fault; });
    if (fault && !isOnLostStage) {
        return; // The lost stage has come back.
    }
    if (detour(now, call, id, fault)) {
        return;
    }
    const EndpointIndex first = attempt.stages.front();
    if (isSilent(first)) {
        return moveStream(now, call, id, first);
    }
    if (const auto reason = reasonToKeepAttempt(now, call)) {
        return keepAttempt(call, id, fault.value_or(first), *reason);
    }
    supersedeAttempt(now, call, id, "there is no way round a lost stage");
}

} // namespace relay
