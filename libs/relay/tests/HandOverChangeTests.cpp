#include "CutOffBed.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// An instance that reaches no endpoint, and two others that take its requests, of which some have read a change of the configuration and some have not.
TEST_GROUP(AHandOverBesideAChange)
{
    CutOffBed bed;

    void setup() override
    {
        bed.listTakers();
        bed.cutOff();
    }

    /// Lets the instance with the last hand-over refuse it under that version of its configuration; 0 if it names none.
    void refuse(base::ErrorKind kind, std::uint64_t version = 0)
    {
        AnswerHead head;
        head.peerError = kind;
        head.peerConfigVersion = version;
        bed.kernel.onAnswer(bed.now, bed.lastHandOver().attempt, head);
    }

    void tellVersionOf(const std::string &instance, std::uint64_t version)
    {
        wire::RelayDigest digest;
        digest.instance = instance;
        digest.configVersion = version;
        bed.kernel.onPeerMessage(bed.now, digest);
    }

    base::ErrorKind lastRejection() const
    {
        return bed.driver.rejected.back().rejection.kind;
    }
};

/// Guards against a request whose sender knows a later configuration being judged or run by an earlier one.
TEST(AHandOverBesideAChange, isRefusedByAnInstanceThatIsBehindItsSender)
{
    RelayTestBed receiver;
    const auto handOver = [&](const std::string &path, const std::string &key, std::uint64_t version) {
        CallArrival arrival = receiver.nextArrival(path);
        arrival.keySha256 = key;
        arrival.isHandedOver = true;
        arrival.configVersion = version;
        receiver.kernel.onCall(receiver.now, arrival);
    };
    const int readsBefore = receiver.driver.configRefreshes;
    handOver("/new/x", "key-a", 2);
    handOver("/book/x", "key-new", 2);
    handOver("/book/x", "key-a", 2);
    handOver("/stream/x", "key-a", 2);
    LONGS_EQUAL(0, receiver.driver.sent.size());
    LONGS_EQUAL(4, receiver.driver.rejected.size());
    for (const FakeDriver::Rejected &rejected : receiver.driver.rejected) {
        CHECK(rejected.rejection.kind == base::ErrorKind::Unconfirmed);
    }
    CHECK(receiver.driver.configRefreshes > readsBefore);
    receiver.kernel.onConfig(receiver.now, receiver.now, RelayTestBed::config(2));
    handOver("/book/x", "key-a", 2);
    handOver("/stream/x", "key-a", 1);
    LONGS_EQUAL(2, receiver.driver.sent.size());
}

/// Guards against a request being judged by a configuration that is older than the one under which its sender has admitted it.
TEST(AHandOverBesideAChange, namesTheVersionOfItsSender)
{
    bed.kernel.onConfig(bed.now, bed.now, RelayTestBed::config(5));
    bed.call("/book/x");
    LONGS_EQUAL(5, bed.lastHandOver().configVersion);
}

/// Guards against a 401 or 404 for what the instance that the caller asked allows, from one of a version that names no configuration or an older one.
TEST(AHandOverBesideAChange, goesToAFurtherInstanceIfOneThatMayBeBehindKnowsNoRouteOrKey)
{
    for (const base::ErrorKind kind : {base::ErrorKind::UnknownRoute, base::ErrorKind::Unauthenticated}) {
        const std::size_t before = bed.driver.handOvers.size();
        bed.call("/book/x");
        refuse(kind);
        LONGS_EQUAL(before + 2, bed.driver.handOvers.size());
        refuse(kind);
        CHECK(lastRejection() == base::ErrorKind::Unconfirmed);
        bed.advance(Ms(2100));
    }
}

/// Guards against a request being retried for nothing whose route or key was dropped by a configuration that its sender hasn't read yet.
TEST(AHandOverBesideAChange, endsAsALaterConfigurationSays)
{
    bed.call("/book/x");
    refuse(base::ErrorKind::UnknownRoute, 2);
    LONGS_EQUAL(1, bed.driver.handOvers.size());
    CHECK(lastRejection() == base::ErrorKind::UnknownRoute);
}

/// Guards against a request being run by an earlier configuration at an instance of a version that doesn't look at the sender's.
TEST(AHandOverBesideAChange, isNotSentToAnInstanceThatIsKnownToBeBehind)
{
    bed.kernel.onConfig(bed.now, bed.now, RelayTestBed::config(2));
    tellVersionOf("two", 1);
    tellVersionOf("three", 2);
    for (int i = 0; i < 20; ++i) {
        bed.call("/book/x");
        STRCMP_EQUAL("three", bed.lastHandOver().instance.c_str());
    }
    tellVersionOf("two", 2);
    bool isUsed = false;
    for (int i = 0; i < 20; ++i) {
        bed.call("/book/x");
        isUsed = isUsed || bed.lastHandOver().instance == "two";
    }
    CHECK(isUsed);
}

/// Guards against callers being turned away for seconds since the others were behind for some milliseconds.
TEST(AHandOverBesideAChange, isTriedAgainSoonAtThoseThatWereBehind)
{
    bed.call("/book/x");
    refuse(base::ErrorKind::Unconfirmed, 0);
    refuse(base::ErrorKind::Unconfirmed, 0);
    CHECK(lastRejection() == base::ErrorKind::Unconfirmed);
    const std::size_t before = bed.driver.handOvers.size();
    bed.advance(Ms(300));
    bed.call("/book/x");
    LONGS_EQUAL(before + 1, bed.driver.handOvers.size());
}

/// Guards against a stream being broken off since no instance takes it at this moment, although its caller waits for seconds.
TEST(AHandOverBesideAChange, waitsIfItIsAStreamThatNobodyTakesNow)
{
    for (const base::ErrorKind kind : {base::ErrorKind::Unconfirmed, base::ErrorKind::NoEndpoint, base::ErrorKind::Stopping}) {
        const CallId stream = bed.call("/stream/x");
        CHECK(bed.kernel.onEvent(bed.now, bed.lastHandOver().attempt, 1));
        bed.kernel.onFailure(bed.now, bed.lastHandOver().attempt, AttemptFailure::Broken);
        refuse(kind);
        CHECK(bed.driver.brokenStreams.empty());
        bed.unreachable.clear();
        bed.advance(Ms(900));
        CHECK(bed.driver.brokenStreams.empty());
        LONGS_EQUAL(stream, bed.driver.sent.back().call);
        CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 2));
        bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
        LONGS_EQUAL(stream, bed.driver.endedStreams.back());
        bed.advance(Ms(2100));
        bed.cutOff();
    }
}
