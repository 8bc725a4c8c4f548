#pragma once

#include "TestFleet.h"

#include <algorithm>

using namespace trefoilport;

/// Interval at which each instance reads the head of the configuration.
inline constexpr std::int64_t HeadPollIntervalMs = 200;
/// Interval at which each instance reads the platform's instance list.
inline constexpr std::int64_t ListPollIntervalMs = 500;
/// Time after which a load probe of a frozen endpoint fails.
inline constexpr std::int64_t ProbeTimeoutMs = 300;
/// Time between two tokens of a pipeline whose stages have not been slowed.
inline constexpr std::int64_t TokenIntervalMs = 10;
/// Number of layers of the model "tutor".
inline constexpr std::uint32_t Layers = 12;

/// Readings of an instance's monotonic and wall clock at a virtual time, in milliseconds. Their origins differ, and neither reads 0, which
/// means "not set" in the kernel.
inline base::Now nowAt(std::int64_t ms)
{
    return {std::chrono::milliseconds(ms + 1000), ms + 1'000'000};
}

/// An instance: its kernel and the state of its simulated process.
struct TestFleet::Instance {
    std::string id;
    /// Mesh address of the instance.
    std::string mesh;
    std::unique_ptr<Kernel> kernel;
    /// 0 after a crash, so that scheduled tasks of the earlier process have no effect.
    std::uint64_t incarnation = 0;
    /// The process is running: it was started and has neither crashed nor exited.
    bool alive = false;
    bool paused = false;
    /// As last set by SetReady.
    bool ready = false;
    /// The kernel has ended the process with Exit.
    bool exited = false;
    bool cutFromStore = false;
    /// The configuration's revision that is in force; 0 before the first.
    std::uint64_t revision = 0;
    std::uint64_t headVersion = 0;
    /// Events that arrived during a pause.
    std::vector<Event> pendingEvents;
    /// The call of each attempt, from the kernel's AttemptStarted records.
    std::map<AttemptId, CallId> callOfAttempt;
    /// Attempts that the kernel has cancelled.
    std::set<AttemptId> cancelled;
    /// The last answer to a status request.
    std::optional<StatusReport> status;
};

/// A fake engine or service.
struct TestFleet::Endpoint {
    EndpointInfo info;
    /// The process has ended; connections to it fail at once.
    bool dead = false;
    /// The process hangs; connections to it stay open without answers.
    bool frozen = false;
    /// The endpoint refuses new work and reports itself as leaving.
    bool draining = false;
    std::int64_t tokenIntervalMs = TokenIntervalMs;
    /// Pipeline attempts in flight, from all instances; reported in load probes.
    std::uint32_t inFlight = 0;
    /// Virtual time at which the endpoint last got new work; -1 if it never did.
    std::int64_t lastWorkAt = -1;
};

/// An object of the fake store. Stale reads return the version and value from before the last write.
struct TestFleet::Object {
    /// 0 if the object was never written.
    std::uint64_t version = 0;
    StoreValue value;
    /// 0 if there was at most one write.
    std::uint64_t oldVersion = 0;
    StoreValue oldValue;
};

/// Virtual time, the instances, the fakes, and the records from which violations are detected.
struct TestFleet::State {
    State(std::uint64_t seed, std::size_t count)
        : random(seed)
        , instances(count)
    {
    }

    /// Schedules a task to run after delayMs milliseconds of virtual time; a negative delay counts as 0. Tasks for the same time run in the order in which they
    /// were scheduled.
    void at(std::int64_t delayMs, std::function<void()> task)
    {
        tasks.push({nowMs + std::max<std::int64_t>(0, delayMs), ++sequence, std::move(task)});
    }

    /// Returns true with the given probability.
    bool chance(unsigned percent)
    {
        return percent > 0 && random.nextBelow(100) < percent;
    }

    /// Returns a random number from low to high, both inclusive.
    std::int64_t randomBetween(std::int64_t low, std::int64_t high)
    {
        return low + static_cast<std::int64_t>(random.nextBelow(static_cast<std::uint64_t>(high - low + 1)));
    }

    /// Passes an event to the kernel of instance i and executes the resulting actions. The event waits during a pause and is dropped if the process has ended.
    void deliver(std::size_t i, const Event &event);
    /// Starts instance i with a new kernel and a new incarnation, and begins its ticks and polls.
    void startInstance(TestFleet &fleet, std::size_t i);
    /// Sends a Tick to instance i and schedules the next one; ends with the given incarnation.
    void tick(std::size_t i, std::uint64_t incarnation);
    /// Reads the head for instance i and schedules the next read; ends with the given incarnation.
    void pollHead(std::size_t i, std::uint64_t incarnation);
    /// Reads the configuration's head for instance i, which gets HeadReceived or StoreFailed.
    void readHead(std::size_t i, std::uint64_t incarnation);
    /// Sends the instance list to instance i if that can reach it, and schedules the next one; ends with the given incarnation.
    void pollList(std::size_t i, std::uint64_t incarnation);
    /// Looks up the parsed configurations of a head's documents.
    ParsedHead parse(const wire::ConfigHead &head) const;
    /// Index of the instance with this mesh address; the number of instances if there is none.
    std::size_t indexOf(const std::string &mesh) const;
    /// True if instance i can't reach the store.
    bool storeFails(std::size_t i) const
    {
        return fleetFaults->storeDown || instances[i].cutFromStore;
    }
    /// Writes an object if its version is the expected one, where 0 means that it must not exist, and sets `version` to the new one; otherwise returns
    /// Conflict. A head that lowers the accepted revision is a violation.
    StoreStatus applyWrite(const std::string &key, const StoreValue &value, std::uint64_t expected, std::uint64_t &version);
    /// Records a violation if instance i starts new work under a revision that has been outdated for longer than MaxActivationDelayMs. `what` names the work in
    /// the message.
    void checkNewWork(std::size_t i, const std::string &what);
    /// Generates the token at a position of a pipeline attempt and schedules the next one. Ends the attempt after its last token, at a fault, or once it was
    /// cancelled; waits while a stage is frozen.
    void emitToken(std::size_t i, std::uint64_t incarnation, const StartPipeline &start, std::uint32_t position);
    /// Sends AttemptFailed to instance i after a delay, unless it has crashed or restarted by then. `endpoint` is empty if the failed stage is unknown.
    void failAttempt(std::size_t i, AttemptId attempt, AttemptFailure failure, const std::string &endpoint, std::int64_t delayMs);
    /// Removes a pipeline attempt from the calls in flight of its endpoints.
    void releaseEndpoints(const std::vector<PlanStage> &plan);

    struct Task {
        /// Virtual time in milliseconds.
        std::int64_t time;
        /// Sequence number for tasks with the same time.
        std::uint64_t order;
        std::function<void()> run;
        /// Reversed, since a priority queue has its greatest element on top: the earliest task must be there.
        bool operator<(const Task &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    base::Random random;
    /// The public faults of the fleet.
    Faults *fleetFaults = nullptr;
    /// The fleet that owns this state.
    TestFleet *fleet = nullptr;
    /// Virtual time in milliseconds.
    std::int64_t nowMs = 0;
    /// Source of task order numbers and of incarnations, which must grow.
    std::uint64_t sequence = 0;
    std::priority_queue<Task> tasks;
    std::vector<Instance> instances;
    /// Sender and receiver of the messages that are dropped.
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    /// Objects of the store by key.
    std::map<std::string, Object> store;
    /// Version of the last successful write to any object.
    std::uint64_t lastVersion = 0;
    /// Number of writes processed, including conflicts.
    std::uint64_t storeWrites = 0;
    /// Configurations by revision.
    std::map<std::uint64_t, std::shared_ptr<const settings::RoutingConfig>> configs;
    /// The highest accepted revision.
    std::uint64_t accepted = 0;
    /// Virtual time at which each revision was accepted.
    std::map<std::uint64_t, std::int64_t> acceptedAt;
    /// Endpoints by id.
    std::map<std::string, Endpoint> endpoints;
    /// Id of the last call that was sent.
    std::uint64_t lastCall = 0;
    /// What the callers have received, by call.
    std::map<std::uint64_t, Answer> answers;
    /// How many times a service call with each idempotency key has run.
    std::map<std::string, int> executions;
    /// Service calls that have run.
    std::set<std::uint64_t> executedCalls;
    /// Endpoints that a prompt with the poison text has crashed.
    std::set<std::string> crashedByPoison;
    std::vector<std::string> violations;
};
