#include "FakeDriver.h"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace relay;

/// An instance that may hold the planner's lease, in a store of epoch 1 that is then restored from a copy and becomes one of epoch 2.
TEST_GROUP(ThePlannerOfARestoredStore)
{
    static constexpr Ms LeaseLifetime{3000};

    FakeDriver driver;
    std::unique_ptr<RelayKernel> kernel;
    Instant now{std::chrono::seconds(100)};
    std::vector<EndpointEntry> entries;
    wire::StoreVersion store{1, 900};

    void setup() override
    {
        RelaySettings settings = RelayTestBed::settings();
        settings.planner = true;
        settings.leaseLifetime = LeaseLifetime;
        kernel = std::make_unique<RelayKernel>(settings, driver);
        for (const char *id : {"one", "two", "three", "four"}) {
            entries.push_back(RelayTestBed::engineEntry(id, "zone-a", {}));
        }
        kernel->onConfig(now, now, RelayTestBed::config(1));
        advance(Ms(2100));
    }

    /// Lets time pass with current reads of the list. Writes of the lease get no answer.
    void advance(Ms duration)
    {
        constexpr Ms Step{50};
        for (Ms elapsed{0}; elapsed < duration; elapsed += Step) {
            now += Step;
            ++store.revision;
            kernel->onConfig(now, now, nullptr);
            kernel->onEndpoints(now, entries, store);
            kernel->onTick(now);
        }
    }

    /// Lets the last write of the lease succeed.
    void answerWrite()
    {
        ++store.revision;
        kernel->onLeaseWritten(now, now, store);
    }

    /// Gives the instance the lease under the fencing number that it chooses; returns that number.
    std::uint64_t takeLease()
    {
        kernel->onLeaseRead(now, {1, 0}, {});
        advance(Ms(50));
        answerWrite();
        return driver.leaseWrites.back().record.fence;
    }

    void restore()
    {
        store = {2, 500};
    }
};

/// The record is lost, but until its end nobody else may hold the lease: the holder writes it again under its own fencing number.
TEST(ThePlannerOfARestoredStore, keepsALeaseThatTheCopyLacksByWritingItAgain)
{
    const std::uint64_t fence = takeLease();
    restore();
    advance(Ms(100));
    kernel->onLeaseRead(now, {2, 0}, {});
    const std::size_t before = driver.leaseWrites.size();
    advance(Ms(100));
    LONGS_EQUAL(before + 1, driver.leaseWrites.size());
    LONGS_EQUAL(0, driver.leaseWrites.back().expectedRevision);
    UNSIGNED_LONGS_EQUAL(fence, driver.leaseWrites.back().record.fence);
    answerWrite();
    CHECK(kernel->isPlanner(now));
}

/// The copy has the record of an earlier holder. Orders under its fencing number would be refused, or undo those of the present one.
TEST(ThePlannerOfARestoredStore, doesNotOrderUnderTheFenceOfARestoredRecord)
{
    kernel->onLeaseRead(now, {1, 5}, {"other", 3, 1});
    advance(Ms(3100));
    answerWrite();
    const std::uint64_t fence = driver.leaseWrites.back().record.fence;
    restore();
    advance(Ms(50));
    kernel->onLeaseRead(now, {2, 4}, {"other", 3, 1});
    entries.push_back(RelayTestBed::engineEntry("five", "zone-a", {}));
    const std::size_t before = driver.orders.size();
    advance(Ms(500));
    CHECK(driver.orders.size() > before);
    for (std::size_t i = before; i < driver.orders.size(); ++i) {
        UNSIGNED_LONGS_EQUAL(fence, driver.orders[i].fence);
    }
}

/// Without the record, the holder of before may go on for as long as its last renewal allows.
TEST(ThePlannerOfARestoredStore, isNotReplacedBeforeTheLeaseOfTheEpochBeforeHasEnded)
{
    kernel->onLeaseRead(now, {1, 5}, {"other", 3, 1});
    restore();
    advance(Ms(50));
    kernel->onLeaseRead(now, {2, 0}, {});
    advance(LeaseLifetime - Ms(200));
    CHECK(driver.leaseWrites.empty());
    advance(Ms(400));
    LONGS_EQUAL(1, driver.leaseWrites.size());
}

/// The copy's fencing number may be lower than one that was used since, so that counting on from it gives out a number twice.
TEST(ThePlannerOfARestoredStore, getsAFenceAboveAllOfTheEpochBefore)
{
    const std::uint64_t before = takeLease();
    FakeDriver nextDriver;
    RelaySettings settings = RelayTestBed::settings();
    settings.planner = true;
    settings.instance = "one/2";
    RelayKernel next(settings, nextDriver);
    next.onConfig(now, now, RelayTestBed::config(1));
    for (int i = 0; i < 100; ++i) {
        now += Ms(50);
        next.onEndpoints(now, entries, {2, 500});
        next.onTick(now);
        next.onLeaseRead(now, {2, 0}, {});
    }
    CHECK(!nextDriver.leaseWrites.empty());
    CHECK(nextDriver.leaseWrites.back().record.fence > before + 1000);
    CHECK(nextDriver.leaseWrites.back().record.fence < (1ULL << 53));
}

/// The copy says that this instance holds the lease. It has lost it since, and another one may use a higher fencing number.
TEST(ThePlannerOfARestoredStore, doesNotRenewALeaseThatItHadLost)
{
    const std::uint64_t fence = takeLease();
    kernel->onLeaseRead(now, {1, store.revision + 100}, {"other", fence + 1, 0});
    CHECK(!kernel->isPlanner(now));
    restore();
    advance(Ms(50));
    kernel->onLeaseRead(now, {2, 450}, {"one/1", fence, 2});
    const std::size_t before = driver.leaseWrites.size();
    advance(LeaseLifetime - Ms(200));
    LONGS_EQUAL(before, driver.leaseWrites.size());
    CHECK(!kernel->isPlanner(now));
    advance(Ms(400));
    CHECK(driver.leaseWrites.back().record.fence > fence + 1);
}

TEST(ThePlannerOfARestoredStore, ignoresALateReadOfTheEpochBefore)
{
    kernel->onLeaseRead(now, {1, 5}, {"other", 3, 1});
    restore();
    advance(Ms(50));
    kernel->onLeaseRead(now, {2, 300}, {"third", 9, 1});
    kernel->onLeaseRead(now, {1, 899}, {});
    advance(Ms(1000));
    CHECK(driver.leaseWrites.empty());
}

/// A renewal whose condition was checked by the restored store proves nothing: the revision may have been given out again.
TEST(ThePlannerOfARestoredStore, doesNotCountARenewalThatAnotherEpochHasTaken)
{
    takeLease();
    advance(Ms(1100));
    const Instant sentAt = now;
    kernel->onLeaseWritten(sentAt, sentAt, {2, 501});
    now += LeaseLifetime - Ms(700);
    CHECK(!kernel->isPlanner(now));
}

/// The store has carried out the write, but its answer was lost: the lease would lie unused until its end.
TEST(ThePlannerOfARestoredStore, goesOnWithALeaseWhoseWriteWasNotAnswered)
{
    kernel->onLeaseRead(now, {1, 0}, {});
    advance(Ms(50));
    const LeaseRecord written = driver.leaseWrites.back().record;
    kernel->onLeaseWritten(now, now, {});
    kernel->onLeaseRead(now, {1, store.revision}, written);
    const std::size_t before = driver.leaseWrites.size();
    advance(Ms(100));
    LONGS_EQUAL(before + 1, driver.leaseWrites.size());
    UNSIGNED_LONGS_EQUAL(written.fence, driver.leaseWrites.back().record.fence);
}

/// A record that is absent but not free yet was read again at each tick, by each instance that may take the lease.
TEST(ThePlannerOfARestoredStore, isNotAwaitedWithAReadAtEachTick)
{
    kernel->onLeaseRead(now, {1, 5}, {"other", 3, 1});
    restore();
    const int before = driver.leaseReads;
    for (int i = 0; i < 50; ++i) {
        const int reads = driver.leaseReads;
        advance(Ms(50));
        if (driver.leaseReads > reads) {
            kernel->onLeaseRead(now, {2, 0}, {});
        }
    }
    CHECK(driver.leaseReads - before <= 4);
    CHECK(driver.leaseWrites.empty());
}
