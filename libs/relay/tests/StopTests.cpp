#include "FakeDriver.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// Guards against requests that a planned stop loses.
TEST_GROUP(AnInstanceThatStops)
{
    RelayTestBed bed;

    base::ErrorKind lastRejection() const
    {
        return bed.driver.rejected.back().rejection.kind;
    }

    /// Gives the route of the bookings a timeout that is longer than the grace period.
    void permitLongBookings()
    {
        auto config = std::make_shared<FleetConfig>(*RelayTestBed::config(2));
        config->routes[1].timeout = Ms(20000);
        bed.kernel.onConfig(bed.now, bed.now, config);
    }
};

TEST(AnInstanceThatStops, finishesOpenRequestsBeforeItStops)
{
    const CallId call = bed.call("/book/seat", "key-a", Ms(5000));
    bed.kernel.onStop(bed.now);
    CHECK(!bed.driver.ready);
    bed.advance(Ms(1000));
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {200, false, true, ""});
    LONGS_EQUAL(call, bed.driver.forwarded.back());
    bed.advance(Ms(1000));
    CHECK(!bed.driver.exited);
    bed.advance(Ms(1000));
    CHECK(bed.driver.connectionsClosed);
    CHECK(bed.driver.exited);
}

TEST(AnInstanceThatStops, doesNotExitWhileARequestIsOpen)
{
    bed.call("/stream/x");
    bed.kernel.onEvent(bed.now, bed.lastAttempt(), 1);
    bed.kernel.onStop(bed.now);
    for (std::uint64_t event = 2; event < 52; ++event) {
        bed.advance(Ms(100));
        bed.kernel.onEvent(bed.now, bed.lastAttempt(), event);
        CHECK(!bed.driver.exited);
    }
    bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    bed.advance(Ms(100));
    CHECK(bed.driver.exited);
}

/// Guards against answers that are lost because the process ends before they are written.
TEST(AnInstanceThatStops, doesNotExitWhileAnAnswerIsWritten)
{
    bed.call("/book/seat");
    bed.kernel.onStop(bed.now);
    bed.driver.unfinished = 1;
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {200, false, true, ""});
    bed.advance(Ms(5000));
    CHECK(!bed.driver.exited);
    bed.driver.unfinished = 0;
    bed.advance(Ms(100));
    CHECK(bed.driver.exited);
}

/// Guards against a process that is killed in the middle of its work since one caller doesn't read its answer.
TEST(AnInstanceThatStops, exitsBeforeItsGracePeriodEndsWhateverIsStillWritten)
{
    bed.kernel.onStop(bed.now);
    bed.driver.unfinished = 1;
    bed.advance(RelayTestBed::settings().gracePeriod - Ms(500));
    CHECK(!bed.driver.exited);
    bed.advance(Ms(400));
    CHECK(bed.driver.exited);
}

/// At the end of its grace period an instance rejects open calls. An at-most-once request that an endpoint still works on must not be reported as
/// not run, because its caller would send it again.
TEST(AnInstanceThatStops, doesNotReportAnOpenRequestAsNotRunWhenItExits)
{
    permitLongBookings();
    bed.call("/book/seat");
    bed.kernel.onStop(bed.now);
    bed.advance(Ms(7600));
    CHECK(bed.driver.exited);
    LONGS_EQUAL(1, bed.driver.rejected.size());
    CHECK(base::errorAnswer(lastRejection()).ran != base::HasRun::No);
}

TEST(AnInstanceThatStops, rejectsNewRequestsOnceItsStopIsNear)
{
    bed.call("/book/seat", "key-a", Ms(7000));
    bed.kernel.onStop(bed.now);
    bed.advance(Ms(1000));
    bed.call("/book/seat");
    LONGS_EQUAL(2, bed.driver.sent.size());
    bed.advance(Ms(3000));
    bed.call("/book/seat");
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(lastRejection() == base::ErrorKind::Stopping);
}

/// A stream of several seconds that is accepted late in the grace period would be broken off when the instance exits.
TEST(AnInstanceThatStops, rejectsAStreamThatMayNotEndBeforeItStops)
{
    bed.call("/book/seat", "key-a", Ms(7000));
    bed.kernel.onStop(bed.now);
    bed.advance(Ms(2600));
    bed.call("/stream/x");
    LONGS_EQUAL(1, bed.driver.sent.size());
    CHECK(lastRejection() == base::ErrorKind::Stopping);
    CHECK(bed.driver.rejected.back().rejection.retryAfter.count() > 0);
}

/// Guards against requests that are taken until their instance's grace period is over, if that is short: they were passed on, and cut soon after.
TEST(AnInstanceThatStops, takesRequestsForHalfOfAShortGracePeriodOnly)
{
    RelaySettings settings = RelayTestBed::settings();
    settings.gracePeriod = Ms(2000);
    bed.kernel.onSettings(settings);
    bed.kernel.onStop(bed.now);
    bed.advance(Ms(500));
    bed.call("/book/seat");
    LONGS_EQUAL(1, bed.driver.sent.size());
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {200, false, true, ""});
    bed.advance(Ms(300));
    bed.call("/book/seat");
    LONGS_EQUAL(1, bed.driver.sent.size());
    CHECK(lastRejection() == base::ErrorKind::Stopping);
    CHECK(bed.driver.connectionsClosed);
    bed.advance(Ms(1000));
    CHECK(bed.driver.exited);
}

/// Guards against requests that are passed on although their endpoints take longer than the instance still runs.
TEST(AnInstanceThatStops, rejectsARequestThatItsEndpointsWouldNotEndInTime)
{
    permitLongBookings();
    // Each of the three endpoints has taken six seconds.
    for (int i = 0; i < 3; ++i) {
        bed.call("/book/seat");
    }
    bed.advance(Ms(6000));
    for (const Dispatch &dispatch : bed.driver.sent) {
        bed.kernel.onAnswer(bed.now, dispatch.attempt, {200, false, true, ""});
    }
    LONGS_EQUAL(3, bed.driver.forwarded.size());
    bed.kernel.onStop(bed.now);
    bed.call("/book/seat");
    LONGS_EQUAL(3, bed.driver.sent.size());
    CHECK(lastRejection() == base::ErrorKind::Stopping);
    // Its caller doesn't wait for as long as the instance still runs, and is better served by whatever comes until then.
    bed.call("/book/seat", "key-a", Ms(4000));
    LONGS_EQUAL(4, bed.driver.sent.size());
}

/// A stream's duration is predicted from the lengths of its prompt and answer. One that can be resumed is taken whatever its length: when it is cut, its caller
/// goes on elsewhere behind the last event.
TEST(AnInstanceThatStops, rejectsAStreamThatIsPredictedToOutlastItUnlessItCanBeResumed)
{
    const auto callLongStream = [&]() {
        CallArrival arrival = bed.nextArrival("/stream/x");
        arrival.timeLimit = Ms(60000);
        arrival.answerTokens = 40000;
        bed.kernel.onCall(bed.now, arrival);
    };
    bed.kernel.onStop(bed.now);
    callLongStream();
    LONGS_EQUAL(1, bed.driver.sent.size());
    auto config = std::make_shared<FleetConfig>(*RelayTestBed::config(2));
    config->routes[0].isResumable = false;
    bed.kernel.onConfig(bed.now, bed.now, config);
    bed.startStream(1);
    LONGS_EQUAL(2, bed.driver.sent.size());
    callLongStream();
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(lastRejection() == base::ErrorKind::Stopping);
}

/// Guards against a request being sent once more in the last moments, when nobody could wait for its answer: it has not run, and its caller may know that.
TEST(AnInstanceThatStops, saysThatARequestHasNotRunIfItIsRefusedTooLate)
{
    permitLongBookings();
    bed.call("/book/seat");
    bed.kernel.onStop(bed.now);
    bed.advance(Ms(7200));
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {503, true, false, ""});
    LONGS_EQUAL(1, bed.driver.sent.size());
    CHECK(lastRejection() == base::ErrorKind::Stopping);
    CHECK(base::errorAnswer(lastRejection()).ran == base::HasRun::No);
}

/// Guards against requests that are read and cut at the end, since callers come back at once and one is always under way.
TEST(AnInstanceThatStops, acceptsNoMoreConnectionsOnceItsWorkIsDone)
{
    permitLongBookings();
    bed.call("/book/seat");
    bed.kernel.onStop(bed.now);
    bed.driver.unfinished = 1;
    bed.advance(Ms(2900));
    CHECK(bed.driver.accepting);
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {200, false, true, ""});
    bed.advance(Ms(50));
    CHECK(!bed.driver.accepting);
    CHECK(!bed.driver.exited);
    bed.driver.unfinished = 0;
    bed.advance(Ms(50));
    CHECK(bed.driver.exited);
}

/// Guards against callers that lose time on their way from an instance that stops to one that serves them at once.
TEST(AnInstanceThatStops, sendsCallersElsewhereAsSoonAsTheBalancerDoes)
{
    const auto retryDelayNow = [&]() {
        bed.call("/read/x");
        CHECK(lastRejection() == base::ErrorKind::Stopping);
        return bed.driver.rejected.back().rejection.retryAfter;
    };
    bed.kernel.onStop(bed.now);
    bed.advance(Ms(3000));
    for (int i = 0; i < 50; ++i) {
        const Ms delay = retryDelayNow();
        CHECK(delay > Ms(0));
        CHECK(delay <= Ms(100));
    }
}

/// Guards against a caller that comes back while the balancer may still send it to the same instance.
TEST(AnInstanceThatStops, letsNobodyReturnBeforeTheBalancerKnows)
{
    RelaySettings settings = RelayTestBed::settings();
    settings.gracePeriod = Ms(3000);
    bed.kernel.onSettings(settings);
    bed.kernel.onStop(bed.now);
    bed.advance(Ms(1500));
    bed.call("/read/x");
    CHECK(lastRejection() == base::ErrorKind::Stopping);
    CHECK(bed.driver.rejected.back().rejection.retryAfter > Ms(1000));
}
