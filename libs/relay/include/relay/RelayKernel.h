#pragma once

#include "relay/RelayDriver.h"

#include <memory>

namespace relay {

/// Time since an arbitrary origin on a clock that also counts while the instance is suspended.
using Instant = std::chrono::nanoseconds;

/// What one instance is told at its start.
struct RelaySettings {
    /// Name of the instance, the same over restarts.
    std::string node;
    /// Unique among all processes, restarts included.
    std::string instance;
    std::string zone;
    /// A key that was taken away must not be honoured for longer on any instance.
    Ms maxRevocationDelay{5000};
    /// The process is killed so long after it was asked to stop.
    Ms gracePeriod{8000};
    /// Bound on further sendings of requests in a window: a share of the requests, and so many besides for all instances together.
    double retryRatio = 0.2;
    double retryReserve = 100;
    Ms retryWindow{10000};
    /// The planner's lease ends so long after its last renewal.
    Ms leaseTime{3000};
    bool planner = true;
    std::uint64_t seed = 1;
};

/// A request as the driver has decoded it.
struct CallArrival {
    CallId call = 0;
    /// The caller's own id of the request.
    std::string requestId;
    std::string host;
    /// Path without the query.
    std::string path;
    std::string method;
    /// SHA-256 of the API key; empty if there is none.
    std::string keySha256;
    /// The caller's time limit; zero if it gave none.
    Ms timeLimit{0};
    std::string lastEventId;
    std::uint32_t promptTokens = 0;
    /// Tokens of the answer that the caller expects.
    std::uint32_t answerTokens = 0;
    /// Identifies repeats of the same request: caller, path and body.
    std::uint64_t fingerprint = 0;
};

/// How an endpoint answered, as far as the kernel needs it.
struct AnswerHead {
    int status = 0;
    /// The endpoint states that the request did not run there.
    bool notRun = false;
    /// The answer bears the endpoint's mark and the request's id, and has no encoding of its own.
    bool verified = false;
    /// Address of the endpoint at fault, where the answer names one.
    std::string faultAddress;
};

/// How an attempt failed without a whole answer.
enum class AttemptFailure {
    /// Nothing of it left this instance.
    NotSent,
    /// The connection broke, or the answer is damaged.
    Broken,
    TimedOut,
};

/// Counters since the start of the process.
struct RelayCounters {
    std::uint64_t calls = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
    std::uint64_t streamsResumed = 0;
    std::uint64_t streamsDetoured = 0;
    std::uint64_t streamsBroken = 0;
    std::uint64_t streamsEnded = 0;
    std::uint64_t reports = 0;
    std::uint64_t orders = 0;
    std::uint64_t callersGone = 0;
};

/// One endpoint as this instance sees it.
struct EndpointView {
    std::string id;
    std::string service;
    std::string zone;
    std::string state;
    placement::LayerRange layers;
    std::uint32_t openRequests = 0;
    double contextTokens = 0;
};

/// Decides everything about relayed requests on one instance. Not thread-safe. The same calls with the same times and seed have the same
/// effects on the driver.
class RelayKernel
{
public:
    RelayKernel(RelaySettings settings, RelayDriver &driver);
    ~RelayKernel();

    void onTick(Instant now);
    void onSettings(const RelaySettings &settings);
    void onStop(Instant now);

    /// A current read of the configuration ended; it was sent at that time. Null if it is the version already known.
    void onConfig(Instant now, Instant sentAt, FleetConfigPtr config);
    /// A current list of all endpoints, with all changes up to a revision of the store.
    void onEndpoints(Instant now, const std::vector<EndpointEntry> &entries, std::uint64_t revision);

    /// The list of instances, this one included.
    void onInstances(Instant now, const std::vector<InstanceEntry> &instances);
    /// Another instance sent a message.
    void onPeerMessage(Instant now, const wire::RelayMessage &message);

    void onCall(Instant now, const CallArrival &arrival);
    void onCallerGone(Instant now, CallId call);
    /// A whole answer has arrived that is not a stream of events.
    void onAnswer(Instant now, AttemptId attempt, const AnswerHead &head);
    /// An event of a stream has arrived; true if it is to be passed on.
    bool onEvent(Instant now, AttemptId attempt, std::uint64_t eventId);
    /// The stream ended in an orderly way, after a whole event.
    void onStreamEnd(Instant now, AttemptId attempt);
    void onFailure(Instant now, AttemptId attempt, AttemptFailure failure);

    /// None if the endpoint did not answer in time.
    void onReport(Instant now, const std::string &endpoint, const std::optional<EndpointReport> &report);
    void onOrderAnswer(Instant now, const std::string &endpoint, OrderOutcome outcome);
    /// The address names the stage that stood in the way; empty if none is known.
    void onDetourAnswer(Instant now, AttemptId attempt, OrderOutcome outcome, const std::string &faultAddress);
    /// Revision 0 means that there is no lease.
    void onLeaseRead(Instant now, std::uint64_t revision, const LeaseRecord &record);
    /// Revision 0 means that the write did not take place, or that its outcome is unknown.
    void onLeaseWritten(Instant now, Instant sentAt, std::uint64_t revision);

    const RelayCounters &counters() const;
    std::vector<EndpointView> endpoints() const;
    std::uint64_t configVersion() const;
    std::size_t openCalls() const;
    bool isPlanner(Instant now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace relay
