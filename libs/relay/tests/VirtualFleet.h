#pragma once

#include "OlderSchema.h"
#include "VirtualTime.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Simulates a whole fleet in virtual time: instances with real kernels, the store, endpoints, callers, and a network that delays messages and
/// partitions nodes. The seed determines everything that happens.
///
/// Two kinds of endpoints exist: engines, which hold layers of a model and answer streams, and desks, which answer plain requests.
///
/// The guarantees of the router are checked from the view of callers, endpoints and the store; each violation is collected with its time.
class VirtualFleet
{
public:
    /// Creates the store, the endpoints and the instances; the instances start within the first 300 ms of virtual time.
    explicit VirtualFleet(std::uint64_t seed);
    /// Makes all faults of the schedule pauses of sound engine endpoints: each is silent for a second or so and goes on.
    void pauseEnginesOnly()
    {
        pausesEnginesOnly_ = true;
    }
    /// Lets the pauses be up to that long, all engines pause at once now and then, and the operator change the configuration all the while: routes come, go and
    /// lead elsewhere, their timeouts and the model's profile change, and keys come and go.
    void changeConfigBeside(relay::Ms longestPause)
    {
        longestPause_ = longestPause;
        changesConfig_ = true;
    }
    /// Makes half of the instances speak as that landing, and replaces one after the other by the other build, forward and back, for as long as there are
    /// faults. An instance that restarts after a fault changes its build, too. The landing must outlive the fleet.
    void mixWith(const OlderSchema &landing)
    {
        older_ = &landing;
    }
    ~VirtualFleet();
    VirtualFleet(const VirtualFleet &) = delete;
    VirtualFleet &operator=(const VirtualFleet &) = delete;

    /// Runs the whole schedule once: a start without faults, a period of overlapping faults, a recovery period, and a last period in which calls
    /// must be served again.
    void runSchedule();

    /// Violations of the guarantees so far, each as one line that begins with its virtual time in milliseconds.
    const std::vector<std::string> &violations() const
    {
        return violations_;
    }

    /// Counts of the events of a schedule, with which a test can check that the schedule was not empty.
    struct Totals {
        /// Calls of all callers, including those that found no instance to connect to.
        int calls = 0;
        /// Calls that ended with a complete stream or with status 200.
        int served = 0;
        /// Calls that the kernel rejected.
        int rejected = 0;
        /// Streams that were broken off.
        int broken = 0;
        /// Those of them whose caller still waited, that had time left, and at which no endpoint had broken off.
        int brokenByRouter = 0;
        int faults = 0;
        /// Detour orders that were sent to a first stage.
        int detours = 0;
        int resumed = 0;
        /// Planned replacements of instances by the other build, and how often each build has taken the planner's lease.
        int replacements = 0;
        int leasesOfOlder = 0;
        int leasesOfToday = 0;
        /// Calls made after the recovery deadline.
        int callsAfterRecovery = 0;
        /// Calls made after the recovery deadline that were served.
        int servedAfterRecovery = 0;
    };
    /// Counts since the start of the schedule.
    const Totals &totals() const
    {
        return totals_;
    }

private:
    struct Instance;
    class Driver;

    /// A stream that an engine runs as its first stage.
    struct Run {
        /// Index of the instance that sent the attempt, and its generation at that time.
        std::size_t instance = 0;
        std::uint64_t generation = 0;
        relay::AttemptId attempt = 0;
        std::string requestId;
        std::vector<relay::Hop> pipeline;
        /// Ids of the next event to send and of the last one of the stream.
        std::uint64_t nextEvent = 1;
        std::uint64_t lastEvent = 1;
        /// It has made an event.
        bool hasBegun = false;
        /// When the run stopped making progress because a stage is down; zero while it makes progress.
        relay::Instant stalledSince{0};
        /// Address of the stage that is down; empty while the run makes progress.
        std::string stalledOn;
    };

    struct Endpoint {
        relay::EndpointEntry entry;
        bool alive = true;
        /// The endpoint is down without closing its connections, so that they hang instead of breaking.
        bool silent = false;
        /// The endpoint is loading the layers of an order.
        bool loading = false;
        /// The endpoint leaves orders unanswered and executes them seconds later.
        bool delaysOrders = false;
        /// Answers of the endpoint may be lost after it has run the request.
        bool losesAnswers = false;
        /// The endpoint is silent until then and goes on with its runs.
        relay::Instant pausedUntil{0};
        /// Highest fencing number of the orders handled since the endpoint's start.
        std::uint64_t fence = 0;
        /// Number of orders begun since the endpoint's start.
        std::uint64_t orderCount = 0;
        /// Streams under way, by run number.
        std::map<std::uint64_t, Run> runs;
        /// When the endpoint was listed as draining; zero before that.
        relay::Instant drainingSince{0};
        /// When the endpoint's entry in the store expires unless a heartbeat renews it.
        relay::Instant listedUntil{0};
    };

    struct Store {
        bool down = false;
        /// How often the store was restored from a copy, plus one.
        std::uint64_t epoch = 1;
        /// Grows with each change of the configuration, the endpoint list or the lease.
        std::uint64_t revision = 10;
        relay::FleetConfigPtr config;
        std::map<std::string, relay::EndpointEntry> endpoints;
        std::map<std::string, relay::InstanceEntry> instances;
        relay::LeaseRecord lease;
        /// Revision of the last write of the lease; zero if there was none.
        std::uint64_t leaseRevision = 0;
        /// End of the latest outage, also if it lies in the future.
        relay::Instant downUntil{0};
    };

    /// One call and the caller's view of its progress.
    struct Caller {
        relay::CallId id = 0;
        /// Index of the instance that got the call, and its generation at that time.
        std::size_t instance = 0;
        std::uint64_t generation = 0;
        std::string requestId;
        relay::RequestKind kind = relay::RequestKind::AtMostOnce;
        /// Its route permits one run, whatever happens to that.
        bool mayRunOnce = false;
        relay::Instant sentAt{0};
        std::string key;
        /// Number of events of the stream.
        std::uint64_t events = 0;
        /// Id of the last event that the caller got, and when it came.
        std::uint64_t delivered = 0;
        relay::Instant deliveredAt{0};
        /// An endpoint has broken off an attempt of it.
        bool wasBrokenByEndpoint = false;
        bool ended = false;
        bool served = false;
        /// The caller got an error that states that the request did not run.
        bool reportedNotRun = false;
    };

    /// One run of a request at an endpoint, and when it began.
    struct RunRecord {
        std::string endpoint;
        std::uint64_t incarnation = 0;
        relay::Instant at{0};
    };

    // Schedule and faults.
    void scheduleFaults();
    /// Injects one fault of a random kind at random nodes.
    void injectFault();
    /// Pauses some engine endpoints for a second or so.
    void pauseEngines();
    /// Returns true if the endpoint is alive and not paused.
    bool isResponsive(const Endpoint &endpoint) const;
    /// Ends the endpoint's process and its runs. If `silent`, its connections hang. It restarts some seconds later, except for a limited number of engines,
    /// which are lost for good.
    void crash(Endpoint &endpoint, bool silent);
    /// Starts the endpoint with a new incarnation and without layers.
    void restart(Endpoint &endpoint);
    /// Lists the endpoint as draining; its process ends 3500 ms later. Does nothing if the endpoint is down or draining, or if the store is down.
    void drain(Endpoint &endpoint);
    /// Adds an engine without layers, to which the planner has to assign some.
    void addEngine();
    /// Stores a newer configuration. If `revokesKey`, the key "key-c" is revoked in it and in all later ones. Does nothing while the store is down.
    void changeConfig(bool revokesKey);
    /// Makes the kind of change to the configuration that its version chooses.
    void varyConfig(relay::FleetConfig &config) const;
    /// Keeps copies of the store, from which it may be restored; repeats this periodically.
    void keepCopies();
    /// Takes the store away for that time and restores it from a copy that is some seconds old: its revisions are given out again, and what the
    /// instances wrote since is gone. The endpoints write their entries again with their heartbeats, the operator the configuration.
    void restoreStore(relay::Ms away);
    /// Writes the newest configuration again, as soon as the store is reachable.
    void rewriteConfig();
    /// Ends outages, partitions and faulty behaviour of endpoints. Killed or frozen instances and crashed endpoints return by themselves.
    void endFaults();
    /// Checks what must hold once every call has ended.
    void checkEnd();
    relay::FleetConfigPtr makeConfig() const;

    // Network. A node is named by an instance's name, an endpoint's id or "store".
    bool reaches(const std::string &a, const std::string &b) const;
    /// Partitions a node from all others, or only from the store.
    void cut(const std::string &node, relay::Ms duration, bool onlyFromStore);
    /// Whether the latest fault of the node in `lastFaultAt_` lies at that time or later.
    bool hadFaultSince(const std::string &node, relay::Instant since) const;
    /// Draws the one-way delay of a message, 1 ms to 3 ms.
    relay::Ms delay();
    /// Sends a request from an instance to a node. `serve` runs at the node; `done` runs in the instance with the answer, or with none after the
    /// timeout. An empty answer of `serve` is not sent.
    template<typename Answer>
    void query(std::size_t instance,
               const std::string &node,
               relay::Ms timeout,
               std::function<std::optional<Answer>()> serve,
               std::function<void(const std::optional<Answer> &)> done);

    // Instances.
    /// Starts the instance's process, with a new generation and a new kernel, unless it is running.
    void startInstance(std::size_t index);
    /// Ends an instance at once, without draining; its open calls and its runs at endpoints end with it.
    void killInstance(std::size_t index);
    /// Suspends an instance: its tasks wait until it wakes.
    void freezeInstance(std::size_t index, relay::Ms duration);
    /// Stops an instance as planned, starts it again when it has exited, and goes on with the next one after a while.
    void replaceInstances(std::size_t index);
    /// Returns whether the present process of an instance speaks as the earlier landing.
    bool isOlder(const Instance &instance, std::size_t index) const;
    /// Runs the task in the instance, after the end of its freeze if it is frozen. The task is dropped if that generation of the instance has ended.
    void runInInstance(std::size_t index, std::uint64_t generation, std::function<void()> task);
    void tickInstance(std::size_t index, std::uint64_t generation);
    /// Reads the configuration from the store; reads it again periodically while the kernel follows the store.
    void readConfig(std::size_t index);
    /// Reads the endpoint list from the store; reads it again periodically while the kernel follows the store.
    void listEndpoints(std::size_t index);
    void listInstances(std::size_t index, std::uint64_t generation);
    /// Checks that at most one instance regards itself as the planner.
    void checkPlanners();

    // Endpoints.
    /// Null if no endpoint has the address.
    Endpoint *endpointAt(const std::string &address);
    /// Null if no endpoint has the id.
    Endpoint *endpointNamed(const std::string &id);
    /// Renews or expires the endpoint's entry in the store, and repeats this periodically.
    void heartbeat(std::size_t index);
    /// Carries an attempt over the network to its endpoint, and reports a failure if it can't be sent.
    void deliver(std::size_t instance, const relay::Dispatch &dispatch);
    /// Checks an attempt's pipeline at its first stage, and refuses the attempt or starts a run.
    void deliverToEngine(std::size_t instance, std::uint64_t generation, const relay::Dispatch &dispatch, const std::string &requestId);
    /// Runs a plain request and answers it, or refuses it while the endpoint drains.
    void deliverToDesk(std::size_t instance, std::uint64_t generation, const relay::Dispatch &dispatch, const std::string &requestId);
    /// Sends the next event of a run, or breaks the run off if it has stalled for too long; schedules itself until the run ends.
    void advanceRun(const std::string &endpoint, std::uint64_t incarnation, std::uint64_t run);
    /// Returns the address of a stage that is down; empty if the run makes progress.
    std::string stalledStageOf(const Run &run);
    /// Delivers something of a run to the instance that sent it, after the delay of the network, if that still reaches the endpoint.
    void notifyInstance(const Run &run, const std::string &endpoint, const std::function<void(relay::RelayKernel &)> &event);
    /// Breaks the connection of a run, and notes that its endpoint has done so.
    void breakRun(const Run &run, const std::string &endpoint);
    /// Sends an event of a run and, with the last one, the end of its stream.
    void sendEvent(const Run &run, const std::string &endpoint, std::uint64_t event);
    /// Executes an order as a real endpoint would: checks the order count and the fence, and loads the layers.
    relay::OrderOutcome handleOrder(const relay::PlacementOrder &order);
    /// Replaces the pipeline of a run at its first stage. If a stage is unusable, the detour is refused and `faultAddress` names
    /// that stage; if the run is unknown, it is refused without an address.
    relay::OrderOutcome handleDetour(const relay::Detour &detour, std::string &faultAddress);
    /// None if the endpoint is down.
    std::optional<relay::EndpointReport> reportOf(const std::string &id);
    /// Counts an attempt that reached its endpoint, and checks that the endpoint and the key could still be used.
    void recordArrival(std::size_t instance, const relay::Dispatch &dispatch, const Caller &caller);
    /// Records that a request has begun to run at an endpoint.
    void recordRun(const Endpoint &endpoint, const std::string &requestId);
    /// Checks that the stages cover every layer once and in order, and that no endpoint occurs twice.
    void checkPipeline(const std::vector<relay::Hop> &hops, const std::string &requestId);

    // Callers.
    /// Makes one call to a random instance and schedules the next one, until the last period ends.
    void sendCall();
    /// Returns what an instance gets of a request, but for its route.
    static relay::CallArrival arrivalOf(const Caller &caller);
    /// Makes a caller leave after a random time, unless it has its answer by then.
    void leaveLater(Caller &caller);
    /// Null if the call isn't open.
    Caller *callerOf(std::size_t instance, relay::CallId call);
    /// Returns the caller of a request that runs.
    Caller &callerOf(const Run &run);
    void endCall(Caller &caller, bool served);
    /// Returns whether only the router can be why a stream is broken off now.
    bool isBrokenByRouter(const Caller &caller) const;
    /// Checks that a call has ended, that it ran no more often than its kind allows, and that it did not run if its caller got an error that states so.
    void checkCaller(const Caller &caller);
    /// Checks the shared limit on retries for every service and window.
    void checkRetries();

    void addViolation(const std::string &text);
    /// Draws a random number from 0 to `below` - 1.
    std::uint64_t draw(std::uint64_t below);

    std::mt19937_64 random_;
    VirtualTime time_;
    /// The end of the period of faults.
    relay::Instant faultsUntil_{0};
    /// From then on the fleet must serve calls again.
    relay::Instant recoveryDeadline_{0};
    Store store_;
    /// Copies of the store in the order of their times.
    std::deque<std::pair<relay::Instant, Store>> copies_;
    std::vector<std::unique_ptr<Instance>> instances_;
    /// Never shrinks: endpoints that are lost for good stay in it, so that references to elements remain valid.
    std::vector<std::unique_ptr<Endpoint>> endpoints_;
    /// Nodes that reach no other node.
    std::set<std::string> cutOff_;
    /// Nodes that don't reach the store.
    std::set<std::string> cutFromStore_;
    /// By node: time of the latest crash or restart of an endpoint, or end of the latest partition or freeze of an instance, which may lie in the future.
    /// Kills of instances are not recorded here.
    std::map<std::string, relay::Instant> lastFaultAt_;
    bool pausesEnginesOnly_ = false;
    /// The faults are pauses beside changes of the configuration.
    bool changesConfig_ = false;
    relay::Ms longestPause_{1400};
    /// The landing that half of the instances speak as; null if all are of today's.
    const OlderSchema *older_ = nullptr;
    /// Time of revocation, by key.
    std::map<std::string, relay::Instant> revokedKeys_;
    std::vector<std::unique_ptr<Caller>> callers_;
    std::map<std::pair<std::size_t, relay::CallId>, Caller *> openCallers_;
    /// Runs by request id.
    std::map<std::string, std::vector<RunRecord>> runs_;
    /// Number of attempts that reached an endpoint, by request id.
    std::map<std::string, int> arrivals_;
    /// Arrival times of the first attempts of requests, by service.
    std::map<std::string, std::vector<relay::Instant>> firstArrivals_;
    /// Arrival times of all further attempts, by service.
    std::map<std::string, std::vector<relay::Instant>> retries_;
    std::vector<std::string> violations_;
    Totals totals_;
    relay::CallId lastCall_ = 0;
    std::uint64_t lastRun_ = 0;
    std::uint64_t configVersion_ = 1;
    std::size_t enginesAdded_ = 0;
    std::size_t enginesLost_ = 0;
};
