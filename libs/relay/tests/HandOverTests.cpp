#include "CutOffBed.h"
#include "InstanceFleet.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// Some instances lose all endpoints for a while, while their callers, the store and the other instances still reach them.
TEST_GROUP(InstancesThatAreCutOffFromAllEndpoints)
{
    using Cut = InstanceFleet::EndpointCut;

    /// Time from the beginning of a cut after which callers of the cut instances must be served.
    static constexpr Ms NoticeTime{3000};

    std::uint64_t step = 0;

    /// Sends a request through each instance in every eighth step.
    void sendRequests(InstanceFleet & fleet)
    {
        constexpr std::uint64_t Period = 8;
        for (std::size_t i = ++step % Period; i < fleet.instances.size(); i += Period) {
            fleet.request(i, 100 + step % 20);
        }
    }

    /// Lets a fleet of that size run, cuts its first instances off, and returns the served share of what came to them after the notice time.
    double servedWhileCut(InstanceFleet & fleet, std::size_t cutInstances, Cut cut)
    {
        const auto setCut = [&](Cut state) {
            for (std::size_t i = 0; i < cutInstances; ++i) {
                fleet.instances[i]->endpointCut = state;
            }
        };
        fleet.advance(Ms(2000), [&]() { sendRequests(fleet); });
        setCut(cut);
        fleet.advance(NoticeTime, [&]() { sendRequests(fleet); });
        const Instant since = fleet.now;
        fleet.advance(Ms(6000), [&]() { sendRequests(fleet); });
        const Instant until = fleet.now - Ms(1000);
        setCut(Cut::None);
        fleet.advance(Ms(1000), [&]() { sendRequests(fleet); });
        double asked = 0;
        double begun = 0;
        for (std::size_t i = 0; i < cutInstances; ++i) {
            const auto counts = fleet.begunOf(i, since, until);
            asked += static_cast<double>(counts.first);
            begun += static_cast<double>(counts.second);
        }
        CHECK(asked > 0);
        return begun / asked;
    }
};

/// Guards against callers of an instance that reaches no endpoint being rejected although other instances could serve them.
TEST(InstancesThatAreCutOffFromAllEndpoints, haveTheirCallersServedByOthers)
{
    constexpr double MinServed = 0.98;
    for (const Cut cut : {Cut::Silent, Cut::Reset}) {
        InstanceFleet one(3);
        CHECK(servedWhileCut(one, 1, cut) >= MinServed);
        InstanceFleet most(9);
        CHECK(servedWhileCut(most, 6, cut) >= MinServed);
        InstanceFleet large(40);
        CHECK(servedWhileCut(large, 20, cut) >= MinServed);
    }
}

/// Guards against requests of an instance that is cut off being run by an older configuration than it has shown, while a change reaches the instances one after
/// the other, and against callers that aren't served for longer than that takes.
TEST(InstancesThatAreCutOffFromAllEndpoints, haveNoRequestRunByAnOlderConfiguration)
{
    constexpr double MinServed = 0.98;
    constexpr Ms SpreadTime{1000};
    for (const std::size_t size : {3, 40}) {
        InstanceFleet fleet(size);
        const std::size_t cutInstances = (size + 4) / 5;
        fleet.advance(Ms(2000), [&]() { sendRequests(fleet); });
        for (std::size_t i = 0; i < cutInstances; ++i) {
            fleet.instances[i]->endpointCut = Cut::Reset;
        }
        fleet.advance(NoticeTime, [&]() { sendRequests(fleet); });
        const Instant changedAt = fleet.now;
        fleet.setConfig(RelayTestBed::config(2));
        for (std::size_t i = 0; i < size; ++i) {
            fleet.instances[i]->readsConfigFrom = changedAt + SpreadTime * i / size;
        }
        fleet.advance(SpreadTime + Ms(3000), [&]() { sendRequests(fleet); });
        const Instant until = fleet.now;
        fleet.advance(Ms(1000));
        LONGS_EQUAL(0, fleet.sentByOlderConfig());
        for (std::size_t i = 0; i < cutInstances; ++i) {
            const auto [asked, begun] = fleet.begunOf(i, changedAt + SpreadTime + Ms(500), until);
            CHECK(asked > 0);
            CHECK(static_cast<double>(begun) >= MinServed * static_cast<double>(asked));
        }
    }
}

/// One instance that reaches no endpoint, and two others that take its requests.
TEST_GROUP(ARequestThatIsHandedOver)
{
    CutOffBed bed;

    void setup() override
    {
        bed.listTakers();
        bed.cutOff();
    }

    void refuse(base::ErrorKind kind)
    {
        AnswerHead head;
        head.peerError = kind;
        bed.kernel.onAnswer(bed.now, bed.lastHandOver().attempt, head);
    }

    static bool saysNotRun(const FakeDriver::Rejected &rejected)
    {
        return base::errorAnswer(rejected.rejection.kind).ran == base::HasRun::No;
    }
};

/// Guards against a circle: what another instance has handed over is rejected here, as not run.
TEST(ARequestThatIsHandedOver, isNotHandedOverAgain)
{
    CallArrival arrival = bed.nextArrival("/book/x");
    arrival.isHandedOver = true;
    bed.kernel.onCall(bed.now, arrival);
    LONGS_EQUAL(0, bed.driver.handOvers.size());
    LONGS_EQUAL(1, bed.driver.rejected.size());
    CHECK(saysNotRun(bed.driver.rejected.front()));
}

/// Guards against a request that may run once being handed over twice, or called "not run", if the answer of the other instance is lost.
TEST(ARequestThatIsHandedOver, runsOnceAlthoughTheAnswerIsLost)
{
    for (const AttemptFailure failure : {AttemptFailure::Broken, AttemptFailure::TimedOut}) {
        const std::size_t before = bed.driver.handOvers.size();
        bed.call("/book/x");
        bed.kernel.onFailure(bed.now, bed.lastHandOver().attempt, failure);
        LONGS_EQUAL(before + 1, bed.driver.handOvers.size());
        CHECK(!saysNotRun(bed.driver.rejected.back()));
    }
}

/// Guards against a request being rejected because one of the other instances stops, and against a "not run" that isn't true or isn't said.
TEST(ARequestThatIsHandedOver, goesToAFurtherInstanceIfOneSaysThatItHasNotRun)
{
    bed.call("/book/x");
    const std::string first = bed.lastHandOver().instance;
    refuse(base::ErrorKind::Stopping);
    LONGS_EQUAL(2, bed.driver.handOvers.size());
    CHECK(bed.lastHandOver().instance != first);
    refuse(base::ErrorKind::NoEndpoint);
    LONGS_EQUAL(2, bed.driver.handOvers.size());
    LONGS_EQUAL(1, bed.driver.rejected.size());
    CHECK(saysNotRun(bed.driver.rejected.front()));
}

/// Guards against a caller that waits until its time is up for endpoints that are known to be out of reach.
TEST(ARequestThatIsHandedOver, isRejectedAtOnceIfNoInstanceCanBeReached)
{
    bed.call("/book/x");
    bed.kernel.onFailure(bed.now, bed.lastHandOver().attempt, AttemptFailure::NotSent);
    bed.kernel.onFailure(bed.now, bed.lastHandOver().attempt, AttemptFailure::NotSent);
    LONGS_EQUAL(0, bed.driver.sent.size());
    LONGS_EQUAL(1, bed.driver.rejected.size());
    CHECK(saysNotRun(bed.driver.rejected.front()));
}

/// Guards against a request being given up that was sent before the cut, over a connection that may live on, since it can't be sent a second time.
TEST(ARequestThatIsHandedOver, isLeftAtItsEndpointIfNoInstanceTakesIt)
{
    bed.unreachable.clear();
    std::erase_if(bed.entries, [](const EndpointEntry &entry) { return entry.id == "desk-b" || entry.id == "desk-c"; });
    bed.advance(Ms(800));
    bed.call("/read/x");
    const AttemptId open = bed.lastAttempt();
    bed.kernel.onInstances(bed.now, {{"one", "one:1", "zone-a", "one:2"}});
    bed.cutOff();
    bed.advance(Ms(200));
    AnswerHead head;
    head.status = 200;
    head.verified = true;
    bed.kernel.onAnswer(bed.now, open, head);
    LONGS_EQUAL(1, bed.driver.forwarded.size());
}

/// Guards against a stream losing or repeating an event when the instance that serves it fails.
TEST(ARequestThatIsHandedOver, goesOnAfterItsLastEvent)
{
    const std::size_t openBefore = bed.kernel.openCalls();
    bed.call("/stream/x");
    CHECK(bed.kernel.onEvent(bed.now, bed.lastHandOver().attempt, 1));
    CHECK(bed.kernel.onEvent(bed.now, bed.lastHandOver().attempt, 2));
    bed.kernel.onFailure(bed.now, bed.lastHandOver().attempt, AttemptFailure::Broken);
    LONGS_EQUAL(2, bed.driver.handOvers.size());
    STRCMP_EQUAL("2", bed.lastHandOver().lastEventId.c_str());
    CHECK(!bed.kernel.onEvent(bed.now, bed.lastHandOver().attempt, 2));
    CHECK(bed.kernel.onEvent(bed.now, bed.lastHandOver().attempt, 3));
    bed.kernel.onStreamEnd(bed.now, bed.lastHandOver().attempt);
    LONGS_EQUAL(1, bed.driver.endedStreams.size());
    LONGS_EQUAL(openBefore, bed.kernel.openCalls());
}

/// Guards against a stream waiting for an instance that has fallen silent.
TEST(ARequestThatIsHandedOver, isMovedIfItsStreamStandsStill)
{
    bed.call("/stream/x");
    CHECK(bed.kernel.onEvent(bed.now, bed.lastHandOver().attempt, 1));
    const AttemptId silent = bed.lastHandOver().attempt;
    bed.advance(Ms(1700));
    CHECK(bed.driver.wasCancelled(silent));
    LONGS_EQUAL(2, bed.driver.handOvers.size());
}

/// Guards against LOST (issue 44): a stream is taken from an instance that is silent for a while, although nothing else takes it.
TEST(ARequestThatIsHandedOver, staysWhereItIsIfNothingElseTakesItsStream)
{
    bed.kernel.onInstances(bed.now, {{"one", "one:1", "zone-a", "one:2"}, {"two", "two:1", "zone-a", "two:2"}});
    bed.call("/stream/x");
    CHECK(bed.kernel.onEvent(bed.now, bed.lastHandOver().attempt, 1));
    const AttemptId silent = bed.lastHandOver().attempt;
    bed.advance(Ms(1800));
    CHECK(!bed.driver.wasCancelled(silent));
    CHECK(bed.kernel.onEvent(bed.now, silent, 2));
    bed.kernel.onStreamEnd(bed.now, silent);
    LONGS_EQUAL(1, bed.driver.endedStreams.size());
}

/// Guards against a stream that is taken from an instance that is silent for a while, although its route permits no further run elsewhere.
TEST(ARequestThatIsHandedOver, staysWhereItIsIfItsRunsAreUsedUp)
{
    bed.kernel.onInstances(bed.now,
                           {{"one", "one:1", "zone-a", "one:2"},
                            {"two", "two:1", "zone-a", "two:2"},
                            {"three", "three:1", "zone-b", "three:2"},
                            {"four", "four:1", "zone-b", "four:2"}});
    bed.call("/stream/x");
    CHECK(bed.kernel.onEvent(bed.now, bed.lastHandOver().attempt, 1));
    bed.advance(Ms(1700));
    LONGS_EQUAL(2, bed.driver.handOvers.size());
    const AttemptId second = bed.lastHandOver().attempt;
    CHECK(bed.kernel.onEvent(bed.now, second, 2));
    bed.advance(Ms(1800));
    CHECK(!bed.driver.wasCancelled(second));
    CHECK(bed.driver.brokenStreams.empty());
    CHECK(bed.kernel.onEvent(bed.now, second, 3));
}

/// Guards against the limit on retries being used up by hand-overs, or passed by those that repeat a request that may have run.
TEST(ARequestThatIsHandedOver, countsAsARetryOnlyIfItMayRunTwice)
{
    const std::uint64_t before = bed.kernel.counters().retries;
    bed.call("/read/x");
    refuse(base::ErrorKind::Stopping);
    LONGS_EQUAL(2, bed.driver.handOvers.size());
    LONGS_EQUAL(before, bed.kernel.counters().retries);
    bed.advance(Ms(2100));
    bed.call("/stream/x");
    bed.kernel.onEvent(bed.now, bed.lastHandOver().attempt, 1);
    bed.kernel.onFailure(bed.now, bed.lastHandOver().attempt, AttemptFailure::Broken);
    LONGS_EQUAL(before + 1, bed.kernel.counters().retries);
    LONGS_EQUAL(1, bed.lastHandOver().runs);
}

/// Guards against an instance staying away from endpoints that it reaches again, and against open hand-overs being cut then.
TEST(ARequestThatIsHandedOver, endsThereAlthoughTheCutIsOver)
{
    bed.call("/stream/x");
    CHECK(bed.kernel.onEvent(bed.now, bed.lastHandOver().attempt, 1));
    bed.unreachable.clear();
    bed.advance(Ms(800));
    bed.call("/book/x");
    LONGS_EQUAL(1, bed.driver.handOvers.size());
    LONGS_EQUAL(1, bed.driver.sent.size());
    CHECK(bed.kernel.onEvent(bed.now, bed.lastHandOver().attempt, 2));
}

/// Guards against callers being sent to an instance that can't serve them in any way, and against one that can being taken out.
TEST(ARequestThatIsHandedOver, keepsItsInstanceReadyWhileAnotherOneTakesRequests)
{
    CHECK(bed.driver.ready);
    wire::RelayDigest digest;
    digest.reachesNoEndpoint = true;
    for (const char *other : {"two", "three"}) {
        digest.instance = other;
        bed.kernel.onPeerMessage(bed.now, digest);
    }
    bed.advance(Ms(100));
    CHECK(!bed.driver.ready);
    bed.call("/book/x");
    LONGS_EQUAL(0, bed.driver.handOvers.size());
    LONGS_EQUAL(1, bed.driver.rejected.size());
}

/// Guards against requests being handed over to instances of a version that takes none.
TEST(ARequestThatIsHandedOver, isNotSentToInstancesOfEarlierVersions)
{
    bed.kernel.onInstances(bed.now, {{"one", "one:1", "zone-a", "one:2"}, {"two", "two:1", "zone-a"}, {"three", "three:1", "zone-b", "three:2"}});
    for (int i = 0; i < 20; ++i) {
        bed.call("/book/x");
        STRCMP_EQUAL("three", bed.lastHandOver().instance.c_str());
    }
}

/// Guards against requests being handed over to an instance that has been rolled back to a version that takes none, and that leaves its newer process's entry
/// in the list of instances as it is.
TEST(ARequestThatIsHandedOver, isNotSentToAnInstanceThatHasBeenRolledBack)
{
    wire::RelayDigest digest;
    digest.instance = "two";
    digest.meshAddress = "two:1";
    digest.zone = "zone-a";
    bed.kernel.onPeerMessage(bed.now, digest);
    for (int i = 0; i < 20; ++i) {
        bed.call("/book/x");
        STRCMP_EQUAL("three", bed.lastHandOver().instance.c_str());
    }
    for (int i = 0; i < 20; ++i) {
        bed.listTakers();
        bed.call("/book/x");
        STRCMP_EQUAL("three", bed.lastHandOver().instance.c_str());
    }
    // It is upgraded again, and has read the configuration.
    digest.handOverAddress = "two:2";
    digest.configVersion = 1;
    bed.kernel.onPeerMessage(bed.now, digest);
    bed.kernel.onInstances(bed.now, {{"one", "one:1", "zone-a", "one:2"}, {"two", "two:1", "zone-a", "two:2"}});
    bed.call("/book/x");
    STRCMP_EQUAL("two", bed.lastHandOver().instance.c_str());
}

/// Guards against a stream that may be resumed being given up since the endpoints of one other instance have failed it, for instance as that one stops.
TEST(ARequestThatIsHandedOver, isResumedElsewhereIfAnInstanceHasBrokenItsStreamOff)
{
    const CallId stream = bed.call("/stream/x");
    refuse(base::ErrorKind::UpstreamBroken);
    LONGS_EQUAL(0, bed.driver.rejected.size());
    LONGS_EQUAL(2, bed.driver.handOvers.size());
    LONGS_EQUAL(1, bed.lastHandOver().runs);
    CHECK(bed.kernel.onEvent(bed.now, bed.lastHandOver().attempt, 1));
    bed.kernel.onStreamEnd(bed.now, bed.lastHandOver().attempt);
    LONGS_EQUAL(stream, bed.driver.endedStreams.back());
    // A request that may run once only is not sent again, nor called "not run".
    bed.call("/book/x");
    refuse(base::ErrorKind::UpstreamBroken);
    LONGS_EQUAL(3, bed.driver.handOvers.size());
    CHECK(!saysNotRun(bed.driver.rejected.back()));
}
