#include "details/EndpointReach.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// An instance before eight endpoints, whose answers and failures it receives.
TEST_GROUP(TheReachOfAnInstance)
{
    std::vector<EndpointIndex> endpoints = {0, 1, 2, 3, 4, 5, 6, 7};
    Instant now{std::chrono::seconds(100)};
    EndpointReach reach;

    EndpointReach::Change advance(Ms duration)
    {
        now += duration;
        return reach.tick(endpoints, now);
    }
};

/// Guards against one endpoint that is lost or falls silent being taken for a cut, however often it fails.
TEST(TheReachOfAnInstance, isNotDoubtedForLongIfOneEndpointFails)
{
    for (int i = 0; i < 50; ++i) {
        reach.onFailed(3, now);
        CHECK(advance(Ms(50)) == EndpointReach::Change::None);
    }
    CHECK(reach.isInDoubt());
    const std::vector<EndpointIndex> checks = reach.dueChecks(endpoints, now);
    LONGS_EQUAL(1, checks.size());
    CHECK(checks.front() != 3);
    reach.onReached(now);
    CHECK(!reach.isInDoubt());
}

/// Guards against several endpoints that are lost together being taken for a cut while another one answers.
TEST(TheReachOfAnInstance, isNotLostIfOthersAnswer)
{
    for (const EndpointIndex lost : {0U, 1U, 2U, 3U}) {
        reach.onFailed(lost, now);
    }
    CHECK(advance(Ms(50)) == EndpointReach::Change::None);
    reach.onReached(now);
    CHECK(advance(Ms(500)) == EndpointReach::Change::None);
}

/// Guards against a cut that isn't found: everything fails, or nothing is received.
TEST(TheReachOfAnInstance, isLostOnceSeveralEndpointsHaveFailedAndNoneAnswers)
{
    reach.onReached(now);
    now += Ms(300);
    reach.onWaiting(now - Ms(300), now);
    int rounds = 0;
    while (advance(Ms(50)) != EndpointReach::Change::CutOff && ++rounds < 10) {
        for (const EndpointIndex check : reach.dueChecks(endpoints, now)) {
            reach.onFailed(check, now);
        }
    }
    CHECK(reach.isCutOff());
    CHECK(rounds < 10);
}

/// Guards against a cut being kept after its end.
TEST(TheReachOfAnInstance, returnsWithTheFirstAnswer)
{
    for (const EndpointIndex lost : {0U, 1U, 2U}) {
        reach.onFailed(lost, now);
    }
    CHECK(advance(Ms(200)) == EndpointReach::Change::CutOff);
    CHECK(!reach.dueChecks(endpoints, now).empty());
    CHECK(reach.dueChecks(endpoints, now + Ms(100)).empty());
    CHECK(!reach.dueChecks(endpoints, now + Ms(600)).empty());
    reach.onReached(now);
    CHECK(!reach.isCutOff());
    CHECK(advance(Ms(50)) == EndpointReach::Change::ReachesAgain);
    CHECK(advance(Ms(50)) == EndpointReach::Change::None);
}

/// Guards against checks without need: while answers come, and more often than once a second while a request takes long.
TEST(TheReachOfAnInstance, isCheckedRarelyWhileARequestTakesLong)
{
    std::size_t checks = 0;
    const Instant since = now;
    for (int i = 0; i < 100; ++i) {
        advance(Ms(50));
        reach.onWaiting(since, now);
        for (std::size_t n = reach.dueChecks(endpoints, now).size(); n > 0; --n) {
            ++checks;
            reach.onReached(now);
        }
    }
    CHECK(checks > 0);
    CHECK(checks <= 6);
}

/// Guards against a deployment with a single endpoint taking its loss for a cut.
TEST(TheReachOfAnInstance, isNotJudgedByASingleEndpoint)
{
    endpoints = {0};
    reach.onFailed(0, now);
    CHECK(advance(Ms(500)) == EndpointReach::Change::None);
}
