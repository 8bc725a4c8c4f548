#include "InstanceFleet.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace relay;

/// Guards against an endpoint that goes on getting requests although its bytes are no answers, and against its way back being closed.
TEST_GROUP(AnEndpointWhoseBytesAreNoAnswer)
{
    /// Requests of one burst: so many that the load of the sound endpoints outweighs failures of another one, which has none.
    static constexpr std::size_t BurstSize = 480;
    RelayTestBed bed;
    /// The endpoint that sends what is no answer; the others are sound.
    const std::string damaged = "desk-a";

    /// Starts requests that are open at the same time, then answers them as their endpoints do. Returns how many the damaged endpoint has got.
    std::size_t burst(bool isSoundAgain = false)
    {
        const std::size_t before = bed.driver.sent.size();
        for (std::size_t i = 0; i < BurstSize; ++i) {
            bed.call("/book/seat");
        }
        std::size_t count = 0;
        for (std::size_t i = before; i < before + BurstSize && i < bed.driver.sent.size(); ++i) {
            const Dispatch dispatch = bed.driver.sent[i];
            count += dispatch.endpoint == damaged ? 1 : 0;
            if (dispatch.endpoint == damaged && !isSoundAgain) {
                bed.kernel.onFailure(bed.now, dispatch.attempt, AttemptFailure::Malformed);
            } else {
                bed.kernel.onAnswer(bed.now, dispatch.attempt, {200, false, true, ""});
            }
        }
        bed.advance(Ms(100));
        return count;
    }

    /// Lists no endpoint of the service but these.
    void listOnly(const std::vector<std::string> &ids)
    {
        std::erase_if(bed.entries, [&](const EndpointEntry &entry) { return entry.service == "desk" && std::count(ids.begin(), ids.end(), entry.id) == 0; });
        bed.advance(Ms(100));
    }

    /// Starts a new process of the endpoint.
    void restart(const std::string &endpoint)
    {
        for (EndpointEntry &entry : bed.entries) {
            entry.incarnation += entry.id == endpoint ? 1 : 0;
        }
        bed.advance(Ms(200));
    }
};

/// Guards against a faulty endpoint that keeps getting its part of the load, since it is free again as soon as it has failed.
TEST(AnEndpointWhoseBytesAreNoAnswer, getsFewRequestsAfterItsFirstOnes)
{
    CHECK(burst() > 2);
    std::size_t count = 0;
    for (int i = 0; i < 100; ++i) {
        count += burst();
    }
    // The pauses of ten seconds leave room for this many probes.
    CHECK_TEXT(count <= 4, std::to_string(count).c_str());
}

/// Guards against requests that are kept from an endpoint which is sound, since one answer was damaged on the way.
TEST(AnEndpointWhoseBytesAreNoAnswer, isNotAvoidedForOneDamagedAnswer)
{
    bed.call("/read/x");
    while (bed.driver.sent.back().endpoint != damaged) {
        bed.call("/read/x");
    }
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Malformed);
    CHECK(burst(true) > 2);
    CHECK(burst(true) > 2);
}

/// Guards against an endpoint that stays shut out after its repair, and against a burst of requests to one that isn't repaired.
TEST(AnEndpointWhoseBytesAreNoAnswer, getsOneRequestByWhichItReturnsOnceItIsSound)
{
    burst();
    burst();
    bed.advance(Ms(4000));
    UNSIGNED_LONGS_EQUAL(1, burst(true));
    CHECK(burst(true) > 2);
}

/// Guards against a pause that outlives the process which was faulty.
TEST(AnEndpointWhoseBytesAreNoAnswer, isNotAvoidedAfterItsRestart)
{
    burst();
    UNSIGNED_LONGS_EQUAL(0, burst());
    restart(damaged);
    CHECK(burst(true) > 2);
}

/// Guards against rejecting every request of a service whose only endpoint is faulty now and then.
TEST(AnEndpointWhoseBytesAreNoAnswer, getsRequestsWhileNoOtherCouldTakeThem)
{
    listOnly({damaged});
    burst();
    UNSIGNED_LONGS_EQUAL(BurstSize, burst());
}

/// Guards against the repetition of a request that must not run twice: the endpoint may have run it, whatever it sends.
TEST(AnEndpointWhoseBytesAreNoAnswer, mayHaveRunTheRequest)
{
    const std::size_t before = bed.driver.sent.size();
    bed.call("/book/seat");
    bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Malformed);
    LONGS_EQUAL(before + 1, bed.driver.sent.size());
    CHECK(bed.driver.rejected.back().rejection.kind == base::ErrorKind::UpstreamBroken);
    CHECK(base::errorAnswer(base::ErrorKind::UpstreamBroken).ran != base::HasRun::No);
}

/// Guards against an instance that takes itself for cut off from its endpoints, and hands its requests over, since all of them send damage.
TEST(AnEndpointWhoseBytesAreNoAnswer, hasBeenReached)
{
    for (int i = 0; i < 20; ++i) {
        bed.call("/book/seat");
        bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Malformed);
        bed.advance(Ms(50));
    }
    CHECK(bed.kernel.reachesEndpoints());
}

/// Guards against sound requests in quarantine: an endpoint that sends damage hasn't crashed on what it was sent, and its restart is no sign of that.
TEST(AnEndpointWhoseBytesAreNoAnswer, countsAsNoCrash)
{
    constexpr std::uint64_t Fingerprint = 4711;
    for (int i = 0; i < 6; ++i) {
        bed.call("/book/seat", "key-a", Ms(1000), Fingerprint);
        const std::string endpoint = bed.driver.sent.back().endpoint;
        bed.kernel.onFailure(bed.now, bed.lastAttempt(), AttemptFailure::Malformed);
        restart(endpoint);
    }
    CHECK(bed.kernel.quarantine(bed.now).empty());
}

/// Guards against each instance of a large fleet learning it anew at the cost of many callers.
TEST_GROUP(AFleetWithADamagedEndpoint){
    /// Returns how many requests an instance has sent to the damaged endpoint within ten seconds, on average, of two a second.
    static double sentToDamaged(std::size_t instances){InstanceFleet fleet(instances);
fleet.advance(Ms(2000));
fleet.endpoints[0].isDamaged = true;
const Instant since = fleet.now;
std::uint64_t number = 1000;
int step = 0;
fleet.advance(Ms(10000), [&]() {
    if (++step % 20 == 0) {
        for (std::size_t i = 0; i < instances; ++i) {
            fleet.request(i, ++number);
        }
    }
});
return static_cast<double>(fleet.sentTo(0, since, fleet.now)) / static_cast<double>(instances);
}
}
;

TEST(AFleetWithADamagedEndpoint, sendsItLittle)
{
    for (const std::size_t instances : {3U, 69U, 195U}) {
        const double sent = sentToDamaged(instances);
        CHECK_TEXT(sent <= 5, (std::to_string(instances) + " instances: " + std::to_string(sent)).c_str());
    }
}
