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
        RelaySettings settings = RelayTestBed::settings();
        settings.planner = true;
        kernel = std::make_unique<RelayKernel>(settings, driver);
        for (const char *id : {"one", "two", "three", "four"}) {
            entries.push_back(RelayTestBed::engineEntry(id, "zone-a", {}));
        }
        kernel->onConfig(now, now, RelayTestBed::config(1));
        kernel->onEndpoints(now, entries, {0, ++storeRevision});
        // An instance that sees no other instance may plan once 2000 ms have passed since its start.
        advance(Ms(2100), false);
    }

    /// Advances the time in steps of 50 ms with current reads of the store. If `renewsLease`, writes of the lease succeed; otherwise they get no answer.
    void advance(Ms duration, bool renewsLease = true)
    {
        constexpr Ms Step{50};
        for (Ms elapsed{0}; elapsed < duration; elapsed += Step) {
            const std::size_t writes = driver.leaseWrites.size();
            now += Step;
            kernel->onConfig(now, now, nullptr);
            kernel->onEndpoints(now, entries, {0, ++storeRevision});
            kernel->onTick(now);
            if (renewsLease && driver.leaseWrites.size() > writes) {
                kernel->onLeaseWritten(now, now, {0, ++revision});
            }
        }
    }

    /// Reports to the kernel that the store has no lease, so that the kernel writes its own.
    void acquireLease()
    {
        kernel->onTick(now);
        kernel->onLeaseRead(now, {0, 0}, {});
        advance(Ms(100));
    }

    /// Lets every endpoint hold the layers that it was ordered to hold; the next read of the list shows them.
    void applyOrders()
    {
        for (const PlacementOrder &order : driver.orders) {
            for (EndpointEntry &entry : entries) {
                if (entry.id == order.endpoint) {
                    entry.layers = order.layers;
                }
            }
        }
    }

    /// Revision of the last write of the lease.
    std::uint64_t revision = 10;
};

TEST(ThePlanner, takesAFreeLeaseAndOrdersLayersUnderItsFence)
{
    acquireLease();
    CHECK(kernel->isPlanner(now));
    advance(Ms(1700));
    LONGS_EQUAL(4, driver.orders.size());
    for (const PlacementOrder &order : driver.orders) {
        LONGS_EQUAL(driver.leaseWrites.front().record.fence, order.fence);
        LONGS_EQUAL(0, order.expectedOrderCount);
        CHECK(order.layers.size() * RelayTestBed::engine().layerMb <= RelayTestBed::engine().kinds[0].memoryMb);
    }
}

TEST(ThePlanner, ordersNothingWithoutTheLease)
{
    kernel->onTick(now);
    kernel->onLeaseRead(now, {0, 5}, {"other", 3, 1});
    advance(Ms(2000));
    CHECK(!kernel->isPlanner(now));
    CHECK(driver.orders.empty());
}

TEST(ThePlanner, takesTheLeaseUnderAHigherFenceWhenItsHolderNoLongerRenewsIt)
{
    kernel->onTick(now);
    kernel->onLeaseRead(now, {0, 5}, {"other", 3, 1});
    revision = 20;
    advance(Ms(3200));
    LONGS_EQUAL(5, driver.leaseWrites.front().expectedRevision);
    LONGS_EQUAL(4, driver.leaseWrites.front().record.fence);
    CHECK(kernel->isPlanner(now));
}

TEST(ThePlanner, doesNotTakeALeaseThatIsRenewed)
{
    kernel->onTick(now);
    for (std::uint64_t renewal = 1; renewal < 8; ++renewal) {
        kernel->onLeaseRead(now, {0, 5 + renewal}, {"other", 3, renewal});
        advance(Ms(1000), false);
    }
    CHECK(driver.leaseWrites.empty());
}

/// The holder is suspended until its lease has expired, and must notice when it wakes that another instance may hold it.
TEST(ThePlanner, ordersNothingAfterAPauseLongerThanTheLease)
{
    acquireLease();
    advance(Ms(1700));
    const std::size_t before = driver.orders.size();
    entries.push_back(RelayTestBed::engineEntry("five", "zone-a", {}));
    now += std::chrono::seconds(4);
    kernel->onEndpoints(now, entries, {0, ++storeRevision});
    kernel->onTick(now);
    CHECK(!kernel->isPlanner(now));
    LONGS_EQUAL(before, driver.orders.size());
}

TEST(ThePlanner, stopsUsingAFenceOnceAnEndpointHasSeenAHigherOne)
{
    acquireLease();
    advance(Ms(1700));
    kernel->onOrderAnswer(now, "one", OrderOutcome::Fenced);
    const std::size_t before = driver.orders.size();
    CHECK(!kernel->isPlanner(now));
    advance(Ms(900));
    for (std::size_t i = before; i < driver.orders.size(); ++i) {
        CHECK(driver.orders[i].fence > driver.orders.front().fence);
    }
}

TEST(ThePlanner, ordersNothingFromEndpointsThatHoldTheirLayers)
{
    acquireLease();
    advance(Ms(1700));
    applyOrders();
    const std::size_t before = driver.orders.size();
    advance(Ms(10000));
    LONGS_EQUAL(before, driver.orders.size());
}

TEST(ThePlanner, ordersOnceWhileAnEndpointLoads)
{
    acquireLease();
    advance(Ms(1700));
    for (const PlacementOrder &order : std::vector<PlacementOrder>(driver.orders)) {
        kernel->onOrderAnswer(now, order.endpoint, OrderOutcome::Accepted);
    }
    const std::size_t before = driver.orders.size();
    advance(Ms(4000));
    LONGS_EQUAL(before, driver.orders.size());
}

/// An order without an answer may still be executed seconds later. The repeated order names the same expected order count, so that only one of the
/// two takes effect.
TEST(ThePlanner, repeatsAnUnansweredOrderUnderTheSamePrecondition)
{
    acquireLease();
    advance(Ms(1700));
    const PlacementOrder order = driver.orders.front();
    kernel->onOrderAnswer(now, order.endpoint, OrderOutcome::NoAnswer);
    advance(Ms(100));
    CHECK(std::find(driver.reportRequests.begin(), driver.reportRequests.end(), order.endpoint) != driver.reportRequests.end());
    EndpointReport report;
    report.incarnation = 1;
    kernel->onReport(now, order.endpoint, report);
    const std::size_t before = driver.orders.size();
    advance(Ms(500));
    CHECK(driver.orders.size() > before);
    STRCMP_EQUAL(order.endpoint.c_str(), driver.orders[before].endpoint.c_str());
    LONGS_EQUAL(order.expectedOrderCount, driver.orders[before].expectedOrderCount);
}

TEST(ThePlanner, ordersLayersAgainForARestartedEndpoint)
{
    acquireLease();
    advance(Ms(1700));
    applyOrders();
    advance(Ms(200));
    const std::size_t before = driver.orders.size();
    entries.front().incarnation = 2;
    entries.front().layers = {};
    advance(Ms(300));
    LONGS_EQUAL(before + 1, driver.orders.size());
    STRCMP_EQUAL(entries.front().id.c_str(), driver.orders.back().endpoint.c_str());
}

TEST(ThePlanner, releasesTheLeaseWhenItsInstanceStops)
{
    acquireLease();
    const std::size_t before = driver.leaseWrites.size();
    kernel->onStop(now);
    LONGS_EQUAL(before + 1, driver.leaseWrites.size());
    STRCMP_EQUAL("", driver.leaseWrites.back().record.holder.c_str());
    CHECK(!kernel->isPlanner(now));
}
