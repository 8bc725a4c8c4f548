#include "FakeDriver.h"

#include "base/Hash.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// One request crashes each plain endpoint that runs it, and its caller sends it again.
TEST_GROUP(ARequestThatCrashesPlainEndpoints)
{
    static constexpr std::uint64_t Fingerprint = 777;
    /// Time from a crash until the endpoint's entry is no longer listed, and until its successor is.
    static constexpr Ms EntryLifetime{3000};

    RelayTestBed bed;
    int successors = 0;

    /// Sends the request and lets its endpoint crash; returns the endpoint's id.
    std::string crashOne()
    {
        bed.call("/book/x", "key-a", Ms(1000), Fingerprint);
        std::string endpoint = bed.driver.sent.back().endpoint;
        bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
        return endpoint;
    }

    /// Lists a new process under an id and an address of its own in place of that endpoint.
    void replace(const std::string &endpoint)
    {
        std::erase_if(bed.entries, [&](const EndpointEntry &entry) { return entry.id == endpoint; });
        bed.entries.push_back(RelayTestBed::deskEntry("successor-" + std::to_string(++successors), "zone-a"));
    }
};

/// Guards against endpoints crashing while the list that would show it is late or the store is away: nothing is found at their addresses.
TEST(ARequestThatCrashesPlainEndpoints, isRejectedWhileTheListIsLate)
{
    for (int i = 0; i < 3; ++i) {
        const std::string endpoint = crashOne();
        STRCMP_EQUAL(endpoint.c_str(), bed.driver.checks.back().c_str());
        bed.unreachable.insert(endpoint);
        bed.advance(Ms(300), false);
    }
    bed.call("/book/x", "key-a", Ms(1000), Fingerprint);
    LONGS_EQUAL(3, bed.driver.sent.size());
}

/// Guards against a crash behind a silent connection that nobody is blamed for: the request waits until its time is up, or its caller leaves.
TEST(ARequestThatCrashesPlainEndpoints, isRejectedIfItsConnectionsHangWhileTheEndpointsCrash)
{
    for (int i = 0; i < 3; ++i) {
        const CallId call = bed.call("/book/x", "key-a", Ms(1000), Fingerprint);
        const std::string endpoint = bed.driver.sent.back().endpoint;
        bed.advance(Ms(500));
        if (i % 2 == 0) {
            bed.kernel.onCallerGone(bed.now, call);
        }
        bed.advance(Ms(700));
        replace(endpoint);
        bed.advance(Ms(500));
    }
    bed.call("/book/x", "key-a", Ms(1000), Fingerprint);
    LONGS_EQUAL(3, bed.driver.sent.size());
}

/// Guards against a request being blamed for connections that break although the endpoints live on.
TEST(ARequestThatCrashesPlainEndpoints, isNotMistakenForOneWhoseEndpointsAnswerAfterwards)
{
    for (int i = 0; i < 3; ++i) {
        crashOne();
        bed.advance(Ms(300));
    }
    bed.advance(Ms(10000));
    bed.call("/book/x", "key-a", Ms(1000), Fingerprint);
    LONGS_EQUAL(4, bed.driver.sent.size());
}

/// Guards against a verdict that stands although its endpoints turn out to have been out of reach only.
TEST(ARequestThatCrashesPlainEndpoints, isNotMistakenForOneWhoseEndpointsWereOutOfReach)
{
    for (int i = 0; i < 3; ++i) {
        bed.unreachable.insert(crashOne());
        bed.advance(Ms(300));
    }
    bed.advance(Ms(1500));
    bed.call("/book/x", "key-a", Ms(1000), Fingerprint);
    LONGS_EQUAL(3, bed.driver.sent.size());
    bed.unreachable.clear();
    bed.advance(Ms(5000));
    bed.call("/book/x", "key-a", Ms(1000), Fingerprint);
    LONGS_EQUAL(4, bed.driver.sent.size());
}

/// Guards against a verdict being forgotten for want of room, and against the process ending since its evidence is gone: its last crash is old because it
/// works, and other suspicions are many while an instance is cut off.
TEST(ARequestThatCrashesPlainEndpoints, staysRejectedWhileThousandsOfOtherRequestsAreSuspected)
{
    constexpr std::uint64_t Others = 3000;
    wire::RelayDigest digest;
    digest.instance = "two";
    digest.crashReports = {{Fingerprint, 1, Ms(0)}, {Fingerprint, 2, Ms(0)}, {Fingerprint, 3, Ms(0)}};
    bed.kernel.onPeerMessage(bed.now, digest);
    for (std::uint64_t i = 0; i < Others; ++i) {
        digest.crashReports = {{10'000 + i, 100 + i % 8, Ms(0)}};
        bed.now += Ms(1);
        bed.kernel.onPeerMessage(bed.now, digest);
    }
    try {
        bed.advance(Ms(500));
    } catch (const std::out_of_range &) {
        FAIL("a verdict names evidence that has been dropped");
    }
    bed.call("/book/x", "key-a", Ms(1000), Fingerprint);
    LONGS_EQUAL(0, bed.driver.sent.size());
}

/// Guards against a wrong crash that is taken back covering up the true one of the same process: the request was under way when the endpoint was out of reach.
TEST(ARequestThatCrashesPlainEndpoints, isRejectedAlthoughItWasWronglyBlamedBefore)
{
    for (int i = 0; i < 3; ++i) {
        bed.unreachable.insert(crashOne());
        bed.advance(Ms(500));
        bed.unreachable.clear();
        bed.advance(Ms(5000));
    }
    for (int i = 0; i < 3; ++i) {
        bed.unreachable.insert(crashOne());
        bed.advance(Ms(500));
    }
    LONGS_EQUAL(6, bed.driver.sent.size());
    bed.call("/book/x", "key-a", Ms(1000), Fingerprint);
    LONGS_EQUAL(6, bed.driver.sent.size());
}

/// Guards against a request crashing one plain endpoint after the other, since no crash of an endpoint that comes back under another id is ever confirmed.
TEST(ARequestThatCrashesPlainEndpoints, isRejectedAfterThreeOfThemThatComeBackUnderNewIds)
{
    for (int i = 0; i < 3; ++i) {
        const std::string endpoint = crashOne();
        bed.advance(EntryLifetime);
        replace(endpoint);
        bed.advance(Ms(1000));
    }
    LONGS_EQUAL(3, bed.driver.sent.size());
    bed.call("/book/x", "key-a", Ms(1000), Fingerprint);
    LONGS_EQUAL(3, bed.driver.sent.size());
}

/// Another instance, which is cut off from some endpoints only, infers that they have crashed on a request, and says so.
TEST_GROUP(AnInstanceThatHearsOfCrashes)
{
    static constexpr std::uint64_t Fingerprint = 777;

    RelayTestBed bed;

    void receiveCrashReports()
    {
        wire::RelayDigest digest;
        digest.instance = "two";
        std::uint64_t inference = 90;
        for (const char *desk : {"desk-a", "desk-b", "desk-c"}) {
            digest.crashReports.push_back({Fingerprint, base::mixBits(base::hashOf(desk) ^ 1), Ms(0), ++inference});
        }
        bed.kernel.onPeerMessage(bed.now, digest);
    }
};

/// Guards against sound requests being rejected everywhere because one instance has lost its way to some endpoints.
TEST(AnInstanceThatHearsOfCrashes, rejectsNoRequestIfTheEndpointsAnswerIt)
{
    receiveCrashReports();
    bed.advance(Ms(200));
    bed.call("/book/x", "key-a", Ms(1000), Fingerprint);
    LONGS_EQUAL(1, bed.driver.sent.size());
}

/// Guards against true evidence being doubted for long.
TEST(AnInstanceThatHearsOfCrashes, rejectsTheRequestIfNothingIsFoundThere)
{
    bed.unreachable = {"desk-a", "desk-b", "desk-c"};
    receiveCrashReports();
    bed.advance(Ms(200));
    bed.call("/book/x", "key-a", Ms(1000), Fingerprint);
    LONGS_EQUAL(0, bed.driver.sent.size());
}

/// All endpoints leave an instance unanswered, while it reaches the store and the other instances.
TEST_GROUP(AnInstanceThatReachesNoEndpoint)
{
    RelayTestBed bed;
    std::size_t answeredReports = 0;

    /// Lets time pass in which nothing that the instance asks of endpoints is answered.
    void advance(Ms duration)
    {
        for (const EndpointEntry &entry : bed.entries) {
            bed.unreachable.insert(entry.id);
        }
        constexpr Ms Step{50};
        for (Ms elapsed{0}; elapsed < duration; elapsed += Step) {
            for (; answeredReports < bed.driver.reportRequests.size(); ++answeredReports) {
                bed.kernel.onReport(bed.now, bed.driver.reportRequests[answeredReports], std::nullopt);
            }
            bed.advance(Step);
        }
    }

    std::size_t reportedCrashes() const
    {
        std::size_t reported = 0;
        for (const wire::RelayDigest &digest : bed.driver.digests) {
            reported += digest.crashReports.size();
        }
        return reported;
    }
};

/// Guards against an instance that is cut off from endpoints making evidence out of its own cut, which the others would reject sound requests for.
TEST(AnInstanceThatReachesNoEndpoint, blamesNoRequestForThat)
{
    for (std::uint64_t i = 0; i < 20; ++i) {
        bed.call(i % 2 == 0 ? "/book/x" : "/stream/x", "key-a", Ms(1000), 777 + i % 2);
        if (bed.driver.sent.size() > i / 2) {
            bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
        }
        advance(Ms(200));
    }
    LONGS_EQUAL(0, reportedCrashes());
    LONGS_EQUAL(0, bed.kernel.quarantine(bed.now).size());
}
