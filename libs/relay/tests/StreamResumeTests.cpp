#include "FakeDriver.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// A stream that is to go on after the last event that its caller has.
TEST_GROUP(AResumedStream)
{
    RelayTestBed bed;
};

/// Guards against pieces of two runs in one answer: an endpoint that ignores from where a stream is to go on begins a new run, whose first events the caller
/// seems to have already.
TEST(AResumedStream, isNotContinuedByAnEndpointThatBeginsANewRun)
{
    const CallId stream = bed.startStream(3);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    LONGS_EQUAL(2, bed.driver.sent.size());
    STRCMP_EQUAL("3", bed.driver.sent.back().lastEventId.c_str());
    const AttemptId second = bed.lastAttempt();
    CHECK(!bed.kernel.onEvent(bed.now, second, 1));
    CHECK(bed.driver.wasCancelled(second));
    // Both attempts that the route permits may have run, so that the stream is cut.
    LONGS_EQUAL(2, bed.driver.sent.size());
    LONGS_EQUAL(stream, bed.driver.brokenStreams.back());
    CHECK(!bed.kernel.onEvent(bed.now, second, 4));
}

/// Guards against the events of two runs in one stream that had one event only: the new run's first event looks like a repeated one.
TEST(AResumedStream, isNotContinuedByANewRunAfterItsFirstEvent)
{
    const CallId stream = bed.startStream(1);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    CHECK(!bed.kernel.onEvent(bed.now, bed.lastAttempt(), 1));
    CHECK(!bed.kernel.onEvent(bed.now, bed.lastAttempt(), 2));
    LONGS_EQUAL(stream, bed.driver.brokenStreams.back());
}

/// Guards against the other error: an endpoint that goes on where it was asked to, and sends an event of its own run twice.
TEST(AResumedStream, isContinuedByAnEndpointThatRepeatsAnEventOfItsOwn)
{
    const CallId stream = bed.startStream(3);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 4));
    CHECK(!bed.kernel.onEvent(bed.now, bed.lastAttempt(), 4));
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 5));
    bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    LONGS_EQUAL(stream, bed.driver.endedStreams.back());
}

/// Guards against the events of two runs in a stream that its caller resumes and another instance has begun.
TEST(AResumedStream, isNotResumedForItsCallerByAnEndpointThatBeginsANewRun)
{
    CallArrival arrival = bed.nextArrival("/stream/x");
    arrival.lastEventId = "12";
    bed.kernel.onCall(bed.now, arrival);
    CHECK(!bed.kernel.onEvent(bed.now, bed.lastAttempt(), 1));
    LONGS_EQUAL(2, bed.driver.sent.size());
    STRCMP_EQUAL("12", bed.driver.sent.back().lastEventId.c_str());
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 13));
}

/// Guards against streams of services without layers being cut, though their callers still wait, while all endpoints pause for a moment.
TEST(AResumedStream, waitsForAnEndpointWithoutLayersAsForAPipeline)
{
    auto config = std::make_shared<FleetConfig>(*RelayTestBed::config(2));
    config->routes[0].services = {{"desk", 1}};
    bed.kernel.onConfig(bed.now, bed.now, config);
    const CallId stream = bed.startStream(3);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    AnswerHead refusal{503, true, false, ""};
    refusal.retryAfter = Ms(600);
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), refusal);
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), refusal);
    bed.advance(Ms(400));
    LONGS_EQUAL(0, bed.driver.brokenStreams.size());
    const std::size_t sentBefore = bed.driver.sent.size();
    bed.advance(Ms(1000));
    LONGS_EQUAL(sentBefore + 1, bed.driver.sent.size());
    STRCMP_EQUAL("3", bed.driver.sent.back().lastEventId.c_str());
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 4));
    bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    LONGS_EQUAL(stream, bed.driver.endedStreams.back());
}

/// Guards against the other error: a caller that waits though no endpoint is left that could take up its stream.
TEST(AResumedStream, isCutAtOnceIfItHasNoEndpointLeft)
{
    auto config = std::make_shared<FleetConfig>(*RelayTestBed::config(2));
    config->routes[0].services = {{"desk", 1}};
    config->routes[0].maxAttempts = 4;
    bed.kernel.onConfig(bed.now, bed.now, config);
    const CallId stream = bed.startStream(3);
    for (int i = 0; i < 3; ++i) {
        CHECK(bed.driver.brokenStreams.empty());
        bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    }
    LONGS_EQUAL(3, bed.driver.sent.size());
    LONGS_EQUAL(stream, bed.driver.brokenStreams.back());
}

/// Guards against a damaged id of the last event that counts as the highest one, after which all events are dropped as received.
TEST(AResumedStream, beginsAnewIfTheLastEventOfItsCallerIsNoNumber)
{
    for (const char *lastEventId : {"-1", "99999999999999999999999", "+7", "x", "7x"}) {
        CallArrival arrival = bed.nextArrival("/stream/x");
        arrival.lastEventId = lastEventId;
        bed.kernel.onCall(bed.now, arrival);
        STRCMP_EQUAL(lastEventId, bed.driver.sent.back().lastEventId.c_str());
        CHECK_TEXT(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 1), lastEventId);
    }
}
