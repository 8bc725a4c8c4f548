#include "CutOffBed.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// Endpoints number the events of a stream; the ids go up.
TEST_GROUP(AStreamWithADamagedId)
{
    CutOffBed bed;

    /// Lets the last attempt send an event with that content; returns whether it is forwarded.
    bool send(std::uint64_t event, std::uint64_t content)
    {
        return bed.kernel.onEvent(bed.now, bed.lastAttempt(), event, content);
    }

    void mustBeBroken(CallId stream)
    {
        LONGS_EQUAL(1, bed.driver.brokenStreams.size());
        LONGS_EQUAL(stream, bed.driver.brokenStreams.front());
        CHECK(bed.driver.endedStreams.empty());
    }
};

/// Guards against ORDER: the id of the last event is damaged and becomes one that the caller has; the event was left out, and the stream ended as complete.
TEST(AStreamWithADamagedId, isBrokenOffIfTheIdGoesDown)
{
    const CallId stream = bed.startStream(0);
    for (std::uint64_t event = 1; event <= 3; ++event) {
        CHECK(send(event, event));
    }
    CHECK(!send(1, 4));
    bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    mustBeBroken(stream);
}

TEST(AStreamWithADamagedId, isBrokenOffIfTheIdIsThatOfTheEventBefore)
{
    const CallId stream = bed.startStream(0);
    CHECK(send(1, 1));
    CHECK(send(2, 2));
    CHECK(!send(2, 3));
    mustBeBroken(stream);
}

/// Guards against the same at the first event: all that followed it were left out until their ids came up to it.
TEST(AStreamWithADamagedId, isBrokenOffIfTheFirstIdWasTooHigh)
{
    const CallId stream = bed.startStream(0);
    CHECK(send(3, 1));
    CHECK(!send(2, 2));
    CHECK(!send(3, 3));
    CHECK(!send(4, 4));
    mustBeBroken(stream);
}

/// Guards against the other error: an event that is sent twice, with the same bytes, is left out once.
TEST(AStreamWithADamagedId, goesOnIfAnEventIsOnlyRepeated)
{
    const CallId stream = bed.startStream(0);
    CHECK(send(1, 1));
    CHECK(send(2, 2));
    CHECK(!send(2, 2));
    CHECK(send(3, 3));
    bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    LONGS_EQUAL(stream, bed.driver.endedStreams.back());
}

/// Guards against the other error: a resumed run may repeat the event that its caller has, in words of its own.
TEST(AStreamWithADamagedId, goesOnIfAResumedRunRepeatsTheLastEvent)
{
    const CallId stream = bed.startStream(3);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    CHECK(!send(3, 33));
    CHECK(send(4, 34));
    bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    LONGS_EQUAL(stream, bed.driver.endedStreams.back());
}

/// Guards against the same of streams that another instance serves.
TEST(AStreamWithADamagedId, isBrokenOffAtAnotherInstanceToo)
{
    bed.listTakers();
    bed.cutOff();
    const CallId stream = bed.call("/stream/x");
    const AttemptId there = bed.lastHandOver().attempt;
    CHECK(bed.kernel.onEvent(bed.now, there, 1, 1));
    CHECK(bed.kernel.onEvent(bed.now, there, 2, 2));
    CHECK(!bed.kernel.onEvent(bed.now, there, 1, 3));
    bed.kernel.onStreamEnd(bed.now, there);
    mustBeBroken(stream);
}
