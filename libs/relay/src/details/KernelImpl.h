#pragma once

#include "capacity/FaultExposure.h"
#include "details/CrashGuard.h"
#include "details/EndpointList.h"
#include "details/EndpointReach.h"
#include "details/EndpointRegistry.h"
#include "details/HandOverPeers.h"
#include "details/ListReplies.h"
#include "details/LoadAdmission.h"
#include "details/OpenCalls.h"
#include "details/PeerLoads.h"
#include "details/PlannerDuty.h"
#include "details/QuarantineKeeper.h"
#include "details/RequestLimits.h"
#include "details/RetryWindow.h"
#include "details/RouteTable.h"
#include "details/StartQueue.h"
#include "details/StopSchedule.h"
#include "details/StoreDuty.h"
#include "placement/PipelineChooser.h"
#include "relay/RelayKernel.h"

#include <algorithm>
#include <map>

namespace relay {

/// Status of an endpoint that isn't the one that the request names, or doesn't hold the layers that the pipeline expects of it.
inline constexpr int MisdirectedStatus = 421;

/// State of the kernel. Its functions are defined in several files: Admission, Calls, PlainCalls, StreamCalls, StreamMoves, Candidates, Reservations, Detours,
/// EndpointHealth, ReachChecks, CrashChecks, HandOvers, Digests and RelayKernel.
struct RelayKernel::Impl {
    Impl(RelaySettings relaySettings, RelayDriver &relayDriver);
    /// Passes the settings on to the parts.
    void configure();

    // Admission.
    /// Admits a request and starts its first attempt, or rejects it.
    void admit(Instant now, const CallArrival &arrival);
    /// Returns whether a configuration and a list of endpoints are known, without which no request can be decided.
    bool knowsStore() const;
    /// Returns whether the first of both are still to come, shortly after the start.
    bool awaitsStore() const;
    /// Admits the calls that have waited for the configuration and the endpoints once both are known.
    void admitWaiting(Instant now);
    /// Rejects the calls that have waited for them for too long, all of them if the instance stops.
    void rejectExpiredWaiting(Instant now);
    /// Returns false if the instance stops and would have to break off the call, which can't have run yet, if it took that long from now on. Such a call is
    /// better rejected: its caller may repeat it elsewhere. One whose deadline comes before gets its answer in time in any case, and a stream that can be
    /// resumed loses nothing when it is cut.
    bool canEndBeforeStop(Instant now, const Call &call, double predictedMs) const;
    /// Registers an admitted call and starts its first attempt.
    void start(Instant now, std::unique_ptr<Call> admitted);
    /// Answers a caller with an error. If a repeat can help, the answer states a retry delay that fits into `timeLeft`, the time until the
    /// caller's deadline. `busyFor` is the time for which the endpoints are expected to have no room; the callers are spread over as much time after it.
    /// Returns the retry delay that was given, zero if a repeat can't help.
    Ms reject(Instant now, CallId call, const std::string &requestId, Ms timeLeft, base::ErrorKind kind, const std::string &detail, Ms busyFor = Ms(0));
    /// Returns the retry delay for a rejected caller while the endpoints have no room for that long.
    Ms retryDelay(Ms busyFor);
    /// Returns the retry delay for a caller that this instance rejects because it stops: until the balancer sends the caller to another one.
    Ms stopRetryDelay(Instant now);
    /// Returns true if there is a configuration that was confirmed as current no longer ago than the limit.
    bool configIsCurrent(Instant now, Ms limit) const;
    /// Returns the maximum age of the configuration at which API keys are accepted.
    Ms maxConfigAgeForKeys(Instant now) const;

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
    /// Returns true if the endpoint of a run is known by a later incarnation than when the run was sent.
    bool hasRestarted(const Run &run) const;
    /// Returns true if the endpoint of a run is known to have ended since: it has restarted, or it is silent and no longer listed.
    bool hasEnded(const Run &run) const;
    /// Returns the run of an open attempt. Each open attempt has one.
    const Run &runOf(AttemptId attempt) const;
    /// Returns true if the call may run once more, as its route permits: one that may run once only, as long as nothing can have run it; any other, as long as
    /// fewer runs count than the route's maxAttempts. Every path that begins a further attempt asks this.
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
    /// Sends a call again after an attempt or a hand-over that has come to nothing, or fails it; does nothing while another one is open. The error is the one
    /// that a whole request fails with.
    void retryOrFail(Instant now, Call &call, base::ErrorKind kind, const std::string &detail);
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
    /// Takes from an endpoint itself, or from another instance, that an incarnation of it leaves: it gets no new requests, and that is reported to the others.
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
    void onReceived(Instant now, EndpointIndex endpoint, bool isOnNewConnection);
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
    bool onHandOverEvent(Instant now, Call &call, AttemptId attempt, std::uint64_t eventId, std::uint64_t content);
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
    /// Rejects a new stream that has to give way to others, or that would wait for too long. Returns false if it is to be sent.
    bool rejectNewStream(Instant now, Call &call, const placement::Pipeline &pipeline);
    /// Returns the pipeline with the lowest cost over these candidates; it has no stages if there is none.
    placement::Pipeline choosePath(const Call &call, const Candidates &found);
    /// Does so over candidates that are widened if there is none; a path that needs endpoints without a reservation is counted and logged.
    placement::Pipeline choosePathWidening(const Call &call, Candidates &found);
    /// Returns what is expected of the streams of the whole fleet. None in a fleet in which all instances exchange their loads directly, where nothing is
    /// reserved.
    std::optional<capacity::FleetDemand> fleetDemand(Instant now, const Service &service);
    /// Returns whether the call may use free capacity of the endpoint, whose load is given: with a probability such that the streams which all instances
    /// start there before they know of each other are expected to fit.
    bool reserves(Instant now, const Call &call, EndpointIndex index, const LoadEstimate &load, const capacity::FleetDemand &demand);
    /// Makes candidates without a reservation usable, those with most free memory first, where a zone has no other holder of a layer: the link between zones
    /// carries the transfers of all streams one after another, so that leaving the zone delays more than a full endpoint.
    static void coverZones(const placement::EngineProfile &engine, Candidates &found);
    /// Returns the time between two events that the path of a call should keep to, in ms; 0 for any: in a fleet in which nothing is reserved, on a route
    /// without a target, and for a response of a single event.
    double wantedEventIntervalMs(const Call &call) const;
    /// Returns whether the endpoint has much room for the call by the known loads, so that its refusal isn't explained by them.
    bool isKnownToHaveRoom(Instant now, const Call &call, EndpointIndex index) const;
    /// Takes note that an endpoint has failed or stalled, unless that is known.
    void onFault(Instant now, EndpointIndex index);
    /// Returns whether something is there now that a further attempt of a stream could begin at, in time for its caller.
    bool canStartStream(Instant now, Call &call);
    /// Returns whether a service without layers has an endpoint that the call may use, at once or after a pause.
    bool hasEndpointLeft(const Call &call) const;
    /// Lets a stream that may have run wait for endpoints that take it up again, if its caller waits that long; false if it can't wait.
    bool waitsForEndpoints(Instant now, Call &call);
    /// Lets a stream that has begun wait likewise until the limit on retries has room for it; false if anything else forbids a further attempt.
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
    /// Returns when the next open stream has to be checked unless it has an event before; none while no stream is open.
    std::optional<Instant> nextStreamCheck() const;
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
    /// Takes an event of the call's stream, whoever sends it; returns true if it is the next one, which the caller must get.
    bool deliverEvent(Instant now, Call &call, AttemptId attempt, std::uint64_t eventId);
    /// Gives up an attempt or a hand-over that has left out an event, or whose events aren't in order. Fails the call unless another one is open: it isn't
    /// known which of the ids are right.
    void loseOrder(Instant now, Call &call, AttemptId attempt, std::uint64_t eventId);
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
    /// Counts an attempt as on the path that it had before detours which its first stage has not taken. Returns the stage that has refused a part of the path
    /// without being named, if only one can have done that.
    std::optional<EndpointIndex> undoDetours(Attempt &attempt);
    /// Goes on with a stream beside an attempt whose first stage doesn't know it any more, once the rest of its answer has had time to arrive.
    void leaveUnknownRun(Instant now, Call &call, AttemptId attempt);
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
    ListReplies listReplies;
    PeerLoads peers;
    PlannerDuty planner;
    StoreDuty storeDuty;
    StartQueue startQueue;
    RetryWindow retries;
    /// Streams of this instance, by service, and the faults of endpoints that it has learned of.
    std::map<std::string, capacity::StreamDemand> streamDemand;
    capacity::FaultExposure faults;
    RequestLimits limits;
    /// When this instance's share of the endpoints' limits was last computed.
    Instant shareUpdatedAt{0};
    LoadAdmission loadAdmission;
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
