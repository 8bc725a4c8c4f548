#include "CheckFleet.h"
#include "TestFleet.h"

#include <CppUTest/TestHarness.h>

namespace {

base::ErrorKind kindOf(const TestFleet::Answer &answer)
{
    CHECK(answer.error.has_value());
    return answer.error->kind;
}

} // namespace

TEST_GROUP(ANonRepeatableCall)
{
    TestFleet fleet{1, 2};

    void setup() override
    {
        fleet.addService("booking-1");
        fleet.addService("booking-2");
        fleet.start();
    }

    void teardown() override
    {
        checkNoViolations(fleet, "fleet of two");
    }
};

TEST(ANonRepeatableCall, runsOnceAndARepeatThroughAnotherInstanceGetsTheSameOutcome)
{
    const auto first = fleet.book(0, "family-7");
    fleet.run(500);
    const auto repeat = fleet.book(1, "family-7");
    fleet.run(500);
    CHECK(fleet.answer(first).service.has_value());
    CHECK(fleet.answer(repeat).service.has_value());
    STRCMP_EQUAL(fleet.answer(first).service->body.c_str(), fleet.answer(repeat).service->body.c_str());
    CHECK(fleet.answer(repeat).replayed);
    LONGS_EQUAL(1, fleet.executed("family-7"));
}

TEST(ANonRepeatableCall, isJoinedByARepeatAtTheSameMoment)
{
    const auto first = fleet.book(0, "family-7");
    const auto here = fleet.book(0, "family-7");
    const auto there = fleet.book(1, "family-7");
    fleet.run(3000);
    CHECK(fleet.answer(first).service.has_value() && fleet.answer(here).service.has_value() && fleet.answer(there).service.has_value());
    LONGS_EQUAL(1, fleet.executed("family-7"));
}

TEST(ANonRepeatableCall, isRefusedIfItsKeyWasUsedForADifferentRequest)
{
    fleet.book(0, "family-7", "seat 4");
    fleet.run(500);
    const auto other = fleet.book(1, "family-7", "seat 5");
    fleet.run(500);
    CHECK(kindOf(fleet.answer(other)) == base::ErrorKind::KeyMismatch);
}

TEST(ANonRepeatableCall, needsAKey)
{
    const auto call = fleet.book(0, "");
    CHECK(kindOf(fleet.answer(call)) == base::ErrorKind::KeyRequired);
}

TEST(ANonRepeatableCall, isSaidNotToHaveRunWhileTheStoreIsDownAndRunsAfterwards)
{
    fleet.faults.storeDown = true;
    const auto refused = fleet.book(0, "family-7");
    fleet.run(3000);
    CHECK(kindOf(fleet.answer(refused)) == base::ErrorKind::StoreUnavailable);
    LONGS_EQUAL(0, fleet.executed("family-7"));
    fleet.faults.storeDown = false;
    fleet.run(3000);
    const auto again = fleet.book(1, "family-7");
    fleet.run(1000);
    CHECK(fleet.answer(again).service.has_value());
}

TEST(ANonRepeatableCall, leavesLookupsAloneWhileTheStoreIsDown)
{
    fleet.addService("timetable-1");
    fleet.run(1000);
    fleet.faults.storeDown = true;
    fleet.run(1000);
    const auto lookup = fleet.lookUp(0);
    fleet.run(200);
    CHECK(fleet.answer(lookup).service.has_value());
}

TEST(ANonRepeatableCall, isSaidToBeUnknownAfterItsInstanceDiedBehindTheDispatch)
{
    fleet.book(0, "family-7");
    fleet.run(15);
    fleet.crash(0);
    fleet.run(4000);
    const auto repeat = fleet.book(1, "family-7");
    fleet.run(5000);
    const TestFleet::Answer &answer = fleet.answer(repeat);
    CHECK(answer.error || answer.service);
    if (answer.error) {
        CHECK(base::errorAnswer(answer.error->kind).ran == base::HasRun::Unknown);
    }
    CHECK(fleet.executed("family-7") <= 1);
}

TEST(ANonRepeatableCall, isNotRunByAClaimantThatWakesAfterItsCallerWasAnswered)
{
    fleet.faults.lostAnswer = 100;
    const auto call = fleet.book(0, "family-7");
    fleet.run(3);
    fleet.pause(0);
    fleet.run(20000);
    fleet.faults.lostAnswer = 0;
    fleet.resume(0);
    fleet.run(5000);
    const TestFleet::Answer &answer = fleet.answer(call);
    CHECK(answer.isFinal());
    CHECK(fleet.executed("family-7") <= 1);
}

TEST(ANonRepeatableCall, isReleasedWhenEveryEndpointRefusesItSoThatARepeatMayRun)
{
    fleet.faults.refused = 100;
    const auto refused = fleet.book(0, "family-7");
    fleet.run(6000);
    CHECK(kindOf(fleet.answer(refused)) == base::ErrorKind::NoEndpoint);
    fleet.faults.refused = 0;
    fleet.run(1000);
    const auto again = fleet.book(1, "family-7");
    fleet.run(1000);
    CHECK(fleet.answer(again).service.has_value());
}

TEST(ANonRepeatableCall, isReleasedAfterItsClaimWasWrittenButNotConfirmedInTimeSoThatARepeatMayRun)
{
    fleet.faults.lostAnswer = 100;
    const auto refused = fleet.book(0, "family-7");
    fleet.run(15);
    fleet.faults.storeDown = true;
    fleet.run(3000);
    CHECK(kindOf(fleet.answer(refused)) == base::ErrorKind::StoreUnavailable);
    fleet.faults = {};
    fleet.run(3000);
    const auto again = fleet.book(1, "family-7");
    fleet.run(1000);
    CHECK(fleet.answer(again).service.has_value());
    LONGS_EQUAL(1, fleet.executed("family-7"));
}

TEST(ANonRepeatableCall, isUnknownToEveryRepeatAfterItsOutcomeWasLost)
{
    fleet.faults.brokenAfterRun = 100;
    const auto broken = fleet.book(0, "family-7");
    fleet.run(500);
    CHECK(kindOf(fleet.answer(broken)) == base::ErrorKind::UpstreamBroken);
    fleet.faults.brokenAfterRun = 0;
    const auto repeat = fleet.book(1, "family-7");
    fleet.run(500);
    CHECK(kindOf(fleet.answer(repeat)) == base::ErrorKind::OutcomeUnknown);
    LONGS_EQUAL(1, fleet.executed("family-7"));
}

TEST_GROUP(TheClaimLedgersWrites){};

TEST(TheClaimLedgersWrites, growFarSlowerThanTheCalls)
{
    std::vector<std::uint64_t> writes;
    for (const int callsPerTick : {1, 16}) {
        TestFleet fleet(5, 1);
        fleet.addService("booking-1");
        fleet.start();
        const std::uint64_t before = fleet.storeWrites();
        for (int tick = 0; tick < 50; ++tick) {
            for (int i = 0; i < callsPerTick; ++i) {
                fleet.book(0, "key-" + std::to_string(tick) + "-" + std::to_string(i));
            }
            fleet.run(20);
        }
        fleet.run(2000);
        writes.push_back(fleet.storeWrites() - before);
        checkNoViolations(fleet, "writes");
    }
    // Sixteen times the calls may cost at most four times the writes, and never more than the budget: three seconds and a burst.
    CHECK(writes[1] <= 4 * writes[0]);
    CHECK(writes[1] <= 3 * 300 + 75);
}

namespace {

/// One row of the fault table.
struct FaultCase {
    const char *name;
    TestFleet::Faults faults;
    bool crashes;
    bool pauses;
};

TestFleet::Faults faultsOf(unsigned lostAnswer, unsigned lateWrite, unsigned staleRead, unsigned slowStore)
{
    TestFleet::Faults faults;
    faults.lostAnswer = lostAnswer;
    faults.lateWrite = lateWrite;
    faults.staleRead = staleRead;
    faults.slowStore = slowStore;
    return faults;
}

TestFleet::Faults endpointFaults()
{
    TestFleet::Faults faults = faultsOf(20, 10, 10, 5);
    faults.brokenAfterRun = 10;
    faults.brokenBeforeRun = 10;
    faults.refused = 20;
    faults.notSent = 20;
    faults.lostMessage = 20;
    return faults;
}

void runClaimCase(const FaultCase &row, std::uint64_t seed)
{
    TestFleet fleet(seed, 2);
    fleet.addService("booking-1");
    fleet.addService("booking-2");
    fleet.start();
    fleet.faults = row.faults;
    base::Random random(seed * 77);
    for (int step = 0; step < 40; ++step) {
        const std::size_t instance = random.nextBelow(2);
        const auto call = fleet.book(instance, "key-" + std::to_string(random.nextBelow(8)));
        fleet.run(static_cast<std::int64_t>(random.nextBelow(120)));
        if (random.nextBelow(10) == 0) {
            fleet.hangUp(instance, call);
        }
        if (row.crashes && random.nextBelow(12) == 0) {
            fleet.crash(instance);
            fleet.run(static_cast<std::int64_t>(random.nextBelow(1500)));
            fleet.restart(instance);
        }
        if (row.pauses && random.nextBelow(8) == 0) {
            fleet.pause(instance);
            fleet.run(static_cast<std::int64_t>(random.nextBelow(5000)));
            fleet.resume(instance);
        }
        if (random.nextBelow(15) == 0) {
            fleet.faults.storeDown = !fleet.faults.storeDown;
        }
    }
    fleet.faults = {};
    fleet.run(15000);
    checkNoViolations(fleet, std::string(row.name) + ", seed " + std::to_string(seed));
}

} // namespace

TEST(ANonRepeatableCall, holdsItsPromisesInEveryRowOfTheFaultTable)
{
    const std::vector<FaultCase> table = {
        {"answers of writes lost", faultsOf(40, 0, 0, 0), false, false},
        {"writes take effect late or never", faultsOf(0, 40, 0, 0), false, false},
        {"stale reads", faultsOf(10, 10, 40, 0), false, false},
        {"slow store", faultsOf(10, 10, 10, 30), false, false},
        {"claimants killed", faultsOf(20, 20, 10, 5), true, false},
        {"claimants paused", faultsOf(20, 20, 10, 5), false, true},
        {"endpoints fail as well", endpointFaults(), true, true},
    };
    for (const FaultCase &row : table) {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            runClaimCase(row, seed);
        }
    }
}
