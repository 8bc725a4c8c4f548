#include "CheckFleet.h"
#include "TestFleet.h"

#include <CppUTest/TestHarness.h>

namespace {

/// Adds engines for a number of disjoint pipelines of three stages each.
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

    /// Checks that the call ended without an error and that its caller got every token once and in order.
    void checkComplete(std::uint64_t call, std::uint32_t tokens)
    {
        CHECK(fleet.answer(call).ended);
        CHECK(fleet.answer(call).tokens == TestFleet::expectedTokens(tokens));
    }

    /// The endpoint of the given stage, "front", "middle" or "back", that last got work, which is the one that the running call uses.
    std::string endpointInUse(const std::string &stage)
    {
        const bool first = fleet.lastWorkAt(stage + "-0") >= fleet.lastWorkAt(stage + "-1");
        return stage + (first ? "-0" : "-1");
    }

    /// Runs until the call gets its next token or finishes, and returns the virtual time that this took, in milliseconds; about timeoutMs if neither happens.
    std::int64_t nextTokenAfter(std::uint64_t call, std::int64_t timeoutMs)
    {
        const std::size_t before = fleet.answer(call).tokens.size();
        const std::int64_t start = fleet.nowMs();
        fleet.runUntil([&]() { return fleet.answer(call).tokens.size() > before || fleet.answer(call).isFinal(); }, timeoutMs);
        return fleet.nowMs() - start;
    }
};

TEST(ACompletion, isDeliveredCompletely)
{
    const auto call = fleet.sendCompletion(0, "dome", 50);
    fleet.run(2000);
    checkComplete(call, 50);
}

TEST(ACompletion, continuesWithinASecondAfterAStageWasKilled)
{
    for (const char *stage : {"front", "middle", "back"}) {
        const auto call = fleet.sendCompletion(0, std::string("dome ") + stage, 50);
        fleet.run(200);
        const std::string target = endpointInUse(stage);
        fleet.killEndpoint(target);
        CHECK(nextTokenAfter(call, 5000) <= 1000);
        fleet.run(3000);
        checkComplete(call, 50);
        fleet.addEngine(target, stage[0] == 'f' ? 0 : (stage[0] == 'm' ? 4 : 8), stage[0] == 'f' ? 4 : (stage[0] == 'm' ? 8 : 12));
        fleet.run(3000);
    }
}

TEST(ACompletion, continuesWithinThreeSecondsAfterAStageFroze)
{
    for (const char *stage : {"front", "middle", "back"}) {
        const auto call = fleet.sendCompletion(0, std::string("dome ") + stage, 50);
        fleet.run(200);
        const std::string target = endpointInUse(stage);
        fleet.freezeEndpoint(target);
        CHECK(nextTokenAfter(call, 10000) <= 3000);
        fleet.run(3000);
        checkComplete(call, 50);
        fleet.freezeEndpoint(target, false);
        fleet.run(3000);
    }
}

TEST(ACompletion, continuesWhenAStageIsKilledBeforeTheFirstToken)
{
    const auto call = fleet.sendCompletion(0, "dome", 20);
    fleet.run(1);
    fleet.killEndpoint(endpointInUse("back"));
    fleet.run(3000);
    checkComplete(call, 20);
}

TEST(ACompletion, movesToAnotherPipelineWhenAStageBecomesTwoHundredTimesSlower)
{
    const auto call = fleet.sendCompletion(0, "dome", 50);
    fleet.run(200);
    const std::string target = endpointInUse("middle");
    fleet.slowEndpoint(target, 2000);
    fleet.run(6000);
    checkComplete(call, 50);
}

TEST(ACompletion, endsWithAnExplicitErrorWhenAllReplacementsAreGone)
{
    const auto call = fleet.sendCompletion(0, "dome", 50);
    fleet.run(200);
    fleet.killEndpoint("back-0");
    fleet.killEndpoint("back-1");
    fleet.run(10000);
    CHECK(!fleet.answer(call).ended);
    CHECK(fleet.answer(call).error.has_value());
    CHECK(fleet.answer(call).error->kind == base::ErrorKind::AnswerIncomplete);
}

TEST(ACompletion, isReportedAsNotRunWhenNoPipelineCouldBeReached)
{
    fleet.killEndpoint("front-0");
    fleet.killEndpoint("front-1");
    const auto call = fleet.sendCompletion(0, "dome", 50);
    fleet.run(70000);
    CHECK(fleet.answer(call).error.has_value());
    CHECK(base::errorAnswer(fleet.answer(call).error->kind).ran == base::HasRun::No);
}

TEST(ACompletion, staysCorrectDespiteDuplicateLateAndMisroutedFrames)
{
    fleet.faults.duplicateFrame = 30;
    fleet.faults.misroutedFrame = 30;
    std::vector<std::uint64_t> calls;
    for (int i = 0; i < 10; ++i) {
        calls.push_back(fleet.sendCompletion(0, "dome " + std::to_string(i), 30));
        fleet.run(15);
    }
    fleet.run(20000);
    for (const auto call : calls) {
        // A frame that contradicts the plan ends the attempt, and attempts and retries are limited. A call may therefore fail, but must not end with a wrong
        // answer.
        CHECK(fleet.answer(call).isFinal());
        if (fleet.answer(call).ended) {
            checkComplete(call, 30);
        }
    }
}

TEST(ACompletion, isNotReportedAsCompleteWhenAPipelineEndsEarly)
{
    fleet.faults.earlyEnd = 10;
    const auto call = fleet.sendCompletion(0, "dome", 30);
    fleet.run(20000);
    CHECK(fleet.answer(call).isFinal());
    CHECK(!fleet.answer(call).ended || fleet.answer(call).tokens == TestFleet::expectedTokens(30));
    fleet.faults.earlyEnd = 100;
    const auto unfinished = fleet.sendCompletion(0, "vent", 30);
    fleet.run(20000);
    CHECK(fleet.answer(unfinished).error.has_value());
}

TEST(ACompletion, keepsItsGuaranteesUnderRandomKillsAndFreezes)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        TestFleet seeded(seed, 1);
        addPipelines(seeded, 3);
        seeded.start();
        base::Random random(seed);
        std::vector<std::uint64_t> calls;
        for (int step = 0; step < 30; ++step) {
            calls.push_back(seeded.sendCompletion(0, "dome " + std::to_string(step), 1 + static_cast<std::uint32_t>(random.nextBelow(40))));
            seeded.run(static_cast<std::int64_t>(random.nextBelow(100)));
            const std::string stage = std::vector<std::string>{"front", "middle", "back"}[random.nextBelow(3)];
            const std::string target = stage + "-" + std::to_string(random.nextBelow(2));
            if (random.nextBelow(6) == 0) {
                seeded.killEndpoint(target);
            } else if (random.nextBelow(6) == 0) {
                seeded.freezeEndpoint(target, random.nextBelow(2) == 0);
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

TEST(ARequestThatCrashesEndpoints, crashesAtMostThreeEndpointsHoweverOftenItIsRepeated)
{
    TestFleet fleet(9, 3);
    for (int i = 0; i < 8; ++i) {
        fleet.addEngine("front-" + std::to_string(i), 0, 4);
    }
    fleet.addEngine("rest-0", 4, 12, 100);
    fleet.addEngine("rest-1", 4, 12, 100);
    fleet.start();
    fleet.poison = "poison";
    std::vector<std::uint64_t> otherCalls;
    otherCalls.reserve(12);
    for (int i = 0; i < 12; ++i) {
        otherCalls.push_back(fleet.sendCompletion(static_cast<std::size_t>(i) % 3, "innocent " + std::to_string(i), 60));
    }
    const auto first = fleet.sendCompletion(0, "poison", 10);
    CHECK(fleet.runUntil([&]() { return fleet.answer(first).isFinal(); }, 20000));
    CHECK(fleet.answer(first).error->kind == base::ErrorKind::EndpointsCrashed);
    fleet.run(100);
    for (std::size_t instance = 0; instance < 3; ++instance) {
        const auto repeat = fleet.sendCompletion(instance, "poison", 10);
        fleet.run(50);
        CHECK(fleet.answer(repeat).error.has_value());
        CHECK(fleet.answer(repeat).error->kind == base::ErrorKind::Quarantined);
    }
    CHECK(fleet.endpointsCrashedByPoison() <= 3);
    fleet.run(20000);
    for (const auto call : otherCalls) {
        CHECK(fleet.answer(call).ended);
    }
    checkNoViolations(fleet, "poison");
}

TEST(ARequestThatCrashesEndpoints, isTriedAgainAfterItsQuarantineExpired)
{
    TestFleet fleet(10, 2);
    for (int i = 0; i < 5; ++i) {
        fleet.addEngine("front-" + std::to_string(i), 0, 4);
    }
    fleet.addEngine("rest-0", 4, 12, 100);
    fleet.start();
    fleet.poison = "poison";
    fleet.sendCompletion(0, "poison", 10);
    fleet.run(5000);
    fleet.poison.clear();
    fleet.run(600000);
    const auto again = fleet.sendCompletion(1, "poison", 10);
    fleet.run(2000);
    CHECK(fleet.answer(again).ended);
    checkNoViolations(fleet, "expiry");
}
