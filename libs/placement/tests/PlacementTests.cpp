#include "placement/LayerPlanner.h"
#include "placement/PipelineChooser.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace placement;

namespace {

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

/// Hosts of each kind in each of three zones.
std::vector<PlannerEndpoint> mixedFleet()
{
    const std::uint32_t counts[3][3] = {{1, 3, 8}, {1, 6, 5}, {2, 2, 5}};
    std::vector<PlannerEndpoint> hosts;
    for (std::uint32_t zone = 0; zone < 3; ++zone) {
        for (std::uint32_t kind = 0; kind < 3; ++kind) {
            hosts.insert(hosts.end(), counts[zone][kind], PlannerEndpoint{kind, zone, {}, 0, true, 1});
        }
    }
    return hosts;
}

std::vector<PlannerEndpoint> placed(const EngineProfile &profile, std::vector<PlannerEndpoint> hosts)
{
    for (const Assignment &assignment : planLayers(profile, hosts)) {
        hosts[assignment.host].held = assignment.range;
    }
    return hosts;
}

std::uint32_t holdersOf(const std::vector<PlannerEndpoint> &hosts, std::uint32_t layer, std::optional<std::uint32_t> zone = std::nullopt)
{
    return static_cast<std::uint32_t>(std::count_if(hosts.begin(), hosts.end(), [&](const PlannerEndpoint &host) {
        return host.held.first <= layer && layer < host.held.end && (!zone || host.zone == *zone);
    }));
}

std::vector<LayerHolder> holdersFrom(const std::vector<PlannerEndpoint> &hosts)
{
    std::vector<LayerHolder> holders;
    holders.reserve(hosts.size());
    for (const PlannerEndpoint &host : hosts) {
        holders.push_back({host.kind, host.zone, host.held, 0, 0, 0, 1, true, true});
    }
    return holders;
}

/// True if the stages run every layer once and in order.
bool runsEveryLayerOnce(const EngineProfile &profile, const Pipeline &path)
{
    std::uint32_t next = 0;
    for (const PipelineStage &stage : path.stages) {
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

TEST(TheMemoryOfAnEndpoint, isWhatTheLayersLeave)
{
    DOUBLES_EQUAL(161220, kvTokens(profile, profile.kinds[Big], 20), 1);
    DOUBLES_EQUAL(35730, kvTokens(profile, profile.kinds[Small], 10), 1);
    DOUBLES_EQUAL(0, kvTokens(profile, profile.kinds[Small], 13), 0);
}

TEST(TheMemoryOfAnEndpoint, boundsTheRangeOfItsKind)
{
    for (std::uint32_t kind = 0; kind < profile.kinds.size(); ++kind) {
        const std::uint32_t layers = rangeLayers(profile, kind);
        CHECK(layers > 0);
        CHECK(layers * profile.layerMb < profile.kinds[kind].memoryMb);
        LONGS_EQUAL(0, layers % blockLayers(profile));
    }
}

TEST(TheMemoryOfAnEndpoint, keepsAKindOutThatCannotHoldABlock)
{
    profile.kinds.push_back({"tiny", 1000, 1, 1});
    LONGS_EQUAL(0, rangeLayers(profile, 3));
    CHECK(planLayers(profile, {{3, 0, {}, 0, true, 1}}).empty());
}

TEST_GROUP(ThePlan)
{
    EngineProfile profile = mixedProfile();
    std::vector<PlannerEndpoint> hosts = placed(profile, mixedFleet());
};

TEST(ThePlan, givesEachZoneAllLayers)
{
    for (std::uint32_t zone = 0; zone < 3; ++zone) {
        for (std::uint32_t layer = 0; layer < profile.layers; ++layer) {
            CHECK(holdersOf(hosts, layer, zone) >= 1);
        }
    }
}

TEST(ThePlan, bearsTheLossOfAnyEndpoint)
{
    for (std::size_t lost = 0; lost < hosts.size(); ++lost) {
        std::vector<PlannerEndpoint> rest = hosts;
        rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(lost));
        for (std::uint32_t layer = 0; layer < profile.layers; ++layer) {
            CHECK(holdersOf(rest, layer) >= 1);
        }
    }
}

TEST(ThePlan, leavesWhatIsHeldWhereItIs)
{
    CHECK(planLayers(profile, hosts).empty());
}

TEST(ThePlan, bringsARestartedEndpointBackToTheThinnestLayers)
{
    const PlannerEndpoint before = hosts.front();
    hosts.front().held = {};
    const auto plan = planLayers(profile, hosts);
    LONGS_EQUAL(1, plan.size());
    LONGS_EQUAL(0, plan.front().host);
    CHECK(plan.front().range == before.held);
}

TEST(ThePlan, isTheSameForTheSameInput)
{
    const auto again = placed(profile, mixedFleet());
    CHECK(std::equal(again.begin(), again.end(), hosts.begin(), [](const PlannerEndpoint &a, const PlannerEndpoint &b) { return a.held == b.held; }));
}

TEST(ThePlan, movesNothingInAFleetThatIsWhole)
{
    CHECK(!planMove(profile, hosts));
}

/// The pattern: the only fast holder of some layers in its zone is lost for seconds or for good.
TEST(ThePlan, movesAnIdleEndpointToLayersThatHaveBecomeThin)
{
    const auto lost = std::find_if(
        hosts.begin(), hosts.end(), [&](const PlannerEndpoint &host) { return host.kind == 1 && holdersOf(hosts, host.held.first, host.zone) <= 2; });
    CHECK(lost != hosts.end());
    const PlannerEndpoint gone = *lost;
    hosts.erase(lost);
    for (PlannerEndpoint &host : hosts) {
        host.openRequests = host.kind == Big ? 90 : 0;
    }
    const auto move = planMove(profile, hosts);
    CHECK(move.has_value());
    CHECK(hosts[move->host].kind != Big);
    CHECK(move->range.first <= gone.held.first && gone.held.first < move->range.end);
    const std::uint32_t before = holdersOf(hosts, gone.held.first);
    hosts[move->host].held = move->range;
    LONGS_EQUAL(before + 1, holdersOf(hosts, gone.held.first));
}

/// The pattern: the fast holders of some layers become many times slower at once.
TEST(ThePlan, countsASlowEndpointForLess)
{
    for (PlannerEndpoint &host : hosts) {
        host.slowdown = host.kind != Big && host.held.first == 20 ? 12 : 1;
    }
    const auto move = planMove(profile, hosts);
    CHECK(move.has_value());
    CHECK(move->range.first <= 20 && 20 < move->range.end);
}

TEST(ThePlan, comesToRestAfterAFewMoves)
{
    hosts.erase(hosts.begin() + 1);
    int moves = 0;
    for (auto move = planMove(profile, hosts); move && moves < 20; move = planMove(profile, hosts)) {
        hosts[move->host].held = move->range;
        ++moves;
    }
    CHECK(moves < 8);
}

TEST_GROUP(ThePath)
{
    EngineProfile profile = mixedProfile();
    std::vector<LayerHolder> holders = holdersFrom(placed(mixedProfile(), mixedFleet()));
    PipelineRequest request{774, 200, 0};
};

TEST(ThePath, runsEveryLayerOnceAndInOrder)
{
    for (std::uint32_t zone = 0; zone < 3; ++zone) {
        request.zone = zone;
        CHECK(runsEveryLayerOnce(profile, choosePipeline(profile, holders, request)));
    }
}

TEST(ThePath, staysInsideAZoneIfThePipeBetweenZonesIsSlow)
{
    profile.zoneLinkMbps /= 10;
    const Pipeline path = choosePipeline(profile, holders, request);
    std::set<std::uint32_t> zones;
    for (const PipelineStage &stage : path.stages) {
        zones.insert(holders[stage.holder].zone);
    }
    LONGS_EQUAL(1, zones.size());
}

TEST(ThePath, goesRoundALostEndpoint)
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

TEST(ThePath, avoidsAnEndpointWithoutRoom)
{
    const Pipeline before = choosePipeline(profile, holders, request);
    const std::uint32_t full = before.stages.front().holder;
    holders[full].contextTokens = kvTokens(profile, profile.kinds[holders[full].kind], holders[full].held.size());
    const Pipeline after = choosePipeline(profile, holders, request);
    CHECK(runsEveryLayerOnce(profile, after));
    CHECK(after.stages.front().holder != full);
}

TEST(ThePath, doesNotExistIfNoHolderOfALayerHasRoom)
{
    for (LayerHolder &holder : holders) {
        const bool holdsIt = holder.held.first <= 40 && 40 < holder.held.end;
        holder.contextTokens = holdsIt ? kvTokens(profile, profile.kinds[holder.kind], holder.held.size()) - 100 : 0;
    }
    CHECK(choosePipeline(profile, holders, request).stages.empty());
    request = {50, 40, 0};
    CHECK(runsEveryLayerOnce(profile, choosePipeline(profile, holders, request)));
}

TEST(ThePath, doesNotExistIfALayerIsMissing)
{
    for (LayerHolder &holder : holders) {
        holder.usable = holder.usable && !(holder.held.first <= 40 && 40 < holder.held.end);
    }
    CHECK(choosePipeline(profile, holders, request).stages.empty());
}

/// The pattern: one chain looks best to every request, and all of them pile up on it.
TEST(ThePath, spreadsAPeakOverChains)
{
    std::set<std::uint32_t> firsts;
    for (int i = 0; i < 200; ++i) {
        const Pipeline path = choosePipeline(profile, holders, request);
        CHECK(runsEveryLayerOnce(profile, path));
        firsts.insert(path.stages.front().holder);
        for (const PipelineStage &stage : path.stages) {
            holders[stage.holder].sequences += 1;
            holders[stage.holder].contextTokens += request.promptTokens + request.answerTokens;
        }
    }
    CHECK(firsts.size() >= 3);
}

/// The pattern: a stage is lost, and all its streams go to the next best path at once, whose prompts then wait for each other.
TEST(ThePath, sharesTheStreamsOfALostStageAmongChains)
{
    std::map<std::uint32_t, int> byFirst;
    constexpr int Streams = 100;
    for (int i = 0; i < Streams; ++i) {
        const Pipeline path = choosePipeline(profile, holders, request);
        ++byFirst[path.stages.front().holder];
        for (const PipelineStage &stage : path.stages) {
            holders[stage.holder].pendingPrefillTokens += request.promptTokens;
        }
    }
    CHECK(byFirst.size() >= 2);
    for (const auto &[first, streams] : byFirst) {
        CHECK(streams <= Streams * 2 / 3);
    }
}

TEST(ThePath, prefersFastStagesToSlowOnes)
{
    const Pipeline path = choosePipeline(profile, holders, request);
    const std::uint32_t first = path.stages.front().holder;
    holders[first].slowdown = 20;
    const Pipeline after = choosePipeline(profile, holders, request);
    CHECK(after.stages.front().holder != first);
}
