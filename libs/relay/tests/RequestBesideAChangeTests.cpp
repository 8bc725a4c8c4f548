#include "FakeDriver.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// Requests are served by the configuration under which they came, whatever a later one says: also while their instance stops, waits or was held up.
TEST_GROUP(ARequestBesideAChange)
{
    RelayTestBed bed;

    /// Reads a configuration without routes, services and keys.
    void dropEverything()
    {
        auto config = std::make_shared<FleetConfig>();
        config->version = 2;
        config->hasTeams = true;
        bed.kernel.onConfig(bed.now, bed.now, config);
    }

    /// Ends an open stream and an open plain request, and requires that both have got their whole answers.
    void mustEndWhole(AttemptId stream, AttemptId plain)
    {
        CHECK(bed.kernel.onEvent(bed.now, stream, 3));
        bed.kernel.onStreamEnd(bed.now, stream);
        bed.kernel.onAnswer(bed.now, plain, {200, false, true, ""});
        LONGS_EQUAL(1, bed.driver.endedStreams.size());
        LONGS_EQUAL(1, bed.driver.forwarded.size());
        CHECK(bed.driver.brokenStreams.empty());
        LONGS_EQUAL(0, bed.kernel.openCalls());
    }
};

TEST(ARequestBesideAChange, endsWholeIfItsInstanceStopsJustBeforeOrAfter)
{
    for (const bool stopsFirst : {true, false}) {
        RelayTestBed fresh;
        fresh.startStream(2);
        const AttemptId stream = fresh.lastAttempt();
        fresh.call("/book/x");
        const AttemptId plain = fresh.lastAttempt();
        auto config = std::make_shared<FleetConfig>();
        config->version = 2;
        if (stopsFirst) {
            fresh.kernel.onStop(fresh.now);
        }
        fresh.kernel.onConfig(fresh.now, fresh.now, config);
        fresh.kernel.onStop(fresh.now);
        fresh.advance(Ms(1000));
        CHECK(fresh.kernel.onEvent(fresh.now, stream, 3));
        fresh.kernel.onStreamEnd(fresh.now, stream);
        fresh.kernel.onAnswer(fresh.now, plain, {200, false, true, ""});
        LONGS_EQUAL(1, fresh.driver.endedStreams.size());
        LONGS_EQUAL(1, fresh.driver.forwarded.size());
        CHECK(!fresh.driver.exited);
        fresh.advance(Ms(2500));
        CHECK(fresh.driver.exited);
    }
}

TEST(ARequestBesideAChange, endsWholeIfEverythingIsDroppedWhileItIsOpen)
{
    bed.startStream(2);
    const AttemptId stream = bed.lastAttempt();
    bed.call("/book/x");
    const AttemptId plain = bed.lastAttempt();
    dropEverything();
    bed.advance(Ms(500));
    mustEndWhole(stream, plain);
}

/// A stream without an attempt waits for endpoints when its route, its service and its key are dropped.
TEST(ARequestBesideAChange, isTakenUpAgainIfEverythingIsDroppedWhileItWaits)
{
    bed.startStream(2);
    const std::vector<EndpointEntry> all = bed.entries;
    std::erase_if(bed.entries, [](const EndpointEntry &entry) { return entry.service == "model"; });
    bed.advance(Ms(50));
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    bed.advance(Ms(300));
    dropEverything();
    bed.advance(Ms(300));
    CHECK(bed.driver.brokenStreams.empty());
    bed.entries = all;
    bed.advance(Ms(300));
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
    bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    LONGS_EQUAL(1, bed.driver.endedStreams.size());
}

/// A refused request is sent again, as its first try was permitted, although its route is gone meanwhile.
TEST(ARequestBesideAChange, isSentAgainIfItsRouteIsDroppedBeforeItIsRefused)
{
    bed.call("/book/x");
    dropEverything();
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {503, true, true, ""});
    LONGS_EQUAL(2, bed.driver.sent.size());
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {200, false, true, ""});
    LONGS_EQUAL(1, bed.driver.forwarded.size());
}

/// Guards against open requests being given up since timers and checks see an instance's own hold-up as the silence of others.
TEST(ARequestBesideAChange, outlivesTheHoldUpOfItsInstance)
{
    for (const Ms holdUp : {Ms(500), Ms(1000)}) {
        RelayTestBed fresh;
        fresh.startStream(2);
        const AttemptId stream = fresh.lastAttempt();
        fresh.call("/book/x");
        const AttemptId plain = fresh.lastAttempt();
        fresh.now += holdUp;
        fresh.kernel.onConfig(fresh.now, fresh.now, RelayTestBed::config(2));
        fresh.kernel.onTick(fresh.now);
        fresh.answerChecks();
        fresh.kernel.onTick(fresh.now);
        CHECK(fresh.kernel.reachesEndpoints());
        LONGS_EQUAL(2, fresh.driver.sent.size());
        CHECK(!fresh.driver.wasCancelled(stream));
        CHECK(fresh.kernel.onEvent(fresh.now, stream, 3));
        fresh.kernel.onAnswer(fresh.now, plain, {200, false, true, ""});
        LONGS_EQUAL(1, fresh.driver.forwarded.size());
    }
}
