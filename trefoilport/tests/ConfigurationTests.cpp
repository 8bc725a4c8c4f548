#include "CheckFleet.h"
#include "TestFleet.h"

#include <CppUTest/TestHarness.h>

namespace {

/// Cuts an instance from the `count` - 1 others, in both directions, and from the store; with isCut false it is connected again.
void isolate(TestFleet &fleet, std::size_t instance, std::size_t count, bool isCut)
{
    for (std::size_t other = 0; other < count; ++other) {
        if (other != instance) {
            fleet.cut(instance, other, isCut);
            fleet.cut(other, instance, isCut);
        }
    }
    fleet.cutFromStore(instance, isCut);
}

} // namespace

TEST_GROUP(AConfiguration)
{
    TestFleet fleet{21, 3};

    void setup() override
    {
        fleet.addPipeline("0");
        fleet.start();
    }

    void teardown() override
    {
        checkNoViolations(fleet, "configuration");
    }

    bool isInForceEverywhere(std::uint64_t revision)
    {
        return fleet.revisionAt(0) >= revision && fleet.revisionAt(1) >= revision && fleet.revisionAt(2) >= revision;
    }
};

TEST(AConfiguration, isInForceEverywhereWithinSeconds)
{
    const std::uint64_t revision = fleet.stage(1000);
    CHECK(fleet.runUntil([&]() { return isInForceEverywhere(revision); }, TestFleet::MaxActivationDelayMs));
}

TEST(AConfiguration, isNotAcceptedBeforeEveryLiveInstanceHasStagedIt)
{
    // Instance 2 gets no messages and can't reach the store, but its own gossip still reaches the others, so it counts as alive.
    fleet.cut(0, 2);
    fleet.cut(1, 2);
    fleet.cutFromStore(2);
    const std::uint64_t revision = fleet.stage(1000);
    fleet.run(20000);
    CHECK(fleet.acceptedRevision() < revision);
    fleet.cut(0, 2, false);
    fleet.cut(1, 2, false);
    CHECK(fleet.runUntil([&]() { return isInForceEverywhere(revision); }, 10000));
}

TEST(AConfiguration, waitsForAnIsolatedInstanceOnlyUntilThatRefusesWork)
{
    isolate(fleet, 2, 3, true);
    const std::uint64_t revision = fleet.stage(1000);
    fleet.run(15000);
    LONGS_EQUAL(revision, fleet.acceptedRevision());
    CHECK(!fleet.isReady(2));
    const auto refused = fleet.sendCompletion(2, "dome", 5);
    CHECK(fleet.answer(refused).error.has_value());
    CHECK(fleet.answer(refused).error->kind == base::ErrorKind::Unconfirmed);
    isolate(fleet, 2, 3, false);
    CHECK(fleet.runUntil([&]() { return isInForceEverywhere(revision); }, TestFleet::MaxActivationDelayMs));
}

TEST(AConfiguration, isNotAcceptedByAMinorityThatAloneReachesTheStore)
{
    isolate(fleet, 0, 3, true);
    fleet.cutFromStore(0, false);
    fleet.cutFromStore(1);
    fleet.cutFromStore(2);
    const std::uint64_t revision = fleet.stage(1000);
    fleet.run(30000);
    CHECK(fleet.acceptedRevision() < revision);
    // The two instances that can't reach the store are a majority, so they confirm the old revision to each other and continue under it.
    CHECK(fleet.isReady(1) && fleet.isReady(2));
    const auto call = fleet.sendCompletion(1, "dome", 5);
    fleet.run(1000);
    CHECK(fleet.answer(call).ended);
}

TEST(AConfiguration, staysInForceDuringAStoreOutageOfMinutes)
{
    fleet.faults.storeDown = true;
    fleet.run(180000);
    for (std::size_t instance = 0; instance < 3; ++instance) {
        CHECK(fleet.isReady(instance));
        const auto call = fleet.sendCompletion(instance, "dome", 5);
        fleet.run(1000);
        CHECK(fleet.answer(call).ended);
    }
}

TEST(AConfiguration, isFetchedFromPeersByAnInstanceThatStartsDuringAStoreOutage)
{
    fleet.crash(2);
    fleet.faults.storeDown = true;
    fleet.run(2000);
    fleet.restart(2);
    CHECK(fleet.runUntil([&]() { return fleet.revisionAt(2) == fleet.acceptedRevision(); }, 10000));
}

TEST(AConfiguration, isNotUsedAfterALongPauseUntilItIsConfirmedAgain)
{
    fleet.pause(2);
    const std::uint64_t revision = fleet.stage(1000);
    CHECK(fleet.runUntil([&]() { return fleet.acceptedRevision() == revision; }, 20000));
    fleet.run(10000);
    fleet.resume(2);
    const auto call = fleet.sendCompletion(2, "dome", 5);
    fleet.run(3000);
    const TestFleet::Answer &answer = fleet.answer(call);
    CHECK(answer.isFinal());
    CHECK(fleet.runUntil([&]() { return fleet.revisionAt(2) == revision; }, TestFleet::MaxActivationDelayMs));
}

TEST(AConfiguration, neverRevertsOnAStaleRead)
{
    fleet.faults.staleRead = 50;
    for (std::int64_t i = 1; i <= 5; ++i) {
        const std::uint64_t revision = fleet.stage(1000 * i);
        CHECK(fleet.runUntil([&]() { return isInForceEverywhere(revision); }, 20000));
    }
}

TEST(AConfiguration, keepsItsGuaranteesUnderRandomCutsPausesOutagesAndRaces)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        TestFleet seeded(seed, 3);
        seeded.addPipeline("0");
        seeded.start();
        base::Random random(seed);
        seeded.faults.lostWriteAnswer = 20;
        seeded.faults.lateWrite = 10;
        seeded.faults.staleRead = 10;
        seeded.faults.lostMessage = 10;
        std::set<std::size_t> paused;
        for (int step = 0; step < 60; ++step) {
            const std::size_t one = random.nextBelow(3);
            const std::size_t other = (one + 1 + random.nextBelow(2)) % 3;
            switch (random.nextBelow(8)) {
            case 0:
                seeded.stage(1000 + static_cast<std::int64_t>(step));
                break;
            case 1:
                seeded.cut(one, other, random.nextBelow(2) == 0);
                break;
            case 2:
                seeded.cutFromStore(one, random.nextBelow(2) == 0);
                break;
            case 3:
                if (paused.insert(one).second) {
                    seeded.pause(one);
                }
                break;
            case 4:
                if (paused.erase(one) > 0) {
                    seeded.resume(one);
                }
                break;
            case 5:
                seeded.faults.storeDown = random.nextBelow(3) == 0;
                break;
            default:
                seeded.sendCompletion(one, "dome", 3);
                break;
            }
            seeded.run(static_cast<std::int64_t>(random.nextBelow(3000)));
        }
        checkNoViolations(seeded, "seed " + std::to_string(seed));
    }
}
