#include "FakeDriver.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

TEST_GROUP(AStream)
{
    RelayBed bed;

    EndpointReport reportOf(const std::string &stalledOn) const
    {
        EndpointReport report;
        report.incarnation = 1;
        report.layers = {0, RelayBed::HalfLayers};
        if (!stalledOn.empty()) {
            report.stalled = {{"request-1", stalledOn}};
        }
        return report;
    }
};

TEST(AStream, passesThroughEveryLayerOnceInsideOneZone)
{
    bed.startStream(0);
    const Dispatch &dispatch = bed.driver.sent.back();
    LONGS_EQUAL(2, dispatch.hops.size());
    LONGS_EQUAL(0, dispatch.hops[0].layers.first);
    LONGS_EQUAL(RelayBed::HalfLayers, dispatch.hops[0].layers.end);
    LONGS_EQUAL(RelayBed::HalfLayers, dispatch.hops[1].layers.first);
    LONGS_EQUAL(80, dispatch.hops[1].layers.end);
    STRCMP_EQUAL(dispatch.address.c_str(), dispatch.hops[0].address.c_str());
}

TEST(AStream, beginsWithItsFirstEventAndEndsWithItsLast)
{
    const CallId call = bed.startStream(3);
    LONGS_EQUAL(1, bed.driver.begun.size());
    bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    LONGS_EQUAL(call, bed.driver.ended.back());
    CHECK(bed.driver.broken.empty());
}

TEST(AStream, goesOnAfterTheLastEventWhenItsRunBreaks)
{
    const CallId call = bed.startStream(3);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    LONGS_EQUAL(2, bed.driver.sent.size());
    STRCMP_EQUAL("3", bed.driver.sent.back().lastEventId.c_str());
    CHECK(!bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 4));
    LONGS_EQUAL(1, bed.driver.begun.size());
    bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    LONGS_EQUAL(call, bed.driver.ended.back());
}

TEST(AStream, isBrokenOffVisiblyWhenAnEventIsMissing)
{
    const CallId call = bed.startStream(3);
    CHECK(!bed.kernel.onEvent(bed.now, bed.lastAttempt(), 5));
    LONGS_EQUAL(call, bed.driver.broken.back());
    CHECK(bed.driver.ended.empty());
}

TEST(AStream, isBrokenOffVisiblyWhenNoSendingIsLeft)
{
    const CallId call = bed.startStream(3);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 4));
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    LONGS_EQUAL(call, bed.driver.broken.back());
    LONGS_EQUAL(2, bed.driver.sent.size());
}

TEST(AStream, resumesWhereItsCallerSaysSo)
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

TEST(AStream, goesRoundAStageOfItsPathThatIsSilent)
{
    bed.startStream(2);
    const std::string silent = bed.upperStage();
    const std::string first = bed.driver.sent.back().endpoint;
    bed.pass(Ms(300));
    STRCMP_EQUAL(first.c_str(), bed.driver.reportsAsked.front().c_str());
    bed.kernel.onReport(bed.now, first, reportOf(silent));
    LONGS_EQUAL(1, bed.driver.detours.size());
    CHECK(!bed.driver.wasCancelled(bed.lastAttempt()));
    CHECK(bed.driver.detours.back().hops.back().address != silent);
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
}

/// The pattern: a stage falls silent just after an event of one of its streams, and is known to be silent before that stream is late.
TEST(AStream, goesRoundItEvenIfItWasFoundSilentThroughAnother)
{
    bed.startStream(2);
    const std::string silent = bed.upperStage();
    const std::string first = bed.driver.sent.back().endpoint;
    const AttemptId early = bed.lastAttempt();
    bed.pass(Ms(300));
    bed.kernel.onEvent(bed.now, early, 3);
    bed.kernel.onReport(bed.now, first, reportOf(silent));
    CHECK(bed.driver.detours.empty());
    bed.pass(Ms(100));
    LONGS_EQUAL(early, bed.driver.detours.back().attempt);
    CHECK(bed.driver.detours.back().hops.back().address != silent);
    CHECK(bed.kernel.onEvent(bed.now, early, 4));
}

TEST(AStream, thatMovedFromALostFirstStageMayMoveOnceMore)
{
    bed.entries.push_back(RelayBed::engineEntry("low-c", "zone-c", {0, RelayBed::HalfLayers}));
    bed.kernel.onEndpoints(bed.now, bed.entries, ++bed.storeRevision);
    bed.startStream(2);
    const std::string first = bed.driver.sent.back().endpoint;
    bed.pass(Ms(300));
    bed.kernel.onReport(bed.now, first, std::nullopt);
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    LONGS_EQUAL(3, bed.driver.sent.size());
}

/// The pattern: later stages are lost twice in one stream's life, with no way round. Its first stages live, so that both runs count.
TEST(AStream, thatLostALaterStageHasUsedUpARun)
{
    const CallId call = bed.startStream(2);
    const std::string first = bed.driver.sent.back().endpoint;
    bed.pass(Ms(300));
    bed.kernel.onReport(bed.now, first, reportOf(bed.upperStage()));
    bed.kernel.onDetourAnswer(bed.now, bed.lastAttempt(), OrderOutcome::Refused, "");
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    LONGS_EQUAL(2, bed.driver.sent.size());
    LONGS_EQUAL(call, bed.driver.broken.back());
}

TEST(AStream, movesWhenTheFirstStageDoesNotAnswerAQuestion)
{
    bed.startStream(2);
    const std::string first = bed.driver.sent.back().endpoint;
    bed.pass(Ms(300));
    bed.kernel.onReport(bed.now, first, std::nullopt);
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.driver.sent.back().endpoint != first);
}

/// The pattern: an endpoint becomes many times slower without falling silent, and all that passes through it is late.
TEST(AStream, keepsAwayFromAStageThatSaysThatItIsSlow)
{
    bed.startStream(2);
    const std::string slow = bed.upperStage();
    const std::string id = slow.substr(0, slow.find(':'));
    bed.pass(Ms(300));
    CHECK(std::find(bed.driver.reportsAsked.begin(), bed.driver.reportsAsked.end(), id) != bed.driver.reportsAsked.end());
    EndpointReport report;
    report.incarnation = 1;
    report.layers = {RelayBed::HalfLayers, 80};
    report.slowdown = 12;
    bed.kernel.onReport(bed.now, id, report);
    bed.call("/stream/x");
    CHECK(bed.upperStage() != slow);
}

TEST(AStream, keepsAwayFromAStageThatAnotherInstanceFoundSlowOrSilent)
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

/// The pattern: an instance that is cut off takes all endpoints for silent and says so.
TEST(AStream, doesNotMoveOnTheWordOfAnotherInstanceAlone)
{
    bed.startStream(2);
    const std::string stage = bed.upperStage();
    const std::string id = stage.substr(0, stage.find(':'));
    bed.pass(Ms(100));
    bed.kernel.onPeerMessage(bed.now, wire::RelayDigest{"two", false, {}, {{wire::endpointHash(id), 1}}, {}, {}, 0, 0});
    LONGS_EQUAL(1, bed.driver.sent.size());
    CHECK(bed.driver.detours.empty());
    STRCMP_EQUAL(id.c_str(), bed.driver.reportsAsked.back().c_str());
    EndpointReport report;
    report.incarnation = 1;
    report.layers = {RelayBed::HalfLayers, 80};
    bed.kernel.onReport(bed.now, id, report);
    bed.call("/stream/x");
    CHECK(bed.upperStage() == stage);
}

TEST(AStream, isLeftAloneWhileItMakesProgress)
{
    bed.startStream(2);
    for (std::uint64_t id = 3; id < 20; ++id) {
        bed.pass(Ms(100));
        CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), id));
    }
    CHECK(bed.driver.reportsAsked.empty());
    LONGS_EQUAL(1, bed.driver.sent.size());
    CHECK(bed.driver.detours.empty());
}

TEST(AStream, triesAnotherPathWhenAStageRefuses)
{
    bed.startStream(0);
    const std::string full = bed.upperStage();
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {503, true, false, full});
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.upperStage() != full);
}

/// The pattern: an endpoint leaves while the store is away, so that the list goes on naming it, and refuses every request.
TEST(AStream, triesAnEndpointThatKeepsRefusingMoreAndMoreSeldom)
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
        bed.pass(Ms(50));
    }
    CHECK(refusals >= 2);
    CHECK(refusals <= 8);
}

TEST(AStream, isRefusedAtOnceWithATimeToReturnWhenALayerIsMissing)
{
    for (EndpointEntry &entry : bed.entries) {
        entry.draining = entry.layers.first == RelayBed::HalfLayers;
    }
    bed.kernel.onEndpoints(bed.now, bed.entries, ++bed.storeRevision);
    bed.call("/stream/x");
    CHECK(bed.driver.sent.empty());
    CHECK(base::errorAnswer(bed.driver.rejected.back().rejection.kind).ran == base::HasRun::No);
    CHECK(bed.driver.rejected.back().rejection.retryAfter.count() > 0);
    STRCMP_EQUAL("no usable endpoint holds layer 40", bed.driver.rejected.back().rejection.detail.c_str());
}

TEST(AStream, isAskedForLayersAnewWhenAnEndpointDoesNotHoldItsPart)
{
    bed.startStream(0);
    const std::string misdirected = bed.upperStage();
    const std::string id = misdirected.substr(0, misdirected.find(':'));
    bed.kernel.onAnswer(bed.now, bed.lastAttempt(), {421, true, false, misdirected});
    CHECK(std::find(bed.driver.reportsAsked.begin(), bed.driver.reportsAsked.end(), id) != bed.driver.reportsAsked.end());
    const auto views = bed.kernel.endpoints();
    const auto view = std::find_if(views.begin(), views.end(), [&](const EndpointView &entry) { return entry.id == id; });
    CHECK(view->layers.empty());
}

TEST(AStream, endsItsRunWhenItsCallerLeaves)
{
    const CallId call = bed.startStream(2);
    bed.kernel.onCallerGone(bed.now, call);
    CHECK(bed.driver.wasCancelled(bed.driver.sent.back().attempt));
    LONGS_EQUAL(0, bed.kernel.openCalls());
}

/// The pattern: a busy stage is lost, and for some tenths of a second the other holders of its layers are full of the streams that it had.
TEST(AStream, thatHasBegunWaitsForRoomInsteadOfUsingUpItsSendings)
{
    for (const char *id : {"high-c", "high-d", "high-e", "high-f", "high-g", "high-h", "high-i"}) {
        bed.entries.push_back(RelayBed::engineEntry(id, "zone-c", {RelayBed::HalfLayers, 80}));
    }
    bed.kernel.onEndpoints(bed.now, bed.entries, ++bed.storeRevision);
    const CallId call = bed.startStream(3);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    const Instant brokenAt = bed.now;
    AttemptId refused = 0;
    while (bed.now < brokenAt + Ms(500)) {
        if (bed.lastAttempt() != refused) {
            refused = bed.lastAttempt();
            bed.kernel.onAnswer(bed.now, refused, {503, true, false, bed.upperStage()});
        }
        bed.pass(Ms(50));
    }
    CHECK(bed.driver.broken.empty());
    CHECK(bed.driver.sent.size() <= 8);
    bed.pass(Ms(1000));
    CHECK(bed.lastAttempt() != refused);
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 4));
    bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    LONGS_EQUAL(call, bed.driver.ended.back());
}
