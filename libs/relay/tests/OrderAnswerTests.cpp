#include "FakeDriver.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// An order about a stream travels on another connection than the stream, and its answer may overtake the end of the stream's own. So it decides what is tried
/// beside the attempt, and only the attempt's own connection ends it.
TEST_GROUP(AnAnswerToAnOrder)
{
    static constexpr std::uint32_t AllLayers = 80;
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

    /// Answers the order of a detour in that way, and requires that the stream goes on where it is.
    void mustEndWholeAfter(OrderOutcome outcome)
    {
        const AttemptId attempt = startDetour();
        bed.kernel.onDetourAnswer(bed.now, attempt, outcome, "");
        mustEndWhole(attempt);
    }

    /// Delivers a sound report of the stage on which the stream stalled, given by its address. Returns the id of its endpoint.
    std::string reportStage(const std::string &address)
    {
        EndpointReport report;
        report.incarnation = 1;
        report.layers = {RelayTestBed::HalfLayers, AllLayers};
        std::string id = address.substr(0, address.find(':'));
        bed.kernel.onReport(bed.now, id, report);
        return id;
    }
};

/// Guards against LOST (issue 44): the first stage has just ended the run and refuses the order, while the rest of the answer is on its way.
TEST(AnAnswerToAnOrder, endsNoStreamIfTheRequestIsUnknown)
{
    mustEndWholeAfter(OrderOutcome::UnknownRequest);
}

/// Guards against a stream that ends since the order about it is refused for a reason that isn't known.
TEST(AnAnswerToAnOrder, endsNoStreamIfItIsARefusal)
{
    mustEndWholeAfter(OrderOutcome::Refused);
}

/// Guards against a stream that ends since its first stage has been given orders of a later planner.
TEST(AnAnswerToAnOrder, endsNoStreamIfTheOrderIsOutdated)
{
    mustEndWholeAfter(OrderOutcome::Fenced);
}

/// Guards against a stream that ends since no order about it is answered.
TEST(AnAnswerToAnOrder, endsNoStreamIfItStaysAway)
{
    const AttemptId attempt = startDetour();
    for (std::size_t answered = 0; answered < bed.driver.detours.size(); ++answered) {
        bed.kernel.onDetourAnswer(bed.now, attempt, OrderOutcome::NoAnswer, "");
    }
    mustEndWhole(attempt);
}

/// Guards against a stream that ends by a refused order although no further attempt is permitted, for as long as its caller waits.
TEST(AnAnswerToAnOrder, endsNoStreamThatMayNotRunAgain)
{
    permitOneAttempt();
    const AttemptId attempt = startDetour();
    bed.kernel.onDetourAnswer(bed.now, attempt, OrderOutcome::Refused, "");
    bed.advance(Ms(1500));
    LONGS_EQUAL(1, bed.driver.sent.size());
    mustEndWhole(attempt);
}

/// Guards against a stream that ends since a refusal names a stage without room, when no other one can take its place.
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
    bed.kernel.onDetourAnswer(bed.now, attempt, OrderOutcome::UnknownRequest, "");
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
    reportStage(lost);
    bed.advance(Ms(1000));
    LONGS_EQUAL(1, bed.driver.sent.size());
    mustEndWhole(attempt);
}

/// Guards against a stage that seems to have a prompt to read since a detour around it was refused, and gets less work than it can take.
TEST(AnAnswerToAnOrder, countsNoPrefillOnTheStageThatStays)
{
    const AttemptId attempt = startDetour();
    const std::string lost = bed.upperStage();
    bed.kernel.onDetourAnswer(bed.now, attempt, OrderOutcome::Refused, "");
    const std::string lostId = reportStage(lost);
    bed.driver.digests.clear();
    bed.advance(Ms(1000));
    const std::vector<wire::EndpointLoad> &loads = bed.driver.digests.back().loads;
    const auto found = std::find_if(loads.begin(), loads.end(), [&](const wire::EndpointLoad &load) { return load.endpoint == wire::endpointHash(lostId); });
    CHECK(found != loads.end());
    LONGS_EQUAL(1, found->openRequests);
    LONGS_EQUAL(0, found->pendingPrefillTokens);
}

/// Guards against a stream that waits at a first stage which has lost it, since the stage on which it stalled has come back.
TEST(AnAnswerToAnOrder, movesTheStreamIfTheRequestIsUnknownAndNothingFollows)
{
    const AttemptId attempt = startDetour();
    const std::string lost = bed.upperStage();
    bed.kernel.onDetourAnswer(bed.now, attempt, OrderOutcome::UnknownRequest, "");
    reportStage(lost);
    bed.advance(Ms(150));
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(!bed.driver.wasCancelled(attempt));
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
    CHECK(bed.driver.wasCancelled(attempt));
}

/// Guards against a full stage that bars all ways round, since the refusal doesn't name it: it can only be the one that is new on the path.
TEST(AnAnswerToAnOrder, isTakenAsARefusalOfTheOnlyNewStage)
{
    bed.entries.push_back(RelayTestBed::engineEntry("high-c", "zone-c", {RelayTestBed::HalfLayers, AllLayers}));
    bed.kernel.onEndpoints(bed.now, bed.entries, {0, ++bed.storeRevision});
    const AttemptId attempt = startDetour();
    const std::string full = bed.driver.detours.back().hops.back().address;
    bed.kernel.onDetourAnswer(bed.now, attempt, OrderOutcome::Refused, "");
    LONGS_EQUAL(2, bed.driver.detours.size());
    CHECK(bed.driver.detours.back().hops.back().address != full);
    LONGS_EQUAL(1, bed.driver.sent.size());
}
