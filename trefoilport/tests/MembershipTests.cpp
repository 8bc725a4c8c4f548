#include "CheckFleet.h"
#include "TestFleet.h"

#include <CppUTest/TestHarness.h>

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
