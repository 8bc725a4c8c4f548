#pragma once

#include "FakeDriver.h"
#include "OlderSchema.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

/// Several instances that exchange their digests, before engine endpoints that may crash on one part of a prompt, and may name a limit on their requests.
/// Time passes in steps; messages take one step.
class InstanceFleet
{
public:
    /// The part of a prompt on which endpoints crash when they begin to answer.
    static constexpr std::uint64_t FatalPart = 666;
    /// A part that all prompts share.
    static constexpr std::uint64_t CommonPart = 1;
    static constexpr relay::Ms Step{25};
    /// Time from the crash of an endpoint to its return.
    static constexpr relay::Ms RestartTime{2000};

    /// How an instance is cut off from all endpoints.
    enum class EndpointCut {
        None,
        /// What it asks stays unanswered.
        Silent,
        /// Its connections are reset, and new ones are refused.
        Reset,
    };

    /// An endpoint, its listed entry included.
    struct Endpoint {
        relay::EndpointEntry entry;
        /// It is down until then; zero while it is up.
        relay::Instant downUntil{0};
        /// Requests a second that its answers name as the limit for all instances together; 0 for none.
        double requestLimit = 0;
        /// It answers every request with an error.
        bool fails = false;
        /// It answers every request with bytes that are no answer.
        bool isDamaged = false;
    };
    /// A request that one instance has sent to an endpoint.
    struct Run {
        std::size_t instance = 0;
        relay::AttemptId attempt = 0;
        relay::CallId call = 0;
        std::string endpoint;
        /// When its first event is due.
        relay::Instant firstEventAt{0};
    };
    struct Instance {
        /// The landing that the instance is of, as far as messages, stored records and hand-overs go; null for today's. Set by the fleet.
        const OlderSchema *landing = nullptr;
        FakeDriver driver;
        std::unique_ptr<relay::RelayKernel> kernel;
        /// Digests and dispatches of the driver that have been processed.
        std::size_t deliveredDigests = 0;
        std::size_t processedDispatches = 0;
        std::size_t answeredReports = 0;
        std::size_t answeredChecks = 0;
        std::size_t processedRejections = 0;
        std::size_t processedHandOvers = 0;
        std::size_t processedEnds = 0;
        int answeredQuarantineReads = 0;
        std::size_t processedQuarantineWrites = 0;
        std::size_t processedQuarantineRemovals = 0;
        std::size_t processedStreams = 0;
        /// No digest reaches it or leaves it.
        bool isCutOff = false;
        /// Whether it reaches the endpoints; it reaches the store and the other instances all the while.
        EndpointCut endpointCut = EndpointCut::None;
        /// Its process has ended.
        bool isDown = false;
        /// Until then the store shows it no configuration that is newer than its own.
        relay::Instant readsConfigFrom{0};
    };

    /// Decides of which landing a new process of an instance is; null for today's.
    using LandingOf = std::function<const OlderSchema *(std::size_t instance)>;

    explicit InstanceFleet(
        std::size_t instanceCount, LandingOf landingOf = [](std::size_t) { return nullptr; });

    /// Starts another instance, which knows nothing yet, and returns its number.
    std::size_t addInstance();
    /// Replaces an instance by a new process of the same name, and of the landing that the fleet was given for it.
    void restart(std::size_t instance);
    /// Replaces an instance by a new process of that landing.
    void replace(std::size_t instance, const OlderSchema *landing);
    /// Ends the process of an instance, with its open requests.
    void takeDown(std::size_t instance);
    /// Sends a request through an instance. Its prompt begins with the common part, then the other one if it isn't 0, then the last one, by which the
    /// request is counted. If `fingerprint` is 0, no other request has the same one.
    void request(std::size_t instance, std::uint64_t lastPart, std::uint64_t fingerprint = 0, std::uint64_t otherPart = 0);
    /// Gives an instance reports of crashes by a fingerprint, as if they came from an instance outside the fleet.
    void report(std::size_t instance, std::uint64_t fingerprint, const std::vector<std::uint64_t> &crashes);
    /// Lets the time pass. `eachStep` is called once in each step.
    template<typename EachStep>
    void advance(relay::Ms duration, EachStep eachStep)
    {
        for (relay::Ms elapsed{0}; elapsed < duration; elapsed += Step) {
            eachStep();
            step();
        }
    }
    void advance(relay::Ms duration)
    {
        advance(duration, []() {});
    }
    /// Crashes an endpoint from outside.
    void crash(std::size_t endpoint);

    /// Returns how many requests with that last part were sent to endpoints from that time on.
    std::size_t sentSince(std::uint64_t lastPart, relay::Instant since) const;
    /// Returns how many requests were sent to an endpoint within that time.
    std::size_t sentTo(std::size_t endpoint, relay::Instant since, relay::Instant until) const;
    /// Returns the highest number of requests that were sent to an endpoint within any span of that length since then.
    std::size_t maxSentTo(std::size_t endpoint, relay::Instant since, relay::Ms span) const;
    /// Returns the time of the n-th crash by the fatal part, counted from 1; none if there were fewer.
    std::optional<relay::Instant> fatalCrash(std::size_t n) const;
    std::size_t storedQuarantines() const
    {
        return quarantines_.size();
    }
    /// Changes the configuration in the store.
    void setConfig(relay::FleetConfigPtr config)
    {
        config_ = std::move(config);
    }
    /// Returns how many requests were sent to endpoints by an instance whose configuration was older than that of the instance that the caller asked.
    std::size_t sentByOlderConfig() const
    {
        return sentByOlderConfig_;
    }
    /// Returns how many requests were handed over to an instance from that time on.
    std::size_t handedOverTo(std::size_t instance) const;
    /// Returns how many requests were made through an instance within that time, and how many of them have begun to be answered.
    std::pair<std::size_t, std::size_t> begunOf(std::size_t instance, relay::Instant since, relay::Instant until) const;
    /// Returns how many requests with that last part have got their first event from that time on.
    std::size_t begunSince(std::uint64_t lastPart, relay::Instant since) const;
    /// Returns by how many the retries within any span of that length exceed `ratio` times the requests of that span, or of one that ends up to a span
    /// before, at most.
    double maxRetriesBeyond(double ratio, relay::Ms span) const;
    /// Returns how many retries were sent from that time on.
    std::size_t retriesSince(relay::Instant since) const;
    /// Returns how many requests an instance has rejected as crashing since then.
    std::size_t quarantinedSince(std::size_t instance, relay::Instant since) const;

    relay::Instant now{std::chrono::seconds(100)};
    std::vector<Endpoint> endpoints;
    std::vector<std::unique_ptr<Instance>> instances;
    /// The fatal part crashes an endpoint in one of this many runs.
    int runsPerCrash = 1;
    /// Requests that were handed over to an instance of a landing that takes none.
    int misdirectedHandOvers = 0;

private:
    /// An event of the history, with the last part of its request.
    struct Observation {
        relay::Instant at{0};
        std::uint64_t lastPart = 0;
        std::string endpoint;
    };
    /// A request and its caller's view of it.
    struct Asked {
        relay::Instant at{0};
        bool hasBegun = false;
    };
    struct Quarantined {
        relay::Instant at{0};
        std::size_t instance = 0;
    };

    void step();
    void join(Instance &instance, std::size_t number);
    /// Gives every instance the list of instances, as its landing reads it.
    void listInstances();
    /// Returns a message as it arrives at an instance from another one, each of its own landing.
    static wire::RelayMessage received(const wire::RelayMessage &message, const Instance &sender, const Instance &receiver);
    /// Returns whether a process of that landing takes requests from others and keeps quarantines.
    static bool handsOver(const Instance &instance);
    Endpoint &endpointOf(const std::string &id);
    void deliverDigests();
    void processDispatches();
    void answerReports();
    void answerChecks();
    /// Ends or forgets the runs of instances that are cut off from the endpoints.
    void cutRuns();
    void collectBegunStreams();
    /// Takes the requests that instances hand over to the places where they are served, and what becomes of them back.
    void deliverHandOvers();
    /// Carries out what the instances do with the store's records of quarantines.
    void serveQuarantines();
    void returnStreams(std::size_t instance);
    void collectRejections();
    void beginRuns();
    void crash(Endpoint &endpoint);
    std::vector<relay::EndpointEntry> listedEntries() const;

    LandingOf landingOf_;
    std::vector<Run> runs_;
    std::map<std::pair<std::size_t, relay::CallId>, std::uint64_t> lastPartOfCall_;
    std::map<std::pair<std::size_t, relay::CallId>, Asked> asked_;
    std::vector<Observation> sent_;
    std::vector<Observation> begun_;
    std::vector<relay::Instant> requestTimes_;
    std::vector<relay::Instant> retryTimes_;
    std::map<std::pair<std::size_t, relay::CallId>, int> dispatchesOfCall_;
    std::vector<Quarantined> quarantined_;
    std::vector<relay::Instant> fatalCrashes_;
    std::map<std::string, std::size_t> numberOfAddress_;
    /// The addresses for hand-overs in the store's list of instances. A landing that has none leaves what a newer process of the same name has written.
    std::map<std::size_t, std::string> listedHandOvers_;
    /// The store's records of quarantines, with the times of their writes.
    std::map<std::uint64_t, std::pair<relay::Instant, relay::QuarantineRecord>> quarantines_;
    /// By the instance that serves it and its call there: who has handed a request over, and under which attempt.
    std::map<std::pair<std::size_t, relay::CallId>, std::pair<std::size_t, relay::AttemptId>> handedOver_;
    std::map<std::pair<std::size_t, relay::CallId>, relay::CallArrival> arrivals_;
    /// Version of the configuration of the instance that the caller has asked, when the request came. By instance and call there, also of one that it was
    /// handed over to.
    std::map<std::pair<std::size_t, relay::CallId>, std::uint64_t> versionAtArrival_;
    std::size_t sentByOlderConfig_ = 0;
    relay::FleetConfigPtr config_ = RelayTestBed::config(1);
    relay::CallId lastCall_ = 0;
    std::uint64_t storeRevision_ = 0;
    int fatalRuns_ = 0;
};
