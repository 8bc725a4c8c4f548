#pragma once

#include "details/FairQueue.h"
#include "details/KernelContext.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilport {

/// Number of tokens that an engine prefills in the time of one decoding step.
inline constexpr std::uint32_t PrefillSpeedup = 8;

/// Handles completion calls from arrival to the last token.
///
/// A call waits in the fair queue until a pipeline has room and then runs on it. If a stage fails, the call moves to another pipeline, which
/// prefills the prompt and the tokens that the caller has already received, so that no position is delivered twice or skipped.
class PipelineCalls
{
public:
    explicit PipelineCalls(KernelContext &context);

    /// Queues a call, or refuses it. The call must have passed admission: the team exists and a configuration is in force.
    void arrive(const CompletionArrived &event, const std::string &team, base::Now now, Actions &actions);

    /// Passes a token to the caller. A token at the wrong position, or one whose stage reports don't agree with the plan, fails the attempt.
    void onToken(const TokenArrived &event, base::Now now, Actions &actions);

    /// Ends the call if it has received all its tokens; otherwise the attempt fails as inconsistent.
    void onEnd(const AttemptEnded &event, base::Now now, Actions &actions);

    /// Ends a failed attempt, marks the endpoint to blame as failed or leaving, and retries or fails the call.
    void onFailure(const AttemptFailed &event, base::Now now, Actions &actions);

    /// Cancels the call of a caller that closed its connection; ignores calls that aren't completion calls.
    void onCallerGone(CallId call, Actions &actions);

    /// Handles a failed probe: fails each attempt that uses the endpoint and has made no progress for a quarter of stall_ms, and retries its call. One whose
    /// call may not be retried is left alone.
    void onEndpointSilent(EndpointIndex endpoint, base::Now now, Actions &actions);

    /// Detects stalled attempts, fails queued calls whose deadline has passed, and starts waiting calls.
    void tick(base::Now now, Actions &actions);

    /// Starts waiting calls for which a pipeline has room; interrupted calls come before queued ones.
    void startWaiting(base::Now now, Actions &actions);

    /// Fails every open call with an explicit error when the shutdown period ends.
    void failAll(Actions &actions);

    /// True if the attempt is one of a completion call and has not ended.
    bool ownsAttempt(AttemptId attempt) const
    {
        return attempts_.count(attempt) > 0;
    }

    /// True if the call is an open completion call.
    bool owns(CallId call) const
    {
        return calls_.count(call) > 0;
    }

    /// Number of open calls, waiting or running.
    std::size_t openCount() const
    {
        return calls_.size();
    }

    /// Number of open calls of a team.
    std::uint32_t openCountOf(const std::string &team) const;

    /// Number of calls of a model that have not started yet.
    std::uint32_t queuedFor(const std::string &model) const
    {
        return static_cast<std::uint32_t>(queue_.sizeOf(model));
    }

private:
    /// An open completion call.
    struct Call {
        CallId id = 0;
        std::string team;
        CompletionRequest request;
        settings::CallClass callClass = settings::CallClass::Interactive;
        settings::ModelConfig model;
        settings::Limits limits;
        /// Hash of team, model and prompt, under which the quarantine counts crashes.
        std::uint64_t fingerprint = 0;
        /// Estimated number of tokens of the prompt.
        std::uint32_t promptTokens = 0;
        /// Tokens sent to the caller so far, by position.
        std::vector<std::string> delivered;
        /// Attempts started so far.
        std::uint32_t attempts = 0;
        /// The running attempt; 0 while the call waits.
        AttemptId attempt = 0;
        /// Endpoints of the running attempt in stage order; empty while the call waits.
        std::vector<EndpointIndex> pipeline;
        /// The stages of the attempt that was started last.
        std::vector<PlanStage> plan;
        /// Time of the attempt's start or of its last token.
        base::Instant lastProgress{0};
        /// The stages were probed since the last progress.
        bool probed = false;
        /// Endpoints that failed or stalled for this call; used again only if no other pipeline has room.
        std::set<EndpointIndex> avoid;
        /// Deadline for starting the next attempt while the call waits for a replacement pipeline; zero otherwise.
        base::Instant resumeDeadline{0};
        /// An attempt ended without proof that no endpoint has run it.
        bool mayHaveRun = false;
        /// The request had crash reports when the attempt started; the attempt is counted in suspectAttempts_.
        bool suspect = false;
        base::Instant arrivedAt{0};
    };

    /// The recent rate of tokens that this instance delivered for a model. Calls that would miss their deadline at this rate are refused early.
    struct ModelRate {
        /// Exponentially smoothed; 0 until the first window has ended.
        double tokensPerSecond = 0;
        /// Tokens in the current window.
        std::uint64_t tokens = 0;
        base::Instant windowStart{0};
    };

    /// Starts an attempt if a pipeline has room; returns false otherwise.
    bool tryStart(Call &call, base::Now now, Actions &actions);
    /// Returns the cheapest pipeline with room for the call, or an empty one. Takes endpoints to avoid only if there is no pipeline without them.
    std::vector<EndpointIndex> choosePipeline(const Call &call, base::Now now);
    void startAttempt(Call &call, const std::vector<EndpointIndex> &pipeline, base::Now now, Actions &actions);
    /// Ends the running attempt in this instance's records and frees its room at the endpoints. Doesn't cancel it there.
    void leavePipeline(Call &call);
    /// Returns whether the call's attempts and the retry budget permit a further pipeline.
    bool mayFailOver(const Call &call) const;
    /// Lets the call wait for a replacement pipeline, or fails it if the request is quarantined, its attempts are used up or the retry budget is empty.
    void failOver(Call &call, base::Now now, Actions &actions);
    /// Ends a call that is answered completely.
    void finish(Call &call, Actions &actions);
    /// Cancels the running attempt, if there is one, and ends the call with an error.
    void fail(Call &call, base::ErrorKind kind, const std::string &detail, Actions &actions);
    /// Replaces a pipeline that made no progress within stallTimeout(), and probes its endpoints at half that time.
    void checkStall(Call &call, base::Now now, Actions &actions);
    /// Longest time without progress: stall_ms plus the expected time for the endpoints' present load and for the prefill. The prefill counts until
    /// the first token and, if the call was retried, throughout the attempt.
    base::Instant stallTimeout(const Call &call) const;
    /// Starts attempts of interrupted calls, and fails those whose resumeDeadline has passed.
    void resumeInterrupted(base::Now now, Actions &actions);
    /// True if, at the model's recent token rate, the work queued up to and including this call takes longer than firstTokenMs. False if the rate
    /// is not known yet or no call is queued.
    bool wouldMissDeadline(const QueuedCall &queued, std::int64_t firstTokenMs) const;
    /// Counts a delivered token of the model.
    void updateTokenRate(const std::string &model, base::Instant now);
    /// Counts and records a frame of an attempt that has already ended here.
    void dropLateFrame(AttemptId attempt, Actions &actions);
    /// The call of a running attempt, or null.
    Call *callOfAttempt(AttemptId attempt);

    KernelContext &context_;
    /// Calls that have not started yet.
    FairQueue queue_;
    /// All open calls.
    std::map<CallId, Call> calls_;
    /// Running attempts.
    std::unordered_map<AttemptId, CallId> attempts_;
    /// Interrupted calls that wait for a replacement pipeline, in order of interruption. May hold calls that have ended meanwhile.
    std::deque<CallId> awaitingPipeline_;
    /// Number of open calls by team.
    std::map<std::string, std::uint32_t> openByTeam_;
    /// Token rates by model.
    std::map<std::string, ModelRate> rates_;
    /// Number of running attempts of suspect requests at each endpoint; no entry means none.
    std::map<EndpointIndex, std::uint32_t> suspectAttempts_;
};

} // namespace trefoilport
