#include "InstanceFleet.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

namespace {

/// Time for which an instance must have known its fleet before it uses its part of the reserve.
constexpr Ms WarmUp{10100};

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
    for (const std::size_t instances : {3U, 69U}) {
        InstanceFleet fleet(instances);
        fleet.advance(WarmUp);
        failEverything(fleet);
        // All restart twice within one window.
        const double restartsPerStep = 2.0 * static_cast<double>(instances) * (InstanceFleet::Step / settings.retryWindow);
        double due = 0;
        std::size_t restarted = 0;
        fleet.advance(settings.retryWindow, [&]() {
            for (int i = 0; i < 4; ++i) {
                sendInTurn(fleet);
            }
            for (due += restartsPerStep; due >= 1; due -= 1) {
                fleet.restart(restarted++ % instances);
            }
        });
        CHECK(excess(fleet) <= settings.retryReserve);
    }
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
