#pragma once

#include "details/KernelContext.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilport {

/// Handles calls of plain services.
///
/// Idempotent calls are retried and hedged. The others run at most once: they are dispatched only under a claim on their idempotency key, and are
/// retried only after a failure that proves that the endpoint has not run them.
class ServiceCalls
{
public:
    explicit ServiceCalls(KernelContext &context);

    /// Starts a call that has passed admission, or refuses it if no service matches its path or a required idempotency key is missing or too long.
    void arrive(const ServiceCallArrived &event, const std::string &team, base::Now now, Actions &actions);

    /// Passes an endpoint's answer to the caller, cancels the other attempt of a hedged call, and stores the outcome of an at-most-once call.
    void onAnswer(const ServiceAnswered &event, base::Now now, Actions &actions);

    /// Ends a failed attempt, updates the state of its endpoint, and retries or fails the call unless another attempt is running.
    void onFailure(const AttemptFailed &event, base::Now now, Actions &actions);

    /// Cancels the call of a caller that closed its connection. An at-most-once call that is running or that others have joined goes on. Ignores
    /// calls that aren't service calls.
    void onCallerGone(CallId call, base::Now now, Actions &actions);

    /// Applies the ledger's decision on a claim: starts the call, replays the stored answer or fails the call.
    void onDecision(const ClaimDecision &decision, base::Now now, Actions &actions);

    /// Starts calls that wait for an endpoint, fails those whose deadline has passed, and sends hedges.
    void tick(base::Now now, Actions &actions);

    /// Fails every open call with an explicit error when the shutdown period ends.
    void failAll(base::Now now, Actions &actions);

    /// True if the attempt is one of a service call and has not ended.
    bool ownsAttempt(AttemptId attempt) const
    {
        return attempts_.count(attempt) > 0;
    }

    /// Number of open calls, waiting or running.
    std::size_t openCount() const
    {
        return calls_.size();
    }

    /// Number of open calls of a team.
    std::uint32_t openCountOf(const std::string &team) const;

private:
    /// What a call waits for.
    enum class Phase {
        /// Waits for the ledger's decision, or for the outcome of the call that it has joined.
        Claiming,
        /// Waits for an endpoint with room.
        Waiting,
        /// One attempt is running, or two of a hedged call.
        Running,
    };

    /// A running attempt.
    struct Attempt {
        AttemptId id = 0;
        EndpointIndex endpoint = 0;
    };

    /// An open service call.
    struct Call {
        CallId id = 0;
        std::string team;
        std::string service;
        ServiceRequest request;
        settings::ServiceConfig config;
        /// The call isn't idempotent and is dispatched under a claim.
        bool atMostOnce = false;
        /// Key of the claim; empty for idempotent calls.
        std::string claimKey;
        /// Hash of method, target and body; detects reuse of a key for a different request.
        std::uint64_t requestHash = 0;
        Phase phase = Phase::Waiting;
        std::vector<Attempt> running;
        /// Endpoints at which an attempt has failed, or was running when a hedge was due. They are used again only if no other endpoint has room
        /// and no hedge was tried.
        std::set<EndpointIndex> avoid;
        /// Attempts started so far.
        std::uint32_t attempts = 0;
        /// A hedge was tried, whether or not it could be sent; there is at most one for each call.
        bool hedged = false;
        /// An attempt ended without proof that the endpoint has not run it.
        bool mayHaveRun = false;
        bool callerGone = false;
        /// Start of the newest attempt.
        base::Instant startedAt{0};
        /// Deadline for starting an attempt while the call waits for an endpoint.
        base::Instant deadline{0};
        /// The error for the newest failed attempt.
        base::ErrorKind lastError = base::ErrorKind::NoEndpoint;
        /// Later calls at this instance with the same claim key, which wait for this call's outcome.
        std::vector<CallId> joined;
    };

    /// Requests the claim from the ledger. If a call is open under the same claim key at this instance, joins it instead, or fails if its request
    /// differs.
    void beginClaim(Call &call, base::Now now, Actions &actions);
    /// Starts an attempt if an endpoint has room; returns false otherwise.
    bool tryStart(Call &call, base::Now now, Actions &actions);
    /// Removes an attempt from the call and frees its room at the endpoint.
    void endAttempt(Call &call, AttemptId attempt);
    /// Cancels all running attempts of the call.
    void cancelAttempts(Call &call, Actions &actions);
    /// Ends the call, and the calls that have joined it, with an answer.
    void answer(Call &call, const ServiceAnswer &result, bool replayed, Actions &actions);
    /// Ends the call, and the calls that have joined it, with an error.
    void fail(Call &call, base::ErrorKind kind, const std::string &detail, base::Now now, Actions &actions);
    /// Erases a call that has been answered or has failed.
    void close(Call &call);
    /// Retries the call if it has attempts left and the retry budget allows it. Otherwise gives up its claim, if there is one, and fails it.
    void retryOrFail(Call &call, AttemptFailure failure, base::Now now, Actions &actions);
    /// Handles a failure after which an at-most-once call may have run: stores that the outcome is unknown, and fails the call.
    void afterAtMostOnceFailure(Call &call, AttemptFailure failure, base::Now now, Actions &actions);
    /// Sends an idempotent call to a second endpoint if the first has not answered within hedge_ms and the retry budget allows it.
    void hedgeIfDue(Call &call, base::Now now, Actions &actions);
    /// The call of a running attempt, or null.
    Call *callOfAttempt(AttemptId attempt);

    KernelContext &context_;
    /// All open calls.
    std::map<CallId, Call> calls_;
    /// Running attempts.
    std::unordered_map<AttemptId, CallId> attempts_;
    /// The first open call of each claim key; later calls with the key at this instance join it.
    std::unordered_map<std::string, CallId> byClaimKey_;
    /// Maps each call that has joined another to the call that it waits for.
    std::unordered_map<CallId, CallId> joined_;
    /// Number of open calls by team.
    std::map<std::string, std::uint32_t> openByTeam_;
};

/// Returns the name of the service with the longest prefix that matches the target's path up to a segment boundary, or an empty string. The query
/// part of the target is ignored.
std::string matchService(const settings::RoutingConfig &config, const std::string &target);

} // namespace trefoilport
