#include "CheckFleet.h"
#include "TestFleet.h"

#include <CppUTest/TestHarness.h>

namespace {

/// Target of docs/design/0001-starting-point.md: an endpoint that has been leaving for longer than this gets no new work from any instance.
constexpr std::int64_t MaxLeavingDelayMs = 3000;

} // namespace

TEST_GROUP(AnEndpointThatLeaves)
{
    TestFleet fleet{31, 3};

    void setup() override
    {
        fleet.addPipeline("0");
        fleet.addPipeline("1");
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
