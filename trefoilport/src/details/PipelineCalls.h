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

/// Completion calls from arrival to the last token.
///
/// A call waits in the fair queue until a chain of stages has room, runs on it, and moves to another chain if a stage fails: the new
/// chain replays the prompt and the tokens that the caller has, so that no position is delivered twice or skipped.
class PipelineCalls
{
public:
    explicit PipelineCalls(KernelContext &context);

    /// Takes a call that has passed admission: team and configuration are valid.
    void arrive(const CompletionArrived &event, const std::string &team, base::Now now, Actions &actions);

    void onToken(const TokenArrived &event, base::Now now, Actions &actions);
    void onEnd(const AttemptEnded &event, base::Now now, Actions &actions);
    void onFailure(const AttemptFailed &event, base::Now now, Actions &actions);
    void onCallerGone(CallId call, Actions &actions);

    /// A probe failed: attempts that use the endpoint and are silent move on at once.
    void onEndpointSilent(EndpointIndex endpoint, base::Now now, Actions &actions);

    /// Detects stalls, expires queued calls and starts what there is room for.
    void tick(base::Now now, Actions &actions);

    /// Starts waiting calls for which there is room.
    void startWaiting(base::Now now, Actions &actions);

    /// Ends every open call with an explicit error; for the end of the shutdown time.
    void failAll(Actions &actions);

    bool ownsAttempt(AttemptId attempt) const
    {
        return attempts_.count(attempt) > 0;
    }

    bool owns(CallId call) const
    {
        return calls_.count(call) > 0;
    }

    std::size_t open() const
    {
        return calls_.size();
    }

    std::uint32_t openOf(const std::string &team) const;

    std::uint32_t queuedFor(const std::string &model) const
    {
        return static_cast<std::uint32_t>(queue_.sizeOf(model));
    }

private:
    struct Call {
        CallId id = 0;
        std::string team;
        CompletionRequest request;
        settings::CallClass callClass = settings::CallClass::Interactive;
        settings::ModelConfig model;
        settings::Limits limits;
        std::uint64_t fingerprint = 0;
        std::uint32_t promptTokens = 0;
        std::vector<std::string> delivered;
        std::uint32_t attempts = 0;
        AttemptId attempt = 0;
        std::vector<EndpointIndex> pipeline;
        std::vector<PlanStage> plan;
        base::Instant lastProgress{0};
        bool probed = false;
        std::set<EndpointIndex> avoid;
        /// While it waits for a replacement chain: when it gives up. Zero otherwise.
        base::Instant resumeBy{0};
        /// An attempt was sent and nothing proves that it did not run.
        bool mayHaveRun = false;
        /// The running attempt is kept apart from other suspects.
        bool suspect = false;
        base::Instant arrivedAt{0};
    };

    /// Tokens per second that a model's calls got here lately, for early refusal.
    struct ModelRate {
        double tokensPerSecond = 0;
        std::uint64_t tokens = 0;
        base::Instant windowStart{0};
    };

    bool tryStart(Call &call, base::Now now, Actions &actions);
    std::vector<EndpointIndex> choosePipeline(const Call &call, base::Now now);
    void startAttempt(Call &call, const std::vector<EndpointIndex> &pipeline, base::Now now, Actions &actions);
    void leavePipeline(Call &call);
    void failOver(Call &call, base::Now now, Actions &actions);
    void finish(Call &call, Actions &actions);
    void fail(Call &call, base::ErrorKind kind, const std::string &detail, Actions &actions);
    void checkStall(Call &call, base::Now now, Actions &actions);
    base::Instant stallBound(const Call &call) const;
    void resumeWaiting(base::Now now, Actions &actions);
    bool wouldMissDeadline(const QueuedCall &queued, std::int64_t firstTokenMs) const;
    void countTokens(const std::string &model, base::Instant now);
    void dropLate(AttemptId attempt, Actions &actions);
    Call *callOfAttempt(AttemptId attempt);

    KernelContext &context_;
    FairQueue queue_;
    std::map<CallId, Call> calls_;
    std::unordered_map<AttemptId, CallId> attempts_;
    std::deque<CallId> resuming_;
    std::map<std::string, std::uint32_t> openByTeam_;
    std::map<std::string, ModelRate> rates_;
    std::map<EndpointIndex, std::uint32_t> suspectsAt_;
};

} // namespace trefoilport
