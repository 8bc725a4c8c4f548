#include "FakeDriver.h"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace relay;

TEST_GROUP(ThePlanner)
{
    FakeDriver driver;
    std::unique_ptr<RelayKernel> kernel;
    Instant now{std::chrono::seconds(100)};
    std::vector<EndpointEntry> entries;
    std::uint64_t storeRevision = 0;

    void setup() override
    {
        RelaySettings settings = RelayBed::settings();
        settings.planner = true;
        kernel = std::make_unique<RelayKernel>(settings, driver);
        for (const char *id : {"one", "two", "three", "four"}) {
            entries.push_back(RelayBed::engineEntry(id, "zone-a", {}));
        }
        kernel->onConfig(now, now, RelayBed::config(1));
        kernel->onEndpoints(now, entries, ++storeRevision);
        // An instance that hears of no other takes itself to be alone after a while.
        pass(Ms(2100), false);
    }

    void pass(Ms time, bool renews = true)
    {
        constexpr Ms Step{50};
        for (Ms done{0}; done < time; done += Step) {
            const std::size_t writes = driver.leaseWrites.size();
            now += Step;
            kernel->onConfig(now, now, nullptr);
            kernel->onEndpoints(now, entries, ++storeRevision);
            kernel->onTick(now);
            if (renews && driver.leaseWrites.size() > writes) {
                kernel->onLeaseWritten(now, now, ++revision);
            }
        }
    }

    void takeLease()
    {
        kernel->onTick(now);
        kernel->onLeaseRead(now, 0, {});
        pass(Ms(100));
    }

    /// Endpoints carry out what they were ordered.
    void carryOut()
    {
        for (const PlacementOrder &order : driver.orders) {
            for (EndpointEntry &entry : entries) {
                if (entry.id == order.endpoint) {
                    entry.layers = order.layers;
                }
            }
        }
    }

    std::uint64_t revision = 10;
};

TEST(ThePlanner, takesAFreeLeaseAndOrdersLayersUnderItsFence)
{
    takeLease();
    CHECK(kernel->isPlanner(now));
    pass(Ms(1700));
    LONGS_EQUAL(4, driver.orders.size());
    for (const PlacementOrder &order : driver.orders) {
        LONGS_EQUAL(driver.leaseWrites.front().record.fence, order.fence);
        LONGS_EQUAL(0, order.expectedOrderCount);
        CHECK(order.layers.size() * RelayBed::engine().layerMb <= RelayBed::engine().kinds[0].memoryMb);
    }
}

TEST(ThePlanner, ordersNothingWithoutTheLease)
{
    kernel->onTick(now);
    kernel->onLeaseRead(now, 5, {"other", 3, 1});
    pass(Ms(2000));
    CHECK(!kernel->isPlanner(now));
    CHECK(driver.orders.empty());
}

TEST(ThePlanner, takesTheLeaseOfAHolderThatNoLongerRenewsUnderAHigherFence)
{
    kernel->onTick(now);
    kernel->onLeaseRead(now, 5, {"other", 3, 1});
    revision = 20;
    pass(Ms(3200));
    LONGS_EQUAL(5, driver.leaseWrites.front().expectedRevision);
    LONGS_EQUAL(4, driver.leaseWrites.front().record.fence);
    CHECK(kernel->isPlanner(now));
}

TEST(ThePlanner, leavesALeaseThatIsRenewed)
{
    kernel->onTick(now);
    for (std::uint64_t renewal = 1; renewal < 8; ++renewal) {
        kernel->onLeaseRead(now, 5 + renewal, {"other", 3, renewal});
        pass(Ms(1000), false);
    }
    CHECK(driver.leaseWrites.empty());
}

/// The pattern: the holder is paused, its lease lapses, and it wakes in the belief that it holds it.
TEST(ThePlanner, ordersNothingAfterAPauseLongerThanTheLease)
{
    takeLease();
    pass(Ms(1700));
    const std::size_t before = driver.orders.size();
    entries.push_back(RelayBed::engineEntry("five", "zone-a", {}));
    now += std::chrono::seconds(4);
    kernel->onEndpoints(now, entries, ++storeRevision);
    kernel->onTick(now);
    CHECK(!kernel->isPlanner(now));
    LONGS_EQUAL(before, driver.orders.size());
}

TEST(ThePlanner, stopsForGoodOnceAnEndpointHasSeenAHigherFence)
{
    takeLease();
    pass(Ms(1700));
    kernel->onOrderAnswer(now, "one", OrderOutcome::Fenced);
    const std::size_t before = driver.orders.size();
    CHECK(!kernel->isPlanner(now));
    pass(Ms(900));
    for (std::size_t i = before; i < driver.orders.size(); ++i) {
        CHECK(driver.orders[i].fence > driver.orders.front().fence);
    }
}

TEST(ThePlanner, leavesEndpointsAloneThatHoldLayers)
{
    takeLease();
    pass(Ms(1700));
    carryOut();
    const std::size_t before = driver.orders.size();
    pass(Ms(10000));
    LONGS_EQUAL(before, driver.orders.size());
}

TEST(ThePlanner, ordersOnceWhileAnEndpointLoads)
{
    takeLease();
    pass(Ms(1700));
    for (const PlacementOrder &order : std::vector<PlacementOrder>(driver.orders)) {
        kernel->onOrderAnswer(now, order.endpoint, OrderOutcome::Accepted);
    }
    const std::size_t before = driver.orders.size();
    pass(Ms(4000));
    LONGS_EQUAL(before, driver.orders.size());
}

/// The pattern: an order has no answer and is carried out seconds later. The repeat names the same number of orders, so that only one of
/// the two takes effect.
TEST(ThePlanner, repeatsAnUnansweredOrderUnderTheSamePrecondition)
{
    takeLease();
    pass(Ms(1700));
    const PlacementOrder order = driver.orders.front();
    kernel->onOrderAnswer(now, order.endpoint, OrderOutcome::NoAnswer);
    pass(Ms(100));
    CHECK(std::find(driver.reportsAsked.begin(), driver.reportsAsked.end(), order.endpoint) != driver.reportsAsked.end());
    EndpointReport report;
    report.incarnation = 1;
    kernel->onReport(now, order.endpoint, report);
    const std::size_t before = driver.orders.size();
    pass(Ms(500));
    CHECK(driver.orders.size() > before);
    STRCMP_EQUAL(order.endpoint.c_str(), driver.orders[before].endpoint.c_str());
    LONGS_EQUAL(order.expectedOrderCount, driver.orders[before].expectedOrderCount);
}

TEST(ThePlanner, placesARestartedEndpointAnew)
{
    takeLease();
    pass(Ms(1700));
    carryOut();
    pass(Ms(200));
    const std::size_t before = driver.orders.size();
    entries.front().incarnation = 2;
    entries.front().layers = {};
    pass(Ms(300));
    LONGS_EQUAL(before + 1, driver.orders.size());
    STRCMP_EQUAL(entries.front().id.c_str(), driver.orders.back().endpoint.c_str());
}

TEST(ThePlanner, givesTheLeaseBackWhenItsInstanceStops)
{
    takeLease();
    const std::size_t before = driver.leaseWrites.size();
    kernel->onStop(now);
    LONGS_EQUAL(before + 1, driver.leaseWrites.size());
    STRCMP_EQUAL("", driver.leaseWrites.back().record.holder.c_str());
    CHECK(!kernel->isPlanner(now));
}
