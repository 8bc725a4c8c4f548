#include "placement/LayerPlanner.h"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace placement;

namespace {

constexpr LayerRange Lower{0, 40};
constexpr LayerRange Upper{40, 80};

/// A model of 80 layers and one kind of accelerator, which holds half of them.
EngineProfile halvesProfile()
{
    EngineProfile profile;
    profile.layers = 80;
    profile.layerMb = 1000;
    profile.kvTokenBytes = 80000;
    profile.stepMs = 1;
    profile.prefillTokensPerMs = 100;
    profile.typicalPromptTokens = 200;
    profile.typicalAnswerTokens = 100;
    profile.kinds = {{"gpu", 50000, 1, 1}};
    return profile;
}

} // namespace

/// Endpoints in two zones, each of which holds one half of the model.
TEST_GROUP(ScarceLayers)
{
    EngineProfile profile = halvesProfile();
    std::vector<PlannerEndpoint> endpoints;

    /// Adds endpoints to one zone.
    void add(std::uint32_t zone, std::size_t lower, std::size_t upper)
    {
        endpoints.insert(endpoints.end(), lower, PlannerEndpoint{0, zone, Lower, 0, true, 1});
        endpoints.insert(endpoints.end(), upper, PlannerEndpoint{0, zone, Upper, 0, true, 1});
    }

    std::size_t holdersOf(LayerRange range) const
    {
        return static_cast<std::size_t>(
            std::count_if(endpoints.begin(), endpoints.end(), [&](const PlannerEndpoint &endpoint) { return endpoint.held == range; }));
    }

    /// Carries moves out until none is left, and returns their number.
    int relieve()
    {
        int moves = 0;
        for (auto layer = scarcestLayer(profile, endpoints); layer; layer = scarcestLayer(profile, endpoints)) {
            const auto move = planRelief(profile, endpoints, *layer);
            if (!move) {
                break;
            }
            CHECK(++moves <= static_cast<int>(endpoints.size()));
            endpoints[move->endpoint].held = move->range;
        }
        return moves;
    }
};

/// Guards against a plan that stays uneven since no move mends a zone: each zone has one and two.
TEST(ScarceLayers, areRelievedAlsoIfEachZoneIsAsEvenAsItCanBe)
{
    add(0, 1, 2);
    add(1, 1, 2);
    CHECK(!planMove(profile, endpoints));
    LONGS_EQUAL(0, scarcestLayer(profile, endpoints).value());
    LONGS_EQUAL(1, relieve());
    LONGS_EQUAL(3, holdersOf(Lower));
}

/// Guards against a bound on the gain of one move, which no move among many endpoints reaches.
TEST(ScarceLayers, areRelievedInAFleetOfAnySize)
{
    for (const std::size_t holders : {2, 10, 100}) {
        endpoints.clear();
        add(0, holders, 2 * holders);
        add(1, holders, 2 * holders);
        const std::size_t total = endpoints.size();
        relieve();
        CHECK(holdersOf(Lower) * 5 >= total * 2);
        LONGS_EQUAL(total, holdersOf(Lower) + holdersOf(Upper));
    }
}

/// Guards against a fleet that can't move under load, when it matters most: requests pass through each endpoint at any time.
TEST(ScarceLayers, areRelievedUnderLoadByTheEndpointWithTheFewestRequests)
{
    add(0, 1, 2);
    add(1, 1, 2);
    for (PlannerEndpoint &endpoint : endpoints) {
        endpoint.openRequests = endpoint.held == Lower ? 20 : 10;
    }
    endpoints[4].openRequests = 7;
    const auto move = planRelief(profile, endpoints, 0);
    CHECK(move.has_value());
    LONGS_EQUAL(4, move->endpoint);
    CHECK(move->range == Lower);
}

TEST(ScarceLayers, areOnlyThoseWithFarFewerHolders)
{
    add(0, 3, 4);
    add(1, 3, 4);
    CHECK(!scarcestLayer(profile, endpoints));
    CHECK(!isScarce(profile, endpoints, 0));
    CHECK(!isScarce(profile, endpoints, 40));
}

TEST(ScarceLayers, areThoseWhoseHoldersAreSlow)
{
    add(0, 3, 3);
    endpoints[0].slowdown = 10;
    endpoints[1].slowdown = 10;
    LONGS_EQUAL(0, scarcestLayer(profile, endpoints).value());
}

/// Guards against moves to and fro: the layers that are given up would be as scarce.
TEST(ScarceLayers, areLeftIfOthersWouldBecomeAsScarce)
{
    add(0, 1, 2);
    LONGS_EQUAL(0, scarcestLayer(profile, endpoints).value());
    CHECK(!planRelief(profile, endpoints, 0));
}

/// Guards against a fleet that can serve fewer requests after the move: an endpoint that holds several blocks gives up one that has hardly more holders.
TEST(ScarceLayers, areLeftIfOneOfTheBlocksThatAreGivenUpWouldBecomeAsScarce)
{
    constexpr std::uint32_t Quarter = 1;
    profile.kinds.push_back({"small", 25000, 1, 1});
    LONGS_EQUAL(40, layersPerRange(profile, 0));
    LONGS_EQUAL(20, layersPerRange(profile, Quarter));
    endpoints = {{0, 0, Upper, 0, true, 1}};
    for (const std::uint32_t first : {0, 20, 40, 60, 60}) {
        endpoints.push_back({Quarter, 0, {first, first + 20}, 0, false, 1});
    }
    LONGS_EQUAL(0, scarcestLayer(profile, endpoints).value());
    CHECK(!planRelief(profile, endpoints, 0));
    endpoints.push_back({Quarter, 0, {40, 60}, 0, false, 1});
    LONGS_EQUAL(0, planRelief(profile, endpoints, 0).value().endpoint);
}

/// Guards against requests that have to leave their zone: the only endpoint that could move is the last one there with its layers.
TEST(ScarceLayers, areNotRelievedAtTheCostOfAZone)
{
    add(0, 2, 1);
    add(1, 0, 4);
    for (PlannerEndpoint &endpoint : endpoints) {
        endpoint.mayMove = endpoint.zone == 0;
    }
    LONGS_EQUAL(0, scarcestLayer(profile, endpoints).value());
    CHECK(!planRelief(profile, endpoints, 0));
}

TEST(ScarceLayers, areNotRelievedByEndpointsThatMustStay)
{
    add(0, 2, 4);
    for (PlannerEndpoint &endpoint : endpoints) {
        endpoint.mayMove = false;
    }
    CHECK(!planRelief(profile, endpoints, 0));
}

TEST(ScarceLayers, areNoneWhileNothingIsHeld)
{
    endpoints.assign(6, PlannerEndpoint{0, 0, {}, 0, true, 1});
    CHECK(!scarcestLayer(profile, endpoints));
    CHECK(!isScarce(profile, {}, 0));
}

/// Guards against memory that is not the planner's being read: an endpoint may say that it holds layers which the model doesn't have, or parts of blocks.
TEST(ScarceLayers, surviveRangesBeyondTheModelAndPartsOfBlocks)
{
    for (const LayerRange held : {LayerRange{0, 4294967295U}, LayerRange{75, 85}, LayerRange{80, 90}, LayerRange{1, 3}, LayerRange{4294967294U, 4294967295U}}) {
        endpoints.clear();
        add(0, 2, 5);
        endpoints.push_back({0, 0, held, 0, true, 1});
        endpoints.push_back({7, 0, held, 0, true, 1});
        relieve();
        CHECK(holdersOf(Lower) >= 3);
    }
    CHECK(!isScarce(profile, endpoints, 80));
}

/// Guards against moves without end, alone or together with those of planMove(), and against layers that lose capacity by them, in fleets as faults may leave
/// them.
TEST(ScarceLayers, areRelievedByFewMovesInAnyFleet)
{
    std::mt19937 random(1);
    for (int fleet = 0; fleet < 200; ++fleet) {
        endpoints.clear();
        for (std::uint32_t i = 0; i < 6 + random() % 40; ++i) {
            endpoints.push_back({0, static_cast<std::uint32_t>(random() % 3), random() % 4 == 0 ? Lower : Upper, static_cast<double>(random() % 20), true, 1});
        }
        const std::size_t total = endpoints.size();
        int moves = 0;
        for (bool moved = true; moved; ++moves) {
            CHECK(moves <= static_cast<int>(2 * total));
            const auto layer = scarcestLayer(profile, endpoints);
            auto move = planMove(profile, endpoints);
            move = !move && layer ? planRelief(profile, endpoints, *layer) : move;
            moved = move.has_value();
            if (moved) {
                endpoints[move->endpoint].held = move->range;
            }
        }
        const std::size_t lower = holdersOf(Lower);
        CHECK(std::min(lower, total - lower) * 3 + 3 >= total);
    }
}

/// Guards against moves to and fro without end, since sums of the same capacities differ in their last digit by the order in which they were made: two and
/// three of five equal endpoints.
TEST(ScarceLayers, areLeftIfOnlyRoundingSpeaksForAMove)
{
    std::mt19937 random(1);
    for (int fleet = 0; fleet < 500; ++fleet) {
        profile.stepMs = 1 + static_cast<double>(random() % 1000) / 100;
        profile.prefillTokensPerMs = 1 + static_cast<double>(random() % 1000) / 10;
        profile.typicalPromptTokens = static_cast<double>(100 + random() % 2000);
        endpoints.clear();
        add(0, 2, 3);
        LONGS_EQUAL(0, relieve());
    }
}
