#include "details/EndpointTable.h"
#include "details/FairQueue.h"
#include "details/PipelineChooser.h"
#include "details/RetryBudget.h"

#include <CppUTest/TestHarness.h>

using namespace trefoilport;

namespace {

/// A queued interactive call that costs 10 tokens and has its deadline at 60 seconds.
QueuedCall queued(CallId call, const std::string &team, std::int64_t weight, const std::string &model = "tutor")
{
    return {call, team, model, settings::CallClass::Interactive, weight, 10, std::chrono::seconds(60)};
}

/// An engine of the model "tutor" for the layers from `first` to `end`, exclusive, with a capacity of 8 calls.
EndpointInfo engine(const std::string &id, std::uint32_t first, std::uint32_t end, std::uint32_t stepMicros = 1000, const std::string &zone = "zone-a")
{
    return {id, EndpointKind::Engine, id, zone, 1, false, "tutor", first, end, stepMicros, 8};
}

} // namespace

TEST_GROUP(TheFairQueue)
{
    FairQueue queue;

    /// Dispatches up to `count` calls from the queue and returns the number of dispatched calls of each team.
    std::map<std::string, int> serve(int count)
    {
        std::map<std::string, int> served;
        int left = count;
        queue.dispatch([&](const QueuedCall &call) {
            if (left == 0) {
                return false;
            }
            --left;
            ++served[call.team];
            return true;
        });
        return served;
    }
};

TEST(TheFairQueue, servesTeamsByWeightHoweverManyCallsOneOfThemQueues)
{
    for (CallId call = 0; call < 1000; ++call) {
        queue.push(queued(call, "flood", 1));
    }
    for (CallId call = 1000; call < 1100; ++call) {
        queue.push(queued(call, "small", 3));
    }
    const auto served = serve(80);
    LONGS_EQUAL(20, served.at("flood"));
    LONGS_EQUAL(60, served.at("small"));
}

TEST(TheFairQueue, starvesNoTeam)
{
    for (CallId call = 0; call < 1000; ++call) {
        queue.push(queued(call, "heavy", 100));
    }
    queue.push(queued(1000, "light", 1));
    CHECK(serve(200).count("light") > 0);
}

TEST(TheFairQueue, estimatesAWaitThatDoesNotGrowWithAnotherTeamsBacklog)
{
    queue.push(queued(1, "small", 2));
    for (CallId call = 10; call < 1000; ++call) {
        queue.push(queued(call, "flood", 2));
    }
    // The team's own two calls of 10 tokens, and the same amount of work of the other team, which has an equal weight.
    LONGS_EQUAL(40, queue.estimatedWork(queued(2, "small", 2)));
}

TEST(TheFairQueue, servesOtherModelsWhileOneHasNoRoom)
{
    queue.push(queued(1, "a", 1, "full"));
    queue.push(queued(2, "a", 1, "free"));
    std::vector<CallId> served;
    queue.dispatch([&](const QueuedCall &call) {
        if (call.model == "full") {
            return false;
        }
        served.push_back(call.call);
        return true;
    });
    LONGS_EQUAL(1, served.size());
    LONGS_EQUAL(2, served.front());
    LONGS_EQUAL(1, queue.size());
}

TEST(TheFairQueue, returnsCallsWhoseDeadlineHasPassed)
{
    queue.push(queued(1, "a", 1));
    LONGS_EQUAL(0, queue.takeExpired(std::chrono::seconds(59)).size());
    LONGS_EQUAL(1, queue.takeExpired(std::chrono::seconds(60)).size());
    LONGS_EQUAL(0, queue.size());
}

// A team whose large call was withdrawn must not wait as if the call had been served.
TEST(TheFairQueue, chargesNoTeamForCallsThatWereNotServed)
{
    QueuedCall large = queued(1, "withdrawn", 1);
    large.cost = 1000;
    QueuedCall expiring = large;
    expiring.call = 2;
    expiring.team = "expired";
    expiring.deadline = std::chrono::seconds(1);
    queue.push(large);
    queue.push(expiring);
    for (CallId call = 10; call < 40; ++call) {
        queue.push(queued(call, call % 3 == 0 ? "withdrawn" : call % 3 == 1 ? "expired" : "other", 1));
    }
    CHECK(queue.remove(1));
    LONGS_EQUAL(1, queue.takeExpired(std::chrono::seconds(2)).size());
    const auto served = serve(15);
    LONGS_EQUAL(5, served.at("withdrawn"));
    LONGS_EQUAL(5, served.at("expired"));
    LONGS_EQUAL(5, served.at("other"));
}

TEST_GROUP(TheRetryBudget){};

TEST(TheRetryBudget, limitsRetriesToAPercentageOfFirstAttempts)
{
    RetryBudget budget;
    budget.configure(20, 10);
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onFirstAttempt();
        taken += budget.tryAcquire() ? 1 : 0;
    }
    CHECK(taken <= 210);
    CHECK(taken >= 200);
}

TEST_GROUP(TheChooser)
{
    EndpointTable table;
    Actions actions;
    PipelineChooser chooser{table, "zone-a", 1};

    /// Returns the ids of the endpoints chosen for a model with this number of layers; empty if no pipeline covers all layers.
    std::vector<std::string> choose(std::uint32_t layers, const std::string &policy = "predicted")
    {
        PipelineRequest request;
        request.model = "tutor";
        request.layers = layers;
        request.policy = policy;
        std::vector<std::string> ids;
        for (const EndpointIndex index : chooser.choosePipeline(request)) {
            ids.push_back(table.at(index).info.id);
        }
        return ids;
    }
};

TEST(TheChooser, coversEveryLayerOnceDespiteOverlappingRanges)
{
    table.onList({engine("a", 0, 4), engine("b", 2, 8), engine("c", 4, 8), engine("d", 8, 12), engine("e", 4, 12, 9000)}, {}, actions);
    CHECK((choose(12) == std::vector<std::string>{"a", "c", "d"}));
}

TEST(TheChooser, choosesNoPipelineIfLayersAreMissing)
{
    table.onList({engine("a", 0, 4), engine("d", 8, 12)}, {}, actions);
    CHECK(choose(12).empty());
}

TEST(TheChooser, prefersTheFasterOfTwoUntilItsQueueIsLonger)
{
    table.onList({engine("slow", 0, 4, 3000), engine("fast", 0, 4, 1000)}, {}, actions);
    CHECK((choose(4) == std::vector<std::string>{"fast"}));
    table.at(*table.find("fast")).inFlight = 4;
    CHECK((choose(4) == std::vector<std::string>{"slow"}));
}

TEST(TheChooser, staysInItsZoneUnlessAnotherIsMuchFaster)
{
    table.onList({engine("near", 0, 4, 1000), engine("far", 0, 4, 900, "zone-b")}, {}, actions);
    CHECK((choose(4) == std::vector<std::string>{"near"}));
}

TEST(TheChooser, reservesCapacityThatBatchCallsMayNotUse)
{
    table.onList({engine("a", 0, 4)}, {}, actions);
    table.at(0).inFlight = 4;
    CHECK(table.hasRoom(0, 1, 100));
    CHECK(!table.hasRoom(0, 1, 50));
}

TEST(TheChooser, alternatesUnderRoundRobin)
{
    table.onList({engine("a", 0, 4), engine("b", 0, 4)}, {}, actions);
    const auto first = choose(4, "round_robin");
    const auto second = choose(4, "round_robin");
    CHECK(first != second);
    CHECK(choose(4, "round_robin") == first);
}

TEST_GROUP(TheEndpointTable)
{
    EndpointTable table;
    Actions actions;
};

TEST(TheEndpointTable, keepsAnEndpointLeavingUntilANewIncarnationDespiteAStaleList)
{
    table.onList({engine("a", 0, 4)}, {}, actions);
    table.markLeaving("a", 1, actions);
    table.onList({engine("a", 0, 4)}, {}, actions);
    CHECK(!table.isUsable(0));
    EndpointInfo next = engine("a", 0, 4);
    next.incarnation = 2;
    table.onList({next}, {}, actions);
    CHECK(table.isUsable(0));
}

TEST(TheEndpointTable, appliesALeavingNoticeThatArrivesBeforeTheList)
{
    table.markLeaving("a", 1, actions);
    table.onList({engine("a", 0, 4)}, {}, actions);
    CHECK(!table.isUsable(0));
}

TEST(TheEndpointTable, opensTheCircuitOnAFailureAndClosesItOnALoadReport)
{
    table.onList({engine("a", 0, 4)}, {}, actions);
    table.markFailed(0, {}, actions);
    CHECK(!table.isUsable(0));
    table.onLoad({"a", 1, 0, false}, actions);
    CHECK(table.isUsable(0));
}

TEST(TheEndpointTable, correctsAnOldLoadReportByItsOwnAttempts)
{
    table.onList({engine("a", 0, 4)}, {}, actions);
    table.at(0).inFlight = 2;
    table.onLoad({"a", 1, 5, false}, actions);
    LONGS_EQUAL(5, table.load(0));
    table.at(0).inFlight = 4;
    LONGS_EQUAL(7, table.load(0));
}
