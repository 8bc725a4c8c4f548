#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace trefoilport {

/// Counters of the kernel since the start of the process. Each appears in the status report and the metrics under its name in CounterNames.
enum class Counter {
    /// Completions, service calls and requests for the list of models that arrived.
    CallsArrived,
    CallsAnswered,
    /// Calls that were accepted and ended with an error, or whose caller closed its connection.
    CallsFailed,
    /// Calls and drain requests that were refused on arrival.
    CallsRefused,
    TokensDelivered,
    Attempts,
    /// Retries that the retry budget allowed.
    Retries,
    /// Retries that the retry budget did not allow.
    RetriesDenied,
    /// Completions that went on in a new attempt after a failure.
    Resumed,
    /// Frames, service answers and failure reports that arrived after their attempt had ended, and were dropped.
    LateFrames,
    /// Attempts whose tokens or end marker contradicted the plan or the tokens delivered so far.
    Inconsistent,
    /// Attempts cancelled because they made no progress for too long.
    Stalls,
    /// Second attempts of service calls that were sent because the first had not answered within hedge_ms.
    Hedges,
    ClaimsGranted,
    /// Calls that were answered with the outcome that the store holds for their claim.
    ClaimsReplayed,
    /// Claims that a write has removed from the store since their call gave up.
    ClaimsReleased,
    /// Writes of claim buckets; one write covers every claim that waits for the bucket.
    ClaimWrites,
    /// Claim writes that failed because the bucket had another version.
    ClaimConflicts,
    /// Claims granted because a read after an ambiguous write showed them.
    ClaimReadBacks,
    /// Claim requests abandoned before the store confirmed them: they timed out, their caller was gone or the instance stopped.
    ClaimsGivenUp,
    /// Calls refused or failed because their request had crashed too many endpoints.
    Quarantined,
    /// Configurations that were put in force.
    ConfigActivations,
    GossipSent,
    GossipReceived,
    /// Number of counters; not a counter itself.
    Count,
};

inline constexpr std::size_t CounterCount = static_cast<std::size_t>(Counter::Count);

/// Names of the counters in the status report and the metrics, in the order of Counter.
inline constexpr std::array<std::string_view, CounterCount> CounterNames = {
    "calls_arrived", "calls_answered",  "calls_failed",     "calls_refused",   "tokens_delivered", "attempts",           "retries",         "retries_denied",
    "resumed",       "late_frames",     "inconsistent",     "stalls",          "hedges",           "claims_granted",     "claims_replayed", "claims_released",
    "claim_writes",  "claim_conflicts", "claim_read_backs", "claims_given_up", "quarantined",      "config_activations", "gossip_sent",     "gossip_received",
};

/// Values of all counters.
class Counters
{
public:
    void add(Counter counter, std::uint64_t amount = 1)
    {
        values_[static_cast<std::size_t>(counter)] += amount;
    }

    std::uint64_t value(Counter counter) const
    {
        return values_[static_cast<std::size_t>(counter)];
    }

private:
    std::array<std::uint64_t, CounterCount> values_{};
};

/// One endpoint as this instance sees it.
struct EndpointStatus {
    std::string id;
    /// "engine" or "service".
    std::string kind;
    std::string zone;
    /// Name of the model or service that it serves.
    std::string serves;
    /// "up", "leaving", "suspect" or "missing".
    std::string state;
    /// Engines hold the layers [firstLayer, endLayer).
    std::uint32_t firstLayer = 0;
    std::uint32_t endLayer = 0;
    /// Attempts of this instance in flight at the endpoint.
    std::uint32_t inFlight = 0;
    /// Load from all instances, as the endpoint last reported it.
    std::uint32_t reported = 0;
};

/// One instance as this instance sees it.
struct InstanceStatus {
    std::string id;
    std::string zone;
    /// "alive", "leaving" or "gone".
    std::string state;
    std::uint64_t acceptedRevision = 0;
    std::uint64_t stagedRevision = 0;
    bool storeReachable = false;
    /// Milliseconds since the instance was last seen; 0 for this instance itself.
    std::int64_t silentMs = 0;
};

/// One route: a model, or a service with its path prefix.
struct RouteStatus {
    std::string name;
    /// "pipeline" for a model, "service" for a service.
    std::string kind;
    /// What selects the route: "model NAME" for a model, the path prefix for a service.
    std::string match;
    std::uint32_t usableEndpoints = 0;
    /// Endpoints of the cheapest usable pipeline, whether or not it has room; empty for a service, or if no pipeline is usable.
    std::vector<std::string> pipeline;
    /// Calls that wait for a pipeline; 0 for a service.
    std::uint32_t queued = 0;
};

/// State of one instance and its view of the fleet, for operators.
struct StatusReport {
    std::string instance;
    std::string zone;
    /// Revision of the configuration in force.
    std::uint64_t revision = 0;
    std::uint64_t stagedRevision = 0;
    /// Members that have not staged the pending configuration yet, as "instance:incarnation".
    std::vector<std::string> waitingFor;
    /// The configuration in force is confirmed, so that new work is accepted.
    bool confirmed = false;
    bool storeReachable = false;
    bool stopping = false;
    std::uint32_t openCalls = 0;
    std::vector<EndpointStatus> endpoints;
    std::vector<InstanceStatus> instances;
    std::vector<RouteStatus> routes;
    Counters counters;
};

} // namespace trefoilport
