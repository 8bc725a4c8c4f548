#pragma once

#include "TestFleet.h"

#include <algorithm>

using namespace trefoilport;

inline constexpr std::int64_t HeadPollMs = 200;
inline constexpr std::int64_t ListPollMs = 500;
inline constexpr std::int64_t ProbeTimeoutMs = 300;
inline constexpr std::int64_t TokenMs = 10;
inline constexpr std::uint32_t Layers = 12;

/// Both clocks of an instance at a virtual time.
inline base::Now nowAt(std::int64_t ms)
{
    return {std::chrono::milliseconds(ms + 1000), ms + 1'000'000};
}

/// One kernel with what surrounds it.
struct TestFleet::Instance {
    std::string id;
    std::string mesh;
    std::unique_ptr<Kernel> kernel;
    std::uint64_t incarnation = 0;
    bool alive = false;
    bool paused = false;
    bool ready = false;
    bool exited = false;
    bool cutFromStore = false;
    std::uint64_t revision = 0;
    std::uint64_t headVersion = 0;
    std::vector<Event> waiting;
    std::map<AttemptId, CallId> callOfAttempt;
    std::set<AttemptId> cancelled;
    std::optional<StatusReport> status;
};

/// A fake engine or service.
struct TestFleet::Endpoint {
    EndpointInfo info;
    bool dead = false;
    bool frozen = false;
    bool draining = false;
    std::int64_t tokenMs = TokenMs;
    std::uint32_t inFlight = 0;
    std::int64_t lastWorkAt = -1;
};

/// An object of the fake store, with its value before the last write.
struct TestFleet::Object {
    std::uint64_t version = 0;
    StoreValue value;
    std::uint64_t oldVersion = 0;
    StoreValue oldValue;
};

/// The fakes, virtual time and what the invariants need to remember.
struct TestFleet::State {
    State(std::uint64_t seed, std::size_t count)
        : random(seed)
        , instances(count)
    {
    }

    void at(std::int64_t delayMs, std::function<void()> task)
    {
        tasks.push({nowMs + std::max<std::int64_t>(0, delayMs), ++sequence, std::move(task)});
    }

    bool chance(unsigned percent)
    {
        return percent > 0 && random.nextBelow(100) < percent;
    }

    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return low + static_cast<std::int64_t>(random.nextBelow(static_cast<std::uint64_t>(high - low + 1)));
    }

    void feed(std::size_t i, const Event &event);
    void startInstance(TestFleet &fleet, std::size_t i);
    void tick(std::size_t i, std::uint64_t incarnation);
    void pollHead(std::size_t i, std::uint64_t incarnation);
    void readHead(std::size_t i, std::uint64_t incarnation);
    void pollList(std::size_t i, std::uint64_t incarnation);
    ParsedHead parse(const wire::ConfigHead &head) const;
    std::size_t indexOf(const std::string &mesh) const;
    bool storeFails(std::size_t i) const
    {
        return fleetFaults->storeDown || instances[i].cutFromStore;
    }
    StoreStatus writeNow(const std::string &key, const StoreValue &value, std::uint64_t expected, std::uint64_t &version);
    void checkNewWork(std::size_t i, const std::string &what);
    void emitToken(std::size_t i, std::uint64_t incarnation, const StartPipeline &start, std::uint32_t position);
    void failAttempt(std::size_t i, AttemptId attempt, AttemptFailure failure, const std::string &endpoint, std::int64_t delayMs);
    void endWork(const std::vector<PlanStage> &plan);

    struct Task {
        std::int64_t time;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Task &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    base::Random random;
    Faults *fleetFaults = nullptr;
    TestFleet *fleet = nullptr;
    std::int64_t nowMs = 0;
    std::uint64_t sequence = 0;
    std::priority_queue<Task> tasks;
    std::vector<Instance> instances;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::map<std::string, Object> store;
    std::uint64_t lastVersion = 0;
    std::uint64_t storeWrites = 0;
    std::map<std::uint64_t, std::shared_ptr<const settings::RoutingConfig>> configs;
    std::uint64_t accepted = 0;
    std::map<std::uint64_t, std::int64_t> acceptedAt;
    std::map<std::string, Endpoint> endpoints;
    std::uint64_t lastCall = 0;
    std::map<std::uint64_t, Answer> answers;
    std::map<std::string, int> executed;
    std::set<std::uint64_t> executedCalls;
    std::set<std::string> poisonedEndpoints;
    std::vector<std::string> violations;
};
