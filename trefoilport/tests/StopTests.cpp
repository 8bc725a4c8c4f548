#include "CheckFleet.h"
#include "TestFleet.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(AnInstanceThatIsStopped)
{
    TestFleet fleet{41, 3};

    void setup() override
    {
        fleet.addPipeline("0");
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
    CHECK(fleet.runUntil([&]() { return fleet.revisionAt(2) == revision; }, TestFleet::MaxActivationDelayMs));
}
