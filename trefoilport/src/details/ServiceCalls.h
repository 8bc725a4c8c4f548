#pragma once

#include "details/KernelContext.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilport {

/// Calls of plain services. Repeatable calls are retried and hedged; the others are dispatched at most once, under a claim.
class ServiceCalls
{
public:
    explicit ServiceCalls(KernelContext &context);

    /// Takes a call that has passed admission.
    void arrive(const ServiceCallArrived &event, const std::string &team, base::Now now, Actions &actions);

    void onAnswer(const ServiceAnswered &event, base::Now now, Actions &actions);
    void onFailure(const AttemptFailed &event, base::Now now, Actions &actions);
    void onCallerGone(CallId call, base::Now now, Actions &actions);

    /// Carries out what the ledger decided.
    void onDecision(const ClaimDecision &decision, base::Now now, Actions &actions);

    /// Starts calls that wait for room, sends hedges, and ends calls that ran out of time.
    void tick(base::Now now, Actions &actions);

    /// Ends every open call with an explicit error; for the end of the shutdown time.
    void failAll(base::Now now, Actions &actions);

    bool ownsAttempt(AttemptId attempt) const
    {
        return attempts_.count(attempt) > 0;
    }

    std::size_t open() const
    {
        return calls_.size();
    }

    std::uint32_t openOf(const std::string &team) const;

private:
    enum class Phase {
        /// Waits for the ledger.
        Claiming,
        /// Waits for an endpoint with room.
        Waiting,
        /// One or two attempts are under way.
        Running,
    };

    struct Attempt {
        AttemptId id = 0;
        EndpointIndex endpoint = 0;
    };

    struct Call {
        CallId id = 0;
        std::string team;
        std::string service;
        ServiceRequest request;
        settings::ServiceConfig config;
        bool atMostOnce = false;
        std::string claimKey;
        std::uint64_t requestHash = 0;
        Phase phase = Phase::Waiting;
        std::vector<Attempt> running;
        std::set<EndpointIndex> avoid;
        std::uint32_t attempts = 0;
        bool hedged = false;
        /// An attempt was sent and nothing proves that it did not run.
        bool mayHaveRun = false;
        bool callerGone = false;
        base::Instant startedAt{0};
        base::Instant deadline{0};
        base::ErrorKind lastError = base::ErrorKind::NoEndpoint;
        /// Repeats of the same key that wait for this call's outcome.
        std::vector<CallId> joined;
    };

    void beginClaim(Call &call, base::Now now, Actions &actions);
    bool tryStart(Call &call, base::Now now, Actions &actions);
    void endAttempt(Call &call, AttemptId attempt);
    void cancelAttempts(Call &call, Actions &actions);
    void answer(Call &call, const ServiceAnswer &result, bool replayed, Actions &actions);
    void fail(Call &call, base::ErrorKind kind, const std::string &detail, base::Now now, Actions &actions);
    void close(Call &call);
    void retryOrFail(Call &call, AttemptFailure failure, base::Now now, Actions &actions);
    void afterAtMostOnceFailure(Call &call, AttemptFailure failure, base::Now now, Actions &actions);
    void hedgeIfDue(Call &call, base::Now now, Actions &actions);
    Call *callOfAttempt(AttemptId attempt);

    KernelContext &context_;
    std::map<CallId, Call> calls_;
    std::unordered_map<AttemptId, CallId> attempts_;
    /// The open call of each claim key; repeats at this instance join it.
    std::unordered_map<std::string, CallId> byClaimKey_;
    /// Joined call to the call that it waits for.
    std::unordered_map<CallId, CallId> joined_;
    std::map<std::string, std::uint32_t> openByTeam_;
};

/// The service whose prefix matches the path at a segment boundary, the longest first; empty if none does.
std::string matchService(const settings::RoutingConfig &config, const std::string &target);

} // namespace trefoilport
