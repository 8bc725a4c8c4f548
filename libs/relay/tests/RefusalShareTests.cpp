#include "FakeDriver.h"

#include "base/Hash.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace relay;

/// Three idle endpoints that refuse a share of their requests at random, before callers that pause after a rejection. Guards against a fleet that stands still
/// since one refusal of one request pauses an endpoint for all.
TEST_GROUP(EndpointsThatRefuseAShareOfTheirRequests)
{
    static constexpr int Callers = 24;
    static constexpr Ms RunTime{5};
    static constexpr Ms CallerPause{100};
    static constexpr Ms Duration{10000};

    /// A caller's request that waits for its answer, or the pause after a rejection.
    struct Caller {
        CallId call = 0;
        Instant idleUntil{0};
    };
    struct Result {
        std::size_t answered = 0;
        std::size_t rejected = 0;
        std::size_t sent = 0;
    };

    /// Plays the load with a part of 100 refused, and counts what callers got and endpoints were sent.
    static Result play(std::uint64_t refusedOf100)
    {
        RelayTestBed bed;
        std::vector<Caller> callers(Callers);
        std::map<CallId, std::size_t> callerOf;
        std::size_t handledSends = 0;
        std::size_t handledForwards = 0;
        std::size_t handledRejections = 0;
        std::vector<std::pair<Instant, AttemptId>> running;
        std::uint64_t draws = 0;
        const Instant end = bed.now + Duration;
        while (bed.now < end) {
            for (std::size_t i = 0; i < callers.size(); ++i) {
                if (callers[i].call == 0 && bed.now >= callers[i].idleUntil) {
                    callers[i].call = bed.lastCall + 1;
                    callerOf[callers[i].call] = i;
                    bed.call(i % 3 == 0 ? "/book/x" : "/read/x");
                }
            }
            for (; handledSends < bed.driver.sent.size(); ++handledSends) {
                running.emplace_back(bed.now + RunTime, bed.driver.sent[handledSends].attempt);
            }
            bed.now += Ms(1);
            std::vector<AttemptId> due;
            std::erase_if(running, [&](const auto &item) {
                if (item.first <= bed.now) {
                    due.push_back(item.second);
                }
                return item.first <= bed.now;
            });
            for (const AttemptId attempt : due) {
                const bool isRefused = base::mixBits(++draws) % 100 < refusedOf100;
                bed.kernel.onAnswer(bed.now, attempt, isRefused ? AnswerHead{503, true, false, ""} : AnswerHead{200, false, true, ""});
            }
            if (bed.now.count() % Instant(Ms(50)).count() == 0) {
                bed.kernel.onConfig(bed.now, bed.now, nullptr);
                bed.kernel.onEndpoints(bed.now, bed.entries, {bed.storeEpoch, ++bed.storeRevision});
                bed.kernel.onTick(bed.now);
            }
            for (; handledForwards < bed.driver.forwarded.size(); ++handledForwards) {
                callers[callerOf.at(bed.driver.forwarded[handledForwards])].call = 0;
            }
            for (; handledRejections < bed.driver.rejected.size(); ++handledRejections) {
                Caller &caller = callers[callerOf.at(bed.driver.rejected[handledRejections].call)];
                caller = {0, bed.now + CallerPause};
            }
        }
        return {bed.driver.forwarded.size(), bed.driver.rejected.size(), bed.driver.sent.size()};
    }
};

TEST(EndpointsThatRefuseAShareOfTheirRequests, areSentWhatTheyAccept)
{
    const double whole = static_cast<double>(play(0).answered);
    CHECK(static_cast<double>(play(5).answered) >= 0.9 * whole);
    CHECK(static_cast<double>(play(16).answered) >= 0.75 * whole);
}

/// Guards against the other error: endpoints that refuse everything are asked again and again.
TEST(EndpointsThatRefuseAShareOfTheirRequests, areAskedRarelyIfTheyRefuseEverything)
{
    // After a pause that doubles up to 2.4 s, each endpoint gets what comes until its refusal: at most one request of each caller.
    constexpr std::size_t PausesWithinDuration = 7;
    const Result result = play(100);
    LONGS_EQUAL(0, result.answered);
    CHECK(result.sent <= 3 * PausesWithinDuration * Callers);
}
