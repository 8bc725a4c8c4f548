#include "CutOffBed.h"

#include <CppUTest/TestHarness.h>

using namespace relay;

/// An instance that reaches no endpoint hands a request over, while nobody listens at the addresses of many others: the list of instances still names those of
/// processes that have been rolled back to an earlier build, or are gone.
TEST_GROUP(InstancesThatCannotBeReached)
{
    CutOffBed bed;
    CallId call = 0;

    /// Lists that many other instances, and makes a call at the one that reaches no endpoint.
    void callBeside(int others)
    {
        std::vector<InstanceEntry> instances{{"one", "one:1", "zone-a", "one:2"}};
        for (int i = 0; i < others; ++i) {
            const std::string name = "other-" + std::to_string(i);
            instances.push_back({name, name + ":1", "zone-a", name + ":2"});
        }
        bed.cutOff();
        bed.kernel.onInstances(bed.now, instances);
        call = bed.call("/book/seat");
        LONGS_EQUAL(1, handOvers());
    }

    long handOvers() const
    {
        return std::count_if(bed.driver.handOvers.begin(), bed.driver.handOvers.end(), [this](const HandOver &each) { return each.call == call; });
    }

    /// Lets hand-overs fail, each after that time, until none follows.
    void failAll(Ms delay)
    {
        for (long failed = 0; failed < handOvers(); ++failed) {
            bed.now += delay;
            bed.kernel.onFailure(bed.now, bed.lastHandOver().attempt, AttemptFailure::NotSent);
        }
    }

    bool wasRejected() const
    {
        return std::any_of(bed.driver.rejected.begin(), bed.driver.rejected.end(), [this](const FakeDriver::Rejected &each) { return each.call == call; });
    }
};

/// Guards against requests that are rejected although others would take them: a connection that is refused costs a round trip only.
TEST(InstancesThatCannotBeReached, areLeftOutUntilOneTakesTheRequest)
{
    constexpr int Unreached = 10;
    callBeside(Unreached + 2);
    for (int i = 0; i < Unreached; ++i) {
        bed.kernel.onFailure(bed.now, bed.lastHandOver().attempt, AttemptFailure::NotSent);
    }
    LONGS_EQUAL(Unreached + 1, handOvers());
    CHECK(!wasRejected());
}

/// Guards against the other error: the caller waits while one connection after the other isn't answered.
TEST(InstancesThatCannotBeReached, endTheRequestSoonIfTheirConnectionsAreNotAnswered)
{
    callBeside(40);
    failAll(Ms(300));
    LONGS_EQUAL(3, handOvers());
    CHECK(wasRejected());
}

/// Guards against connections to a whole fleet for each request of an instance whose own network is lost.
TEST(InstancesThatCannotBeReached, areTriedUpToABoundIfAllRefuseTheirConnections)
{
    callBeside(195);
    failAll(Ms(0));
    CHECK(handOvers() <= 16);
    CHECK(wasRejected());
}

/// Guards against a request that nobody has received being rejected although the endpoints are within reach again: refused connections are no attempts.
TEST(InstancesThatCannotBeReached, leaveTheRequestItsAttemptsHereIfTheCutIsOver)
{
    callBeside(12);
    for (int i = 0; i < 5; ++i) {
        bed.kernel.onFailure(bed.now, bed.lastHandOver().attempt, AttemptFailure::NotSent);
    }
    bed.unreachable.clear();
    bed.advance(Ms(800));
    CHECK(bed.kernel.reachesEndpoints());
    const std::size_t sent = bed.driver.sent.size();
    bed.kernel.onFailure(bed.now, bed.lastHandOver().attempt, AttemptFailure::NotSent);
    CHECK(!wasRejected());
    LONGS_EQUAL(sent + 1, bed.driver.sent.size());
}
