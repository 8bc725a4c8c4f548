#include "CheckFleet.h"
#include "TestFleet.h"

#include <CppUTest/TestHarness.h>

namespace {

void addPipelines(TestFleet &fleet, int count)
{
    for (int i = 0; i < count; ++i) {
        const std::string suffix = "-" + std::to_string(i);
        fleet.addEngine("front" + suffix, 0, 4);
        fleet.addEngine("middle" + suffix, 4, 8);
        fleet.addEngine("back" + suffix, 8, 12);
    }
}

} // namespace

TEST_GROUP(ACompletion)
{
    TestFleet fleet{3, 1};

    void setup() override
    {
        addPipelines(fleet, 2);
        fleet.start();
    }

    void teardown() override
    {
        checkNoViolations(fleet, "one instance");
    }

    void checkWhole(std::uint64_t call, std::uint32_t tokens)
    {
        CHECK(fleet.answer(call).ended);
        CHECK(fleet.answer(call).tokens == TestFleet::wholeAnswer(tokens));
    }

    /// The endpoint that the running call uses at the given place.
    std::string used(const std::string &place)
    {
        const bool first = fleet.lastWorkAt(place + "-0") >= fleet.lastWorkAt(place + "-1");
        return place + (first ? "-0" : "-1");
    }

    /// Virtual milliseconds until the call gets its next token.
    std::int64_t nextTokenAfter(std::uint64_t call, std::int64_t patience)
    {
        const std::size_t before = fleet.answer(call).tokens.size();
        const std::int64_t start = fleet.nowMs();
        fleet.runUntil([&]() { return fleet.answer(call).tokens.size() > before || fleet.answer(call).isFinal(); }, patience);
        return fleet.nowMs() - start;
    }
};

TEST(ACompletion, arrivesWhole)
{
    const auto call = fleet.complete(0, "dome", 50);
    fleet.run(2000);
    checkWhole(call, 50);
}

TEST(ACompletion, goesOnWithinASecondAfterAStageWasKilled)
{
    for (const char *place : {"front", "middle", "back"}) {
        const auto call = fleet.complete(0, std::string("dome ") + place, 50);
        fleet.run(200);
        const std::string victim = used(place);
        fleet.killEndpoint(victim);
        CHECK(nextTokenAfter(call, 5000) <= 1000);
        fleet.run(3000);
        checkWhole(call, 50);
        fleet.addEngine(victim, place[0] == 'f' ? 0 : (place[0] == 'm' ? 4 : 8), place[0] == 'f' ? 4 : (place[0] == 'm' ? 8 : 12));
        fleet.run(3000);
    }
}

TEST(ACompletion, goesOnWithinThreeSecondsAfterAStageFroze)
{
    for (const char *place : {"front", "middle", "back"}) {
        const auto call = fleet.complete(0, std::string("dome ") + place, 50);
        fleet.run(200);
        const std::string victim = used(place);
        fleet.freezeEndpoint(victim);
        CHECK(nextTokenAfter(call, 10000) <= 3000);
        fleet.run(3000);
        checkWhole(call, 50);
        fleet.freezeEndpoint(victim, false);
        fleet.run(3000);
    }
}

TEST(ACompletion, goesOnWhenAStageIsKilledBeforeTheFirstToken)
{
    const auto call = fleet.complete(0, "dome", 20);
    fleet.run(1);
    fleet.killEndpoint(used("back"));
    fleet.run(3000);
    checkWhole(call, 20);
}

TEST(ACompletion, movesToAnotherPipelineWhenALinkBecomesAHundredTimesSlower)
{
    const auto call = fleet.complete(0, "dome", 50);
    fleet.run(200);
    const std::string victim = used("middle");
    fleet.slowEndpoint(victim, 2000);
    fleet.run(6000);
    checkWhole(call, 50);
}

TEST(ACompletion, endsWithAnExplicitErrorWhenAllReplacementsAreGone)
{
    const auto call = fleet.complete(0, "dome", 50);
    fleet.run(200);
    fleet.killEndpoint("back-0");
    fleet.killEndpoint("back-1");
    fleet.run(10000);
    CHECK(!fleet.answer(call).ended);
    CHECK(fleet.answer(call).error.has_value());
    CHECK(fleet.answer(call).error->kind == base::ErrorKind::AnswerIncomplete);
}

TEST(ACompletion, isSaidNotToHaveRunWhenNoPipelineCouldEvenBeReached)
{
    fleet.killEndpoint("front-0");
    fleet.killEndpoint("front-1");
    const auto call = fleet.complete(0, "dome", 50);
    fleet.run(70000);
    CHECK(fleet.answer(call).error.has_value());
    CHECK(base::errorAnswer(fleet.answer(call).error->kind).ran == base::HasRun::No);
}

TEST(ACompletion, isUntouchedByDoubledLateAndCrossedFrames)
{
    fleet.faults.doubledFrame = 30;
    fleet.faults.crossedFrame = 30;
    std::vector<std::uint64_t> calls;
    for (int i = 0; i < 10; ++i) {
        calls.push_back(fleet.complete(0, "dome " + std::to_string(i), 30));
        fleet.run(15);
    }
    fleet.run(20000);
    for (const auto call : calls) {
        // Frames that contradict a plan end the attempt; the retry budget bounds how often that may happen.
        CHECK(fleet.answer(call).isFinal());
        if (fleet.answer(call).ended) {
            checkWhole(call, 30);
        }
    }
}

TEST(ACompletion, isNotTakenForWholeWhenAPipelineEndsEarly)
{
    fleet.faults.earlyEnd = 10;
    const auto call = fleet.complete(0, "dome", 30);
    fleet.run(20000);
    CHECK(fleet.answer(call).isFinal());
    CHECK(!fleet.answer(call).ended || fleet.answer(call).tokens == TestFleet::wholeAnswer(30));
    fleet.faults.earlyEnd = 100;
    const auto hopeless = fleet.complete(0, "vent", 30);
    fleet.run(20000);
    CHECK(fleet.answer(hopeless).error.has_value());
}

TEST(ACompletion, holdsItsPromisesUnderSeededKillsAndFreezes)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        TestFleet seeded(seed, 1);
        addPipelines(seeded, 3);
        seeded.start();
        base::Random random(seed);
        std::vector<std::uint64_t> calls;
        for (int step = 0; step < 30; ++step) {
            calls.push_back(seeded.complete(0, "dome " + std::to_string(step), 1 + static_cast<std::uint32_t>(random.nextBelow(40))));
            seeded.run(static_cast<std::int64_t>(random.nextBelow(100)));
            const std::string place = std::vector<std::string>{"front", "middle", "back"}[random.nextBelow(3)];
            const std::string victim = place + "-" + std::to_string(random.nextBelow(2));
            if (random.nextBelow(6) == 0) {
                seeded.killEndpoint(victim);
            } else if (random.nextBelow(6) == 0) {
                seeded.freezeEndpoint(victim, random.nextBelow(2) == 0);
            }
        }
        seeded.run(70000);
        checkNoViolations(seeded, "seed " + std::to_string(seed));
        for (const auto call : calls) {
            CHECK(seeded.answer(call).isFinal());
        }
    }
}

TEST_GROUP(ARequestThatCrashesEndpoints){};

TEST(ARequestThatCrashesEndpoints, fellsAtMostThreeWhateverItsCallerRepeats)
{
    TestFleet fleet(9, 3);
    for (int i = 0; i < 8; ++i) {
        fleet.addEngine("front-" + std::to_string(i), 0, 4);
    }
    fleet.addEngine("rest-0", 4, 12, 100);
    fleet.addEngine("rest-1", 4, 12, 100);
    fleet.start();
    fleet.poison = "poison";
    std::vector<std::uint64_t> neighbours;
    neighbours.reserve(12);
    for (int i = 0; i < 12; ++i) {
        neighbours.push_back(fleet.complete(static_cast<std::size_t>(i) % 3, "innocent " + std::to_string(i), 60));
    }
    const auto first = fleet.complete(0, "poison", 10);
    CHECK(fleet.runUntil([&]() { return fleet.answer(first).isFinal(); }, 20000));
    CHECK(fleet.answer(first).error->kind == base::ErrorKind::EndpointsCrashed);
    fleet.run(100);
    for (std::size_t instance = 0; instance < 3; ++instance) {
        const auto repeat = fleet.complete(instance, "poison", 10);
        fleet.run(50);
        CHECK(fleet.answer(repeat).error.has_value());
        CHECK(fleet.answer(repeat).error->kind == base::ErrorKind::Quarantined);
    }
    CHECK(fleet.poisoned() <= 3);
    fleet.run(20000);
    for (const auto call : neighbours) {
        CHECK(fleet.answer(call).ended);
    }
    checkNoViolations(fleet, "poison");
}

TEST(ARequestThatCrashesEndpoints, isTriedAgainAfterTheMarkExpired)
{
    TestFleet fleet(10, 2);
    for (int i = 0; i < 5; ++i) {
        fleet.addEngine("front-" + std::to_string(i), 0, 4);
    }
    fleet.addEngine("rest-0", 4, 12, 100);
    fleet.start();
    fleet.poison = "poison";
    fleet.complete(0, "poison", 10);
    fleet.run(5000);
    fleet.poison.clear();
    fleet.run(600000);
    const auto again = fleet.complete(1, "poison", 10);
    fleet.run(2000);
    CHECK(fleet.answer(again).ended);
    checkNoViolations(fleet, "expiry");
}
