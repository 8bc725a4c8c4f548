#include "CutOffBed.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// A stream that its route doesn't allow to be resumed. The route permits two attempts, of which the second may follow only one that has not run.
TEST_GROUP(AStreamThatMayRunOnceOnly)
{
    /// Time without an event after which a stream is checked, and longer than any pause that is looked into stage by stage.
    static constexpr Ms LongPause{1500};

    CutOffBed bed;

    /// Makes the route of the streams one that can't be resumed.
    void forbidResuming()
    {
        auto config = std::make_shared<FleetConfig>(*RelayTestBed::config(2));
        config->routes[0].isResumable = false;
        // The caller is still there when the endpoint is back.
        config->routes[0].callerPatience = Ms(4000);
        bed.kernel.onConfig(bed.now, bed.now, config);
    }

    CallId startStream(int events)
    {
        forbidResuming();
        return bed.startStream(events);
    }

    /// Starts a stream that is handed over to another instance.
    void startStreamThere()
    {
        bed.call("/stream/x");
        LONGS_EQUAL(1, bed.driver.handOvers.size());
    }

    EndpointEntry &firstStage()
    {
        const std::string &id = bed.driver.sent.front().endpoint;
        return *std::find_if(bed.entries.begin(), bed.entries.end(), [&](const EndpointEntry &entry) { return entry.id == id; });
    }

    /// The first stage says nothing more, also to the router's questions.
    void silenceFirstStage()
    {
        bed.advance(Ms(300));
        bed.kernel.onReport(bed.now, firstStage().id, std::nullopt);
    }

    /// The first stage is listed again, as one that has just started and holds its layers.
    void restartFirstStage()
    {
        ++firstStage().incarnation;
        EndpointReport report;
        report.incarnation = firstStage().incarnation;
        report.layers = firstStage().layers;
        bed.kernel.onReport(bed.now, firstStage().id, report);
        bed.kernel.onEndpoints(bed.now, bed.entries, {0, ++bed.storeRevision});
    }

    /// Nothing may be sent or handed over but the first attempt.
    void mustHaveRunOnce()
    {
        LONGS_EQUAL(1, bed.driver.sent.size());
        CHECK(bed.driver.handOvers.empty());
    }
};

/// Guards against TWICE: an endpoint loses power and is back under its id, while the connection of its stream hangs; the stream was sent to another one.
TEST(AStreamThatMayRunOnceOnly, isNotSentAgainOnceItsFirstStageHasRestarted)
{
    const CallId stream = startStream(3);
    silenceFirstStage();
    bed.advance(LongPause);
    restartFirstStage();
    bed.advance(LongPause);
    mustHaveRunOnce();
    // Nobody runs it any more, so that its caller isn't kept waiting.
    LONGS_EQUAL(1, bed.driver.brokenStreams.size());
    LONGS_EQUAL(stream, bed.driver.brokenStreams.back());
    CHECK(bed.driver.endedStreams.empty());
}

/// Guards against the same before the first event: the attempt may be running.
TEST(AStreamThatMayRunOnceOnly, isNotSentAgainBeforeItsFirstEventEither)
{
    startStream(0);
    silenceFirstStage();
    bed.advance(LongPause);
    restartFirstStage();
    bed.advance(LongPause);
    mustHaveRunOnce();
    LONGS_EQUAL(1, bed.driver.rejected.size());
    CHECK(bed.driver.rejected.back().rejection.kind == base::ErrorKind::UpstreamBroken);
}

/// Guards against the other error: a stream is broken off that goes on, since the list had shown an earlier start of its endpoint when it was sent.
TEST(AStreamThatMayRunOnceOnly, goesOnIfItsEndpointHadRestartedBeforeItWasSent)
{
    const CallId stream = startStream(1);
    restartFirstStage();
    for (std::uint64_t event = 2; event <= 6; ++event) {
        bed.advance(Ms(1000));
        CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), event));
    }
    bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    mustHaveRunOnce();
    LONGS_EQUAL(stream, bed.driver.endedStreams.back());
}

/// Guards against the same of services without layers: their endpoints run requests from their start on, so that a late list says nothing of a stream.
TEST(AStreamThatMayRunOnceOnly, goesOnAtAnEndpointWithoutLayersWhoseRestartIsListedLate)
{
    auto config = std::make_shared<FleetConfig>(*RelayTestBed::config(2));
    config->routes[0].services = {{"desk", 1}};
    config->routes[0].isResumable = false;
    bed.kernel.onConfig(bed.now, bed.now, config);
    const CallId stream = bed.startStream(1);
    ++firstStage().incarnation;
    bed.advance(LongPause);
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 2));
    bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    mustHaveRunOnce();
    LONGS_EQUAL(stream, bed.driver.endedStreams.back());
}

/// Guards against TWICE by way of the list: the entry of a silent endpoint lapses, which only says that nobody has heard from it.
TEST(AStreamThatMayRunOnceOnly, isNotSentAgainIfTheEntryOfItsSilentEndpointLapses)
{
    startStream(3);
    silenceFirstStage();
    const std::string lapsed = firstStage().id;
    std::erase_if(bed.entries, [&](const EndpointEntry &entry) { return entry.id == lapsed; });
    bed.advance(LongPause);
    mustHaveRunOnce();
    // The endpoint may go on.
    CHECK(bed.driver.brokenStreams.empty());
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 4));
}

TEST(AStreamThatMayRunOnceOnly, isNotSentAgainIfItsConnectionBreaksOffBeforeItsFirstEvent)
{
    startStream(0);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    bed.advance(LongPause);
    mustHaveRunOnce();
    LONGS_EQUAL(1, bed.driver.rejected.size());
    CHECK(bed.driver.rejected.back().rejection.kind == base::ErrorKind::UpstreamBroken);
}

TEST(AStreamThatMayRunOnceOnly, isNotSentAgainIfItsFirstStageDoesNotKnowItAnyMore)
{
    for (const OrderOutcome outcome : {OrderOutcome::UnknownRequest, OrderOutcome::Refused, OrderOutcome::NoAnswer}) {
        bed.driver.sent.clear();
        startStream(3);
        bed.advance(Ms(300));
        bed.kernel.onDetourAnswer(bed.now, bed.lastAttempt(), outcome, "");
        bed.advance(LongPause);
        mustHaveRunOnce();
    }
}

TEST(AStreamThatMayRunOnceOnly, isNotHandedOverOnceItWasSent)
{
    bed.listTakers();
    startStream(3);
    bed.loseEndpoints();
    bed.driver.sent.erase(bed.driver.sent.begin() + 1, bed.driver.sent.end());
    bed.advance(LongPause);
    mustHaveRunOnce();
}

TEST(AStreamThatMayRunOnceOnly, isNotTakenFromTheInstanceThatItWasHandedOverTo)
{
    forbidResuming();
    bed.listTakers();
    bed.cutOff();
    startStreamThere();
    bed.advance(Ms(3500));
    LONGS_EQUAL(1, bed.driver.handOvers.size());
    CHECK(bed.driver.sent.empty());
}

/// Guards against the other error: an attempt that has not run leaves the request to another endpoint.
TEST(AStreamThatMayRunOnceOnly, isSentAgainIfItHasNotRun)
{
    bed.entries.push_back(RelayTestBed::engineEntry("low-c", "zone-c", {0, RelayTestBed::HalfLayers}));
    bed.kernel.onEndpoints(bed.now, bed.entries, {0, ++bed.storeRevision});
    startStream(0);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::NotSent);
    LONGS_EQUAL(2, bed.driver.sent.size());
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {503, true, false, ""});
    LONGS_EQUAL(3, bed.driver.sent.size());
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 1));
    CHECK(bed.driver.rejected.empty());
}

/// Guards against the same of hand-overs: an instance that can't be reached has run nothing.
TEST(AStreamThatMayRunOnceOnly, isHandedOverAgainIfNobodyHasReceivedIt)
{
    forbidResuming();
    bed.listTakers();
    bed.cutOff();
    startStreamThere();
    bed.kernel.onFailure(bed.now, bed.lastHandOver().attempt, AttemptFailure::NotSent);
    LONGS_EQUAL(2, bed.driver.handOvers.size());
}
