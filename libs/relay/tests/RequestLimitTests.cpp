#include "InstanceFleet.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

namespace {

/// Time in which a limit that an endpoint has named must be kept by all instances together.
constexpr Ms SpreadTime{3000};
/// Requests are counted within any span of this length.
constexpr Ms CountedSpan{4000};

/// Returns how many requests an endpoint with that limit may get within a span: one and a half times what it takes, and a few more.
std::size_t allowedIn(Ms span, double limit)
{
    constexpr double Tolerance = 1.5;
    constexpr double Allowance = 5;
    return static_cast<std::size_t>(Tolerance * limit * std::chrono::duration<double>(span).count() + Allowance);
}

} // namespace

/// An endpoint in need names the number of requests a second that it takes from all instances together.
TEST_GROUP(ARequestLimitOfAnEndpoint)
{
    std::uint64_t step = 0;

    /// Sends a request through one instance in each step, in turn.
    void sendInTurn(InstanceFleet & fleet)
    {
        ++step;
        fleet.request(step % fleet.instances.size(), 100 + step % 20);
    }
};

/// Guards against an endpoint getting far more requests than it has said that it takes.
TEST(ARequestLimitOfAnEndpoint, isKeptByAllInstancesTogether)
{
    for (const std::size_t instances : {1U, 3U, 9U, 40U}) {
        for (const double limit : {0.7, 3.1, 10.0}) {
            InstanceFleet fleet(instances);
            // The others of the first layers take what the limited ones don't.
            fleet.endpoints[0].requestLimit = limit;
            fleet.endpoints[2].requestLimit = limit;
            fleet.advance(Ms(4000), [&]() { sendInTurn(fleet); });
            const Instant since = fleet.now;
            fleet.advance(Ms(16000), [&]() {
                sendInTurn(fleet);
                sendInTurn(fleet);
            });
            for (const std::size_t endpoint : {std::size_t{0}, std::size_t{2}}) {
                CHECK(fleet.maxSentTo(endpoint, since, CountedSpan) <= allowedIn(CountedSpan, limit));
            }
        }
    }
}

/// Guards against an endpoint that is kept from the work that it takes, and against callers that wait for work which nobody takes.
TEST(ARequestLimitOfAnEndpoint, isUsedUpWhileAllEndpointsNameOne)
{
    constexpr double Limit = 2.0;
    for (const std::size_t instances : {1U, 3U, 9U, 40U}) {
        InstanceFleet fleet(instances);
        double totalLimit = 0;
        for (std::size_t i = 0; i < fleet.endpoints.size(); ++i) {
            fleet.endpoints[i].requestLimit = Limit;
            totalLimit += fleet.endpoints[i].entry.layers.first == 0 ? Limit : 0;
        }
        fleet.advance(Ms(4000), [&]() { sendInTurn(fleet); });
        const Instant since = fleet.now;
        constexpr Ms Duration{10000};
        fleet.advance(Duration, [&]() { sendInTurn(fleet); });
        std::size_t sent = 0;
        for (std::size_t i = 0; i < fleet.endpoints.size(); ++i) {
            CHECK(fleet.maxSentTo(i, since, CountedSpan) <= allowedIn(CountedSpan, Limit));
            sent += fleet.sentTo(i, since, fleet.now);
        }
        CHECK(static_cast<double>(sent) >= 0.6 * totalLimit * std::chrono::duration<double>(Duration).count());
        for (const auto &instance : fleet.instances) {
            for (const FakeDriver::Rejected &rejected : instance->driver.rejected) {
                CHECK(rejected.rejection.kind == base::ErrorKind::Overloaded);
                CHECK(rejected.rejection.retryAfter > Ms(0));
            }
        }
    }
}

/// Guards against a limit being kept, by some instances or all, after the endpoint has stopped naming it.
TEST(ARequestLimitOfAnEndpoint, endsEverywhereWithTheFirstAnswerWithoutIt)
{
    InstanceFleet fleet(9);
    for (InstanceFleet::Endpoint &endpoint : fleet.endpoints) {
        endpoint.requestLimit = 1.0;
    }
    fleet.advance(Ms(5000), [&]() { sendInTurn(fleet); });
    for (InstanceFleet::Endpoint &endpoint : fleet.endpoints) {
        endpoint.requestLimit = 0;
    }
    fleet.advance(SpreadTime, [&]() { sendInTurn(fleet); });
    const Instant since = fleet.now;
    fleet.advance(Ms(2000), [&]() { sendInTurn(fleet); });
    std::size_t sent = 0;
    for (std::size_t i = 0; i < fleet.endpoints.size(); ++i) {
        sent += fleet.sentTo(i, since, fleet.now);
    }
    LONGS_EQUAL(Ms(2000) / InstanceFleet::Step, sent);
}

/// Guards against instances that got the limit from none of the endpoint's answers going past it, the new and the restarted ones included.
TEST(ARequestLimitOfAnEndpoint, isKnownToInstancesThatStartLater)
{
    constexpr double Limit = 1.0;
    InstanceFleet fleet(5);
    fleet.endpoints[0].requestLimit = Limit;
    fleet.advance(Ms(5000), [&]() { sendInTurn(fleet); });
    fleet.restart(1);
    fleet.addInstance();
    fleet.addInstance();
    fleet.advance(SpreadTime, [&]() { sendInTurn(fleet); });
    const Instant since = fleet.now;
    fleet.advance(Ms(10000), [&]() { sendInTurn(fleet); });
    CHECK(fleet.maxSentTo(0, since, CountedSpan) <= allowedIn(CountedSpan, Limit));
}

/// Guards against a limit that varies from answer to answer making each answer a reason for a digest before its time.
TEST(ARequestLimitOfAnEndpoint, isReportedAtOnceOnlyIfItChangesByMoreThanALittle)
{
    RelayTestBed bed;
    const auto digestsIn = [&](Ms duration) {
        const std::size_t before = bed.driver.digests.size();
        for (Ms elapsed{0}; elapsed < duration; elapsed += Ms(50)) {
            AnswerHead head{200, false, true, ""};
            head.requestLimit = 20 + static_cast<double>(elapsed.count() % 100) / 100;
            bed.kernel.onHead(bed.now, bed.lastAttempt(), head);
            bed.advance(Ms(50));
        }
        return bed.driver.digests.size() - before;
    };
    bed.call("/stream/x");
    digestsIn(Ms(1200));
    // One digest in 600 ms.
    LONGS_EQUAL(2, digestsIn(Ms(1200)));
}

/// Guards against the limit of a plain service's endpoint being passed by, also by retries and hedges, and against callers that wait until their time is over.
TEST(ARequestLimitOfAnEndpoint, isKeptForPlainCalls)
{
    RelayTestBed bed;
    AnswerHead head{200, false, true, ""};
    head.requestLimit = 1.0;
    constexpr int Calls = 30;
    for (int i = 0; i < Calls; ++i) {
        const std::size_t before = bed.driver.sent.size();
        bed.call("/read/x", "key-a", Ms(1000));
        for (std::size_t sent = before; sent < bed.driver.sent.size(); ++sent) {
            const AttemptId attempt = bed.driver.sent[sent].attempt;
            bed.kernel.onHead(bed.now, attempt, head);
            bed.kernel.onAnswer(bed.now, attempt, head);
        }
        bed.advance(Ms(100));
    }
    // Each of three endpoints takes one a second; half of it is this instance's, whose peer is silent.
    std::map<std::string, int> sent;
    for (const Dispatch &dispatch : bed.driver.sent) {
        ++sent[dispatch.endpoint];
    }
    for (const auto &[endpoint, count] : sent) {
        CHECK(count <= 6);
    }
    CHECK(bed.driver.rejected.size() >= Calls / 3);
    for (const FakeDriver::Rejected &rejected : bed.driver.rejected) {
        CHECK(rejected.rejection.kind == base::ErrorKind::Overloaded);
        CHECK(rejected.rejection.retryAfter > Ms(0));
    }
}
