#include "FakeDriver.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// An endpoint refuses a request and names the time in which it wants none from this instance.
TEST_GROUP(AnEndpointThatWantsNoRequestsForATime)
{
    static constexpr Ms Wish{2000};
    RelayTestBed bed;
    std::size_t linesExpected = 0;

    /// Answers the most recent attempt with a refusal that names the wish, and the stage at fault if there is one.
    void refuse(const std::string &faultAddress = "", bool notRun = true, bool verified = true)
    {
        const AttemptId attempt = bed.lastAttempt();
        AnswerHead head;
        head.status = 503;
        head.notRun = notRun;
        head.verified = verified;
        head.faultAddress = faultAddress;
        head.retryAfter = Wish;
        bed.kernel.onHead(bed.now, attempt, head);
        bed.kernel.onAnswer(bed.now, attempt, head);
    }

    /// Makes calls for the time, which are answered, and returns how many attempts were sent to the endpoint first.
    std::size_t sentTo(const std::string &endpoint, const std::string &path, Ms duration)
    {
        const std::size_t before = bed.driver.sent.size();
        const Instant until = bed.now + duration;
        while (bed.now < until) {
            bed.call(path);
            const AttemptId attempt = bed.lastAttempt();
            if (path == "/stream/x") {
                bed.kernel.onEvent(bed.now, attempt, 1);
                bed.kernel.onStreamEnd(bed.now, attempt);
            } else {
                bed.kernel.onAnswer(bed.now, attempt, {200, false, true, ""});
            }
            bed.advance(Ms(50));
        }
        return static_cast<std::size_t>(std::count_if(bed.driver.sent.begin() + static_cast<std::ptrdiff_t>(before),
                                                      bed.driver.sent.end(),
                                                      [&](const Dispatch &dispatch) { return dispatch.endpoint == endpoint; }));
    }

    /// Lists an endpoint of "desk" or "model" as restarted.
    void restart(const std::string &id)
    {
        ++std::find_if(bed.entries.begin(), bed.entries.end(), [&](const EndpointEntry &entry) { return entry.id == id; })->incarnation;
        bed.kernel.onEndpoints(bed.now, bed.entries, {0, ++bed.storeRevision});
    }
};

/// Guards against requests to a plain endpoint before the time is over, and against leaving it out for longer.
TEST(AnEndpointThatWantsNoRequestsForATime, getsNoneUntilItIsOver)
{
    bed.call("/read/x");
    const std::string busy = bed.driver.sent.back().endpoint;
    refuse();
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.driver.sent.back().endpoint != busy);
    LONGS_EQUAL(0, sentTo(busy, "/read/x", Wish - Ms(50)));
    bed.advance(Ms(100));
    CHECK(sentTo(busy, "/read/x", Ms(1000)) > 0);
}

/// Guards against a hedge or a retry that goes there although no new request does.
TEST(AnEndpointThatWantsNoRequestsForATime, getsNoHedgesAndNoRetriesEither)
{
    bed.entries.erase(bed.entries.end() - 1);
    bed.kernel.onEndpoints(bed.now, bed.entries, {0, ++bed.storeRevision});
    bed.call("/read/x");
    const std::string busy = bed.driver.sent.back().endpoint;
    refuse();
    const std::size_t before = bed.driver.sent.size();
    bed.call("/read/y");
    bed.advance(Ms(500));
    bed.call("/read/z");
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::NotSent);
    for (std::size_t i = before; i < bed.driver.sent.size(); ++i) {
        CHECK(bed.driver.sent[i].endpoint != busy);
    }
}

/// Guards against a first stage that gets streams again once another stage, whose refusal it has passed on, has room.
TEST(AnEndpointThatWantsNoRequestsForATime, isNoFirstStageAlsoIfAnotherStageIsAtFault)
{
    bed.call("/stream/x");
    const std::string busy = bed.driver.sent.back().endpoint;
    const std::string full = bed.upperStage();
    refuse(full);
    CHECK(bed.driver.sent.back().endpoint != busy);
    CHECK(bed.upperStage() != full);
    bed.kernel.onEvent(bed.now, bed.lastAttempt(), 1);
    LONGS_EQUAL(0, sentTo(busy, "/stream/x", Wish - Ms(100)));
    bed.advance(Ms(150));
    CHECK(sentTo(busy, "/stream/x", Ms(1000)) > 0);
}

/// Guards against a wish that ends with the endpoint's next report.
TEST(AnEndpointThatWantsNoRequestsForATime, isNotUsedBecauseItReports)
{
    bed.call("/stream/x");
    const std::string busy = bed.driver.sent.back().endpoint;
    refuse();
    CHECK(std::find(bed.driver.reportRequests.begin(), bed.driver.reportRequests.end(), busy) == bed.driver.reportRequests.end());
    EndpointReport report;
    report.incarnation = 1;
    report.layers = {0, RelayTestBed::HalfLayers};
    bed.kernel.onReport(bed.now, busy, report);
    bed.kernel.onEvent(bed.now, bed.lastAttempt(), 1);
    LONGS_EQUAL(0, sentTo(busy, "/stream/x", Wish - Ms(100)));
}

/// Guards against an endpoint that is left out although it has restarted, and against taking the restart that came before the wish for one after it.
TEST(AnEndpointThatWantsNoRequestsForATime, isUsedAgainAfterARestartThatIsNoOlder)
{
    bed.call("/read/x");
    const std::string busy = bed.driver.sent.back().endpoint;
    AnswerHead head;
    head.status = 503;
    head.notRun = true;
    head.retryAfter = Ms(20000);
    bed.kernel.onHead(bed.now, bed.lastAttempt(), head);
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), head);
    bed.advance(Ms(500));
    restart(busy);
    LONGS_EQUAL(0, sentTo(busy, "/read/x", Ms(4000)));
    restart(busy);
    // The pause after the refusal ends with the restart as well.
    CHECK(sentTo(busy, "/read/x", Ms(2000)) > 0);
}

/// Guards against callers that wait in vain, or come back too early, when no other endpoint is left.
TEST(AnEndpointThatWantsNoRequestsForATime, makesTheCallerReturnThenIfThereIsNoOther)
{
    bed.call("/book/x");
    refuse();
    refuse();
    refuse();
    LONGS_EQUAL(3, bed.driver.sent.size());
    LONGS_EQUAL(1, bed.driver.rejected.size());
    CHECK(bed.driver.rejected.back().rejection.retryAfter >= Wish);
    CHECK(base::errorAnswer(bed.driver.rejected.back().rejection.kind).ran == base::HasRun::No);
    bed.call("/book/y");
    LONGS_EQUAL(3, bed.driver.sent.size());
    CHECK(bed.driver.rejected.back().rejection.retryAfter >= Wish);
}

/// Guards against a stream that is rejected without a time to return, while the endpoints that hold its first layers want no requests.
TEST(AnEndpointThatWantsNoRequestsForATime, makesTheCallerOfAStreamReturnThen)
{
    bed.call("/stream/x");
    refuse();
    refuse();
    LONGS_EQUAL(2, bed.driver.sent.size());
    LONGS_EQUAL(1, bed.driver.rejected.size());
    CHECK(bed.driver.rejected.back().rejection.retryAfter >= Wish);
    bed.call("/stream/x");
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.driver.rejected.back().rejection.retryAfter >= Wish);
}

/// Guards against an answer that isn't the endpoint's own and keeps all requests from it.
TEST(AnEndpointThatWantsNoRequestsForATime, hasToSayItItself)
{
    bed.call("/read/x");
    const std::string first = bed.driver.sent.back().endpoint;
    refuse("", false, false);
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {200, false, true, ""});
    std::erase_if(bed.entries, [&](const EndpointEntry &entry) { return entry.service == "desk" && entry.id != first; });
    bed.kernel.onEndpoints(bed.now, bed.entries, {0, ++bed.storeRevision});
    CHECK(sentTo(first, "/read/x", Wish) > 0);
}

/// Guards against a log that a stream of refusals fills: those of requests that were under way when the endpoint first said so add no line.
TEST(AnEndpointThatWantsNoRequestsForATime, isLoggedOnceAnEpisode)
{
    constexpr std::size_t Requests = 20;
    for (std::size_t episode = 1; episode <= 2; ++episode) {
        const std::size_t before = bed.driver.sent.size();
        for (std::size_t i = 0; i < Requests; ++i) {
            bed.call("/book/x");
        }
        std::set<std::string> refusing;
        const std::size_t underWay = bed.driver.sent.size();
        CHECK(underWay > before);
        for (std::size_t i = before; i < underWay; ++i) {
            const Dispatch sent = bed.driver.sent[i];
            refusing.insert(sent.endpoint);
            AnswerHead head;
            head.status = 503;
            head.notRun = true;
            head.retryAfter = i % 2 == 0 ? Ms(1) : Wish;
            bed.kernel.onHead(bed.now, sent.attempt, head);
            bed.kernel.onAnswer(bed.now, sent.attempt, head);
        }
        linesExpected += refusing.size();
        LONGS_EQUAL(linesExpected, bed.driver.recorded["backoff_requested"]);
        bed.advance(Wish + Ms(3000));
    }
}
