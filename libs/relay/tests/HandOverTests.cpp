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
        CHECK(servedWhileCut(large, 16, cut) >= MinServed);
    }
}
