#include "CutOffBed.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// An endpoint that is silent may have ended, or may go on after a second. The route of the streams permits two attempts.
TEST_GROUP(AStreamWhoseFirstStageIsSilent)
{
    CutOffBed bed;

    /// Adds a third endpoint that can be a first stage.
    void addThirdFirstStage()
    {
        bed.entries.push_back(RelayTestBed::engineEntry("low-c", "zone-c", {0, RelayTestBed::HalfLayers}));
        bed.kernel.onEndpoints(bed.now, bed.entries, {0, ++bed.storeRevision});
    }

    /// Starts a stream and lets its first stage fall silent after two events, so that it moves. Returns the id of that stage.
    std::string loseFirstStage()
    {
        bed.startStream(2);
        std::string first = bed.driver.sent.back().endpoint;
        bed.advance(Ms(300));
        bed.kernel.onReport(bed.now, first, std::nullopt);
        LONGS_EQUAL(2, bed.driver.sent.size());
        return first;
    }

    /// Starts a stream and lets both endpoints that can be its first stage fall silent after two events. Returns the id of the one that doesn't run it.
    std::string loseBothFirstStages()
    {
        bed.startStream(2);
        const std::string first = bed.driver.sent.back().endpoint;
        std::string other = first == "low-a" ? "low-b" : "low-a";
        bed.advance(Ms(300));
        bed.kernel.onReport(bed.now, other, std::nullopt);
        bed.kernel.onReport(bed.now, first, std::nullopt);
        return other;
    }

    /// Lets the stream go on with its latest attempt, which breaks after one event.
    void breakSecondAttempt()
    {
        CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
        bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    }

    /// Lets the stream go on with that attempt until its end.
    void mustEndThere(AttemptId attempt, std::uint64_t nextEvent)
    {
        CHECK(!bed.driver.wasCancelled(attempt));
        CHECK(bed.driver.brokenStreams.empty());
        CHECK(bed.kernel.onEvent(bed.now, attempt, nextEvent));
        bed.kernel.onStreamEnd(bed.now, attempt);
        LONGS_EQUAL(1, bed.driver.endedStreams.size());
    }
};

/// Guards against a stream that fails although the endpoint of one of its attempts is known to have ended, and no longer runs it.
TEST(AStreamWhoseFirstStageIsSilent, mayMoveOnceMoreIfThatHasRestartedSince)
{
    addThirdFirstStage();
    const std::string first = loseFirstStage();
    std::find_if(bed.entries.begin(), bed.entries.end(), [&](const EndpointEntry &entry) { return entry.id == first; })->incarnation = 2;
    bed.kernel.onEndpoints(bed.now, bed.entries, {0, ++bed.storeRevision});
    breakSecondAttempt();
    LONGS_EQUAL(3, bed.driver.sent.size());
}

/// Guards against a stream that fails although the silent endpoint of one of its attempts has been removed from the list.
TEST(AStreamWhoseFirstStageIsSilent, mayMoveOnceMoreIfThatIsGone)
{
    addThirdFirstStage();
    const std::string first = loseFirstStage();
    std::erase_if(bed.entries, [&](const EndpointEntry &entry) { return entry.id == first; });
    bed.kernel.onEndpoints(bed.now, bed.entries, {0, ++bed.storeRevision});
    breakSecondAttempt();
    LONGS_EQUAL(3, bed.driver.sent.size());
}

/// Guards against a stream that runs on more endpoints than its route allows, since one that is only silent counts as ended.
TEST(AStreamWhoseFirstStageIsSilent, hasUsedUpAnAttempt)
{
    addThirdFirstStage();
    loseFirstStage();
    breakSecondAttempt();
    LONGS_EQUAL(2, bed.driver.sent.size());
    LONGS_EQUAL(1, bed.driver.brokenStreams.size());
}

/// Guards against a stream that is broken off at an endpoint that is silent for a second and then goes on, when no further attempt is permitted.
TEST(AStreamWhoseFirstStageIsSilent, staysThereWhenItsAttemptsAreUsedUp)
{
    addThirdFirstStage();
    loseFirstStage();
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
    const AttemptId second = bed.lastAttempt();
    bed.advance(Ms(300));
    bed.kernel.onReport(bed.now, bed.driver.sent.back().endpoint, std::nullopt);
    bed.advance(Ms(1000));
    LONGS_EQUAL(2, bed.driver.sent.size());
    mustEndThere(second, 4);
}

/// Guards against a stream that stays at a silent endpoint although an earlier one turns out to have ended meanwhile.
TEST(AStreamWhoseFirstStageIsSilent, leavesItOnceAnEarlierOneIsKnownToHaveEnded)
{
    addThirdFirstStage();
    const std::string first = loseFirstStage();
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
    bed.advance(Ms(300));
    bed.kernel.onReport(bed.now, bed.driver.sent.back().endpoint, std::nullopt);
    LONGS_EQUAL(2, bed.driver.sent.size());
    std::erase_if(bed.entries, [&](const EndpointEntry &entry) { return entry.id == first; });
    bed.advance(Ms(200));
    LONGS_EQUAL(3, bed.driver.sent.size());
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 4));
}

/// Guards against a stream that is given up at an endpoint that is silent for a second, although no other one could go on with it.
TEST(AStreamWhoseFirstStageIsSilent, staysThereWhileNoOtherEndpointTakesIt)
{
    loseBothFirstStages();
    const AttemptId only = bed.lastAttempt();
    bed.advance(Ms(1000));
    mustEndThere(only, 3);
}

/// Guards against a stream that is given up since all endpoints with the upper layers are silent at once.
TEST(AStreamWhoseFirstStageIsSilent, staysThereWhileAllThatHoldALaterRangeAreSilent)
{
    bed.startStream(2);
    const AttemptId only = bed.lastAttempt();
    bed.advance(Ms(300));
    bed.kernel.onReport(bed.now, "high-a", std::nullopt);
    bed.kernel.onReport(bed.now, "high-b", std::nullopt);
    bed.advance(Ms(2500));
    mustEndThere(only, 3);
}

/// Guards against a stream that waits for a silent endpoint although another one is there for it meanwhile.
TEST(AStreamWhoseFirstStageIsSilent, leavesItOnceAnotherOneIsBack)
{
    const std::string other = loseBothFirstStages();
    bed.advance(Ms(500));
    LONGS_EQUAL(1, bed.driver.sent.size());
    EndpointReport report;
    report.incarnation = 1;
    report.layers = {0, RelayTestBed::HalfLayers};
    bed.kernel.onReport(bed.now, other, report);
    bed.advance(Ms(150));
    LONGS_EQUAL(2, bed.driver.sent.size());
    STRCMP_EQUAL(other.c_str(), bed.driver.sent.back().endpoint.c_str());
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
}

/// Guards against a stream that waits for an endpoint that has ended, since nothing closed the connection.
TEST(AStreamWhoseFirstStageIsSilent, leavesItOnceItIsKnownToHaveEnded)
{
    std::erase_if(bed.entries, [](const EndpointEntry &entry) { return entry.id == "low-b"; });
    bed.advance(Ms(50));
    bed.startStream(2);
    const AttemptId only = bed.lastAttempt();
    bed.advance(Ms(300));
    bed.kernel.onReport(bed.now, "low-a", std::nullopt);
    bed.advance(Ms(300));
    CHECK(!bed.driver.wasCancelled(only));
    bed.entries.front().incarnation = 2;
    bed.advance(Ms(200));
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
    CHECK(bed.driver.wasCancelled(only));
}

/// Guards against the only attempt of a stream being given up since this instance seems to be cut off, if no other instance can take it.
TEST(AStreamWhoseFirstStageIsSilent, staysThereIfItsInstanceReachesNoneAndIsAlone)
{
    bed.kernel.onInstances(bed.now, {{"one", "10.0.0.1:7000"}});
    bed.startStream(2);
    const AttemptId only = bed.lastAttempt();
    bed.loseEndpoints();
    bed.advance(Ms(1200));
    CHECK(!bed.kernel.reachesEndpoints());
    CHECK(!bed.driver.wasCancelled(only));
    CHECK(bed.driver.brokenStreams.empty());
    CHECK(bed.kernel.onEvent(bed.now, only, 3));
}

/// A stream that is moved keeps its first attempt until another one has the next event. Both attempts are under way meanwhile.
TEST_GROUP(AStreamThatIsMoved)
{
    RelayTestBed bed;
    AttemptId first = 0;
    AttemptId second = 0;

    /// Starts a stream, and lets its first stage fall silent after two events.
    void setup() override
    {
        bed.startStream(2);
        first = bed.lastAttempt();
        bed.advance(Ms(300));
        bed.kernel.onReport(bed.now, bed.driver.sent.back().endpoint, std::nullopt);
        second = bed.lastAttempt();
        CHECK(second != first);
    }

    void mustEndWith(AttemptId attempt, AttemptId other, std::uint64_t nextEvent)
    {
        CHECK(bed.kernel.onEvent(bed.now, attempt, nextEvent));
        CHECK(bed.driver.wasCancelled(other));
        CHECK(!bed.driver.wasCancelled(attempt));
        CHECK(!bed.kernel.onEvent(bed.now, other, nextEvent + 1));
        CHECK(bed.kernel.onEvent(bed.now, attempt, nextEvent + 1));
        bed.kernel.onStreamEnd(bed.now, attempt);
        LONGS_EQUAL(1, bed.driver.endedStreams.size());
        CHECK(bed.driver.brokenStreams.empty());
        LONGS_EQUAL(0, bed.kernel.openCalls());
    }
};

/// Guards against a silent endpoint that goes on running a stream that another one has taken up.
TEST(AStreamThatIsMoved, leavesItsFirstAttemptOnceTheSecondHasTheNextEvent)
{
    CHECK(!bed.driver.wasCancelled(first));
    mustEndWith(second, first, 3);
    LONGS_EQUAL(1, bed.driver.writers.size());
    LONGS_EQUAL(second, bed.driver.writers.back());
}

/// Guards against the events of an endpoint that was silent for a moment being lost.
TEST(AStreamThatIsMoved, goesOnWithItsFirstAttemptIfThatHasTheNextEvent)
{
    mustEndWith(first, second, 3);
    CHECK(bed.driver.writers.empty());
}

/// Guards against a stream that is broken off since the endpoints that were to take it refuse it or break off.
TEST(AStreamThatIsMoved, outlivesTheRefusalOfItsSecondAttempt)
{
    bed.kernel.onAnswer(bed.now, second, {503, true, true, ""});
    CHECK(bed.driver.brokenStreams.empty());
    bed.advance(Ms(200));
    CHECK(!bed.driver.wasCancelled(first));
    CHECK(bed.kernel.onEvent(bed.now, first, 3));
    bed.kernel.onStreamEnd(bed.now, first);
    LONGS_EQUAL(1, bed.driver.endedStreams.size());
    LONGS_EQUAL(0, bed.kernel.openCalls());
}

/// Guards against a stream that is broken off once so many attempts beside its first one were refused that it gets no further one.
TEST(AStreamThatIsMoved, outlivesTheRefusalOfAllItsOtherAttempts)
{
    constexpr std::size_t MaxAttempts = 8;
    std::size_t processed = 1;
    for (int round = 0; round < 24; ++round) {
        for (; processed < bed.driver.sent.size(); ++processed) {
            bed.kernel.onAnswer(bed.now, bed.driver.sent[processed].attempt, {503, true, true, ""});
        }
        bed.advance(Ms(500));
    }
    LONGS_EQUAL(MaxAttempts, processed);
    CHECK(bed.driver.brokenStreams.empty());
    CHECK(!bed.driver.wasCancelled(first));
    CHECK(bed.kernel.onEvent(bed.now, first, 3));
}

TEST(AStreamThatIsMoved, outlivesTheBreakOfItsFirstAttempt)
{
    bed.kernel.onFailure(bed.now, first, AttemptFailure::Broken);
    CHECK(bed.driver.brokenStreams.empty());
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.kernel.onEvent(bed.now, second, 3));
}

TEST(AStreamThatIsMoved, outlivesTheBreakOfItsSecondAttempt)
{
    bed.kernel.onFailure(bed.now, second, AttemptFailure::Broken);
    bed.advance(Ms(500));
    CHECK(bed.driver.brokenStreams.empty());
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.kernel.onEvent(bed.now, first, 3));
    bed.kernel.onStreamEnd(bed.now, first);
    LONGS_EQUAL(1, bed.driver.endedStreams.size());
}

/// Guards against LOST (issue 44): a second attempt that skips an event cuts a stream whose first attempt goes on.
TEST(AStreamThatIsMoved, outlivesAGapInItsSecondAttempt)
{
    CHECK(!bed.kernel.onEvent(bed.now, second, 4));
    CHECK(bed.driver.wasCancelled(second));
    CHECK(bed.driver.brokenStreams.empty());
    CHECK(bed.kernel.onEvent(bed.now, first, 3));
    bed.kernel.onStreamEnd(bed.now, first);
    LONGS_EQUAL(1, bed.driver.endedStreams.size());
    LONGS_EQUAL(0, bed.kernel.openCalls());
}

/// Guards against an attempt that stays under way after its caller has left.
TEST(AStreamThatIsMoved, endsBothAttemptsWhenItsCallerLeaves)
{
    bed.kernel.onCallerGone(bed.now, bed.lastCall);
    CHECK(bed.driver.wasCancelled(first));
    CHECK(bed.driver.wasCancelled(second));
    LONGS_EQUAL(0, bed.kernel.openCalls());
    for (const EndpointView &view : bed.kernel.endpoints()) {
        LONGS_EQUAL(0, view.openRequests);
    }
}

/// Guards against a stream that is broken off since this instance seems to be cut off and the others refuse it, although its endpoint goes on.
TEST(AStreamWhoseFirstStageIsSilent, goesOnThereIfNoInstanceTakesIt)
{
    bed.kernel.onInstances(bed.now, {{"one", "one:1", "zone-a", "one:2"}, {"two", "two:1", "zone-a", "two:2"}});
    bed.startStream(2);
    const AttemptId only = bed.lastAttempt();
    bed.loseEndpoints();
    bed.advance(Ms(1000));
    CHECK(!bed.kernel.reachesEndpoints());
    CHECK(!bed.driver.handOvers.empty());
    for (const HandOver &order : bed.driver.handOvers) {
        AnswerHead head;
        head.peerError = base::ErrorKind::NoEndpoint;
        bed.kernel.onAnswer(bed.now, order.attempt, head);
    }
    mustEndThere(only, 3);
}

/// Guards against a limit on retries that one stream uses up at once: while its first attempt is open, it tries one endpoint after the other that refuses it.
TEST(AStreamThatIsMoved, triesTheNextEndpointAfterAPauseIfOneRefusesIt)
{
    for (const char *const id : {"low-c", "low-d", "low-e", "low-f", "low-g", "low-h"}) {
        bed.entries.push_back(RelayTestBed::engineEntry(id, "zone-b", {0, RelayTestBed::HalfLayers}));
    }
    bed.kernel.onEndpoints(bed.now, bed.entries, {0, ++bed.storeRevision});
    constexpr Ms Tick{20};
    for (Ms elapsed{0}; elapsed < Ms(160); elapsed += Tick) {
        if (!bed.driver.wasCancelled(bed.lastAttempt())) {
            bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {503, true, true, ""});
        }
        bed.now += Tick;
        bed.kernel.onTick(bed.now);
    }
    // Attempts 1 and 2, and those that follow refusals after 50 and 100 ms.
    CHECK(bed.driver.sent.size() <= 4);
    CHECK(!bed.driver.wasCancelled(first));
    CHECK(bed.kernel.onEvent(bed.now, first, 3));
}

/// Guards against a stream that is tried again at the endpoint that has left out an event.
TEST(AStreamThatIsMoved, leavesOutAnEndpointThatSkipsAnEvent)
{
    auto config = std::make_shared<FleetConfig>(*RelayTestBed::config(2));
    config->routes.front().maxAttempts = 3;
    bed.kernel.onConfig(bed.now, bed.now, config);
    bed.kernel.onCallerGone(bed.now, bed.lastCall);
    bed.driver.sent.clear();
    bed.entries.push_back(RelayTestBed::engineEntry("low-c", "zone-c", {0, RelayTestBed::HalfLayers}));
    bed.advance(Ms(3000));
    bed.startStream(2);
    bed.advance(Ms(300));
    bed.kernel.onReport(bed.now, bed.driver.sent.back().endpoint, std::nullopt);
    LONGS_EQUAL(2, bed.driver.sent.size());
    const std::string skipping = bed.driver.sent.back().endpoint;
    CHECK(!bed.kernel.onEvent(bed.now, bed.lastAttempt(), 4));
    bed.advance(Ms(200));
    for (std::size_t i = 2; i < bed.driver.sent.size(); ++i) {
        CHECK(bed.driver.sent[i].endpoint != skipping);
    }
}

/// Guards against a stream that waits to its deadline at a first stage that has restarted since, and whose connection says nothing.
TEST(AStreamWhoseFirstStageIsSilent, leavesItIfItHasRestartedBeforeItsSilenceWasNoticed)
{
    bed.startStream(2);
    const AttemptId only = bed.lastAttempt();
    const std::string first = bed.driver.sent.back().endpoint;
    std::find_if(bed.entries.begin(), bed.entries.end(), [&](const EndpointEntry &entry) { return entry.id == first; })->incarnation = 2;
    bed.advance(Ms(300));
    EndpointReport report;
    report.incarnation = 2;
    report.layers = {0, RelayTestBed::HalfLayers};
    bed.kernel.onReport(bed.now, first, report);
    bed.advance(Ms(1500));
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
    CHECK(bed.driver.wasCancelled(only));
}
