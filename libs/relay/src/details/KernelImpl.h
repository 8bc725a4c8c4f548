#pragma once

#include "details/CrashGuard.h"
#include "details/EndpointList.h"
#include "details/EndpointReach.h"
#include "details/EndpointRegistry.h"
#include "details/HandOverPeers.h"
#include "details/PeerLoads.h"
#include "details/PlannerDuty.h"
#include "details/QuarantineKeeper.h"
#include "details/RequestLimits.h"
#include "details/RetryWindow.h"
#include "details/RouteTable.h"
#include "details/StopSchedule.h"
#include "details/StoreDuty.h"
#include "placement/PipelineChooser.h"
#include "relay/RelayKernel.h"

#include <algorithm>

namespace relay {

/// Status of an endpoint that isn't the one that the request names, or doesn't hold the layers that the pipeline expects of it.
inline constexpr int MisdirectedStatus = 421;

/// The endpoints that an attempt passes through, first stage first, and the layers that each of them runs.
struct StagePath {
    std::vector<EndpointIndex> stages;
    std::vector<placement::LayerRange> layers;
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
    /// Number of the last event that the caller had when it was sent; 0 if it had none.
    std::uint64_t resumedAfter = 0;
    /// Detours that were sent to its first stage, and whether the last one is unanswered.
    int detours = 0;
    bool detourPending = false;
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
};

/// State of the kernel. Its functions are defined in several files: Admission, Calls, PlainCalls, StreamCalls, StreamMoves, Candidates, Detours,
/// EndpointHealth, ReachChecks, CrashChecks, HandOvers, Digests and RelayKernel.
struct RelayKernel::Impl {
    Impl(RelaySettings relaySettings, RelayDriver &relayDriver);
    /// Passes the settings on to the parts.
    void configure();

    // Admission.
    /// Admits a request and starts its first attempt, or rejects it.
    void admit(Instant now, const CallArrival &arrival);
    /// Returns false if the instance stops and would have to break off the call, which can't have run yet, if it took that long from now on. Such a call is
    /// better rejected: its caller may repeat it elsewhere. One whose deadline comes before gets its answer in time in any case, and a stream that can be
    /// resumed loses nothing when it is cut.
    bool canEndBeforeStop(Instant now, const Call &call, double predictedMs) const;
    /// Registers an admitted call and starts its first attempt.
    void start(Instant now, std::unique_ptr<Call> admitted);
    /// Answers a caller with an error. If a repeat can help, the answer states a retry delay that fits into `timeLeft`, the time until the
    /// caller's deadline. `busyFor` is the time for which the endpoints are expected to have no room; the callers are spread over as much time after it.
    void reject(Instant now, CallId call, const std::string &requestId, Ms timeLeft, base::ErrorKind kind, const std::string &detail, Ms busyFor = Ms(0));
    /// Returns the retry delay for a rejected caller while the endpoints have no room for that long.
    Ms retryDelay(Ms busyFor);
    /// Returns the retry delay for a caller that this instance rejects because it stops: until the balancer sends the caller to another one.
    Ms stopRetryDelay(Instant now);
    /// Returns true if there is a configuration that was confirmed as current no longer ago than the limit.
    bool configIsCurrent(Instant now, Ms limit) const;
    /// Returns the maximum age of the configuration at which API keys are accepted.
    Ms maxConfigAgeForKeys() const;
    /// Returns the maximum age of the configuration at which the instance reports that it is ready.
    Ms maxConfigAgeForReadiness() const;

    // Calls with and without streams.
    /// Returns the call of an open attempt; null if the attempt or the call has ended.
    Call *callOf(AttemptId attempt);
    /// Forgets an attempt and removes its load from its stages; doesn't abort it at the driver.
    void dropAttempt(AttemptId attempt);
    /// Removes the attempt's prompt from the pending prefill of its stages: they have read it, or need not read it any more.
    void clearPendingPrefill(Attempt &attempt);
    /// Replaces the stages of an attempt and moves its load from the former ones to the new ones.
    void replaceStages(Attempt &attempt, std::vector<EndpointIndex> stages, std::vector<placement::LayerRange> layers);
    /// Aborts all open attempts of a call.
    void cancelAttempts(Call &call);
    /// Aborts the open attempts of a call and forgets it.
    void close(CallId call);
    /// Ends a call that can't be answered: by an error answer, or by aborting its stream if that has begun.
    void fail(Instant now, Call &call, base::ErrorKind kind, const std::string &detail);
    /// Forwards the attempt's whole answer to the caller and ends the call.
    void forward(Call &call, AttemptId attempt, int status);
    /// Leaves an endpoint out of all further attempts of a call.
    void exclude(Call &call, EndpointIndex index);
    /// Returns whether neither the route, nor the number of attempts, nor a quarantine forbids a further attempt for a call.
    bool hasAttemptsLeft(const Call &call) const;
    /// Returns true if a call may be dispatched now. A retry counts against the service's retry window when it is sent.
    bool mayRetry(Instant now, Call &call);
    /// Returns how many runs count against the route's maxAttempts: all but those whose endpoint is known to have ended since. One that is only silent may go
    /// on, and still runs the request.
    std::uint32_t countedRuns(const Call &call) const;
    /// Returns true if the endpoint of a run is known to have ended since: it has a new incarnation, or it is silent and no longer listed.
    bool hasEnded(const Run &run) const;
    /// Returns the run of an open attempt. Each open attempt has one.
    const Run &runOf(AttemptId attempt) const;
    /// Returns true if the call may run once more, as its route permits.
    bool mayRunAgain(const Call &call) const;
    /// Returns the incarnation of an open attempt's first stage when the attempt was sent. Each open attempt has a run, which names it.
    std::uint64_t incarnationOf(AttemptId attempt) const;
    /// Forgets the run of an attempt that certainly did not run.
    static void forgetRun(Call &call, AttemptId attempt);
    /// Returns true if the service's retry window permits one more retry; logs the first refusal of a call.
    bool retryIsPermitted(Instant now, Call &call);
    /// Returns what the call's service has used of its retry window, as it is written to the log.
    std::string retryText(Instant now, const Call &call);
    /// Returns true if the call must not be sent again, since requests like it are convicted of crashing endpoints and it has not begun.
    bool isBarred(const Call &call) const;
    /// Reports an attempt that broke at an endpoint to the crash guard: the request may have crashed the endpoint.
    void suspectCrash(Instant now, const Call &call, EndpointIndex endpoint);
    /// Reports the endpoints of a call that ends without an answer: if one of them turns out to have crashed, the connection may have hung since then.
    void suspectLateCrash(Instant now, const Call &call);
    /// Returns what identifies a call as a possible cause of a crash, as it is written to the log.
    static std::string suspectText(const Call &call);
    /// Registers an attempt, adds its load to its stages and counts it; returns its id. The caller dispatches it.
    AttemptId startAttempt(Instant now, Call &call, Attempt attempt);
    /// Returns what the driver must send for an attempt that has just started.
    Dispatch dispatchOf(Instant now, const Call &call, AttemptId attempt) const;
    /// Returns the pipeline of an attempt as it is sent to the first stage.
    std::vector<Hop> hopsOf(const Attempt &attempt) const;
    /// Returns the pipeline of an attempt as it is written to the log, for example
    /// "path a=0-20 b=20-80, 1 changes of zone".
    std::string pipelineText(const Attempt &attempt) const;
    /// Fails the calls whose deadline has passed.
    void failExpiredCalls(Instant now);
    /// Counts a call that has reached its time limit as failures of the endpoints that had time enough to answer it.
    void countLateAttempts(Instant now, const Call &call);
    /// Requests an endpoint's report, unless one is pending or was requested within the period. Endpoints without an accelerator give none.
    void requestReport(Instant now, EndpointIndex index, Ms period = Ms(120));
    /// Looks for a sign of life of an endpoint that may have crashed: by its report, or by a check if it gives none. Limited like requestReport().
    void requestSign(Instant now, EndpointIndex index, Ms period = Ms(120));
    /// Checks an endpoint over a new connection.
    void checkDirectly(EndpointIndex endpoint);
    /// Marks an endpoint as silent and moves the streams that pass through it; the evidence is written to the log.
    void markSilent(Instant now, EndpointIndex index, const std::string &requestId, const std::string &evidence);
    /// Takes the loads, crash reports and endpoint states that another instance has sent.
    void onDigest(Instant now, const wire::RelayDigest &digest);
    /// Takes from an endpoint itself, or from another instance, that an incarnation of it leaves: it gets no new requests, and the others are told.
    void onLeaving(EndpointIndex endpoint, std::uint64_t incarnation, const std::string &origin);
    /// Writes to the log what an endpoint has said about the requests that it takes, and to whom.
    void recordLimit(EndpointIndex endpoint, double perSecond, const std::string &origin);
    /// Computes this instance's share of the limits that endpoints name.
    void updateLimitShare(Instant now);
    /// Requests the reports of slow endpoints, to see whether they still are slow, if this instance is a verifier.
    void checkSlowEndpoints(Instant now);
    /// Logs newly confirmed crashes and expedites the digest that reports them.
    void checkCrashes(Instant now);
    /// Writes, removes and reads the store's records of quarantines as they are due.
    void keepQuarantines(Instant now);
    /// Takes over what another instance knows for and against the causes of crashes.
    void onCrashNews(Instant now, const wire::RelayDigest &digest);
    /// Sends this instance's digests to the others if they are due.
    void sendDigests(Instant now);
    /// Requests the reports of the endpoints that this instance has marked as silent and that answer the aggregators, as their digest tells.
    void recheckSilentEndpoints(Instant now, const wire::RelayDigest &digest);
    /// Takes over what another instance says of an endpoint's slowdown, unless this instance has a report of its own.
    void onSlownessReported(Instant now, const wire::SlowEndpoint &slow);
    /// Asks an endpoint that another instance has marked as silent for its report, or gives it no new work for now.
    void onSilenceReported(Instant now, const wire::RelayDigest &digest, const wire::SilentEndpoint &silent);

    // Reach: whether this instance is cut off from all endpoints.
    /// Returns the listed endpoints that aren't leaving.
    std::vector<EndpointIndex> endpointsInService() const;
    /// Takes note that an endpoint has answered.
    void onHeard(Instant now, EndpointIndex endpoint, bool isOnNewConnection);
    /// Decides whether this instance is cut off, and makes the checks that this takes.
    void checkReach(Instant now);
    /// Does what follows from the beginning and the end of a cut.
    void onCutOff(Instant now);
    void onReachAgain(Instant now);

    // Hand-overs to other instances while this one reaches no endpoint.
    /// Returns the instance that a call may be handed over to, if this one is cut off from all endpoints; none if there is none.
    std::optional<std::string> chooseReceiver(Instant now, const Call &call);
    /// Hands a call over, if this instance is cut off from all endpoints and another one may take it. Returns false if not.
    bool handOver(Instant now, Call &call);
    /// Does so, or rejects a call that has not run if this instance is cut off and no other one takes it. Returns false if this instance is to serve it.
    bool handOverOrReject(Instant now, Call &call);
    /// Returns whether an attempt or a hand-over of the call is open.
    static bool isUnderWay(const Call &call);
    /// Forgets a hand-over; doesn't abort it at the driver.
    void dropHandOver(AttemptId attempt);
    /// Returns the call of an open hand-over; null if it has ended.
    Call *callOfHandOver(AttemptId attempt);
    /// Forwards an answer, or takes the other instance's refusal.
    void onHandOverAnswer(Instant now, Call &call, AttemptId attempt, const AnswerHead &head);
    /// Tries a further instance if the reason concerns that one only, else ends the call as the other instance says.
    void onHandOverRefused(Instant now, Call &call, AttemptId attempt, base::ErrorKind kind, Ms retryAfter);
    /// Hands the call over again, or ends it, after a hand-over without a whole answer.
    void onHandOverFailed(Instant now, Call &call, AttemptId attempt, AttemptFailure failure);
    /// Handles an event; returns true if it must be forwarded to the caller.
    bool onHandOverEvent(Instant now, Call &call, AttemptId attempt, std::uint64_t eventId);
    void onHandOverStreamEnd(Instant now, Call &call, AttemptId attempt);
    /// Returns whether something else could take a stream from the instance that it was handed over to.
    bool canLeaveReceiver(Instant now, Call &call);
    /// Moves a stream to a further instance if it makes no progress at this one.
    void watchHandOver(Instant now, Call &call);

    // Calls to services without layers.
    /// Dispatches a call to the endpoint with the lowest estimated cost, or fails it if none is usable.
    void startPlain(Instant now, Call &call);
    /// Returns the usable endpoint with the lowest estimated cost that isn't excluded for this call; none if there is none.
    std::optional<EndpointIndex> choosePlain(Instant now, const Call &call);
    /// Forwards an answer, or retries the call if the answer is an error and the call may run again.
    void onPlainAnswer(Instant now, Call &call, AttemptId attempt, const AnswerHead &head);
    /// Returns the shortest time until an endpoint that limits its requests, or wants none for a time, is expected to take this call; none if there is none.
    std::optional<Ms> plainLimitWait(Instant now, const Call &call) const;
    /// Retries a call after a failed attempt, or fails it with the given error; does nothing while another attempt is open.
    void retryPlainOrFail(Instant now, Call &call, base::ErrorKind kind, const std::string &detail);
    /// Sends an idempotent request that has been unanswered for long to a second endpoint as well.
    void hedge(Instant now, Call &call);

    // Streams over pipelines.
    /// Dispatches a call to the pipeline with the lowest cost; waits or fails the call if there is no pipeline. Calls startPlain() if the service has no
    /// layers.
    void startStream(Instant now, Call &call);
    /// Returns the pipeline with the lowest cost over these candidates; it has no stages if there is none.
    placement::Pipeline choosePath(const Call &call, const Candidates &found);
    /// Returns whether something is there now that a further attempt of a stream could begin at, in time for its caller.
    bool canStartStream(Instant now, Call &call);
    /// Returns whether a service without layers has an endpoint that the call may use, at once or after a pause.
    bool hasEndpointLeft(const Call &call) const;
    /// Lets a stream that may have run wait for endpoints that take it up again, if its caller waits that long; false if it can't wait.
    bool waitsForEndpoints(Instant now, Call &call);
    /// Lets a stream that may have run wait likewise until the limit on retries has room for it; false if anything else forbids a further attempt.
    bool waitsForRetry(Instant now, Call &call);
    /// Returns the time that is left until the caller abandons its stream for lack of events.
    static double patienceLeftMs(Instant now, const Call &call);
    /// Rejects a call that would have to wait that long: for the prefill of others, or for endpoints that limit their requests.
    void rejectForLoad(Instant now, Call &call, Ms wait, const std::string &reason);
    /// Returns the usable layer holders of the call's service that aren't excluded for this call.
    Candidates candidates(Instant now, const Call &call);
    /// Multiplies the costs of endpoints by random factors. Among those of one zone whose layers begin at the same one the lowest factor is 1, so that the
    /// factors don't make a request leave its zone.
    void spreadCosts(std::vector<placement::LayerHolder> &holders, double spread);
    /// Handles an answer that isn't a stream: a refusal or an error.
    void onStreamRefused(Instant now, Call &call, AttemptId attempt, const AnswerHead &head);
    /// Handles an answer that isn't a stream and may have run: retries the call if its route permits that, else forwards a verified answer.
    void onStreamFailed(Instant now, Call &call, AttemptId attempt, const AnswerHead &head);
    /// Resumes or restarts a stream after a failed attempt, or fails the call.
    void retryStreamOrFail(Instant now, Call &call, const std::string &detail);
    /// Checks a stream for progress: requests reports of its stages and moves it if it is stalled.
    void watchStream(Instant now, Call &call);
    /// Returns the first silent stage of the pipeline, if the attempt has made no progress for a while; none otherwise.
    std::optional<EndpointIndex> silentStage(Instant now, const Attempt &attempt) const;
    /// Takes a stream off a silent stage: by a detour if possible, else by a new attempt if the route is resumable.
    void bypassStage(Instant now, Call &call, AttemptId attempt, EndpointIndex silent);
    /// Replaces an attempt that passes through a silent stage by a new one without that stage. The attempt stays if no further one is permitted, or if nothing
    /// could take it.
    void moveStream(Instant now, Call &call, AttemptId attempt, EndpointIndex silent);
    /// Replaces the silent later stages, and the one at fault, by other endpoints while the first stage continues. Returns false if the first stage
    /// is among them, if there are no replacements, or if the attempt has had too many detours.
    bool detour(Instant now, Call &call, AttemptId attempt, std::optional<EndpointIndex> fault = std::nullopt);
    /// Logs the attempt's current detour and sends it to the first stage.
    void requestDetour(const Call &call, AttemptId attempt);
    /// Returns why a stream must stay with its attempt: no further one is permitted, or nothing could take it. None if it may be moved.
    std::optional<std::string> reasonToKeepAttempt(Instant now, Call &call);
    /// Leaves an attempt at its silent stage, for that reason: that may go on, and what it runs then isn't lost. Logs it once.
    void keepAttempt(const Call &call, AttemptId attempt, EndpointIndex silent, const std::string &reason);
    /// Begins a further attempt, or a hand-over, beside one that has a silent stage, which may go on first.
    void supersedeAttempt(Instant now, Call &call, AttemptId attempt, const std::string &reason);
    /// Returns the attempt of a stream that is to be watched: the latest that isn't superseded. If what has superseded the last one has failed, that is the
    /// one.
    AttemptId watchedAttempt(const Call &call);
    /// Aborts all attempts and hand-overs of a stream but the one that goes on with it.
    void settle(Call &call, AttemptId attempt);
    /// Tells the driver which attempt the caller's stream goes on with.
    void continueWith(Call &call, AttemptId attempt);
    /// Aborts an attempt and starts a new one if the call may be retried, else fails the call.
    void replaceAttempt(Instant now, Call &call, AttemptId attempt, const std::string &reason);
    /// Takes an event of the call's stream, whoever sends it; returns true if it is the next one, which the caller must get.
    bool deliverEvent(Instant now, Call &call, AttemptId attempt, std::uint64_t eventId);
    /// Ends a stream as complete, after the last event of the attempt or the hand-over.
    void endStream(Call &call, AttemptId attempt, const std::string &server);
    /// Gives up an attempt that was to resume a stream and whose first event shows a run from the beginning: its events and those of the run before don't
    /// belong together. Resumes the stream elsewhere if it may be retried, else fails it.
    void giveUpNewRun(Instant now, Call &call, AttemptId attempt, std::uint64_t eventId);
    /// Returns the candidates of the call; those that are stages of the attempt already are marked as unusable.
    Candidates replacementCandidates(Instant now, const Call &call, const Attempt &attempt);
    /// Returns a pipeline of other endpoints over the layers of the stages [first, end) of an attempt; `first` is above 0. It has no stages if there is
    /// none.
    placement::Pipeline chooseDetour(const Call &call, const Attempt &attempt, std::size_t first, std::size_t end, const Candidates &replacements) const;
    /// Counts an attempt as on the path that it had before detours which its first stage has not taken.
    void undoDetours(Attempt &attempt);
    /// After a failed detour, tries another one, starts a new attempt beside this one, or leaves the attempt as it is. The answer to an order never ends the
    /// attempt: only its own connection tells whether the rest of its answer is on its way.
    void onDetourAnswer(Instant now, Call &call, AttemptId attempt, OrderOutcome outcome, const std::string &faultAddress);
    /// Returns true if the endpoint is marked as silent.
    bool isSilent(EndpointIndex stage) const;
    /// Moves the streams that have stopped because they pass through a silent endpoint.
    void moveStreams(Instant now);

    // The instance as a whole.
    /// Checks deadlines and does all periodic work.
    void tick(Instant now);
    /// Takes over the endpoint list after it was read, or after changes were applied to it.
    void applyEndpointList(Instant now);
    /// Replies to another instance's freshness request, unless this instance knows nothing of the store yet.
    void reply(Instant now, const wire::FreshnessRequest &request);
    /// Takes the list changes of a freshness reply, and the ages of the configuration and the list.
    void onFreshnessReply(Instant now, const wire::FreshnessReply &reply);
    /// Reports a changed readiness to the driver.
    void updateReadiness(Instant now);
    /// Does the next steps of the shutdown that are due.
    void continueStopping(Instant now);
    /// Requests the reports of silent endpoints whose waiting period is over.
    void checkSilentEndpoints(Instant now);
    /// Returns the next pseudo-random number, from the seed of the settings.
    std::uint64_t nextRandom();
    /// Returns a pseudo-random number from [0, 1).
    double nextFraction();

    RelaySettings settings;
    RelayDriver &driver;
    EndpointRegistry endpoints;
    EndpointList list;
    PeerLoads peers;
    PlannerDuty planner;
    StoreDuty storeDuty;
    RetryWindow retries;
    RequestLimits limits;
    /// When this instance's share of the endpoints' limits was last computed.
    Instant shareUpdatedAt{0};
    CrashGuard crashGuard;
    QuarantineKeeper quarantineKeeper;
    EndpointReach reach;
    HandOverPeers handOverPeers;
    RelayCounters counters;

    /// The configuration in use; null before the first.
    FleetConfigPtr config;
    RouteTable routes;
    /// Versions of the configuration and the endpoint list that this instance knows, and the times at which they were current.
    StoreDuty::Knowledge known;
    /// When the endpoint list was last read or confirmed; zero before the first.
    Instant listConfirmedAt{0};

    std::unordered_map<CallId, std::unique_ptr<Call>> calls;
    std::unordered_map<AttemptId, Attempt> attempts;
    std::unordered_map<AttemptId, OpenHandOver> handOvers;
    AttemptId nextAttempt = 1;
    /// Pseudo-random numbers used so far.
    std::uint64_t randomCount = 0;

    bool ready = false;
    bool stopping = false;
    /// RelayDriver::closeConnections(), RelayDriver::stopAccepting() and RelayDriver::exit() were called.
    bool connectionsClosed = false;
    bool listenerClosed = false;
    bool exited = false;
    /// When the shutdown began.
    Instant stopAt{0};
};

} // namespace relay
