#include "CutOffBed.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// A stream that has not begun, at a first stage that falls silent while others report that requests like it have crashed three endpoints. It must not be sent
/// to another endpoint.
TEST_GROUP(ABarredStreamThatHasNotBegun)
{
    static constexpr std::uint64_t Fingerprint = 4711;
    CutOffBed bed;
    AttemptId attempt = 0;

    void setup() override
    {
        bed.call("/stream/x", "key-a", Ms(20000), Fingerprint);
        attempt = bed.lastAttempt();
        const std::string first = bed.driver.sent.back().endpoint;
        wire::RelayDigest digest;
        digest.instance = "two";
        digest.crashReports = {{Fingerprint, 1}, {Fingerprint, 2}, {Fingerprint, 3}};
        bed.kernel.onPeerMessage(bed.now, digest);
        LONGS_EQUAL(1, bed.kernel.quarantine(bed.now).size());
        bed.advance(Ms(300));
        bed.kernel.onReport(bed.now, first, std::nullopt);
        bed.advance(Ms(300));
    }
};

/// Guards against a sound stream being given up for what others have met: its endpoint may be silent for a second and go on.
TEST(ABarredStreamThatHasNotBegun, goesOnIfItsEndpointDoes)
{
    CHECK(!bed.driver.wasCancelled(attempt));
    LONGS_EQUAL(0, bed.driver.rejected.size());
    CHECK(bed.kernel.onEvent(bed.now, attempt, 1));
    bed.kernel.onStreamEnd(bed.now, attempt);
    LONGS_EQUAL(1, bed.driver.endedStreams.size());
}

/// Guards against a request that crashes endpoints being sent to the next one, and against its caller being told that it has not run.
TEST(ABarredStreamThatHasNotBegun, isNotSentAgainIfItsConnectionBreaks)
{
    bed.kernel.onFailure(bed.now, attempt, AttemptFailure::Broken);
    bed.advance(Ms(1000));
    LONGS_EQUAL(1, bed.driver.sent.size());
    LONGS_EQUAL(1, bed.driver.rejected.size());
    CHECK(base::errorAnswer(bed.driver.rejected.front().rejection.kind).ran != base::HasRun::No);
}
