#include "FakeDriver.h"

#include <map>
#include <memory>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace relay;

/// Engines in two zones, each of which holds one half of the model. Silences make the planner see a smaller fleet than there is.
TEST_GROUP(ThePlanAfterASilence)
{
    static constexpr std::uint32_t Layers = 80;
    static constexpr placement::LayerRange Lower{0, RelayTestBed::HalfLayers};
    static constexpr placement::LayerRange Upper{RelayTestBed::HalfLayers, Layers};
    static constexpr Ms Step{50};
    static constexpr Ms LoadTime{400};
    /// How long the silences of the tests last, if the engines go on after them.
    static constexpr Ms Silence{1300};

    FakeDriver driver;
    std::unique_ptr<RelayKernel> kernel;
    Instant now{std::chrono::seconds(100)};
    std::vector<EndpointEntry> entries;
    std::uint64_t storeRevision = 0;
    std::uint64_t leaseRevision = 10;
    std::set<std::string> silent;
    std::map<std::string, std::uint64_t> orderCounts;
    /// Orders that are being carried out, with their ends.
    std::vector<std::pair<PlacementOrder, Instant>> loads;
    std::size_t handledOrders = 0;
    std::size_t handledReports = 0;
    std::size_t handledChecks = 0;

    /// Adds an engine. Those with an even number are in the first zone, the others in the second one.
    void addEngine(placement::LayerRange held)
    {
        const std::size_t number = entries.size();
        entries.push_back(RelayTestBed::engineEntry("engine-" + std::to_string(number), number % 2 == 0 ? "zone-a" : "zone-b", held));
    }

    /// Starts the instance that plans, and lets it take the lease.
    void startPlanner()
    {
        RelaySettings settings = RelayTestBed::settings();
        settings.planner = true;
        kernel = std::make_unique<RelayKernel>(settings, driver);
        kernel->onConfig(now, now, RelayTestBed::config(1));
        kernel->onEndpoints(now, entries, {0, ++storeRevision});
        advance(Ms(2100));
        kernel->onLeaseRead(now, {0, 0}, {});
        advance(Ms(200));
        CHECK(kernel->isPlanner(now));
    }

    EndpointEntry &entry(const std::string &id)
    {
        return *std::find_if(entries.begin(), entries.end(), [&](const EndpointEntry &listed) { return listed.id == id; });
    }

    EndpointReport reportOf(const std::string &id)
    {
        EndpointReport report;
        report.incarnation = entry(id).incarnation;
        report.orderCount = orderCounts[id];
        report.loading = std::any_of(loads.begin(), loads.end(), [&](const auto &load) { return load.first.endpoint == id; });
        report.layers = entry(id).layers;
        return report;
    }

    /// Carries out the orders that have reached engines, and answers the questions for reports and the checks. Silent engines do none of this.
    void playEngines()
    {
        for (; handledOrders < driver.orders.size(); ++handledOrders) {
            const PlacementOrder order = driver.orders[handledOrders];
            const bool isAccepted = !silent.contains(order.endpoint);
            if (isAccepted) {
                ++orderCounts[order.endpoint];
                loads.emplace_back(order, now + LoadTime);
            }
            kernel->onOrderAnswer(now, order.endpoint, isAccepted ? OrderOutcome::Accepted : OrderOutcome::NoAnswer);
        }
        std::erase_if(loads, [&](const auto &load) {
            if (now >= load.second) {
                entry(load.first.endpoint).layers = load.first.layers;
            }
            return now >= load.second;
        });
        for (; handledReports < driver.reportRequests.size(); ++handledReports) {
            const std::string id = driver.reportRequests[handledReports];
            kernel->onReport(now, id, silent.contains(id) ? std::nullopt : std::optional(reportOf(id)));
        }
        for (; handledChecks < driver.checks.size(); ++handledChecks) {
            const std::string id = driver.checks[handledChecks];
            kernel->onCheck(now, id, silent.contains(id) ? CheckOutcome::NoAnswer : CheckOutcome::Answered);
        }
    }

    void advance(Ms duration)
    {
        for (Ms elapsed{0}; elapsed < duration; elapsed += Step) {
            const std::size_t writes = driver.leaseWrites.size();
            now += Step;
            kernel->onConfig(now, now, nullptr);
            kernel->onEndpoints(now, entries, {0, ++storeRevision});
            kernel->onTick(now);
            playEngines();
            if (driver.leaseWrites.size() > writes) {
                kernel->onLeaseWritten(now, now, {0, ++leaseRevision});
            }
        }
    }

    /// Lets engines fall silent, which the instance notices at once.
    void hush(const std::set<std::string> &engines)
    {
        silent = engines;
        for (const std::string &id : engines) {
            kernel->onReport(now, id, std::nullopt);
        }
    }

    /// Number of engines that hold the range.
    std::size_t holdersOf(placement::LayerRange range) const
    {
        return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), [&](const EndpointEntry &listed) { return listed.layers == range; }));
    }
};

/// Guards against engines that stay idle after a silence of a second: the planner moves a holder to the layers whose holders are silent, and leaves it there
/// when they go on, so that a third of the fleet carries the streams of all.
TEST(ThePlanAfterASilence, isEvenAgainWithinSeconds)
{
    for (const placement::LayerRange held : {Lower, Upper, Upper, Lower, Lower, Upper}) {
        addEngine(held);
    }
    startPlanner();
    hush({"engine-1", "engine-2", "engine-5"});
    advance(Silence);
    silent.clear();
    CHECK(!driver.orders.empty());
    advance(Ms(10000));
    LONGS_EQUAL(3, holdersOf(Lower));
    LONGS_EQUAL(3, holdersOf(Upper));
}

/// Guards against loads of layers for nothing: the holders go on in a moment.
TEST(ThePlanAfterASilence, isLeftAsItIsIfHalfOfTheHoldersFellSilentForASecond)
{
    for (int engine = 0; engine < 16; ++engine) {
        addEngine(engine < 8 ? Lower : Upper);
    }
    startPlanner();
    hush({"engine-0", "engine-1", "engine-2", "engine-3"});
    advance(Silence);
    silent.clear();
    advance(Ms(10000));
    CHECK(driver.orders.empty());
}

/// Guards against the other error: holders that are lost are waited for although their entries stay in the list, or get layers.
TEST(ThePlanAfterASilence, isEvenAmongTheEnginesThatAnswerIfTheOthersStaySilent)
{
    for (int engine = 0; engine < 16; ++engine) {
        addEngine(engine < 8 ? Lower : Upper);
    }
    startPlanner();
    hush({"engine-0", "engine-1", "engine-2", "engine-3"});
    advance(Ms(15000));
    for (const PlacementOrder &order : driver.orders) {
        CHECK(!silent.contains(order.endpoint));
    }
    const std::size_t lower = holdersOf(Lower) - silent.size();
    CHECK(lower >= 5);
    CHECK(holdersOf(Upper) >= 5);
}

/// Guards against a plan that only the instance which has seen the silence would mend: the lease changes hands afterwards.
TEST(ThePlanAfterASilence, isEvenAgainUnderAnotherPlanner)
{
    for (const placement::LayerRange held : {Lower, Upper, Upper, Lower, Upper, Upper}) {
        addEngine(held);
    }
    startPlanner();
    advance(Ms(10000));
    LONGS_EQUAL(3, holdersOf(Lower));
    LONGS_EQUAL(3, holdersOf(Upper));
}

/// Guards against requests that are cut or wait: of the endpoints that can move, the one with the fewest requests does, also if each serves some.
TEST(ThePlanAfterASilence, isEvenAgainUnderLoad)
{
    constexpr int Streams = 40;
    for (const placement::LayerRange held : {Lower, Upper, Upper, Lower, Upper, Upper}) {
        addEngine(held);
    }
    startPlanner();
    for (int stream = 1; stream <= Streams; ++stream) {
        CallArrival arrival;
        arrival.call = static_cast<CallId>(stream);
        arrival.requestId = "request-" + std::to_string(stream);
        arrival.host = "api.example";
        arrival.path = "/stream/x";
        arrival.keySha256 = "key-a";
        arrival.timeLimit = Ms(60000);
        arrival.promptTokens = 500;
        arrival.answerTokens = 100;
        arrival.fingerprint = static_cast<std::uint64_t>(stream);
        kernel->onCall(now, arrival);
    }
    LONGS_EQUAL(Streams, driver.sent.size());
    advance(Ms(5000));
    LONGS_EQUAL(3, holdersOf(Lower));
    LONGS_EQUAL(3, holdersOf(Upper));
}

/// Guards against engines that load layers without end: of five equal ones, two hold one half and three the other, and no move makes that better.
TEST(ThePlanAfterASilence, isLeftAsItIsIfFiveEnginesCantBeMoreEven)
{
    for (const placement::LayerRange held : {Lower, Lower, Upper, Upper, Upper}) {
        entries.push_back(RelayTestBed::engineEntry("engine-" + std::to_string(entries.size()), "zone-a", held));
    }
    startPlanner();
    advance(Ms(60000));
    LONGS_EQUAL(0, driver.orders.size());
}

/// Guards against scarce layers that are never relieved: the planner keeps to the layer that became scarce first for as long as that is scarce, also if nothing
/// can move there, while others have become scarcer.
TEST(ThePlanAfterASilence, relievesLayersBesideOthersThatNothingCanRelieve)
{
    constexpr std::uint32_t Quarter = 20;
    constexpr int Streams = 80;
    const auto rangeOf = [](std::uint32_t quarter) {
        return placement::LayerRange{quarter * Quarter, (quarter + 1) * Quarter};
    };
    for (const std::uint32_t quarter : {0U, 0U, 1U, 1U, 1U, 2U, 2U, 2U, 3U, 3U, 3U}) {
        entries.push_back(RelayTestBed::engineEntry("engine-" + std::to_string(entries.size()), "zone-a", rangeOf(quarter)));
    }
    startPlanner();
    FleetConfig config = *RelayTestBed::config(2);
    config.services.front().engine->kinds = {{"gpu", 25000, 1, 1}};
    kernel->onConfig(now, now, std::make_shared<FleetConfig>(config));
    for (int stream = 1; stream <= Streams; ++stream) {
        CallArrival arrival;
        arrival.call = static_cast<CallId>(stream);
        arrival.requestId = "request-" + std::to_string(stream);
        arrival.host = "api.example";
        arrival.path = "/stream/x";
        arrival.keySha256 = "key-a";
        arrival.timeLimit = Ms(60000);
        arrival.promptTokens = 500;
        arrival.answerTokens = 100;
        arrival.fingerprint = static_cast<std::uint64_t>(stream);
        kernel->onCall(now, arrival);
    }
    LONGS_EQUAL(Streams, driver.sent.size());
    advance(Ms(5000));
    LONGS_EQUAL(0, driver.orders.size());
    std::erase_if(entries, [](const EndpointEntry &listed) { return listed.id == "engine-3" || listed.id == "engine-4"; });
    LONGS_EQUAL(1, holdersOf(rangeOf(1)));
    advance(Ms(10000));
    CHECK(holdersOf(rangeOf(1)) >= 2);
}
