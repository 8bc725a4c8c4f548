#pragma once

#include "details/EndpointList.h"
#include "placement/PipelineChooser.h"
#include "relay/RelayKernel.h"

#include <algorithm>

namespace relay {

/// The endpoints that an attempt passes through, first stage first, and the layers that each of them runs.
struct StagePath {
    std::vector<EndpointIndex> stages;
    std::vector<placement::LayerRange> layers;
};

/// The order of the events that one attempt or hand-over sends.
struct EventOrder {
    /// Id and content of the last one; none before the first.
    std::optional<std::uint64_t> last;
    std::uint64_t lastContent = 0;

    /// Takes an event. Returns false if the ids don't go up, so that one of them is damaged; the last event may be sent twice.
    bool takes(std::uint64_t eventId, std::uint64_t content)
    {
        const bool isRepeated = last == eventId && lastContent == content;
        const bool isInOrder = !last || eventId > *last || isRepeated;
        last = eventId;
        lastContent = content;
        return isInOrder;
    }
};

/// An open attempt: one dispatch of a call to an endpoint or a pipeline.
struct Attempt {
    CallId call = 0;
    /// The endpoints that it passes through, first stage first; one for services without layers.
    std::vector<EndpointIndex> stages;
    /// The layers that each stage runs; empty for services without layers.
    std::vector<placement::LayerRange> layers;
    /// Stages that are still in prefill: they have not read the prompt, or the tokens generated so far, yet.
    std::vector<EndpointIndex> pendingPrefillStages;
    /// Those of them that receive the prompt from a stage in another zone.
    std::vector<EndpointIndex> pendingLinkStages;
    Instant sentAt{0};
    /// The limit on retries has counted it.
    bool isRetry = false;
    /// Time of its last event or detour; of its dispatch if there was none.
    Instant lastProgressAt{0};
    /// Tokens of prompt and answer that its context is expected to have on each stage.
    double contextTokens = 0;
    /// Tokens that each stage reads in prefill.
    double promptTokens = 0;
    /// Predicted time from its dispatch to the first token.
    double predictedFirstTokenMs = 0;
    /// Predicted time between two events.
    double predictedEventIntervalMs = 0;
    bool hasEvents = false;
    EventOrder order;
    /// Number of the last event that the caller had when it was sent; 0 if it had none.
    std::uint64_t resumedAfter = 0;
    /// Detours that were sent to its first stage, and whether the last one is unanswered.
    int detours = 0;
    bool detourPending = false;
    /// Its first stage doesn't know the request any more.
    bool isUnknown = false;
    /// The path that the first stage is known to follow, while it isn't known whether it has taken the last detours.
    std::optional<StagePath> pathBeforeDetours;
    /// The silent stage that was last reported to the crash guard.
    std::optional<EndpointIndex> suspected;
    /// A further attempt, or a hand-over, has been begun beside it, since it has a silent stage. The first one with the next event goes on with the stream.
    bool isSuperseded = false;
    /// It stays at a silent stage since no further attempt is permitted or possible, which is logged once.
    bool isKept = false;
};

/// An attempt that may run or have run at its first stage.
struct Run {
    AttemptId attempt = 0;
    EndpointIndex first = 0;
    /// Incarnation of the first stage when the attempt was sent. Engine endpoints start without layers, so that a later one would have refused it.
    std::uint64_t incarnation = 0;
};

/// A request that was handed over to another instance and has not ended there.
struct OpenHandOver {
    CallId call = 0;
    std::string peer;
    Instant begunAt{0};
    /// The limit on retries has counted it.
    bool isRetry = false;
    /// Time of its last event; of its beginning if there was none.
    Instant lastProgressAt{0};
    /// Number of the last event that the caller had when it was handed over; 0 if it had none.
    std::uint64_t resumedAfter = 0;
    bool hasEvents = false;
    EventOrder order;
};

/// A caller's request that has been admitted and not yet answered completely.
struct Call {
    CallId id = 0;
    std::string requestId;
    /// Hashes of its whole content, which comes first, and of the parts of its prompt that other requests may share.
    std::vector<std::uint64_t> signatures;
    /// It was let through although requests like it are convicted of crashing endpoints, to see whether they still do.
    bool isProbe = false;
    /// The configuration at its arrival; keeps the route and the service alive.
    FleetConfigPtr config;
    const Route *route = nullptr;
    const Service *service = nullptr;
    std::string team;
    int priority = 0;
    Instant arrivedAt{0};
    /// The earlier of the deadlines that follow from the route's timeout and from the caller's time limit.
    Instant deadline{0};
    /// The time until which the caller waits; never before `deadline`.
    Instant callerDeadline{0};
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
    /// Id of the last event that was forwarded to the caller, or that the caller stated on arrival; as text and as number.
    std::string lastEventId;
    std::uint64_t lastEvent = 0;
    /// The status and headers of the stream were sent to the caller; its answer can't be replaced by an error any more.
    bool streamBegun = false;
    /// The attempt or hand-over whose events the caller gets.
    AttemptId writer = 0;
    /// When the last event was forwarded to the caller; the arrival before that.
    Instant lastDeliveredAt{0};
    /// Time from arrival to the first event, and the longest time between two events.
    Instant firstEventDelay{0};
    Instant maxEventInterval{0};
    /// Open attempts; more than one while a request is hedged, or while a stream is moved.
    std::vector<AttemptId> attempts;
    /// Attempts that may have run, all open ones included; see RelayKernel::Impl::countedRuns().
    std::vector<Run> runs;
    /// The open hand-over to another instance, and the instances that have refused or failed one.
    std::optional<AttemptId> handOver;
    std::vector<std::string> triedPeers;
    std::uint32_t failedHandOvers = 0;
    /// Those of triedPeers that have refused the connection at once.
    std::uint32_t unreachedPeers = 0;
    /// Another instance has handed it over to this one.
    bool isHandedOver = false;
    /// Runs at other instances.
    std::uint32_t priorRuns = 0;
    /// All attempts and hand-overs so far.
    std::uint32_t attemptCount = 0;
    /// Attempts that were refused after the call may have run. The first is retried at once; each further one lengthens the delay before the next
    /// attempt.
    std::uint32_t refusals = 0;
    /// The limit on retries has refused it one, which is logged once.
    bool retryWasRefused = false;
    /// True once an attempt that may have run has ended, or an attempt has sent an event.
    bool mayHaveRun = false;
    /// Endpoints that further attempts of this call must not use, since they have failed or refused it or are running it.
    std::vector<EndpointIndex> excluded;
    bool isExcluded(EndpointIndex endpoint) const
    {
        return std::find(excluded.begin(), excluded.end(), endpoint) != excluded.end();
    }
    /// Endpoints that have refused an attempt of this call: they are used again only if no path exists without them.
    std::vector<EndpointIndex> refusedBy;
    bool isRefusedBy(EndpointIndex endpoint) const
    {
        return std::find(refusedBy.begin(), refusedBy.end(), endpoint) != refusedBy.end();
    }
    /// Earliest time of the next check of a stream without progress, or of the next attempt to resume it.
    Instant nextCheckAt{0};
};

/// Returns whether requests of the route may run once only, whatever happens.
inline bool runsOnce(const Route &route)
{
    return route.kind == RequestKind::AtMostOnce || (route.kind == RequestKind::Stream && !route.isResumable);
}

/// Returns whether the first event of an attempt shows a run from the beginning although the attempt was to go on after an event, 0 if there was none. An
/// endpoint may repeat that event, unless it is the first one of any run.
inline bool isNewRun(std::uint64_t firstEvent, std::uint64_t resumedAfter)
{
    constexpr std::uint64_t FirstEventId = 1;
    return resumedAfter > 0 && (firstEvent < resumedAfter || firstEvent <= FirstEventId);
}

/// Endpoints of a service that may be stages of a pipeline. Both lists have the same order.
struct Candidates {
    std::vector<placement::LayerHolder> holders;
    std::vector<EndpointIndex> indices;
    /// Prompt tokens that all instances together may have under way over the link between zones.
    double linkTokens = 0;
    /// Shortest time until an endpoint with the first layers may get a request that its limit, or its wish to get none, does not permit now; none if neither
    /// stands in the way.
    std::optional<Ms> limitWait;
    /// Positions of those that aren't usable since this instance has not reserved capacity there, and of those that have refused this call or count as
    /// full.
    std::vector<std::size_t> unreserved;
    std::vector<std::size_t> refused;
    /// Capacity is reserved, and the interval between events counts; see RelayKernel::Impl::fleetDemand().
    bool isReserving = false;
    /// Expected cost of a stage by faults of its endpoint, in ms.
    double stageCostMs = 0;

    /// Makes the next group usable if no path exists without it: first those without a reservation, at a higher cost so that no more of them are used than
    /// needed, then those that have refused. Returns false if there is none.
    bool widen()
    {
        constexpr double UnreservedCost = 3;
        const bool isReserved = unreserved.empty();
        std::vector<std::size_t> &group = isReserved ? refused : unreserved;
        if (group.empty()) {
            return false;
        }
        for (const std::size_t position : group) {
            holders[position].usable = true;
            holders[position].costFactor *= isReserved ? 1 : UnreservedCost;
        }
        group.clear();
        return true;
    }
};

/// Returns the path that `choose` finds over the candidates, which are widened as long as there is none.
template<typename Choose>
placement::Pipeline chooseWidening(Candidates &found, Choose choose)
{
    placement::Pipeline path = choose();
    while (path.stages.empty() && found.widen()) {
        path = choose();
    }
    return path;
}

} // namespace relay
