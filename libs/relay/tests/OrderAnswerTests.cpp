#include "FakeDriver.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// An order about a stream travels on another connection than the stream, and its answer may overtake the end of the stream's own. So it decides what is tried
/// beside the attempt, and only the attempt's own connection ends it.
TEST_GROUP(AnAnswerToAnOrder)
{
    RelayTestBed bed;

    /// Permits each stream one attempt only.
    void permitOneAttempt()
    {
        auto config = std::make_shared<FleetConfig>(*RelayTestBed::config(2));
        for (Route &route : config->routes) {
            route.maxAttempts = 1;
        }
        bed.kernel.onConfig(bed.now, bed.now, config);
    }

    /// Starts a stream with two events that stalls on the stage of its upper layers, so that its first stage is ordered to bypass it. Returns its attempt.
    AttemptId startDetour()
    {
        bed.startStream(2);
        const AttemptId attempt = bed.lastAttempt();
        bed.advance(Ms(300));
        EndpointReport report;
        report.incarnation = 1;
        report.layers = {0, RelayTestBed::HalfLayers};
        report.stalled = {{"request-" + std::to_string(bed.lastCall), bed.upperStage()}};
        bed.kernel.onReport(bed.now, bed.driver.sent.back().endpoint, report);
        return attempt;
    }

    /// Delivers the third event and the end of a stream by that attempt, and requires that the caller gets them.
    void mustEndWhole(AttemptId attempt)
    {
        CHECK(!bed.driver.wasCancelled(attempt));
        CHECK(bed.driver.brokenStreams.empty());
        CHECK(bed.kernel.onEvent(bed.now, attempt, 3));
        bed.kernel.onStreamEnd(bed.now, attempt);
        LONGS_EQUAL(1, bed.driver.endedStreams.size());
        LONGS_EQUAL(0, bed.kernel.openCalls());
    }
};

/// Guards against LOST (issue 44): the first stage has just ended the run and refuses the order, while the rest of the answer is on its way.
TEST(AnAnswerToAnOrder, endsNoStreamIfTheRequestIsUnknown)
{
    const AttemptId attempt = startDetour();
    bed.kernel.onDetourAnswer(bed.now, attempt, OrderOutcome::Refused, "");
    mustEndWhole(attempt);
}

/// Guards likewise where the first stage has been given orders of a later planner.
TEST(AnAnswerToAnOrder, endsNoStreamIfTheOrderIsOutdated)
{
    const AttemptId attempt = startDetour();
    bed.kernel.onDetourAnswer(bed.now, attempt, OrderOutcome::Fenced, "");
    mustEndWhole(attempt);
}

/// Guards likewise where no order is answered.
TEST(AnAnswerToAnOrder, endsNoStreamIfItStaysAway)
{
    const AttemptId attempt = startDetour();
    for (std::size_t answered = 0; answered < bed.driver.detours.size(); ++answered) {
        bed.kernel.onDetourAnswer(bed.now, attempt, OrderOutcome::NoAnswer, "");
    }
    mustEndWhole(attempt);
}

/// Guards likewise where no further attempt is permitted, for as long as the caller waits.
TEST(AnAnswerToAnOrder, endsNoStreamThatMayNotRunAgain)
{
    permitOneAttempt();
    const AttemptId attempt = startDetour();
    bed.kernel.onDetourAnswer(bed.now, attempt, OrderOutcome::Refused, "");
    bed.advance(Ms(1500));
    LONGS_EQUAL(1, bed.driver.sent.size());
    mustEndWhole(attempt);
}

/// Guards likewise for a stage without room that the refusal names, when no other one can take its place.
TEST(AnAnswerToAnOrder, endsNoStreamForWantOfRoom)
{
    permitOneAttempt();
    const AttemptId attempt = startDetour();
    bed.kernel.onDetourAnswer(bed.now, attempt, OrderOutcome::Refused, bed.driver.detours.back().hops.back().address);
    bed.advance(Ms(500));
    mustEndWhole(attempt);
}

/// Guards against a stream that waits for a run which is lost: it goes on elsewhere after a moment, and whichever attempt has the next event goes on with it.
TEST(AnAnswerToAnOrder, isFollowedByAnAttemptBesideTheFirst)
{
    const AttemptId attempt = startDetour();
    bed.kernel.onDetourAnswer(bed.now, attempt, OrderOutcome::Refused, "");
    bed.advance(Ms(150));
    LONGS_EQUAL(2, bed.driver.sent.size());
    STRCMP_EQUAL("2", bed.driver.sent.back().lastEventId.c_str());
    mustEndWhole(attempt);
    CHECK(bed.driver.wasCancelled(bed.lastAttempt()));
}

/// Guards against a stream that is moved although the stage on which it stalled has come back, since a refused detour counts as taken.
TEST(AnAnswerToAnOrder, leavesTheStreamOnItsPathIfTheOrderIsRefused)
{
    const AttemptId attempt = startDetour();
    const std::string lost = bed.upperStage();
    bed.kernel.onDetourAnswer(bed.now, attempt, OrderOutcome::Refused, "");
    EndpointReport report;
    report.incarnation = 1;
    report.layers = {RelayTestBed::HalfLayers, 80};
    bed.kernel.onReport(bed.now, lost.substr(0, lost.find(':')), report);
    bed.advance(Ms(1000));
    LONGS_EQUAL(1, bed.driver.sent.size());
    mustEndWhole(attempt);
}

/// Guards against a stage that seems to have a prompt to read since a detour around it was refused, and gets less work than it can take.
TEST(AnAnswerToAnOrder, countsNoPrefillOnTheStageThatStays)
{
    const AttemptId attempt = startDetour();
    const std::string lost = bed.upperStage();
    const std::string lostId = lost.substr(0, lost.find(':'));
    bed.kernel.onDetourAnswer(bed.now, attempt, OrderOutcome::Refused, "");
    EndpointReport report;
    report.incarnation = 1;
    report.layers = {RelayTestBed::HalfLayers, 80};
    bed.kernel.onReport(bed.now, lostId, report);
    bed.driver.digests.clear();
    bed.advance(Ms(1000));
    const std::vector<wire::EndpointLoad> &loads = bed.driver.digests.back().loads;
    const auto found = std::find_if(loads.begin(), loads.end(), [&](const wire::EndpointLoad &load) { return load.endpoint == wire::endpointHash(lostId); });
    CHECK(found != loads.end());
    LONGS_EQUAL(1, found->openRequests);
    LONGS_EQUAL(0, found->pendingPrefillTokens);
}
