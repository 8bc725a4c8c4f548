#include "InstanceFleet.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

namespace {

/// Time in which what one instance has learned must be in use at all others.
constexpr Ms SpreadTime{3000};

} // namespace

/// One kind of request that most callers send; its endpoints crash from outside now and then.
TEST_GROUP(ASoundRequestThatWasThereAtCrashes)
{
    static constexpr std::uint64_t Fingerprint = 777;
    static constexpr std::uint64_t SoundPart = 100;

    static void sendEverywhere(InstanceFleet & fleet)
    {
        for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
            fleet.request(i, SoundPart, Fingerprint);
        }
    }
};

/// Guards against an instance that goes on rejecting a kind of request which all others serve.
TEST(ASoundRequestThatWasThereAtCrashes, isServedByAnInstanceThatHasThreeReportsOnceTheOthersServeIt)
{
    InstanceFleet fleet(3);
    fleet.report(0, Fingerprint, {1, 2, 3});
    fleet.advance(Ms(10000), [&]() { sendEverywhere(fleet); });
    LONGS_EQUAL(0, fleet.quarantinedSince(0, fleet.now - (Ms(10000) - SpreadTime)));
}

/// Guards against instances, the restarted and the new ones included, keeping what the others know to be refuted.
TEST(ASoundRequestThatWasThereAtCrashes, isServedByInstancesThatStartLater)
{
    InstanceFleet fleet(3);
    fleet.advance(Ms(500), [&]() { sendEverywhere(fleet); });
    for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
        fleet.report(i, Fingerprint, {1, 2, 3});
    }
    fleet.advance(SpreadTime, [&]() { sendEverywhere(fleet); });
    fleet.restart(1);
    const std::size_t late = fleet.addInstance();
    const Instant since = fleet.now;
    fleet.advance(Ms(2000), [&]() { sendEverywhere(fleet); });
    LONGS_EQUAL(0, fleet.quarantinedSince(1, since));
    LONGS_EQUAL(0, fleet.quarantinedSince(late, since));
}

/// Guards against an instance that was cut off, and convicts a request alone, going on with it or convincing the others.
TEST(ASoundRequestThatWasThereAtCrashes, isServedByAnInstanceThatWasCutOffOnceItIsBack)
{
    InstanceFleet fleet(3);
    fleet.instances[0]->isCutOff = true;
    fleet.report(0, Fingerprint, {1, 2, 3});
    fleet.advance(Ms(500), [&]() {
        fleet.request(1, SoundPart, Fingerprint);
        fleet.request(2, SoundPart, Fingerprint);
    });
    fleet.instances[0]->isCutOff = false;
    fleet.advance(Ms(6000), [&]() { sendEverywhere(fleet); });
    for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
        LONGS_EQUAL(0, fleet.quarantinedSince(i, fleet.now - (Ms(6000) - SpreadTime)));
    }
}

/// Guards against the order in which reports and refutations arrive deciding the verdict.
TEST(ASoundRequestThatWasThereAtCrashes, isServedWhicheverArrivesFirst)
{
    for (const bool refutationsFirst : {true, false}) {
        RelayTestBed bed;
        wire::RelayDigest reports;
        reports.instance = "two";
        reports.crashReports = {{Fingerprint, 1, Ms(0)}, {Fingerprint, 2, Ms(0)}, {Fingerprint, 3, Ms(0)}};
        wire::RelayDigest refutations;
        refutations.instance = "three";
        refutations.crashRefutations = {{Fingerprint, 1}, {Fingerprint, 2}, {Fingerprint, 3}};
        bed.kernel.onPeerMessage(bed.now, refutationsFirst ? refutations : reports);
        bed.kernel.onPeerMessage(bed.now, refutationsFirst ? reports : refutations);
        bed.kernel.onPeerMessage(bed.now, reports);
        bed.call("/read/x", "key-a", Ms(1000), Fingerprint);
        LONGS_EQUAL(1, bed.driver.sent.size());
    }
}

/// Guards against a request that most callers send being rejected because endpoints are killed from outside while they run it.
TEST(ASoundRequestThatWasThereAtCrashes, isServedWhileEndpointsAreKilledOneAfterTheOther)
{
    InstanceFleet fleet(3);
    int steps = 0;
    std::size_t rejected = 0;
    constexpr int StepsPerKill = 16;
    fleet.advance(Ms(20000), [&]() {
        sendEverywhere(fleet);
        if (++steps % StepsPerKill == 0) {
            fleet.crash(static_cast<std::size_t>(steps / StepsPerKill) % fleet.endpoints.size());
        }
    });
    for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
        rejected += fleet.quarantinedSince(i, Instant{0});
    }
    // A conviction that the next answer refutes costs the requests of a moment.
    CHECK(rejected <= fleet.begunSince(SoundPart, Instant{0}) / 50);
}

/// Guards against all endpoints being lost at once: nothing is left that could acquit what was running on them.
TEST(ASoundRequestThatWasThereAtCrashes, isServedAgainAfterAllEndpointsWereKilled)
{
    InstanceFleet fleet(3);
    fleet.advance(Ms(1000), [&]() { sendEverywhere(fleet); });
    for (std::size_t i = 0; i < fleet.endpoints.size(); ++i) {
        fleet.crash(i);
    }
    fleet.advance(InstanceFleet::RestartTime + SpreadTime + Ms(2000), [&]() { sendEverywhere(fleet); });
    const Instant since = fleet.now;
    fleet.advance(Ms(1000), [&]() { sendEverywhere(fleet); });
    for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
        LONGS_EQUAL(0, fleet.quarantinedSince(i, since));
    }
    CHECK(fleet.begunSince(SoundPart, since) > 0);
}

/// Guards against an operator's order holding at one instance only, or coming back with the evidence that others repeat.
TEST(ASoundRequestThatWasThereAtCrashes, isServedEverywhereOnceAnOperatorHasLiftedItsQuarantine)
{
    InstanceFleet fleet(3);
    for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
        fleet.report(i, Fingerprint, {1, 2, 3});
    }
    fleet.advance(Ms(500));
    LONGS_EQUAL(1, fleet.instances[0]->kernel->quarantine(fleet.now).size());
    CHECK(fleet.instances[0]->kernel->liftQuarantine(fleet.now, Fingerprint));
    CHECK(!fleet.instances[0]->kernel->liftQuarantine(fleet.now, Fingerprint));
    fleet.advance(Ms(500));
    const Instant since = fleet.now;
    sendEverywhere(fleet);
    fleet.advance(SpreadTime);
    LONGS_EQUAL(3, fleet.begunSince(SoundPart, since));
    for (const auto &instance : fleet.instances) {
        LONGS_EQUAL(0, instance->kernel->quarantine(fleet.now).size());
    }
}

/// Guards against crashes that have not happened: an instance loses its connections to endpoints that live on, as their next reports show.
TEST(ASoundRequestThatWasThereAtCrashes, isNotBlamedForEndpointsThatLiveOn)
{
    RelayTestBed bed;
    std::vector<std::string> lost;
    for (int i = 0; i < 3; ++i) {
        bed.call("/book/x", "key-a", Ms(1000), Fingerprint);
        lost.push_back(bed.driver.sent.back().endpoint);
        bed.unreachable.insert(lost.back());
        bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
        bed.kernel.onReport(bed.now, lost.back(), std::nullopt);
        bed.advance(Ms(100));
    }
    bed.call("/book/x", "key-a", Ms(1000), Fingerprint);
    LONGS_EQUAL(3, bed.driver.sent.size());
    bed.unreachable.clear();
    for (const std::string &endpoint : lost) {
        EndpointReport report;
        report.incarnation = 1;
        bed.kernel.onReport(bed.now, endpoint, report);
    }
    bed.advance(Ms(100));
    bed.call("/book/x", "key-a", Ms(1000), Fingerprint);
    LONGS_EQUAL(4, bed.driver.sent.size());
}
