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

/// Calls to a service that is not idempotent, so that each key must run at most once, in a fleet of two instances and two endpoints of the service.
TEST_GROUP(AnAtMostOnceCall)
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

TEST(AnAtMostOnceCall, runsOnceAndARepeatThroughAnotherInstanceGetsTheSameOutcome)
{
    const auto first = fleet.sendBooking(0, "family-7");
    fleet.run(500);
    const auto repeat = fleet.sendBooking(1, "family-7");
    fleet.run(500);
    CHECK(fleet.answer(first).service.has_value());
    CHECK(fleet.answer(repeat).service.has_value());
    STRCMP_EQUAL(fleet.answer(first).service->body.c_str(), fleet.answer(repeat).service->body.c_str());
    CHECK(fleet.answer(repeat).replayed);
    LONGS_EQUAL(1, fleet.executions("family-7"));
}

TEST(AnAtMostOnceCall, sharesItsOutcomeWithConcurrentRepeats)
{
    const auto first = fleet.sendBooking(0, "family-7");
    const auto repeatHere = fleet.sendBooking(0, "family-7");
    const auto repeatThere = fleet.sendBooking(1, "family-7");
    fleet.run(3000);
    CHECK(fleet.answer(first).service.has_value() && fleet.answer(repeatHere).service.has_value() && fleet.answer(repeatThere).service.has_value());
    LONGS_EQUAL(1, fleet.executions("family-7"));
}

TEST(AnAtMostOnceCall, isRefusedIfItsKeyWasUsedForADifferentRequest)
{
    fleet.sendBooking(0, "family-7", "seat 4");
    fleet.run(500);
    const auto other = fleet.sendBooking(1, "family-7", "seat 5");
    fleet.run(500);
    CHECK(kindOf(fleet.answer(other)) == base::ErrorKind::IdempotencyKeyMismatch);
}

TEST(AnAtMostOnceCall, needsAKey)
{
    const auto call = fleet.sendBooking(0, "");
    CHECK(kindOf(fleet.answer(call)) == base::ErrorKind::IdempotencyKeyRequired);
}

TEST(AnAtMostOnceCall, isReportedAsNotRunWhileTheStoreIsDownAndRunsAfterwards)
{
    fleet.faults.storeDown = true;
    const auto refused = fleet.sendBooking(0, "family-7");
    fleet.run(3000);
    CHECK(kindOf(fleet.answer(refused)) == base::ErrorKind::StoreUnavailable);
    LONGS_EQUAL(0, fleet.executions("family-7"));
    fleet.faults.storeDown = false;
    fleet.run(3000);
    const auto again = fleet.sendBooking(1, "family-7");
    fleet.run(1000);
    CHECK(fleet.answer(again).service.has_value());
}

TEST(AnAtMostOnceCall, needsTheStoreButALookupDoesNot)
{
    fleet.addService("timetable-1");
    fleet.run(1000);
    fleet.faults.storeDown = true;
    fleet.run(1000);
    const auto lookup = fleet.sendLookup(0);
    fleet.run(200);
    CHECK(fleet.answer(lookup).service.has_value());
}

TEST(AnAtMostOnceCall, runsAtMostOnceIfItsInstanceCrashesAfterTheDispatch)
{
    fleet.sendBooking(0, "family-7");
    fleet.run(15);
    fleet.crash(0);
    fleet.run(4000);
    const auto repeat = fleet.sendBooking(1, "family-7");
    fleet.run(5000);
    const TestFleet::Answer &answer = fleet.answer(repeat);
    CHECK(answer.error || answer.service);
    if (answer.error) {
        CHECK(base::errorAnswer(answer.error->kind).ran == base::HasRun::Unknown);
    }
    CHECK(fleet.executions("family-7") <= 1);
}

TEST(AnAtMostOnceCall, runsAtMostOnceIfItsInstancePausesLongerThanTheClaimTimeout)
{
    fleet.faults.lostWriteAnswer = 100;
    const auto call = fleet.sendBooking(0, "family-7");
    fleet.run(3);
    fleet.pause(0);
    fleet.run(20000);
    fleet.faults.lostWriteAnswer = 0;
    fleet.resume(0);
    fleet.run(5000);
    const TestFleet::Answer &answer = fleet.answer(call);
    CHECK(answer.isFinal());
    CHECK(fleet.executions("family-7") <= 1);
}

TEST(AnAtMostOnceCall, isReleasedWhenEveryEndpointRefusesItSoThatARepeatMayRun)
{
    fleet.faults.refused = 100;
    const auto refused = fleet.sendBooking(0, "family-7");
    fleet.run(6000);
    CHECK(kindOf(fleet.answer(refused)) == base::ErrorKind::NoEndpoint);
    fleet.faults.refused = 0;
    fleet.run(1000);
    const auto again = fleet.sendBooking(1, "family-7");
    fleet.run(1000);
    CHECK(fleet.answer(again).service.has_value());
}

TEST(AnAtMostOnceCall, isReleasedAfterItsClaimWasWrittenButNotConfirmedInTimeSoThatARepeatMayRun)
{
    fleet.faults.lostWriteAnswer = 100;
    const auto refused = fleet.sendBooking(0, "family-7");
    fleet.run(15);
    fleet.faults.storeDown = true;
    fleet.run(3000);
    CHECK(kindOf(fleet.answer(refused)) == base::ErrorKind::StoreUnavailable);
    fleet.faults = {};
    fleet.run(3000);
    const auto again = fleet.sendBooking(1, "family-7");
    fleet.run(1000);
    CHECK(fleet.answer(again).service.has_value());
    LONGS_EQUAL(1, fleet.executions("family-7"));
}

TEST(AnAtMostOnceCall, hasAnUnknownOutcomeForARepeatAfterABrokenConnection)
{
    fleet.faults.brokenAfterRun = 100;
    const auto broken = fleet.sendBooking(0, "family-7");
    fleet.run(500);
    CHECK(kindOf(fleet.answer(broken)) == base::ErrorKind::UpstreamBroken);
    fleet.faults.brokenAfterRun = 0;
    const auto repeat = fleet.sendBooking(1, "family-7");
    fleet.run(500);
    CHECK(kindOf(fleet.answer(repeat)) == base::ErrorKind::OutcomeUnknown);
    LONGS_EQUAL(1, fleet.executions("family-7"));
}

TEST_GROUP(TheClaimLedgersWrites){};

TEST(TheClaimLedgersWrites, growMuchMoreSlowlyThanTheCalls)
{
    std::vector<std::uint64_t> writes;
    for (const int callsPerTick : {1, 16}) {
        TestFleet fleet(5, 1);
        fleet.addService("booking-1");
        fleet.start();
        const std::uint64_t before = fleet.storeWrites();
        for (int tick = 0; tick < 50; ++tick) {
            for (int i = 0; i < callsPerTick; ++i) {
                fleet.sendBooking(0, "key-" + std::to_string(tick) + "-" + std::to_string(i));
            }
            fleet.run(20);
        }
        fleet.run(2000);
        writes.push_back(fleet.storeWrites() - before);
        checkNoViolations(fleet, "writes");
    }
    // 16 times the calls may take at most 4 times the writes, and never more than the write budget allows: 300 writes per second over the three seconds of the
    // run, and a burst of 75 writes.
    CHECK(writes[1] <= 4 * writes[0]);
    CHECK(writes[1] <= 3 * 300 + 75);
}

namespace {

/// A combination of faults under which runClaimCase() tests the claims.
struct FaultCase {
    /// Identifies the case in the message of a failed test.
    const char *name;
    TestFleet::Faults faults;
    /// Instances crash and restart at random.
    bool crashes;
    /// Instances pause and resume at random.
    bool pauses;
};

/// Faults of the store, as probabilities in percent.
TestFleet::Faults storeFaults(unsigned lostWriteAnswer, unsigned lateWrite, unsigned staleRead, unsigned slowStore)
{
    TestFleet::Faults faults;
    faults.lostWriteAnswer = lostWriteAnswer;
    faults.lateWrite = lateWrite;
    faults.staleRead = staleRead;
    faults.slowStore = slowStore;
    return faults;
}

/// Faults of the store, the service endpoints and the network between instances.
TestFleet::Faults storeAndEndpointFaults()
{
    TestFleet::Faults faults = storeFaults(20, 10, 10, 5);
    faults.brokenAfterRun = 10;
    faults.brokenBeforeRun = 10;
    faults.refused = 20;
    faults.notSent = 20;
    faults.lostMessage = 20;
    return faults;
}

/// Sends 40 bookings with 8 keys through two instances, so that many are repeats, with the faults of the case, random outages of the store and callers that
/// close their connections. Fails the test if a guarantee is violated.
void runClaimCase(const FaultCase &faultCase, std::uint64_t seed)
{
    TestFleet fleet(seed, 2);
    fleet.addService("booking-1");
    fleet.addService("booking-2");
    fleet.start();
    fleet.faults = faultCase.faults;
    base::Random random(seed * 77);
    for (int step = 0; step < 40; ++step) {
        const std::size_t instance = random.nextBelow(2);
        const auto call = fleet.sendBooking(instance, "key-" + std::to_string(random.nextBelow(8)));
        fleet.run(static_cast<std::int64_t>(random.nextBelow(120)));
        if (random.nextBelow(10) == 0) {
            fleet.disconnectCaller(instance, call);
        }
        if (faultCase.crashes && random.nextBelow(12) == 0) {
            fleet.crash(instance);
            fleet.run(static_cast<std::int64_t>(random.nextBelow(1500)));
            fleet.restart(instance);
        }
        if (faultCase.pauses && random.nextBelow(8) == 0) {
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
    checkNoViolations(fleet, std::string(faultCase.name) + ", seed " + std::to_string(seed));
}

} // namespace

TEST(AnAtMostOnceCall, keepsItsGuaranteesInEveryFaultCase)
{
    const std::vector<FaultCase> faultCases = {
        {"answers to writes are lost", storeFaults(40, 0, 0, 0), false, false},
        {"writes take effect late or never", storeFaults(0, 40, 0, 0), false, false},
        {"stale reads", storeFaults(10, 10, 40, 0), false, false},
        {"slow store", storeFaults(10, 10, 10, 30), false, false},
        {"instances crash", storeFaults(20, 20, 10, 5), true, false},
        {"instances pause", storeFaults(20, 20, 10, 5), false, true},
        {"endpoints fail, instances crash and pause", storeAndEndpointFaults(), true, true},
    };
    for (const FaultCase &faultCase : faultCases) {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            runClaimCase(faultCase, seed);
        }
    }
}
