#include "FakeDriver.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// The limit on retries counts a window of some seconds, so that it has room again while the caller of a stream still waits for the next event.
TEST_GROUP(AStreamBeyondTheLimitOnRetries)
{
    RelayTestBed bed;

    /// Changes the number of retries that all instances may send.
    void setRetries(double reserve)
    {
        RelaySettings settings = RelayTestBed::settings();
        settings.retryReserve = reserve;
        settings.retryRatio = 0;
        bed.kernel.onSettings(settings);
    }

    /// Starts a stream whose attempt breaks after two events, when no retry is permitted.
    void breakStream()
    {
        bed.startStream(2);
        setRetries(0);
        bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
        LONGS_EQUAL(1, bed.driver.sent.size());
    }
};

/// Guards against LOST (issue 44): a stream whose attempt has broken is cut at once, although it may be retried a moment later.
TEST(AStreamBeyondTheLimitOnRetries, waitsForTheLimit)
{
    breakStream();
    bed.advance(Ms(500));
    CHECK(bed.driver.brokenStreams.empty());
    setRetries(100);
    bed.advance(Ms(100));
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
    bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    LONGS_EQUAL(1, bed.driver.endedStreams.size());
}

/// Guards against a stream that is kept for a caller who has left.
TEST(AStreamBeyondTheLimitOnRetries, endsVisiblyBeforeItsCallerLeaves)
{
    breakStream();
    const Ms patience = RelayTestBed::config(1)->routes.front().callerPatience;
    bed.advance(patience - Ms(200));
    CHECK(bed.driver.brokenStreams.empty());
    bed.advance(Ms(200));
    LONGS_EQUAL(1, bed.driver.brokenStreams.size());
    LONGS_EQUAL(1, bed.driver.sent.size());
}

/// Guards against a refusal that comes late: a stream of which nothing has run is rejected at once, with a time to return.
TEST(AStreamBeyondTheLimitOnRetries, isRejectedAtOnceIfItHasNotRun)
{
    bed.startStream(0);
    setRetries(0);
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {503, true, true, ""});
    LONGS_EQUAL(1, bed.driver.rejected.size());
    LONGS_EQUAL(0, bed.kernel.openCalls());
}

/// Guards against a caller that waits for nothing: it has got no event yet, and may ask again at once.
TEST(AStreamBeyondTheLimitOnRetries, isAnsweredAtOnceIfItHasNotBegun)
{
    bed.startStream(0);
    setRetries(0);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    LONGS_EQUAL(1, bed.driver.rejected.size());
    CHECK(bed.driver.rejected.back().rejection.kind == base::ErrorKind::UpstreamBroken);
    LONGS_EQUAL(0, bed.kernel.openCalls());
}

/// Guards against LOST (issue 44): a stream that makes no progress is given up for an attempt that isn't permitted.
TEST(AStreamBeyondTheLimitOnRetries, staysAtItsAttemptWithoutProgress)
{
    bed.startStream(2);
    const AttemptId slow = bed.lastAttempt();
    bed.startStream(1);
    const AttemptId other = bed.lastAttempt();
    STRCMP_EQUAL(bed.driver.sent.front().endpoint.c_str(), bed.driver.sent.back().endpoint.c_str());
    setRetries(0);
    for (std::uint64_t event = 2; event < 40; ++event) {
        bed.advance(Ms(50));
        CHECK(bed.kernel.onEvent(bed.now, other, event));
    }
    CHECK(!bed.driver.wasCancelled(slow));
    CHECK(bed.driver.brokenStreams.empty());
    CHECK(bed.kernel.onEvent(bed.now, slow, 3));
}

/// Guards against a stream that loses its first attempt to one that has nothing yet: the first stays until the second has the next event.
TEST(AStreamBeyondTheLimitOnRetries, keepsAnAttemptWithoutProgressBesideTheNext)
{
    bed.startStream(2);
    const AttemptId slow = bed.lastAttempt();
    bed.startStream(1);
    const AttemptId other = bed.lastAttempt();
    for (std::uint64_t event = 2; event < 40; ++event) {
        bed.advance(Ms(50));
        CHECK(bed.kernel.onEvent(bed.now, other, event));
    }
    LONGS_EQUAL(3, bed.driver.sent.size());
    CHECK(!bed.driver.wasCancelled(slow));
    CHECK(bed.kernel.onEvent(bed.now, slow, 3));
    CHECK(bed.driver.wasCancelled(bed.lastAttempt()));
}

/// Guards against a run beyond the route's limit: an endpoint that counted as ended has come back while the stream waited.
TEST(AStreamBeyondTheLimitOnRetries, runsNoMoreOftenThanItsRoutePermits)
{
    bed.entries.push_back(RelayTestBed::engineEntry("low-c", "zone-c", {0, RelayTestBed::HalfLayers}));
    bed.kernel.onEndpoints(bed.now, bed.entries, {0, ++bed.storeRevision});
    bed.startStream(2);
    const std::string first = bed.driver.sent.back().endpoint;
    bed.advance(Ms(300));
    bed.kernel.onReport(bed.now, first, std::nullopt);
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
    const std::vector<EndpointEntry> all = bed.entries;
    std::erase_if(bed.entries, [&](const EndpointEntry &entry) { return entry.id == first; });
    bed.advance(Ms(50));
    setRetries(0);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    bed.advance(Ms(100));
    CHECK(bed.driver.brokenStreams.empty());
    bed.entries = all;
    setRetries(100);
    bed.advance(Ms(200));
    LONGS_EQUAL(2, bed.driver.sent.size());
}
