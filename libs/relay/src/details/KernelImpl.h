#pragma once

#include "details/CrashGuard.h"
#include "details/EndpointList.h"
#include "details/EndpointRegistry.h"
#include "details/PeerLoads.h"
#include "details/PlannerDuty.h"
#include "details/RetryWindow.h"
#include "details/RouteTable.h"
#include "details/StoreDuty.h"
#include "placement/PipelineChooser.h"
#include "relay/RelayKernel.h"

namespace relay {

/// One sending of a request.
struct Attempt {
    CallId call = 0;
    /// The endpoints that it passes through; one for plain services.
    std::vector<EndpointIndex> stages;
    /// The layers that each of them runs; none for plain services.
    std::vector<placement::LayerRange> layers;
    /// Stages that have not read its prompt yet, or not the tokens so far.
    std::vector<EndpointIndex> unreadStages;
    Instant sentAt{0};
    /// Of the last event, or of the sending.
    Instant progressAt{0};
    /// Tokens of context that it is expected to take on each stage.
    double contextTokens = 0;
    /// Prompt tokens that each stage reads first.
    double promptTokens = 0;
    double predictedFirstMs = 0;
    bool hasEvents = false;
    /// Detours that its first stage was told of, and whether the last one has no answer yet.
    int detours = 0;
    bool detourPending = false;
};

/// A request of a caller that has not had its whole answer.
struct Call {
    CallId id = 0;
    std::string requestId;
    std::uint64_t fingerprint = 0;
    /// Keeps the route alive.
    FleetConfigPtr config;
    const Route *route = nullptr;
    const Service *service = nullptr;
    std::string team;
    int priority = 0;
    Instant arrivedAt{0};
    /// The earlier of the route's and the caller's time limit.
    Instant deadline{0};
    bool routeEndsFirst = false;
    Instant callerDeadline{0};
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
    /// Of the last event that the caller has.
    std::string lastEventId;
    std::uint64_t lastEvent = 0;
    bool streamBegun = false;
    Instant lastDelivery{0};
    /// Until the first event, and the longest pause between two.
    Instant firstWait{0};
    Instant longestGap{0};
    std::vector<AttemptId> attempts;
    /// Sendings after which the request may have run, but for those that ended with their endpoint.
    std::uint32_t runs = 0;
    std::uint32_t attemptCount = 0;
    /// Refusals since it may have run.
    std::uint32_t refusals = 0;
    /// True once a sending may have run.
    bool mayHaveRun = false;
    /// Endpoints that have failed this call.
    std::vector<EndpointIndex> excluded;
    /// The next look at a stream without progress, or the next try to resume it.
    Instant nextLook{0};
};

/// Endpoints of a service that a path may lead over; both lists have the same order.
struct Candidates {
    std::vector<placement::LayerHolder> holders;
    std::vector<EndpointIndex> indices;
};

struct RelayKernel::Impl {
    Impl(RelaySettings relaySettings, RelayDriver &relayDriver);

    // Admission.
    void arrive(Instant now, const CallArrival &arrival);
    /// Answers a caller who goes on waiting for `timeLeft`.
    void reject(CallId call, const std::string &requestId, Ms timeLeft, base::ErrorKind kind, const std::string &detail);
    bool configIsCurrent(Instant now, Ms limit) const;
    /// Oldest configuration under which requests that need a key are passed on.
    Ms oldestForKeys() const;
    /// Oldest configuration under which the instance says that it is ready.
    Ms oldestForReadiness() const;

    // Calls of both kinds.
    Call *callOf(AttemptId attempt);
    void dropAttempt(AttemptId attempt);
    /// The stages have read the attempt's prompt, or need not read it any more.
    void settleUnread(Attempt &attempt);
    /// Its load goes from the stages that it had to these.
    void replaceStages(Attempt &attempt, std::vector<EndpointIndex> stages, std::vector<placement::LayerRange> layers);
    void cancelAttempts(Call &call);
    void close(CallId call);
    /// Ends a call that can't get its answer: by an answer of the router's own, or by breaking off its stream.
    void fail(Instant now, Call &call, base::ErrorKind kind, const std::string &detail);
    void forward(Call &call, AttemptId attempt, int status);
    void exclude(Call &call, EndpointIndex index);
    bool mayRepeat(Instant now, Call &call);
    /// The attempt broke off at the endpoint: it may have crashed it.
    void noteBroken(Instant now, const Call &call, const Attempt &attempt, EndpointIndex endpoint);
    AttemptId startAttempt(Instant now, Call &call, Attempt attempt);
    /// What the driver is to send for an attempt that has just started.
    Dispatch dispatchOf(Instant now, const Call &call, AttemptId attempt) const;
    /// The path of an attempt as its first stage is told, and as the log shows it.
    std::vector<Hop> hopsOf(const Attempt &attempt) const;
    std::string pathText(const Attempt &attempt) const;
    void expire(Instant now);
    /// Asks an endpoint for its state, unless that was done within the period.
    void askReport(Instant now, EndpointIndex index, Ms period = Ms(120));
    /// An endpoint turns out to be silent; the evidence goes to the log.
    void takeForSilent(Instant now, EndpointIndex index, const std::string &requestId, const std::string &evidence);
    void onDigest(Instant now, const wire::RelayDigest &digest);
    /// Asks endpoints that were slow whether they still are.
    void checkSlow(Instant now);
    void checkCrashes(Instant now);
    void sendDigest(Instant now);

    // Plain services.
    void startPlain(Instant now, Call &call);
    std::optional<EndpointIndex> choosePlain(Instant now, const Call &call) const;
    void onPlainAnswer(Instant now, Call &call, AttemptId attempt, const AnswerHead &head);
    void afterPlainFailure(Instant now, Call &call, base::ErrorKind kind, const std::string &detail);
    void hedge(Instant now, Call &call);

    // Streams over paths.
    void startStream(Instant now, Call &call);
    Candidates candidates(Instant now, const Call &call) const;
    void onStreamRefused(Instant now, Call &call, AttemptId attempt, const AnswerHead &head);
    void afterStreamFailure(Instant now, Call &call, const std::string &detail);
    void watchStream(Instant now, Call &call);
    /// A silent stage of the path, if the stream has been without events since; none otherwise.
    std::optional<EndpointIndex> silentStage(Instant now, const Attempt &attempt) const;
    /// Takes a stream off a silent stage: by a detour, else by a new run.
    void leaveStage(Instant now, Call &call, AttemptId attempt, EndpointIndex silent);
    void moveStream(Instant now, Call &call, AttemptId attempt, EndpointIndex silent);
    /// Has other endpoints take the place of lost stages, and of the one at fault; false if there are none, or none is to be tried any more.
    bool detour(Instant now, Call &call, AttemptId attempt, std::optional<EndpointIndex> fault = std::nullopt);
    void tellDetour(const Call &call, AttemptId attempt);
    /// Gives a run up and goes on with a new one.
    void runAnew(Instant now, Call &call, AttemptId attempt, const std::string &reason);
    /// Endpoints that may take the place of stages of the attempt.
    Candidates standIns(Instant now, const Call &call, const Attempt &attempt) const;
    /// A way over other endpoints for the lost stages [first, end) of an attempt; first is above 0.
    placement::Pipeline wayRound(const Call &call, const Attempt &attempt, std::size_t first, std::size_t end, const Candidates &others) const;
    void onDetourAnswer(Instant now, Call &call, AttemptId attempt, OrderOutcome outcome, const std::string &faultAddress);
    /// A stage that can't go on.
    bool isLost(EndpointIndex stage) const;
    /// Moves the streams that pass through silent endpoints.
    void moveStreams(Instant now);

    void tick(Instant now);
    /// The list of endpoints has become younger, or has changed.
    void takeList(Instant now);
    void answer(Instant now, const wire::FreshnessRequest &question);
    void onFreshness(Instant now, const wire::FreshnessReply &answer);
    void updateReadiness(Instant now);
    void continueStopping(Instant now);
    void checkSuspects(Instant now);
    std::uint64_t draw();

    RelaySettings settings;
    RelayDriver &driver;
    EndpointRegistry endpoints;
    EndpointList list;
    PeerLoads peers;
    PlannerDuty planner;
    StoreDuty storeDuty;
    RetryWindow retries;
    CrashGuard crashes;
    /// Strikes that the next digest tells the others.
    std::vector<wire::CrashReport> unsentCrashReports;
    RelayCounters counters;

    FleetConfigPtr config;
    RouteTable routes;
    /// What is known of the store, and as of when.
    StoreDuty::Knowledge known;
    Instant listedAt{0};

    std::unordered_map<CallId, std::unique_ptr<Call>> calls;
    std::unordered_map<AttemptId, Attempt> attempts;
    AttemptId nextAttempt = 1;
    std::uint64_t draws = 0;

    bool ready = false;
    bool stopping = false;
    bool connectionsClosed = false;
    bool exited = false;
    Instant stopAt{0};
};

} // namespace relay
