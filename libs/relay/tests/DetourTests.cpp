#include "FakeDriver.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// A stream that has lost a stage other than its first goes on at its first stage, over another holder of the lost layers.
TEST_GROUP(ADetour)
{
    RelayBed bed;

    /// The first stage says that requests stall on that address.
    void reportStall(const std::string &address)
    {
        EndpointReport report;
        report.incarnation = 1;
        report.layers = {0, RelayBed::HalfLayers};
        report.stalled = {{"request-1", address}};
        bed.kernel.onReport(bed.now, bed.driver.sent.back().endpoint, report);
    }

    void loseUpperStage()
    {
        bed.pass(Ms(300));
        reportStall(bed.upperStage());
    }

    std::uint32_t loadOf(const std::string &address) const
    {
        const auto views = bed.kernel.endpoints();
        const std::string id = address.substr(0, address.find(':'));
        return std::find_if(views.begin(), views.end(), [&](const EndpointView &view) { return view.id == id; })->openRequests;
    }
};

TEST(ADetour, keepsTheRunAndItsFirstStage)
{
    bed.startStream(2);
    const Dispatch run = bed.driver.sent.back();
    loseUpperStage();
    LONGS_EQUAL(1, bed.driver.detours.size());
    LONGS_EQUAL(1, bed.driver.sent.size());
    CHECK(!bed.driver.wasCancelled(run.attempt));
    const Detour &detour = bed.driver.detours.back();
    STRCMP_EQUAL("request-1", detour.requestId.c_str());
    STRCMP_EQUAL(run.endpoint.c_str(), detour.endpoint.c_str());
    STRCMP_EQUAL(run.address.c_str(), detour.hops.front().address.c_str());
    CHECK(detour.hops.back().address != run.hops.back().address);
}

TEST(ADetour, runsEveryLayerOnceAndInOrder)
{
    bed.startStream(2);
    loseUpperStage();
    std::uint32_t layer = 0;
    for (const Hop &hop : bed.driver.detours.back().hops) {
        LONGS_EQUAL(layer, hop.layers.first);
        layer = hop.layers.end;
    }
    LONGS_EQUAL(80, layer);
}

TEST(ADetour, goesOnWithTheNextEventAndCountsAsNoRun)
{
    const CallId call = bed.startStream(2);
    const AttemptId run = bed.lastAttempt();
    loseUpperStage();
    bed.kernel.onDetourAnswer(bed.now, run, OrderOutcome::Accepted, "");
    CHECK(bed.kernel.onEvent(bed.now, run, 3));
    bed.kernel.onFailure(bed.now, run, AttemptFailure::Broken);
    LONGS_EQUAL(2, bed.driver.sent.size());
    STRCMP_EQUAL("3", bed.driver.sent.back().lastEventId.c_str());
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 4));
    bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    LONGS_EQUAL(call, bed.driver.ended.back());
}

TEST(ADetour, takesTheLoadFromTheLostStageToTheNewOne)
{
    bed.startStream(2);
    const std::string lost = bed.upperStage();
    loseUpperStage();
    LONGS_EQUAL(0, loadOf(lost));
    LONGS_EQUAL(1, loadOf(bed.driver.detours.back().hops.back().address));
    bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3);
    bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
    for (const Hop &hop : bed.driver.detours.back().hops) {
        LONGS_EQUAL(0, loadOf(hop.address));
    }
}

TEST(ADetour, isTriedOverAnotherHolderIfOneHasNoRoom)
{
    bed.entries.push_back(RelayBed::engineEntry("high-c", "zone-c", {RelayBed::HalfLayers, 80}));
    bed.kernel.onEndpoints(bed.now, bed.entries, ++bed.storeRevision);
    bed.startStream(2);
    const AttemptId run = bed.lastAttempt();
    loseUpperStage();
    const std::string full = bed.driver.detours.back().hops.back().address;
    bed.kernel.onDetourAnswer(bed.now, run, OrderOutcome::Refused, full);
    LONGS_EQUAL(2, bed.driver.detours.size());
    CHECK(bed.driver.detours.back().hops.back().address != full);
    LONGS_EQUAL(1, bed.driver.sent.size());
}

TEST(ADetour, isFollowedByANewRunIfTheFirstStageKnowsTheRequestNoMore)
{
    bed.startStream(2);
    const AttemptId run = bed.lastAttempt();
    loseUpperStage();
    bed.kernel.onDetourAnswer(bed.now, run, OrderOutcome::Refused, "");
    CHECK(bed.driver.wasCancelled(run));
    LONGS_EQUAL(2, bed.driver.sent.size());
    STRCMP_EQUAL("2", bed.driver.sent.back().lastEventId.c_str());
}

TEST(ADetour, isFollowedByANewRunIfItsOrderHasNoAnswer)
{
    bed.startStream(2);
    loseUpperStage();
    for (int i = 0; i < 4 && bed.driver.sent.size() == 1; ++i) {
        bed.kernel.onDetourAnswer(bed.now, bed.driver.sent.front().attempt, OrderOutcome::NoAnswer, "");
    }
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.driver.detours.size() <= 3);
}

/// The pattern: the only other holders of the lost layers are lost as well.
TEST(ADetour, isNotTakenWithoutAnotherHolder)
{
    bed.startStream(2);
    const std::string lost = bed.upperStage();
    for (EndpointEntry &entry : bed.entries) {
        entry.draining = entry.layers.first == RelayBed::HalfLayers && entry.address != lost;
    }
    bed.kernel.onEndpoints(bed.now, bed.entries, ++bed.storeRevision);
    loseUpperStage();
    CHECK(bed.driver.detours.empty());
}

TEST(ADetour, isNotTakenRoundTheFirstStage)
{
    bed.startStream(2);
    bed.pass(Ms(300));
    bed.kernel.onReport(bed.now, bed.driver.sent.back().endpoint, std::nullopt);
    CHECK(bed.driver.detours.empty());
    LONGS_EQUAL(2, bed.driver.sent.size());
}

/// The pattern: the first stage is lost as well, in the moments that the order to it takes.
TEST(ADetour, isNotTriedAgainAtAFirstStageThatIsLostMeanwhile)
{
    bed.entries.push_back(RelayBed::engineEntry("high-c", "zone-c", {RelayBed::HalfLayers, 80}));
    bed.entries.push_back(RelayBed::engineEntry("low-c", "zone-c", {0, RelayBed::HalfLayers}));
    bed.kernel.onEndpoints(bed.now, bed.entries, ++bed.storeRevision);
    bed.startStream(2);
    const AttemptId run = bed.lastAttempt();
    const std::string first = bed.driver.sent.back().endpoint;
    loseUpperStage();
    bed.now += Ms(10);
    bed.kernel.onReport(bed.now, first, std::nullopt);
    bed.kernel.onDetourAnswer(bed.now, run, OrderOutcome::NoAnswer, "");
    LONGS_EQUAL(1, bed.driver.detours.size());
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.driver.sent.back().endpoint != first);
    // The run ended with its endpoint: it doesn't count against the route's limit of two.
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    LONGS_EQUAL(3, bed.driver.sent.size());
}

/// The pattern: the only other holder of the lost layers already runs other layers of the same path.
TEST(ADetour, usesNoEndpointTwice)
{
    bed.entries = {RelayBed::engineEntry("low", "zone-a", {0, 40}),
                   RelayBed::engineEntry("low-b", "zone-b", {0, 40}),
                   RelayBed::engineEntry("middle", "zone-a", {40, 60}),
                   RelayBed::engineEntry("high", "zone-a", {40, 80})};
    bed.kernel.onEndpoints(bed.now, bed.entries, ++bed.storeRevision);
    EndpointReport slow;
    slow.incarnation = 1;
    slow.layers = {40, 80};
    slow.slowdown = 8;
    bed.kernel.onReport(bed.now, "high", slow);
    const CallId call = bed.startStream(2);
    LONGS_EQUAL(3, bed.driver.sent.back().hops.size());
    bed.pass(Ms(300));
    reportStall("middle:1");
    CHECK(bed.driver.detours.empty());
    // It runs anew instead. Its first stage lives, so that the first run counts against the route's limit of two.
    LONGS_EQUAL(2, bed.driver.sent.size());
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    LONGS_EQUAL(2, bed.driver.sent.size());
    LONGS_EQUAL(call, bed.driver.broken.back());
}

TEST(ADetour, endsWithItsCall)
{
    const CallId call = bed.startStream(2);
    const AttemptId run = bed.lastAttempt();
    loseUpperStage();
    bed.kernel.onCallerGone(bed.now, call);
    bed.kernel.onDetourAnswer(bed.now, run, OrderOutcome::Refused, "");
    LONGS_EQUAL(1, bed.driver.sent.size());
    LONGS_EQUAL(1, bed.driver.detours.size());
}

/// The pattern: a stage of a stream that must not run again is lost.
TEST(ADetour, savesAStreamThatMayNotBeResumed)
{
    auto config = std::make_shared<FleetConfig>(*RelayBed::config(2));
    config->routes.front().isResumable = false;
    bed.kernel.onConfig(bed.now, bed.now, config);
    bed.startStream(2);
    loseUpperStage();
    LONGS_EQUAL(1, bed.driver.detours.size());
    bed.kernel.onDetourAnswer(bed.now, bed.lastAttempt(), OrderOutcome::Refused, "");
    LONGS_EQUAL(1, bed.driver.sent.size());
    CHECK(bed.driver.broken.empty());
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 3));
}
