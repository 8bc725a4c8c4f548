#include "InstanceFleet.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

namespace {

/// Time in which what one instance has learned must be in use at all others.
constexpr Ms SpreadTime{3000};
/// Requests with a fatal part that may still be sent after that time.
constexpr std::size_t MaxLateRequests = 3;

} // namespace

/// Requests that share a prompt part on which endpoints crash, and nothing else that sound requests don't have, arrive at all instances.
TEST_GROUP(APromptPartThatCrashesEndpoints)
{
    /// Parts of sound requests, a few of which are under way at any time.
    static constexpr std::uint64_t SoundParts = 20;
    std::uint64_t step = 0;

    /// Sends a sound request through each instance in each step, and one with the fatal part through a changing instance in each twentieth.
    void sendRequests(InstanceFleet & fleet)
    {
        constexpr std::uint64_t FatalPeriod = 20;
        ++step;
        for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
            fleet.request(i, 100 + (step * 7 + i) % SoundParts);
        }
        if (step % FatalPeriod == 0) {
            fleet.request((step / FatalPeriod) % fleet.instances.size(), InstanceFleet::FatalPart);
        }
    }

    std::size_t soundBegunSince(const InstanceFleet &fleet, Instant since) const
    {
        std::size_t begun = 0;
        for (std::uint64_t part = 100; part < 100 + SoundParts; ++part) {
            begun += fleet.begunSince(part, since);
        }
        return begun;
    }
};

/// Guards against requests that share only a prompt part crashing endpoints one after the other.
TEST(APromptPartThatCrashesEndpoints, isRejectedEverywhereAfterFiveCrashes)
{
    InstanceFleet fleet(3);
    fleet.advance(Ms(30000), [&]() { sendRequests(fleet); });
    CHECK(fleet.fatalCrash(1).has_value());
    const auto fifth = fleet.fatalCrash(5);
    if (fifth) {
        CHECK(fleet.sentSince(InstanceFleet::FatalPart, *fifth + SpreadTime) <= MaxLateRequests);
    }
}

/// Guards against a retry that was granted before the conviction, and that waits for a pipeline, being sent after it.
TEST(APromptPartThatCrashesEndpoints, isNotSentAgainByARetryThatHasWaited)
{
    RelayTestBed bed;
    constexpr std::uint64_t Fingerprint = 5;
    const auto drainOtherHolder = [&](bool draining) {
        for (EndpointEntry &entry : bed.entries) {
            entry.draining = draining && entry.id != bed.driver.sent.back().endpoint && entry.layers.first == 0 && !entry.layers.empty();
        }
        bed.advance(Ms(50));
    };
    bed.call("/stream/x", "key-a", Ms(20000), Fingerprint);
    drainOtherHolder(true);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    bed.advance(Ms(200));
    LONGS_EQUAL(1, bed.driver.sent.size());
    wire::RelayDigest digest;
    digest.instance = "two";
    digest.crashReports = {{Fingerprint, 1, Ms(0)}, {Fingerprint, 2, Ms(0)}, {Fingerprint, 3, Ms(0)}};
    bed.kernel.onPeerMessage(bed.now, digest);
    drainOtherHolder(false);
    bed.advance(Ms(1000));
    LONGS_EQUAL(1, bed.driver.sent.size());
}

/// Guards against a part being convicted together with the fatal one because only requests with both came since, although it was sound all the time before.
TEST(APromptPartThatCrashesEndpoints, isConvictedInPlaceOfASoundOneThatPrecedesIt)
{
    constexpr std::uint64_t RarePart = 50;
    InstanceFleet fleet(3);
    for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
        fleet.request(i, RarePart);
    }
    fleet.advance(Ms(1000));
    int requests = 0;
    fleet.advance(Ms(2000), [&]() {
        if (++requests % 8 == 0) {
            fleet.request(static_cast<std::size_t>(requests / 8) % 3, InstanceFleet::FatalPart, 0, RarePart);
        }
    });
    const Instant convictedAt = fleet.now;
    for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
        fleet.request(i, InstanceFleet::FatalPart, 0, RarePart);
        LONGS_EQUAL(0, fleet.sentSince(InstanceFleet::FatalPart, convictedAt));
        fleet.request(i, RarePart);
    }
    fleet.advance(Ms(500));
    LONGS_EQUAL(3, fleet.sentSince(RarePart, convictedAt));
}

/// Guards against streams that had begun, and move to another endpoint, being blamed for its crash.
TEST(APromptPartThatCrashesEndpoints, isNotBlamedOnStreamsThatHaveBegun)
{
    RelayTestBed bed;
    constexpr std::uint64_t Fingerprint = 5;
    bed.call("/stream/x", "key-a", Ms(20000), Fingerprint);
    CHECK(bed.kernel.onEvent(bed.now, bed.lastAttempt(), 1));
    const std::string lost = bed.driver.sent.back().endpoint;
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    const std::string second = bed.driver.sent.back().endpoint;
    CHECK(second != lost);
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    bed.kernel.onReport(bed.now, lost, std::nullopt);
    bed.kernel.onReport(bed.now, second, std::nullopt);
    bed.advance(Ms(1000));
    std::size_t reported = 0;
    for (const wire::RelayDigest &digest : bed.driver.digests) {
        reported += digest.crashReports.size();
    }
    LONGS_EQUAL(0, reported);
}

/// Guards against an instance that is started after the crashes sending what the others have learned to reject.
TEST(APromptPartThatCrashesEndpoints, isRejectedByAnInstanceThatStartsLater)
{
    InstanceFleet fleet(3);
    fleet.advance(Ms(4000), [&]() { sendRequests(fleet); });
    fleet.restart(0);
    const std::size_t late = fleet.addInstance();
    fleet.advance(SpreadTime, [&]() { sendRequests(fleet); });
    const Instant since = fleet.now;
    constexpr int Requests = 10;
    for (int i = 0; i < Requests; ++i) {
        fleet.request(0, InstanceFleet::FatalPart);
        fleet.request(late, InstanceFleet::FatalPart);
    }
    CHECK(fleet.sentSince(InstanceFleet::FatalPart, since) <= 1);
}

/// Guards against a joint restart of all instances forgetting what they reject, so that it crashes its endpoints from the beginning.
TEST(APromptPartThatCrashesEndpoints, isRejectedAfterAllInstancesHaveRestarted)
{
    InstanceFleet fleet(3);
    fleet.advance(Ms(4000), [&]() { sendRequests(fleet); });
    for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
        fleet.restart(i);
    }
    const Instant since = fleet.now;
    fleet.advance(Ms(1000), [&]() { sendRequests(fleet); });
    for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
        fleet.request(i, InstanceFleet::FatalPart);
    }
    fleet.advance(Ms(1000));
    CHECK(fleet.sentSince(InstanceFleet::FatalPart, since) <= 1);
}

/// Guards against a quarantine that has ended coming back from the store with a restart.
TEST(APromptPartThatCrashesEndpoints, isServedAfterARestartOnceAnOperatorHasLiftedItsQuarantine)
{
    InstanceFleet fleet(3);
    fleet.advance(Ms(4000), [&]() { sendRequests(fleet); });
    LONGS_EQUAL(1, fleet.storedQuarantines());
    // The instance that wrote the record has gone, too.
    for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
        fleet.restart(i);
    }
    fleet.advance(Ms(500));
    CHECK(fleet.instances[1]->kernel->liftQuarantine(fleet.now, InstanceFleet::FatalPart));
    fleet.advance(Ms(500));
    LONGS_EQUAL(0, fleet.storedQuarantines());
    fleet.restart(0);
    fleet.advance(Ms(500));
    LONGS_EQUAL(0, fleet.instances[0]->kernel->quarantine(fleet.now).size());
}

/// Guards against an instance that was cut off from the others during the crashes going on with what they have learned to reject.
TEST(APromptPartThatCrashesEndpoints, isRejectedByAnInstanceThatWasCutOff)
{
    InstanceFleet fleet(3);
    fleet.instances[0]->isCutOff = true;
    fleet.advance(Ms(4000), [&]() {
        for (std::size_t i = 1; i < fleet.instances.size(); ++i) {
            fleet.request(i, 100 + (++step % SoundParts));
        }
        if (step % 25 == 0) {
            fleet.request(1 + (step / 25) % 2, InstanceFleet::FatalPart);
        }
    });
    CHECK(fleet.fatalCrash(3).has_value());
    fleet.instances[0]->isCutOff = false;
    fleet.advance(SpreadTime, [&]() { fleet.request(0, 100 + (++step % SoundParts)); });
    const Instant since = fleet.now;
    constexpr int Requests = 10;
    for (int i = 0; i < Requests; ++i) {
        fleet.request(0, InstanceFleet::FatalPart);
    }
    CHECK(fleet.sentSince(InstanceFleet::FatalPart, since) <= 1);
}

/// Guards against evidence getting lost on its way through the aggregators of a fleet that is too large for a full mesh.
TEST(APromptPartThatCrashesEndpoints, isRejectedEverywhereInALargeFleet)
{
    constexpr std::size_t Instances = 40;
    InstanceFleet fleet(Instances);
    fleet.advance(Ms(20000), [&]() {
        ++step;
        fleet.request(step % Instances, 100 + step % SoundParts);
        if (step % 16 == 0) {
            fleet.request((step / 16) % Instances, InstanceFleet::FatalPart);
        }
    });
    const auto fifth = fleet.fatalCrash(5);
    if (fifth) {
        CHECK(fleet.sentSince(InstanceFleet::FatalPart, *fifth + SpreadTime) <= MaxLateRequests);
    }
    // Sound requests go on everywhere.
    CHECK(soundBegunSince(fleet, fleet.now - Ms(5000)) >= static_cast<std::size_t>(Ms(5000) / InstanceFleet::Step) * 9 / 10);
}

/// Guards against evidence waiting at the aggregators of a large fleet for its next repetition.
TEST(APromptPartThatCrashesEndpoints, isRejectedWithinASecondInALargeFleet)
{
    constexpr std::size_t Instances = 40;
    InstanceFleet fleet(Instances);
    fleet.advance(Ms(6000), [&]() {
        ++step;
        fleet.request(step % Instances, 100 + step % SoundParts);
        if (step % 4 == 0) {
            fleet.request((step / 4) % Instances, InstanceFleet::FatalPart);
        }
    });
    const auto third = fleet.fatalCrash(3);
    CHECK(third.has_value());
    LONGS_EQUAL(0, fleet.sentSince(InstanceFleet::FatalPart, *third + Ms(1000)) - fleet.sentSince(InstanceFleet::FatalPart, *third + Ms(2000)));
}

/// Guards against a part that crashes endpoints only in some of its runs being rejected for good, and against it crashing endpoints without limit: its good
/// runs acquit it, and three crashes in a row convict it again.
TEST(APromptPartThatCrashesEndpoints, isRejectedForATimeIfItCrashesThemNowAndThen)
{
    InstanceFleet fleet(3);
    fleet.runsPerCrash = 3;
    fleet.advance(Ms(20000), [&]() { sendRequests(fleet); });
    CHECK(fleet.begunSince(InstanceFleet::FatalPart, fleet.now - Ms(10000)) > 0);
    CHECK(soundBegunSince(fleet, fleet.now - Ms(10000)) >= static_cast<std::size_t>(Ms(10000) / InstanceFleet::Step));
}
