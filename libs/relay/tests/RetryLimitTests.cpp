#include "InstanceFleet.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

namespace {

/// Time for which an instance must have known its fleet before it uses its part of the reserve.
constexpr Ms WarmUp{10100};
/// From this number of instances on, a fleet is watched for one window only, since it takes long.
constexpr std::size_t LargeFleet = 100;

} // namespace

/// All instances together may retry a ratio of the requests and a reserve within any window.
TEST_GROUP(TheLimitOnRetries)
{
    const RelaySettings settings = RelayTestBed::settings();
    std::size_t next = 0;

    /// Makes all endpoints fail all requests, so that every retry that is permitted is sent.
    static void failEverything(InstanceFleet & fleet)
    {
        for (InstanceFleet::Endpoint &endpoint : fleet.endpoints) {
            endpoint.fails = true;
        }
    }

    /// Sends one request through the next instance that is up.
    void sendInTurn(InstanceFleet & fleet)
    {
        do {
            next = (next + 1) % fleet.instances.size();
        } while (fleet.instances[next]->isDown);
        fleet.request(next, 100 + next % 20);
    }

    /// Sends requests to an instance for as long as the time lasts.
    void sendTo(InstanceFleet & fleet, std::size_t instance, Ms duration)
    {
        fleet.advance(duration, [&]() { fleet.request(instance, 100 + instance % 20); });
    }

    double excess(const InstanceFleet &fleet) const
    {
        return fleet.maxRetriesBeyond(settings.retryRatio, settings.retryWindow);
    }
};

/// Guards against a limit that each new process gives out afresh.
TEST(TheLimitOnRetries, holdsWhileInstancesRestartInSeries)
{
    for (const std::size_t instances : {3U, 69U, 195U}) {
        InstanceFleet fleet(instances);
        fleet.advance(WarmUp);
        failEverything(fleet);
        // Each restarts twice within one window.
        const double restartsPerStep = 2.0 * static_cast<double>(instances * InstanceFleet::Step.count()) / static_cast<double>(settings.retryWindow.count());
        double due = 0;
        std::size_t restarted = 0;
        fleet.advance(instances < LargeFleet ? 2 * settings.retryWindow : settings.retryWindow, [&]() {
            for (int i = 0; i < 4; ++i) {
                sendInTurn(fleet);
            }
            for (due += restartsPerStep; due >= 1; due -= 1) {
                fleet.restart(restarted++ % instances);
            }
        });
        CHECK(excess(fleet) <= settings.retryReserve);
        CHECK(restarted >= 2 * instances - 1);
    }
}

/// Guards against a reserve whose parts, once used, are used again by those that remain.
TEST(TheLimitOnRetries, holdsWhileInstancesLeave)
{
    for (const std::size_t instances : {3U, 9U}) {
        InstanceFleet fleet(instances);
        fleet.advance(WarmUp);
        failEverything(fleet);
        for (std::size_t leaving = 0; leaving + 1 < instances; ++leaving) {
            const Ms each = settings.retryWindow / (2 * instances);
            sendTo(fleet, leaving, each);
            fleet.instances[leaving]->kernel->onStop(fleet.now);
            fleet.advance(Ms(700));
            fleet.takeDown(leaving);
        }
        sendTo(fleet, instances - 1, Ms(2000));
        CHECK(excess(fleet) <= settings.retryReserve);
    }
}

/// Guards against instances that see few others, or none, and take the parts of all.
TEST(TheLimitOnRetries, holdsWhileInstancesAreCutOffFromEachOther)
{
    for (const std::size_t instances : {3U, 69U}) {
        InstanceFleet fleet(instances);
        for (std::size_t i = 0; i < instances; ++i) {
            fleet.instances[i]->isCutOff = i % 3 != 0;
        }
        fleet.advance(WarmUp);
        failEverything(fleet);
        fleet.advance(settings.retryWindow, [&]() {
            for (int i = 0; i < 4; ++i) {
                sendInTurn(fleet);
            }
        });
        CHECK(excess(fleet) <= settings.retryReserve);
    }
}

/// Guards against an instance that receives the digests of one other only, since it is cut off from the rest, and takes half of the reserve.
TEST(TheLimitOnRetries, countsListedInstancesThatSendNothing)
{
    constexpr double Instances = 8;
    RelayTestBed bed;
    std::vector<InstanceEntry> listed;
    for (const char *id : {"one", "two", "three", "four", "five", "six", "seven", "eight"}) {
        listed.push_back({id, std::string(id) + ":7000"});
    }
    bed.kernel.onInstances(bed.now, listed);
    for (Ms elapsed{0}; elapsed < WarmUp; elapsed += Ms(500)) {
        wire::RelayDigest digest;
        digest.instance = "two";
        bed.kernel.onPeerMessage(bed.now, digest);
        bed.advance(Ms(500));
    }
    constexpr int Calls = 100;
    for (int i = 0; i < Calls; ++i) {
        bed.call("/read/x");
        bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    }
    const auto retries = static_cast<double>(bed.driver.sent.size()) - Calls;
    CHECK(retries <= settings.retryRatio * Calls + settings.retryReserve / Instances);
    CHECK(retries > settings.retryRatio * Calls);
}

/// Guards against a share that grows at once when instances vanish from the list, which may have used up theirs.
TEST(TheLimitOnRetries, countsInstancesThatWereListedWithinTheWindow)
{
    constexpr double Instances = 8;
    constexpr int Calls = 100;
    RelayTestBed bed;
    std::vector<InstanceEntry> listed;
    for (const char *id : {"one", "two", "three", "four", "five", "six", "seven", "eight"}) {
        listed.push_back({id, std::string(id) + ":7000"});
    }
    bed.kernel.onInstances(bed.now, listed);
    bed.advance(Ms(100));
    bed.kernel.onInstances(bed.now, {listed[0], listed[1]});
    bed.advance(settings.retryWindow / 2);
    for (int i = 0; i < Calls; ++i) {
        bed.call("/read/x");
        bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    }
    const auto retries = static_cast<double>(bed.driver.sent.size()) - Calls;
    CHECK(retries <= settings.retryRatio * Calls + settings.retryReserve / Instances);
}

/// Guards against a limit that refuses what is left of the reserve to a fleet in which nothing happens.
TEST(TheLimitOnRetries, givesOutTheReserveToInstancesThatStayUp)
{
    constexpr double MinUsed = 0.7;
    for (const std::size_t instances : {3U, 9U}) {
        InstanceFleet fleet(instances);
        fleet.advance(WarmUp);
        failEverything(fleet);
        fleet.advance(settings.retryWindow / 2, [&]() { sendInTurn(fleet); });
        CHECK(excess(fleet) >= MinUsed * settings.retryReserve);
        CHECK(excess(fleet) <= settings.retryReserve);
    }
}

/// Guards against a new process that retries nothing at all.
TEST(TheLimitOnRetries, leavesTheRatioToANewProcess)
{
    InstanceFleet fleet(3);
    fleet.advance(WarmUp);
    fleet.restart(1);
    const Instant restartedAt = fleet.now;
    failEverything(fleet);
    sendTo(fleet, 1, Ms(5000));
    const double requests = 5000.0 / static_cast<double>(InstanceFleet::Step.count());
    CHECK(static_cast<double>(fleet.retriesSince(restartedAt)) >= settings.retryRatio * requests - 1);
    CHECK(static_cast<double>(fleet.retriesSince(restartedAt)) <= settings.retryRatio * requests);
}

/// Guards against streams that are broken off by an instance that has lost its way to the endpoints: the retries that could not be sent used up its limit.
TEST(TheLimitOnRetries, countsNoRetryThatReachesNoEndpoint)
{
    constexpr int Calls = 200;
    RelayTestBed bed;
    for (int i = 0; i < Calls; ++i) {
        bed.call("/read/x");
        bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
        for (std::size_t sent = 0; sent < bed.driver.sent.size();) {
            sent = bed.driver.sent.size();
            bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::NotSent);
        }
    }
    const std::size_t sentBefore = bed.driver.sent.size();
    for (int i = 0; i < Calls; ++i) {
        bed.call("/read/x");
        bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Broken);
    }
    const auto retries = static_cast<double>(bed.driver.sent.size() - sentBefore) - Calls;
    CHECK(retries >= settings.retryRatio * 2 * Calls - 1);
    CHECK(retries <= settings.retryRatio * 2 * Calls + settings.retryReserve);
}
