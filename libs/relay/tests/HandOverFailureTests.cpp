#include "CutOffBed.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// A stream that was handed over since its instance has lost all endpoints, while its own attempt is kept, comes to nothing at the other instance.
TEST_GROUP(AHandOverThatFails)
{
    CutOffBed bed;
    CallId stream = 0;
    AttemptId ownAttempt = 0;

    void setup() override
    {
        bed.listTakers();
        stream = bed.startStream(3);
        ownAttempt = bed.lastAttempt();
        bed.loseEndpoints();
        while (handOversOfStream() == 0 && bed.driver.brokenStreams.empty()) {
            bed.advance(Ms(50));
        }
        LONGS_EQUAL(1, handOversOfStream());
        CHECK(!bed.driver.wasCancelled(ownAttempt));
    }

    long handOversOfStream() const
    {
        return std::count_if(bed.driver.handOvers.begin(), bed.driver.handOvers.end(), [this](const HandOver &each) { return each.call == stream; });
    }

    void answer(const AnswerHead &head)
    {
        const auto last =
            std::find_if(bed.driver.handOvers.rbegin(), bed.driver.handOvers.rend(), [this](const HandOver &each) { return each.call == stream; });
        bed.kernel.onAnswer(bed.now, last->attempt, head);
    }

    void refuse(base::ErrorKind kind)
    {
        AnswerHead head;
        head.peerError = kind;
        answer(head);
    }

    void requireToGoOn()
    {
        CHECK(bed.driver.brokenStreams.empty());
        CHECK(bed.kernel.onEvent(bed.now, ownAttempt, 4));
    }
};

/// Guards against a run at another instance that isn't counted while an attempt is open: the request was handed over again and again.
TEST(AHandOverThatFails, countsAsARunIfItMayHaveRun)
{
    refuse(base::ErrorKind::UpstreamBroken);
    bed.advance(Ms(500));
    // Its route permits two runs.
    LONGS_EQUAL(1, handOversOfStream());
    requireToGoOn();
}

/// Guards against a damaged answer of another instance that cuts a stream whose own attempt goes on.
TEST(AHandOverThatFails, leavesTheOwnAttemptOpenIfItsAnswerIsDamaged)
{
    answer(AnswerHead{});
    requireToGoOn();
}

/// Guards against a whole answer of another instance, such as an error of its endpoint, that is written into a stream that has begun.
TEST(AHandOverThatFails, leavesTheOwnAttemptOpenIfItsAnswerIsNoStream)
{
    AnswerHead head;
    head.status = 500;
    head.verified = true;
    answer(head);
    LONGS_EQUAL(0, bed.driver.forwarded.size());
    requireToGoOn();
}

/// Guards against instances that lack a new configuration for a moment being left out for the rest of a request, while an attempt of its own is open.
TEST(AHandOverThatFails, isTriedAgainOnceTheOthersHaveTheConfiguration)
{
    refuse(base::ErrorKind::Unconfirmed);
    refuse(base::ErrorKind::Unconfirmed);
    const long before = handOversOfStream();
    bed.advance(Ms(500));
    CHECK(handOversOfStream() > before);
    requireToGoOn();
}

/// Guards against a limit on retries that is used up by hand-overs to instances that lack a new configuration, so that streams are broken off.
TEST(AHandOverThatFails, isNotCountedAsARetryIfTheOtherLacksTheConfiguration)
{
    constexpr int Streams = 40;
    bed.kernel.onCallerGone(bed.now, stream);
    for (int i = 0; i < Streams; ++i) {
        stream = bed.call("/stream/x");
        LONGS_EQUAL(1, handOversOfStream());
        CHECK(bed.kernel.onEvent(bed.now, bed.driver.handOvers.back().attempt, 1));
        refuse(base::ErrorKind::UpstreamBroken);
        LONGS_EQUAL(2, handOversOfStream());
        refuse(base::ErrorKind::Unconfirmed);
        bed.kernel.onCallerGone(bed.now, stream);
        bed.advance(Ms(300));
    }
    LONGS_EQUAL(0, bed.driver.recorded["retry_refused"]);
}

/// Guards against a run at another instance that isn't counted since it left out an event while an attempt is open: the route permits two runs.
TEST(AHandOverThatFails, countsAsARunIfItLeavesOutAnEvent)
{
    CHECK(!bed.kernel.onEvent(bed.now, bed.driver.handOvers.back().attempt, 5));
    bed.advance(Ms(500));
    LONGS_EQUAL(1, handOversOfStream());
    requireToGoOn();
}

/// Guards against a third run on a route that permits two: the other instance may have run the request although the own attempt had the next event first.
TEST(AHandOverThatFails, countsAsARunIfTheOwnAttemptGoesOnFirst)
{
    requireToGoOn();
    bed.advance(Ms(1000));
    CHECK(!bed.kernel.reachesEndpoints());
    LONGS_EQUAL(1, handOversOfStream());
}
