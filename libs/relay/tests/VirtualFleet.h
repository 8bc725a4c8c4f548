#pragma once

#include "VirtualTime.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Instances with real kernels, the store, endpoints and callers in virtual time, over a network that delays and cuts. Everything that happens
/// follows from the seed.
///
/// What must always hold is checked as callers, endpoints and the store see it; violations are collected with their time.
class VirtualFleet
{
public:
    explicit VirtualFleet(std::uint64_t seed);
    ~VirtualFleet();
    VirtualFleet(const VirtualFleet &) = delete;
    VirtualFleet &operator=(const VirtualFleet &) = delete;

    /// Plays the whole schedule: a calm start, faults that overlap, and a calm end after which all must be served again.
    void play();

    const std::vector<std::string> &violations() const
    {
        return violations_;
    }

    /// Counts of what happened, so that a test can tell that a schedule is not empty.
    struct Totals {
        int calls = 0;
        int served = 0;
        int refused = 0;
        int broken = 0;
        int faults = 0;
        int detours = 0;
        int resumed = 0;
        /// Calls of the calm end, and those of them that were served.
        int lateCalls = 0;
        int lateServed = 0;
    };
    const Totals &totals() const
    {
        return totals_;
    }

private:
    struct Instance;
    class Driver;

    /// One request that passes through an engine as its first stage.
    struct Run {
        std::size_t instance = 0;
        std::uint64_t life = 0;
        relay::AttemptId attempt = 0;
        std::string requestId;
        std::vector<relay::Hop> path;
        std::uint64_t nextEvent = 1;
        std::uint64_t lastEvent = 1;
        relay::Instant stalledSince{0};
        std::string stalledOn;
    };

    struct Endpoint {
        relay::EndpointEntry entry;
        bool alive = true;
        /// Its connections hang instead of breaking.
        bool dark = false;
        bool loading = false;
        /// Leaves orders unanswered and carries them out late.
        bool ordersLate = false;
        /// Runs requests of which the answer is lost.
        bool losesAnswers = false;
        std::uint64_t fence = 0;
        std::uint64_t orderCount = 0;
        std::map<std::uint64_t, Run> runs;
        relay::Instant drainingSince{0};
        relay::Instant listedUntil{0};
    };

    struct Store {
        bool down = false;
        std::uint64_t revision = 10;
        relay::FleetConfigPtr config;
        std::map<std::string, relay::EndpointEntry> endpoints;
        std::map<std::string, relay::InstanceEntry> instances;
        relay::LeaseRecord lease;
        std::uint64_t leaseRevision = 0;
        relay::Instant unstableUntil{0};
    };

    struct Caller {
        relay::CallId id = 0;
        std::size_t instance = 0;
        std::uint64_t life = 0;
        std::string requestId;
        relay::RequestKind kind = relay::RequestKind::AtMostOnce;
        relay::Instant sentAt{0};
        std::string key;
        std::uint64_t events = 0;
        std::uint64_t delivered = 0;
        bool ended = false;
        bool served = false;
        bool saidNotRun = false;
    };

    /// Where a request ran, and whether that endpoint was there to the end.
    struct RunRecord {
        std::string endpoint;
        std::uint64_t incarnation = 0;
        relay::Instant at{0};
    };

    // The schedule.
    void planFaults();
    void injectFault();
    void crash(Endpoint &endpoint, bool dark);
    void restart(Endpoint &endpoint);
    void drain(Endpoint &endpoint);
    void addEngine();
    void changeConfig(bool takesKeyAway);
    void heal();
    void checkEnd();
    relay::FleetConfigPtr makeConfig() const;

    // The network. Nodes have names: instances, endpoints, "store".
    bool reaches(const std::string &a, const std::string &b) const;
    void cut(const std::string &node, relay::Ms time, bool onlyFromStore);
    bool wasCutSince(const std::string &node, relay::Instant since) const;
    relay::Ms delay();
    /// Asks a node: `serve` runs there, `done` gets its answer, or none after the timeout.
    template<typename Answer>
    void ask(std::size_t instance,
             const std::string &node,
             relay::Ms timeout,
             std::function<std::optional<Answer>()> serve,
             std::function<void(const std::optional<Answer> &)> done);

    // Instances.
    void startInstance(std::size_t index);
    void killInstance(std::size_t index);
    void freezeInstance(std::size_t index, relay::Ms time);
    /// Runs the task in the instance, once it isn't frozen; not at all if it has ended since.
    void inInstance(std::size_t index, std::uint64_t life, std::function<void()> task);
    void tickInstance(std::size_t index, std::uint64_t life);
    void readConfig(std::size_t index);
    void listEndpoints(std::size_t index);
    void listInstances(std::size_t index, std::uint64_t life);
    void checkPlanners();

    // Endpoints.
    Endpoint *endpointAt(const std::string &address);
    Endpoint *endpointNamed(const std::string &id);
    void heartbeat(std::size_t index);
    void arrive(std::size_t instance, const relay::Dispatch &dispatch);
    void arriveAtEngine(std::size_t instance, std::uint64_t life, const relay::Dispatch &dispatch, const std::string &requestId);
    void arriveAtDesk(std::size_t instance, std::uint64_t life, const relay::Dispatch &dispatch, const std::string &requestId);
    void step(const std::string &endpoint, std::uint64_t incarnation, std::uint64_t run);
    relay::OrderOutcome takeOrder(const relay::PlacementOrder &order);
    relay::OrderOutcome takeDetour(const relay::Detour &detour, std::string &faultAddress);
    std::optional<relay::EndpointReport> reportOf(const std::string &id);
    void noteArrival(std::size_t instance, const relay::Dispatch &dispatch, const Caller &caller);
    void noteRun(const Endpoint &endpoint, const std::string &requestId);
    void checkPath(const std::vector<relay::Hop> &hops, const std::string &requestId);

    // Callers.
    void sendCall();
    Caller *callerOf(std::size_t instance, relay::CallId call);
    void endCall(Caller &caller, bool served);
    void checkCaller(const Caller &caller);
    void checkRetries();

    void violate(const std::string &text);
    std::uint64_t draw(std::uint64_t below);

    std::mt19937_64 random_;
    VirtualTime time_;
    relay::Instant calmFrom_{0};
    Store store_;
    std::vector<std::unique_ptr<Instance>> instances_;
    /// Never shrinks; an endpoint that is gone stays as it was.
    std::vector<std::unique_ptr<Endpoint>> endpoints_;
    std::set<std::string> cutOff_;
    std::set<std::string> cutFromStore_;
    std::map<std::string, relay::Instant> cutAt_;
    std::map<std::string, relay::Instant> removedKeys_;
    std::vector<std::unique_ptr<Caller>> callers_;
    std::map<std::pair<std::size_t, relay::CallId>, Caller *> openCallers_;
    std::map<std::string, std::vector<RunRecord>> runs_;
    std::map<std::string, int> arrivals_;
    std::map<std::string, std::vector<relay::Instant>> firstArrivals_;
    std::map<std::string, std::vector<relay::Instant>> repeats_;
    std::vector<std::string> violations_;
    Totals totals_;
    relay::CallId lastCall_ = 0;
    std::uint64_t lastRun_ = 0;
    std::uint64_t configVersion_ = 1;
    std::size_t enginesAdded_ = 0;
    std::size_t enginesLost_ = 0;
};
