#include "FakeDriver.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

TEST_GROUP(AStream)
{
    RelayTestBed bed;

    /// Report of a first stage at which the request stalls on the stage with that address, or on none if it is empty.
    EndpointReport reportOf(const std::string &stalledOn) const
    {
        EndpointReport report;
        report.incarnation = 1;
        report.layers = {0, RelayTestBed::HalfLayers};
        if (!stalledOn.empty()) {
            report.stalled = {{"request-1", stalledOn}};
        }
        return report;
    }
};

/// Guards against streams that can't be resumed being lost, or run twice, by what a kept connection still holds of earlier requests.
TEST(AStream, isSentOverANewConnectionIfItCannotBeRepeated)
{
    bed.startStream(0);
    CHECK(!bed.driver.sent.back().freshConnection);
    auto config = std::make_shared<FleetConfig>(*RelayTestBed::config(2));
    config->routes[0].isResumable = false;
    config->routes.push_back(config->routes[0]);
    config->routes[3].pathPrefix = "/plain/";
    config->routes[3].services = {{"desk", 1}};
    bed.kernel.onConfig(bed.now, bed.now, config);
    bed.call("/stream/x");
    CHECK(bed.driver.sent.back().freshConnection);
    bed.call("/plain/x");
    CHECK(bed.driver.sent.back().freshConnection);
    LONGS_EQUAL(3, bed.driver.sent.size());
}

/// Guards against a late second copy of an attempt's refusal that is taken for the answer to the next attempt of the same call, whose id it bears.
TEST(AStream, isRetriedOverANewConnection)
{
    bed.startStream(0);
    CHECK(!bed.driver.sent.back().freshConnection);
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {503, true, false, ""});
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.driver.sent.back().freshConnection);
}

TEST(AStream, passesThroughEveryLayerOnceInsideOneZone)
{
    bed.startStream(0);
    const Dispatch &dispatch = bed.driver.sent.back();
    LONGS_EQUAL(2, dispatch.hops.size());
    LONGS_EQUAL(0, dispatch.hops[0].layers.first);
    LONGS_EQUAL(RelayTestBed::HalfLayers, dispatch.hops[0].layers.end);
    LONGS_EQUAL(RelayTestBed::HalfLayers, dispatch.hops[1].layers.first);
    LONGS_EQUAL(80, dispatch.hops[1].layers.end);
    STRCMP_EQUAL(dispatch.address.c_str(), dispatch.hops[0].address.c_str());
}

TEST(AStream, beginsWithItsFirstEventAndEndsWithItsLast)
{
    const CallId call = bed.startStream(3);
    LONGS_EQUAL(1, bed.driver.begunStreams.size());
    bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    LONGS_EQUAL(call, bed.driver.endedStreams.back());
    CHECK(bed.driver.brokenStreams.empty());
}

TEST(AStream, continuesAfterTheLastEventWhenItsAttemptBreaks)
{
    const CallId call = bed.startStream(3);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    LONGS_EQUAL(2, bed.driver.sent.size());
    STRCMP_EQUAL("3", bed.driver.sent.back().lastEventId.c_str());
    CHECK(!bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 4));
    LONGS_EQUAL(1, bed.driver.begunStreams.size());
    bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    LONGS_EQUAL(call, bed.driver.endedStreams.back());
}

TEST(AStream, isBrokenOffVisiblyWhenAnEventIsMissing)
{
    const CallId call = bed.startStream(3);
    CHECK(!bed.kernel.onEvent(bed.now, bed.lastAttempt(), 5));
    LONGS_EQUAL(call, bed.driver.brokenStreams.back());
    CHECK(bed.driver.endedStreams.empty());
}

TEST(AStream, isBrokenOffVisiblyWhenNoAttemptIsLeft)
{
    const CallId call = bed.startStream(3);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 4));
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    LONGS_EQUAL(call, bed.driver.brokenStreams.back());
    LONGS_EQUAL(2, bed.driver.sent.size());
}

TEST(AStream, resumesAfterTheEventThatItsCallerNames)
{
    CallArrival arrival;
    arrival.call = 900;
    arrival.requestId = "resumed";
    arrival.host = "api.example";
    arrival.path = "/stream/x";
    arrival.keySha256 = "key-a";
    arrival.lastEventId = "12";
    bed.kernel.onCall(bed.now, arrival);
    STRCMP_EQUAL("12", bed.driver.sent.back().lastEventId.c_str());
    CHECK(!bed.kernel.onEvent(bed.now, bed.lastAttempt(), 12));
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 13));
}

TEST(AStream, isDetouredAroundASilentStage)
{
    bed.startStream(2);
    const std::string silent = bed.upperStage();
    const std::string first = bed.driver.sent.back().endpoint;
    bed.advance(Ms(300));
    STRCMP_EQUAL(first.c_str(), bed.driver.reportRequests.front().c_str());
    bed.kernel.onReport(bed.now, first, reportOf(silent));
    LONGS_EQUAL(1, bed.driver.detours.size());
    CHECK(!bed.driver.wasCancelled(bed.lastAttempt()));
    CHECK(bed.driver.detours.back().hops.back().address != silent);
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
}

/// A stage fails just after an event of one of its streams, and is marked as silent before that stream is late. The stream needs a detour as soon as
/// it is late, without another report.
TEST(AStream, isDetouredAroundAStageThatIsMarkedAsSilentBeforeItIsLate)
{
    bed.startStream(2);
    const std::string silent = bed.upperStage();
    const std::string first = bed.driver.sent.back().endpoint;
    const AttemptId early = bed.lastAttempt();
    bed.advance(Ms(300));
    bed.kernel.onEvent(bed.now, early, 3);
    bed.kernel.onReport(bed.now, first, reportOf(silent));
    CHECK(bed.driver.detours.empty());
    bed.advance(Ms(100));
    LONGS_EQUAL(early, bed.driver.detours.back().attempt);
    CHECK(bed.driver.detours.back().hops.back().address != silent);
    CHECK(bed.kernel.onEvent(bed.now, early, 4));
}

/// A stream loses a later stage in each of two attempts, and no detour is possible. The first stages stay up, so that both attempts count against the
/// route's limit of 2.
TEST(AStream, thatLostALaterStageHasUsedUpAnAttempt)
{
    const CallId call = bed.startStream(2);
    const std::string first = bed.driver.sent.back().endpoint;
    bed.advance(Ms(300));
    bed.kernel.onReport(bed.now, first, reportOf(bed.upperStage()));
    bed.kernel.onDetourAnswer(bed.now, bed.lastAttempt(), OrderOutcome::UnknownRequest, "");
    LONGS_EQUAL(1, bed.driver.sent.size());
    bed.advance(Ms(100));
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    LONGS_EQUAL(2, bed.driver.sent.size());
    LONGS_EQUAL(call, bed.driver.brokenStreams.back());
}

TEST(AStream, movesWhenTheFirstStageSendsNoReport)
{
    bed.startStream(2);
    const std::string first = bed.driver.sent.back().endpoint;
    bed.advance(Ms(300));
    bed.kernel.onReport(bed.now, first, std::nullopt);
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.driver.sent.back().endpoint != first);
}

/// An endpoint becomes many times slower but still answers, so that every stream through it is late.
TEST(AStream, avoidsAStageThatReportsThatItIsSlow)
{
    bed.startStream(2);
    const std::string slow = bed.upperStage();
    const std::string id = slow.substr(0, slow.find(':'));
    bed.advance(Ms(300));
    CHECK(std::find(bed.driver.reportRequests.begin(), bed.driver.reportRequests.end(), id) != bed.driver.reportRequests.end());
    EndpointReport report;
    report.incarnation = 1;
    report.layers = {RelayTestBed::HalfLayers, 80};
    report.slowdown = 12;
    bed.kernel.onReport(bed.now, id, report);
    bed.call("/stream/x");
    CHECK(bed.upperStage() != slow);
}

TEST(AStream, avoidsAStageThatAnotherInstanceFoundSlowOrSilent)
{
    bed.startStream(0);
    const std::string other = bed.upperStage();
    const std::string id = other.substr(0, other.find(':'));
    bed.kernel.onPeerMessage(bed.now, wire::RelayDigest{"two", false, {}, {}, {{wire::endpointHash(id), 12}}, {}, 0, 0});
    bed.call("/stream/x");
    CHECK(bed.upperStage() != other);
    const std::string next = bed.upperStage();
    bed.kernel.onPeerMessage(bed.now, wire::RelayDigest{"two", false, {}, {{wire::endpointHash(next.substr(0, next.find(':'))), 1}}, {}, {}, 0, 0});
    bed.call("/stream/x");
    CHECK(bed.upperStage() == other);
}

/// An instance that is cut off from the endpoints marks all of them as silent and reports this to the others.
TEST(AStream, doesNotMoveOnTheReportOfAnotherInstanceAlone)
{
    bed.startStream(2);
    const std::string stage = bed.upperStage();
    const std::string id = stage.substr(0, stage.find(':'));
    bed.advance(Ms(100));
    bed.kernel.onPeerMessage(bed.now, wire::RelayDigest{"two", false, {}, {{wire::endpointHash(id), 1}}, {}, {}, 0, 0});
    LONGS_EQUAL(1, bed.driver.sent.size());
    CHECK(bed.driver.detours.empty());
    STRCMP_EQUAL(id.c_str(), bed.driver.reportRequests.back().c_str());
    EndpointReport report;
    report.incarnation = 1;
    report.layers = {RelayTestBed::HalfLayers, 80};
    bed.kernel.onReport(bed.now, id, report);
    bed.call("/stream/x");
    CHECK(bed.upperStage() == stage);
}

TEST(AStream, isLeftAloneWhileItMakesProgress)
{
    bed.startStream(2);
    for (std::uint64_t id = 3; id < 20; ++id) {
        bed.advance(Ms(100));
        CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), id));
    }
    CHECK(bed.driver.reportRequests.empty());
    LONGS_EQUAL(1, bed.driver.sent.size());
    CHECK(bed.driver.detours.empty());
}

TEST(AStream, triesAnotherPipelineWhenAStageRefuses)
{
    bed.startStream(0);
    const std::string full = bed.upperStage();
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {503, true, false, full});
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.upperStage() != full);
}

/// An endpoint that drains during an outage of the store stays listed as usable and refuses every request.
TEST(AStream, isSentLessAndLessOftenToAnEndpointThatKeepsRefusing)
{
    int refusals = 0;
    for (int i = 0; i < 100; ++i) {
        bed.call("/stream/x");
        while (bed.upperStage() == "high-a:1") {
            ++refusals;
            bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {503, true, false, "high-a:1"});
        }
        bed.kernel.onEvent(bed.now, bed.lastAttempt(), 1);
        bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
        bed.advance(Ms(50));
    }
    CHECK(refusals >= 2);
    CHECK(refusals <= 8);
}

/// Guards against a pause after a refusal that ends at once, since the endpoint reports, or begins to answer what it took before.
TEST(AStream, isNotSentToAnEndpointThatHasJustRefusedAndThenReports)
{
    bed.call("/stream/x");
    const AttemptId early = bed.lastAttempt();
    const std::string full = bed.upperStage();
    const std::string id = full.substr(0, full.find(':'));
    const Instant refusedAt = bed.now;
    do {
        bed.call("/stream/x");
    } while (bed.upperStage() != full);
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {503, true, false, full});
    bed.kernel.onEvent(bed.now, early, 1);
    EndpointReport report;
    report.incarnation = 1;
    report.layers = {RelayTestBed::HalfLayers, 80};
    bed.kernel.onReport(bed.now, id, report);
    bed.call("/stream/x");
    CHECK(bed.upperStage() != full);
    bed.advance(Ms(100));
    CHECK(bed.now < refusedAt + Ms(150));
    bed.call("/stream/x");
    CHECK(bed.upperStage() != full);
}

/// Guards against pauses that never grow, since the answer to work that was taken before the refusal ends the row of refusals.
TEST(AStream, isSentLessOftenToAnEndpointThatKeepsRefusingWhileItEndsEarlierWork)
{
    const auto callThrough = [&](const std::string &stage) {
        do {
            bed.call("/stream/x");
        } while (bed.upperStage() != stage);
    };
    bed.call("/stream/x");
    const std::string full = bed.upperStage();
    const AttemptId early = bed.lastAttempt();
    callThrough(full);
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {503, true, false, full});
    bed.kernel.onEvent(bed.now, early, 1);
    bed.advance(Ms(150));
    callThrough(full);
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {503, true, false, full});
    bed.advance(Ms(200));
    bed.call("/stream/x");
    CHECK(bed.upperStage() != full);
}

TEST(AStream, isRejectedAtOnceWithARetryDelayWhenALayerIsMissing)
{
    for (EndpointEntry &entry : bed.entries) {
        entry.draining = entry.layers.first == RelayTestBed::HalfLayers;
    }
    bed.kernel.onEndpoints(bed.now, bed.entries, {0, ++bed.storeRevision});
    bed.call("/stream/x");
    CHECK(bed.driver.sent.empty());
    CHECK(base::errorAnswer(bed.driver.rejected.back().rejection.kind).ran == base::HasRun::No);
    CHECK(bed.driver.rejected.back().rejection.retryAfter.count() > 0);
    STRCMP_EQUAL("no usable endpoint holds layer 40", bed.driver.rejected.back().rejection.detail.c_str());
}

TEST(AStream, requestsAReportFromAnEndpointThatDoesNotHoldItsLayers)
{
    bed.startStream(0);
    const std::string misdirected = bed.upperStage();
    const std::string id = misdirected.substr(0, misdirected.find(':'));
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {421, true, false, misdirected});
    CHECK(std::find(bed.driver.reportRequests.begin(), bed.driver.reportRequests.end(), id) != bed.driver.reportRequests.end());
    const auto views = bed.kernel.endpoints();
    const auto view = std::find_if(views.begin(), views.end(), [&](const EndpointView &entry) { return entry.id == id; });
    CHECK(view->layers.empty());
}

TEST(AStream, cancelsItsAttemptWhenItsCallerIsGone)
{
    const CallId call = bed.startStream(2);
    bed.kernel.onCallerGone(bed.now, call);
    CHECK(bed.driver.wasCancelled(bed.driver.sent.back().attempt));
    LONGS_EQUAL(0, bed.kernel.openCalls());
}

/// A busy stage is lost, and for some tenths of a second its streams fill the other holders of its layers. A stream that retries at once would use up
/// its attempts on their refusals.
TEST(AStream, thatHasBegunWaitsForRoomInsteadOfUsingUpItsAttempts)
{
    for (const char *id : {"high-c", "high-d", "high-e", "high-f", "high-g", "high-h", "high-i"}) {
        bed.entries.push_back(RelayTestBed::engineEntry(id, "zone-c", {RelayTestBed::HalfLayers, 80}));
    }
    bed.kernel.onEndpoints(bed.now, bed.entries, {0, ++bed.storeRevision});
    const CallId call = bed.startStream(3);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    const Instant brokenAt = bed.now;
    AttemptId refused = 0;
    while (bed.now < brokenAt + Ms(500)) {
        if (bed.lastAttempt() != refused) {
            refused = bed.lastAttempt();
            bed.kernel.onAnswer(bed.now, refused, {503, true, false, bed.upperStage()});
        }
        bed.advance(Ms(50));
    }
    CHECK(bed.driver.brokenStreams.empty());
    CHECK(bed.driver.sent.size() <= 8);
    bed.advance(Ms(1000));
    CHECK(bed.lastAttempt() != refused);
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 4));
    bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    LONGS_EQUAL(call, bed.driver.endedStreams.back());
}

TEST_GROUP(AStreamOfAServiceWithoutLayers)
{
    RelayTestBed bed;

    void setup() override
    {
        auto config = std::make_shared<FleetConfig>(*RelayTestBed::config(2));
        config->routes[0].services = {{"desk", 1}};
        bed.kernel.onConfig(bed.now, bed.now, config);
    }
};

/// Guards against a resumed stream that begins anew, so that the caller gets parts of two runs as one answer.
TEST(AStreamOfAServiceWithoutLayers, isResumedAfterItsLastEvent)
{
    bed.startStream(3);
    CHECK(bed.driver.sent.back().isStream);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    LONGS_EQUAL(2, bed.driver.sent.size());
    STRCMP_EQUAL("3", bed.driver.sent.back().lastEventId.c_str());
}
