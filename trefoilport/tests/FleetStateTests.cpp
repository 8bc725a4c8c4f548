#include "CheckFleet.h"
#include "TestFleet.h"

#include <CppUTest/TestHarness.h>

namespace {

/// Target of docs/design/0001-starting-point.md: a staged configuration is in force on every instance within this time if all of them are connected.
constexpr std::int64_t MaxActivationDelayMs = 5000;
/// Target of docs/design/0001-starting-point.md: an endpoint that has been leaving for longer than this gets no new work from any instance.
constexpr std::int64_t MaxLeavingDelayMs = 3000;

/// Adds the engines of a pipeline of two stages.
void addPipeline(TestFleet &fleet, const std::string &suffix)
{
    fleet.addEngine("front-" + suffix, 0, 4, 64);
    fleet.addEngine("back-" + suffix, 4, 12, 64);
}

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
        addPipeline(fleet, "0");
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
    CHECK(fleet.runUntil([&]() { return isInForceEverywhere(revision); }, MaxActivationDelayMs));
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
    CHECK(fleet.runUntil([&]() { return isInForceEverywhere(revision); }, MaxActivationDelayMs));
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
    CHECK(fleet.runUntil([&]() { return fleet.revisionAt(2) == revision; }, MaxActivationDelayMs));
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
        addPipeline(seeded, "0");
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

TEST_GROUP(AnEndpointThatLeaves)
{
    TestFleet fleet{31, 3};

    void setup() override
    {
        addPipeline(fleet, "0");
        addPipeline(fleet, "1");
        fleet.start();
    }

    void teardown() override
    {
        checkNoViolations(fleet, "leaving");
    }

    /// Sends a short completion call to every instance each 50 ms, for ms milliseconds.
    void callAllInstances(std::int64_t ms)
    {
        for (std::int64_t elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
            for (std::size_t instance = 0; instance < 3; ++instance) {
                fleet.sendCompletion(instance, "dome " + std::to_string(elapsedMs) + "-" + std::to_string(instance), 3);
            }
            fleet.run(50);
        }
    }
};

TEST(AnEndpointThatLeaves, getsNoNewWorkFromAnyInstanceAfterThreeSeconds)
{
    callAllInstances(500);
    const std::int64_t leavingSince = fleet.nowMs();
    fleet.drainEndpoint("back-1", false);
    callAllInstances(6000);
    CHECK(fleet.lastWorkAt("back-1") <= leavingSince + MaxLeavingDelayMs);
    CHECK(fleet.lastWorkAt("back-0") > leavingSince + MaxLeavingDelayMs);
}

TEST(AnEndpointThatLeaves, getsNoNewWorkAfterThreeSecondsWhileTheStoreIsDown)
{
    fleet.faults.storeDown = true;
    callAllInstances(500);
    const std::int64_t leavingSince = fleet.nowMs();
    fleet.drainEndpoint("front-1", false);
    callAllInstances(6000);
    CHECK(fleet.lastWorkAt("front-1") <= leavingSince + MaxLeavingDelayMs);
}

TEST(AnEndpointThatLeaves, isReportedByGossipToInstancesThatCannotReadTheList)
{
    // Instance 2 can't read the instance list, and the endpoint itself does not report that it is leaving, so instance 2 learns it from gossip only.
    fleet.cutFromStore(2);
    const std::int64_t leavingSince = fleet.nowMs();
    fleet.listAsLeaving("back-1");
    callAllInstances(6000);
    CHECK(fleet.lastWorkAt("back-1") <= leavingSince + MaxLeavingDelayMs);
}

TEST(AnEndpointThatLeaves, isUsedAgainWhenItComesBackAsANewIncarnation)
{
    fleet.drainEndpoint("back-1", true);
    callAllInstances(3000);
    fleet.addEngine("back-1", 4, 12, 64);
    const std::int64_t restartedAt = fleet.nowMs();
    callAllInstances(4000);
    CHECK(fleet.lastWorkAt("back-1") > restartedAt);
}

TEST_GROUP(AnInstanceThatIsStopped)
{
    TestFleet fleet{41, 3};

    void setup() override
    {
        addPipeline(fleet, "0");
        fleet.addService("booking-1");
        fleet.start();
    }

    void teardown() override
    {
        checkNoViolations(fleet, "shutdown");
    }
};

TEST(AnInstanceThatIsStopped, finishesItsStreamsAndExits)
{
    const auto call = fleet.sendCompletion(0, "dome", 200);
    fleet.run(100);
    fleet.requestStop(0);
    fleet.run(200);
    CHECK(!fleet.isReady(0));
    fleet.run(8000);
    CHECK(fleet.answer(call).ended);
    CHECK(fleet.hasExited(0));
}

TEST(AnInstanceThatIsStopped, finishesItsStreamsWhileTheStoreIsDownAndAnotherInstanceFails)
{
    fleet.faults.storeDown = true;
    const auto call = fleet.sendCompletion(0, "dome", 200);
    fleet.run(100);
    fleet.crash(1);
    fleet.requestStop(0);
    fleet.run(12000);
    CHECK(fleet.answer(call).ended);
    CHECK(fleet.hasExited(0));
}

TEST(AnInstanceThatIsStopped, failsAStreamThatIsStillOpenAfterTheShutdownTimeout)
{
    const auto call = fleet.sendCompletion(0, "dome", 4000);
    fleet.run(100);
    fleet.requestStop(0);
    fleet.run(7000);
    CHECK(fleet.answer(call).error.has_value());
    CHECK(fleet.hasExited(0));
}

TEST(AnInstanceThatIsStopped, storesItsOutcomesBeforeItExits)
{
    const auto call = fleet.sendBooking(0, "family-7");
    fleet.run(5);
    fleet.requestStop(0);
    fleet.run(5000);
    CHECK(fleet.answer(call).service.has_value());
    CHECK(fleet.hasExited(0));
    const auto repeat = fleet.sendBooking(1, "family-7");
    fleet.run(1000);
    CHECK(fleet.answer(repeat).replayed);
}

TEST(AnInstanceThatIsStopped, waitsForTheStoreUntilItsOutcomesAreStored)
{
    const auto call = fleet.sendBooking(0, "family-7");
    CHECK(fleet.runUntil([&]() { return fleet.executions("family-7") == 1; }, 1000));
    fleet.faults.storeDown = true;
    fleet.requestStop(0);
    fleet.run(3000);
    CHECK(fleet.answer(call).service.has_value());
    CHECK(!fleet.hasExited(0));
    fleet.faults.storeDown = false;
    fleet.run(3000);
    CHECK(fleet.hasExited(0));
    const auto repeat = fleet.sendBooking(1, "family-7");
    fleet.run(1000);
    CHECK(fleet.answer(repeat).replayed);
}

TEST(AnInstanceThatIsStopped, leavesTheLastInstanceServingWhileTheStoreIsDown)
{
    fleet.faults.storeDown = true;
    fleet.requestStop(0);
    fleet.run(3000);
    fleet.requestStop(1);
    fleet.run(20000);
    CHECK(fleet.hasExited(0) && fleet.hasExited(1));
    const auto call = fleet.sendCompletion(2, "dome", 5);
    fleet.run(1000);
    CHECK(fleet.answer(call).ended);
}

TEST(AnInstanceThatIsStopped, mayStopAtTheSameTimeAsAnother)
{
    const auto first = fleet.sendCompletion(0, "dome", 100);
    const auto second = fleet.sendCompletion(1, "vent", 100);
    fleet.run(100);
    fleet.requestStop(0);
    fleet.requestStop(1);
    fleet.run(8000);
    CHECK(fleet.answer(first).ended && fleet.answer(second).ended);
    CHECK(fleet.hasExited(0) && fleet.hasExited(1));
    const std::uint64_t revision = fleet.stage(1000);
    CHECK(fleet.runUntil([&]() { return fleet.revisionAt(2) == revision; }, MaxActivationDelayMs));
}

TEST_GROUP(TheMembership)
{
    TestFleet fleet{51, 5};

    void setup() override
    {
        fleet.start();
    }
};

TEST(TheMembership, detectsACrashAndAPauseWithinSeconds)
{
    LONGS_EQUAL(5, fleet.liveCountSeenBy(0));
    fleet.crash(4);
    fleet.pause(3);
    fleet.run(4000);
    LONGS_EQUAL(3, fleet.liveCountSeenBy(0));
    fleet.resume(3);
    fleet.restart(4);
    fleet.run(4000);
    LONGS_EQUAL(5, fleet.liveCountSeenBy(0));
}

TEST(TheMembership, staysCompleteDuringAOneWayCut)
{
    fleet.cut(0, 1);
    fleet.run(10000);
    LONGS_EQUAL(5, fleet.liveCountSeenBy(1));
    LONGS_EQUAL(5, fleet.liveCountSeenBy(0));
}

TEST(TheMembership, detectsAPartitionAndItsEnd)
{
    for (std::size_t here = 0; here < 3; ++here) {
        for (std::size_t there = 3; there < 5; ++there) {
            fleet.cut(here, there);
            fleet.cut(there, here);
        }
    }
    fleet.run(5000);
    LONGS_EQUAL(3, fleet.liveCountSeenBy(0));
    LONGS_EQUAL(2, fleet.liveCountSeenBy(4));
    for (std::size_t here = 0; here < 3; ++here) {
        for (std::size_t there = 3; there < 5; ++there) {
            fleet.cut(here, there, false);
            fleet.cut(there, here, false);
        }
    }
    fleet.run(5000);
    LONGS_EQUAL(5, fleet.liveCountSeenBy(0));
    LONGS_EQUAL(5, fleet.liveCountSeenBy(4));
}

TEST(TheMembership, suspectsNoMemberAfterAPauseOfItsOwnInstance)
{
    // All messages are lost, so no member is seen during the two pauses, which together are longer than suspectMs (1500 ms).
    fleet.faults.lostMessage = 100;
    fleet.pause(0);
    fleet.run(1000);
    fleet.resume(0);
    fleet.run(20);
    fleet.pause(0);
    fleet.run(1000);
    fleet.resume(0);
    fleet.run(20);
    LONGS_EQUAL(5, fleet.liveCountSeenBy(0));
}

TEST(TheMembership, staysCompleteWhenAThirdOfTheMessagesIsLost)
{
    fleet.faults.lostMessage = 33;
    for (int i = 0; i < 60; ++i) {
        fleet.run(500);
        LONGS_EQUAL(5, fleet.liveCountSeenBy(0));
    }
}
