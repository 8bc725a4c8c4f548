#include "FakeDriver.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace relay;

namespace {

constexpr std::uint32_t Layers = 80;

wire::RelayDigest digestOf(const std::string &instance)
{
    wire::RelayDigest digest;
    digest.instance = instance;
    digest.countedInstances = 1;
    return digest;
}

} // namespace

/// The instances of one zone learn of the load of the endpoints from the same digests. Until the next ones, a burst reaches them all.
TEST_GROUP(InstancesWithTheSameKnowledge)
{
    static constexpr int InstanceCount = 40;
    static constexpr int HoldersPerHalf = 10;

    /// Sends one request through each of the instances and returns how many of them pass through each endpoint as the first stage.
    std::map<std::string, int> sendThroughAll()
    {
        std::map<std::string, int> requests;
        for (int i = 0; i < InstanceCount; ++i) {
            FakeDriver driver;
            RelaySettings settings = RelayTestBed::settings();
            settings.seed = static_cast<std::uint64_t>(i);
            RelayKernel kernel(settings, driver);
            const Instant now{std::chrono::seconds(100)};
            kernel.onConfig(now, now, RelayTestBed::config(1));
            kernel.onEndpoints(now, equalHolders(), {0, 1});
            for (int peer = 0; peer < InstanceCount - 1; ++peer) {
                kernel.onPeerMessage(now, digestOf("peer-" + std::to_string(peer)));
            }
            CallArrival arrival;
            arrival.call = 1;
            arrival.requestId = "request";
            arrival.host = "api.example";
            arrival.path = "/stream/x";
            arrival.keySha256 = "key-a";
            arrival.timeLimit = Ms(20000);
            arrival.promptTokens = 500;
            arrival.answerTokens = 100;
            kernel.onCall(now, arrival);
            ++requests[driver.sent.back().endpoint];
        }
        return requests;
    }

    static std::vector<EndpointEntry> equalHolders()
    {
        std::vector<EndpointEntry> entries;
        for (int i = 0; i < HoldersPerHalf; ++i) {
            entries.push_back(RelayTestBed::engineEntry("low-" + std::to_string(i), "zone-a", {0, RelayTestBed::HalfLayers}));
            entries.push_back(RelayTestBed::engineEntry("high-" + std::to_string(i), "zone-a", {RelayTestBed::HalfLayers, Layers}));
        }
        return entries;
    }
};

/// If each instance took the endpoint that looks best, all would take the same one.
TEST(InstancesWithTheSameKnowledge, spreadABurstOverEqualEndpoints)
{
    const std::map<std::string, int> requests = sendThroughAll();
    CHECK(requests.size() >= HoldersPerHalf - 2);
    for (const auto &[endpoint, count] : requests) {
        CHECK(count <= 3 * InstanceCount / HoldersPerHalf);
    }
}

/// The other instances report prompts that wait on all endpoints, more than callers can wait for.
TEST_GROUP(AnInstanceThatPredictsALongWait)
{
    RelayTestBed bed;

    /// Takes a digest by which that many prompt tokens wait on each endpoint.
    void reportPendingPrefill(std::uint64_t tokens)
    {
        wire::RelayDigest digest = digestOf("two");
        for (const EndpointEntry &entry : bed.entries) {
            if (!entry.layers.empty()) {
                digest.loads.push_back({wire::endpointHash(entry.id), 1, 0, tokens});
            }
        }
        bed.kernel.onPeerMessage(bed.now, digest);
    }
};

TEST(AnInstanceThatPredictsALongWait, rejectsANewStreamAtOnceWithTheTimeToReturn)
{
    constexpr std::uint64_t WaitingTokens = 400000;
    reportPendingPrefill(WaitingTokens);
    bed.call("/stream/x");
    LONGS_EQUAL(0, bed.driver.sent.size());
    LONGS_EQUAL(1, bed.driver.rejected.size());
    const Rejection rejection = bed.driver.rejected.back().rejection;
    CHECK(rejection.kind == base::ErrorKind::Overloaded);
    CHECK(base::errorAnswer(rejection.kind).ran == base::HasRun::No);
    // Half of the model reads 200 prompt tokens a millisecond: there is room again after nearly 2,000 ms, and the callers return within as much time
    // after that.
    CHECK(rejection.retryAfter >= Ms(2000));
    CHECK(rejection.retryAfter <= Ms(5000));
    // Once the load is gone the caller is served.
    reportPendingPrefill(0);
    bed.call("/stream/x");
    LONGS_EQUAL(1, bed.driver.sent.size());
}

/// What counts is the time that others take, so that long prompts are not rejected more often than short ones.
TEST(AnInstanceThatPredictsALongWait, treatsPromptsOfAllSizesAlike)
{
    const auto isAdmitted = [&](std::uint64_t waitingTokens, std::uint32_t promptTokens) {
        const std::size_t before = bed.driver.sent.size();
        reportPendingPrefill(waitingTokens);
        CallArrival arrival;
        arrival.call = ++bed.lastCall;
        arrival.requestId = "request-" + std::to_string(bed.lastCall);
        arrival.host = "api.example";
        arrival.path = "/stream/x";
        arrival.keySha256 = "key-a";
        arrival.timeLimit = Ms(20000);
        arrival.promptTokens = promptTokens;
        arrival.answerTokens = 100;
        arrival.fingerprint = bed.lastCall;
        bed.kernel.onCall(bed.now, arrival);
        return bed.driver.sent.size() > before;
    };
    constexpr std::uint32_t ShortPrompt = 50;
    constexpr std::uint32_t LongPrompt = 40000;
    CHECK(isAdmitted(10000, ShortPrompt));
    CHECK(!isAdmitted(300000, ShortPrompt));
    CHECK(isAdmitted(10000, LongPrompt));
    CHECK(!isAdmitted(300000, LongPrompt));
}

TEST(AnInstanceThatPredictsALongWait, goesOnWithStreamsThatHaveBegun)
{
    const CallId stream = bed.startStream(3);
    reportPendingPrefill(400000);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    LONGS_EQUAL(2, bed.driver.sent.size());
    LONGS_EQUAL(stream, bed.driver.sent.back().call);
    LONGS_EQUAL(0, bed.driver.rejected.size());
}

/// An endpoint answers every stream with an error at once. Without load, it looks better than all others.
TEST_GROUP(AnEndpointThatFailsItsStreams)
{
    static constexpr int InternalError = 500;

    RelayTestBed bed;

    /// Answers the latest attempt with an error that bears the endpoint's mark.
    void answerWithError()
    {
        AnswerHead head;
        head.status = InternalError;
        head.verified = true;
        bed.kernel.onAnswer(bed.now, bed.lastAttempt(), head);
    }
};

TEST(AnEndpointThatFailsItsStreams, hasItsStreamsRetriedElsewhere)
{
    const CallId stream = bed.call("/stream/x");
    const std::string failing = bed.driver.sent.back().endpoint;
    answerWithError();
    LONGS_EQUAL(2, bed.driver.sent.size());
    LONGS_EQUAL(stream, bed.driver.sent.back().call);
    CHECK(bed.driver.sent.back().endpoint != failing);
    // The route permits two attempts, so the second error goes to the caller.
    answerWithError();
    LONGS_EQUAL(2, bed.driver.sent.size());
    LONGS_EQUAL(1, bed.driver.forwarded.size());
}

TEST(AnEndpointThatFailsItsStreams, getsHardlyAnyFurtherOnes)
{
    const std::string failing = "low-a";
    int sentThere = 0;
    constexpr int Streams = 40;
    for (int i = 0; i < Streams; ++i) {
        bed.call("/stream/x");
        if (bed.driver.sent.back().endpoint == failing) {
            ++sentThere;
            answerWithError();
        }
        bed.kernel.onEvent(bed.now, bed.lastAttempt(), 1);
        bed.kernel.onStreamEnd(bed.now, bed.lastAttempt());
        bed.advance(Ms(50));
    }
    CHECK(sentThere <= 3);
}

TEST(AnEndpointThatFailsItsStreams, isAvoidedByInstancesThatGetItsFailuresByDigest)
{
    wire::RelayDigest digest = digestOf("two");
    digest.failing.push_back({wire::endpointHash("low-a"), 10, 10});
    bed.kernel.onPeerMessage(bed.now, digest);
    bed.call("/stream/x");
    STRCMP_EQUAL("low-b", bed.driver.sent.back().endpoint.c_str());
}
