#pragma once

#include "base/Hash.h"
#include "trefoilport/Kernel.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

/// Simulates a fleet in virtual time: one or more instances with real kernels, and fakes of the store, the endpoints and the network between instances. A run
/// is determined by its seed and the calls of the test.
///
/// The router's guarantees are checked on every action of a kernel, every write to the store and every run of a service call; each violation is recorded as
/// text.
class TestFleet
{
public:
    /// Faults that the fakes inject. The unsigned fields are the probabilities, in percent, of a fault in each operation.
    struct Faults {
        /// Every operation on the store fails, and the platform's instance list can't be read.
        bool storeDown = false;
        /// A write to the store takes effect, but its answer is lost: the writer gets StoreStatus::Ambiguous.
        unsigned lostWriteAnswer = 0;
        /// The answer to a write is lost, and the write takes effect 50 to 3000 ms later or never.
        unsigned lateWrite = 0;
        /// A read returns the object as it was before the last write.
        unsigned staleRead = 0;
        /// A store operation takes 100 to 4000 ms.
        unsigned slowStore = 0;
        /// A message between instances is lost.
        unsigned lostMessage = 0;
        /// The connection to a service breaks after the service has run the call.
        unsigned brokenAfterRun = 0;
        /// The connection to a service breaks before the service runs the call.
        unsigned brokenBeforeRun = 0;
        /// A service refuses the call.
        unsigned refused = 0;
        /// A call could not be sent to its service.
        unsigned notSent = 0;
        /// A token of an attempt arrives again up to 500 ms later, possibly after the attempt has ended.
        unsigned duplicateFrame = 0;
        /// A pipeline sends its end marker before it has generated the requested number of tokens.
        unsigned earlyEnd = 0;
        /// A token with wrong text and an incomplete list of stages arrives for the preceding attempt of the same instance.
        unsigned misroutedFrame = 0;
    };

    /// What the caller of one call has received so far.
    struct Answer {
        std::vector<std::string> tokens;
        /// The completion ended without an error.
        bool ended = false;
        std::optional<base::Error> error;
        std::optional<trefoilport::ServiceAnswer> service;
        /// The service's answer is the outcome of an earlier call with the same idempotency key.
        bool replayed = false;

        /// True if the call is finished, with or without an error.
        bool isFinal() const
        {
            return ended || error || service;
        }
    };

    /// Creates a fleet of the given number of instances, which start() starts.
    TestFleet(std::uint64_t seed, std::size_t instances);

    /// Kernel settings of the same names; a change applies to instances that are started afterwards.
    std::int64_t gossipMs = 100;
    std::int64_t claimBuckets = 2;
    /// The faults that are injected; a change applies at once.
    Faults faults;
    /// Once a revision has been accepted for longer than this, in milliseconds, an instance that starts new work under an older one violates the guarantees.
    static constexpr std::int64_t MaxActivationDelayMs = 5000;

    /// Stages a first configuration, starts the instances and runs until all are ready; it is a violation if that takes longer than 20 s of virtual time.
    void start();

    /// Advances virtual time by a number of milliseconds and runs everything that is due until then.
    void run(std::int64_t ms);

    /// Runs until the condition holds, which is checked every 10 ms; returns false if it does not hold within timeoutMs.
    bool runUntil(const std::function<bool()> &condition, std::int64_t timeoutMs);

    /// Ends an instance at once. Service calls and store writes that it has sent may still take effect.
    void crash(std::size_t instance);
    /// Starts a crashed instance again with its old id and a new incarnation.
    void restart(std::size_t instance);
    /// Suspends an instance, as if its process were stopped: it gets no ticks, and other events wait until resume().
    void pause(std::size_t instance);
    /// Ends a pause; the events that arrived meanwhile are processed at once, in order.
    void resume(std::size_t instance);
    /// Requests a graceful shutdown.
    void requestStop(std::size_t instance);
    /// Drops all messages from one instance to another, but not those in the opposite direction; with isCut false they pass again.
    void cut(std::size_t from, std::size_t to, bool isCut = true);
    /// Makes the store and the instance list unreachable for one instance, or reachable again.
    void cutFromStore(std::size_t instance, bool isCut = true);

    /// Stages a configuration as the next revision, with the given limit for the time to the first token. Returns the revision, or 0 if the store is down.
    std::uint64_t stage(std::int64_t firstTokenMs);
    /// The highest revision accepted in the store.
    std::uint64_t acceptedRevision() const;
    /// The revision that is in force on an instance; 0 if there is none.
    std::uint64_t revisionAt(std::size_t instance) const;
    /// True if the instance reports to the load balancer that it takes new calls.
    bool isReady(std::size_t instance) const;
    /// True if the instance has completed a graceful shutdown.
    bool hasExited(std::size_t instance) const;

    /// Adds an engine that holds the layers from firstLayer to endLayer, exclusive, and is listed with a capacity of `capacity` calls. An engine with
    /// this id is replaced by a new incarnation.
    void addEngine(const std::string &id, std::uint32_t firstLayer, std::uint32_t endLayer, std::uint32_t capacity = 16);
    /// Adds the engines of a pipeline of two stages, front-SUFFIX and back-SUFFIX.
    void addPipeline(const std::string &suffix);
    /// Adds an endpoint of the service that its id names up to the first hyphen, or replaces it by a new incarnation.
    void addService(const std::string &id);
    /// Ends an endpoint's process, so that its connections break.
    void killEndpoint(const std::string &id);
    /// Stops an engine without breaking its connections, so that its pipelines and load probes get no answer; with frozen false it goes on.
    void freezeEndpoint(const std::string &id, bool frozen = true);
    /// Sets the time that an engine takes for each token, in milliseconds.
    void slowEndpoint(const std::string &id, std::int64_t tokenIntervalMs);
    /// Makes the endpoint refuse new work and report in load probes that it is leaving. The instance list shows it as leaving only if `listed` is true.
    void drainEndpoint(const std::string &id, bool listed);
    /// Shows the endpoint as leaving in the instance list only; the endpoint itself still takes new work.
    void listAsLeaving(const std::string &id);
    /// A prompt that contains this text crashes the first stage of each pipeline that runs it; empty means none.
    std::string poison;

    /// Sends a completion call for the given number of tokens to an instance. Returns the call's id, which is unique in the fleet.
    std::uint64_t sendCompletion(std::size_t instance, const std::string &prompt, std::uint32_t tokens);
    /// Sends an at-most-once call with an idempotency key to the service "booking". Returns the call's id.
    std::uint64_t sendBooking(std::size_t instance, const std::string &key, const std::string &body = "seat");
    /// Sends a read-only (GET) call without a key to the service "timetable". Returns the call's id.
    std::uint64_t sendLookup(std::size_t instance);
    /// Closes the connection of the call's caller.
    void disconnectCaller(std::size_t instance, std::uint64_t call);

    /// What the caller of this call has received so far.
    const Answer &answer(std::uint64_t call) const;
    /// How many times a booking with this idempotency key has run.
    int executions(const std::string &key) const;
    /// Number of endpoints that a prompt with the `poison` text has crashed.
    std::size_t endpointsCrashedByPoison() const;
    /// Virtual time, in milliseconds, at which an endpoint last got new work; -1 if it never did.
    std::int64_t lastWorkAt(const std::string &endpoint) const;
    /// Current virtual time in milliseconds; starts at 0.
    std::int64_t nowMs() const;
    /// The kernel's counters of an instance.
    const trefoilport::Counters &counters(std::size_t instance) const;
    /// Number of writes that the store has processed, including those refused for a version conflict.
    std::uint64_t storeWrites() const;
    /// Number of instances, including itself, that an instance reports as alive in its status.
    std::size_t liveCountSeenBy(std::size_t instance);

    /// Violations of the guarantees so far, in the order in which they were found.
    const std::vector<std::string> &violations() const;

    /// The tokens of a complete answer of the given length, as the fake engines generate them: t0, t1 and so on.
    static std::vector<std::string> expectedTokens(std::uint32_t tokens);

private:
    struct Instance;
    struct Endpoint;
    struct Object;
    struct State;
    struct ActionExecutor;

    std::shared_ptr<State> state_;
};
