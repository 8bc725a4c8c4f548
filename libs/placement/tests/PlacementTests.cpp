#include "placement/LayerPlanner.h"
#include "placement/PipelineChooser.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace placement;

namespace {

/// Indices into the kinds of mixedProfile().
constexpr std::uint32_t Big = 0;
constexpr std::uint32_t Small = 2;

/// A model of 80 layers on three kinds of accelerators, none of which holds it whole.
EngineProfile mixedProfile()
{
    EngineProfile profile;
    profile.layers = 80;
    profile.layerMb = 1750;
    profile.kvTokenBytes = 918000;
    profile.stepMs = 1.02;
    profile.stepMsPerSequence = 0.00714;
    profile.stepMsPerThousandTokens = 0.00956;
    profile.prefillTokensPerMs = 105;
    profile.prefillMsPerMillionPairs = 0.309;
    profile.activationBytes = 45900;
    profile.linkMbps = 400000;
    profile.zoneLinkMbps = 26000;
    profile.zoneDelayMs = 0.75;
    profile.loadSeconds = 14;
    profile.maxConcurrentLoads = 5;
    profile.typicalPromptTokens = 774;
    profile.typicalAnswerTokens = 200;
    profile.kinds = {{"big", 72000, 2.4, 3.2}, {"middle", 43200, 5.6, 2.7}, {"small", 21600, 16, 8.2}};
    return profile;
}

/// Endpoints of each kind in each of three zones, without layers.
std::vector<PlannerEndpoint> mixedFleet()
{
    const std::uint32_t counts[3][3] = {{1, 3, 8}, {1, 6, 5}, {2, 2, 5}};
    std::vector<PlannerEndpoint> endpoints;
    for (std::uint32_t zone = 0; zone < 3; ++zone) {
        for (std::uint32_t kind = 0; kind < 3; ++kind) {
            endpoints.insert(endpoints.end(), counts[zone][kind], PlannerEndpoint{kind, zone, {}, 0, true, 1});
        }
    }
    return endpoints;
}

/// Returns the endpoints after all assignments of planLayers() have been carried out.
std::vector<PlannerEndpoint> withPlannedLayers(const EngineProfile &profile, std::vector<PlannerEndpoint> endpoints)
{
    for (const Assignment &assignment : planLayers(profile, endpoints)) {
        endpoints[assignment.endpoint].held = assignment.range;
    }
    return endpoints;
}

/// Returns the number of endpoints that hold a layer, in one zone or in all.
std::uint32_t holdersOf(const std::vector<PlannerEndpoint> &endpoints, std::uint32_t layer, std::optional<std::uint32_t> zone = std::nullopt)
{
    return static_cast<std::uint32_t>(std::count_if(endpoints.begin(), endpoints.end(), [&](const PlannerEndpoint &endpoint) {
        return endpoint.held.first <= layer && layer < endpoint.held.end && (!zone || endpoint.zone == *zone);
    }));
}

/// Returns the endpoints as usable holders without load.
std::vector<LayerHolder> holdersFrom(const std::vector<PlannerEndpoint> &endpoints)
{
    std::vector<LayerHolder> holders;
    holders.reserve(endpoints.size());
    for (const PlannerEndpoint &endpoint : endpoints) {
        holders.push_back({endpoint.kind, endpoint.zone, endpoint.held, 0, 0, 0, 0, 1, 1, true, true});
    }
    return holders;
}

/// Returns true if the stages run every layer exactly once and in order.
bool runsEveryLayerOnce(const EngineProfile &profile, const Pipeline &pipeline)
{
    std::uint32_t next = 0;
    for (const PipelineStage &stage : pipeline.stages) {
        if (stage.layers.first != next || stage.layers.empty()) {
            return false;
        }
        next = stage.layers.end;
    }
    return next == profile.layers;
}

} // namespace

TEST_GROUP(TheMemoryOfAnEndpoint)
{
    EngineProfile profile = mixedProfile();
};

TEST(TheMemoryOfAnEndpoint, isWhatTheLayersLeaveFree)
{
    DOUBLES_EQUAL(161220, kvCapacityTokens(profile, profile.kinds[Big], 20), 1);
    DOUBLES_EQUAL(35730, kvCapacityTokens(profile, profile.kinds[Small], 10), 1);
    DOUBLES_EQUAL(0, kvCapacityTokens(profile, profile.kinds[Small], 13), 0);
}

TEST(TheMemoryOfAnEndpoint, limitsTheRangeOfItsKind)
{
    for (std::uint32_t kind = 0; kind < profile.kinds.size(); ++kind) {
        const std::uint32_t layers = layersPerRange(profile, kind);
        CHECK(layers > 0);
        CHECK(layers * profile.layerMb < profile.kinds[kind].memoryMb);
        LONGS_EQUAL(0, layers % layersPerBlock(profile));
    }
}

TEST(TheMemoryOfAnEndpoint, givesNoRangeToAKindThatCannotHoldABlock)
{
    profile.kinds.push_back({"tiny", 1000, 1, 1});
    LONGS_EQUAL(0, layersPerRange(profile, 3));
    CHECK(planLayers(profile, {{3, 0, {}, 0, true, 1}}).empty());
}

TEST_GROUP(ThePlan)
{
    EngineProfile profile = mixedProfile();
    std::vector<PlannerEndpoint> endpoints = withPlannedLayers(profile, mixedFleet());
};

TEST(ThePlan, givesEachZoneAllLayers)
{
    for (std::uint32_t zone = 0; zone < 3; ++zone) {
        for (std::uint32_t layer = 0; layer < profile.layers; ++layer) {
            CHECK(holdersOf(endpoints, layer, zone) >= 1);
        }
    }
}

TEST(ThePlan, coversEveryLayerAfterTheLossOfAnyEndpoint)
{
    for (std::size_t lost = 0; lost < endpoints.size(); ++lost) {
        std::vector<PlannerEndpoint> rest = endpoints;
        rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(lost));
        for (std::uint32_t layer = 0; layer < profile.layers; ++layer) {
            CHECK(holdersOf(rest, layer) >= 1);
        }
    }
}

TEST(ThePlan, keepsTheLayersThatAreHeld)
{
    CHECK(planLayers(profile, endpoints).empty());
}

TEST(ThePlan, givesARestartedEndpointTheRangeThatItHeldBefore)
{
    const PlannerEndpoint before = endpoints.front();
    endpoints.front().held = {};
    const auto plan = planLayers(profile, endpoints);
    LONGS_EQUAL(1, plan.size());
    LONGS_EQUAL(0, plan.front().endpoint);
    CHECK(plan.front().range == before.held);
}

TEST(ThePlan, isTheSameForTheSameInput)
{
    const auto again = withPlannedLayers(profile, mixedFleet());
    CHECK(std::equal(again.begin(), again.end(), endpoints.begin(), [](const PlannerEndpoint &a, const PlannerEndpoint &b) { return a.held == b.held; }));
}

TEST(ThePlan, movesNothingInACompleteFleet)
{
    CHECK(!planMove(profile, endpoints));
}

/// Guards against loads of layers in a fleet as it was planned.
TEST(ThePlan, leavesNoLayersScarce)
{
    CHECK(!scarcestLayer(profile, endpoints));
}

/// Guards against layers that stay slow after a loss: the only fast holder of some layers in its zone is lost for seconds or for good.
TEST(ThePlan, movesAnIdleEndpointToLayersThatLostAHolder)
{
    const auto lost = std::find_if(endpoints.begin(), endpoints.end(), [&](const PlannerEndpoint &endpoint) {
        return endpoint.kind == 1 && holdersOf(endpoints, endpoint.held.first, endpoint.zone) <= 2;
    });
    CHECK(lost != endpoints.end());
    const PlannerEndpoint gone = *lost;
    endpoints.erase(lost);
    for (PlannerEndpoint &endpoint : endpoints) {
        endpoint.openRequests = endpoint.kind == Big ? 90 : 0;
    }
    const auto move = planMove(profile, endpoints);
    CHECK(move.has_value());
    CHECK(endpoints[move->endpoint].kind != Big);
    CHECK(move->range.first <= gone.held.first && gone.held.first < move->range.end);
    const std::uint32_t before = holdersOf(endpoints, gone.held.first);
    endpoints[move->endpoint].held = move->range;
    LONGS_EQUAL(before + 1, holdersOf(endpoints, gone.held.first));
}

/// Guards against a plan that trusts the profile alone: the fast holders of some layers become many times slower at the same time.
TEST(ThePlan, countsLessCapacityForASlowEndpoint)
{
    for (PlannerEndpoint &endpoint : endpoints) {
        endpoint.slowdown = endpoint.kind != Big && endpoint.held.first == 20 ? 12 : 1;
    }
    const auto move = planMove(profile, endpoints);
    CHECK(move.has_value());
    CHECK(move->range.first <= 20 && 20 < move->range.end);
}

TEST(ThePlan, needsNoMoreMovesAfterAFew)
{
    endpoints.erase(endpoints.begin() + 1);
    int moves = 0;
    for (auto move = planMove(profile, endpoints); move && moves < 20; move = planMove(profile, endpoints)) {
        endpoints[move->endpoint].held = move->range;
        ++moves;
    }
    CHECK(moves < 8);
}

TEST_GROUP(ThePipeline)
{
    EngineProfile profile = mixedProfile();
    std::vector<LayerHolder> holders = holdersFrom(withPlannedLayers(mixedProfile(), mixedFleet()));
    PipelineRequest request{774, 200, 0};
};

TEST(ThePipeline, runsEveryLayerOnceAndInOrder)
{
    for (std::uint32_t zone = 0; zone < 3; ++zone) {
        request.zone = zone;
        CHECK(runsEveryLayerOnce(profile, choosePipeline(profile, holders, request)));
    }
}

TEST(ThePipeline, staysInsideAZoneIfTheLinkBetweenZonesIsSlow)
{
    profile.zoneLinkMbps /= 10;
    const Pipeline pipeline = choosePipeline(profile, holders, request);
    std::set<std::uint32_t> zones;
    for (const PipelineStage &stage : pipeline.stages) {
        zones.insert(holders[stage.holder].zone);
    }
    LONGS_EQUAL(1, zones.size());
}

TEST(ThePipeline, avoidsALostEndpoint)
{
    const Pipeline before = choosePipeline(profile, holders, request);
    for (const PipelineStage &stage : before.stages) {
        std::vector<LayerHolder> rest = holders;
        rest[stage.holder].usable = false;
        const Pipeline after = choosePipeline(profile, rest, request);
        CHECK(runsEveryLayerOnce(profile, after));
        for (const PipelineStage &other : after.stages) {
            CHECK(other.holder != stage.holder);
        }
    }
}

TEST(ThePipeline, avoidsAnEndpointWithoutRoom)
{
    const Pipeline before = choosePipeline(profile, holders, request);
    const std::uint32_t full = before.stages.front().holder;
    holders[full].contextTokens = kvCapacityTokens(profile, profile.kinds[holders[full].kind], holders[full].held.size());
    const Pipeline after = choosePipeline(profile, holders, request);
    CHECK(runsEveryLayerOnce(profile, after));
    CHECK(after.stages.front().holder != full);
}

TEST(ThePipeline, doesNotExistIfNoHolderOfALayerHasRoom)
{
    for (LayerHolder &holder : holders) {
        const bool holdsIt = holder.held.first <= 40 && 40 < holder.held.end;
        holder.contextTokens = holdsIt ? kvCapacityTokens(profile, profile.kinds[holder.kind], holder.held.size()) - 100 : 0;
    }
    CHECK(choosePipeline(profile, holders, request).stages.empty());
    request = {50, 40, 0};
    CHECK(runsEveryLayerOnce(profile, choosePipeline(profile, holders, request)));
}

TEST(ThePipeline, doesNotExistIfALayerIsMissing)
{
    for (LayerHolder &holder : holders) {
        holder.usable = holder.usable && !(holder.held.first <= 40 && 40 < holder.held.end);
    }
    CHECK(choosePipeline(profile, holders, request).stages.empty());
}

/// Guards against overload of one pipeline that looks best to every request, so that all of them are sent to it.
TEST(ThePipeline, spreadsAPeakOverSeveralPipelines)
{
    std::set<std::uint32_t> firsts;
    for (int i = 0; i < 200; ++i) {
        const Pipeline pipeline = choosePipeline(profile, holders, request);
        CHECK(runsEveryLayerOnce(profile, pipeline));
        firsts.insert(pipeline.stages.front().holder);
        for (const PipelineStage &stage : pipeline.stages) {
            holders[stage.holder].sequences += 1;
            holders[stage.holder].contextTokens += request.promptTokens + request.answerTokens;
        }
    }
    CHECK(firsts.size() >= 3);
}

/// Guards against overload after the loss of a stage: all its streams change to the next best pipeline at the same time, and there the prefill of
/// each prompt waits for that of the others.
TEST(ThePipeline, spreadsTheStreamsOfALostStageOverSeveralPipelines)
{
    std::map<std::uint32_t, int> byFirst;
    constexpr int Streams = 100;
    for (int i = 0; i < Streams; ++i) {
        const Pipeline pipeline = choosePipeline(profile, holders, request);
        ++byFirst[pipeline.stages.front().holder];
        for (const PipelineStage &stage : pipeline.stages) {
            holders[stage.holder].pendingPrefillTokens += request.promptTokens;
        }
    }
    CHECK(byFirst.size() >= 2);
    for (const auto &[first, streams] : byFirst) {
        CHECK(streams <= Streams * 2 / 3);
    }
}

TEST(ThePipeline, prefersFastStagesToSlowOnes)
{
    const Pipeline pipeline = choosePipeline(profile, holders, request);
    const std::uint32_t first = pipeline.stages.front().holder;
    holders[first].slowdown = 20;
    const Pipeline after = choosePipeline(profile, holders, request);
    CHECK(after.stages.front().holder != first);
}

/// Guards against memory that is not the planner's being read: an endpoint may say that it holds layers which the model doesn't have.
TEST(ThePlan, survivesRangesBeyondTheModel)
{
    for (const LayerRange held : {LayerRange{0, 4294967295U}, LayerRange{75, 85}, LayerRange{80, 90}, LayerRange{4294967294U, 4294967295U}}) {
        std::vector<PlannerEndpoint> fleet = withPlannedLayers(mixedProfile(), mixedFleet());
        fleet.push_back({Big, 7, held, 0, true, 1});
        for (int move = 0; move < 3; ++move) {
            const auto assignment = planMove(mixedProfile(), fleet);
            if (!assignment) {
                break;
            }
            CHECK(assignment->range.end <= mixedProfile().layers);
            fleet[assignment->endpoint].held = assignment->range;
        }
        const Pipeline pipeline = choosePipeline(mixedProfile(), holdersFrom(fleet), {100, 100, 0, {}, std::nullopt, 0});
        CHECK(runsEveryLayerOnce(mixedProfile(), pipeline));
    }
}
