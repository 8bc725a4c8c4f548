#pragma once

#include "details/Membership.h"
#include "details/WriteBudget.h"
#include "trefoilport/Event.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilport {

/// Result of ClaimLedger::acquire().
enum class ClaimVerdict {
    /// This call holds the claim and may be dispatched, once.
    Granted,
    /// An earlier call with this key has a stored outcome, which is sent to the caller again.
    Replay,
    /// Another call holds the claim, and its instance is alive.
    InProgress,
    /// Another call holds the claim but its instance is gone, so it may have been dispatched; or it was dispatched and its outcome was lost.
    OutcomeUnknown,
    /// The key was used for a request with another method, target or body.
    Mismatch,
    /// The store did not confirm the claim in time, or the bucket is full. The call must never be dispatched.
    StoreUnavailable,
};

/// The decision on one ClaimLedger::acquire().
struct ClaimDecision {
    CallId call = 0;
    ClaimVerdict verdict = ClaimVerdict::StoreUnavailable;
    /// For Replay: the claim with the stored outcome.
    wire::Claim claim;
};

/// The limits that the ledger takes from the configuration in force.
struct LedgerLimits {
    /// Time in which the store must confirm a claim.
    std::int64_t claimTimeoutMs = 2000;
    /// How long a call waits for the outcome of another call that holds the claim on its key.
    std::int64_t repeatWaitMs = 2000;
    /// Age at which a claim and its outcome are removed.
    std::int64_t retentionMs = 86400000;
    /// Longest answer body that is stored; of a longer answer only status and content type are kept.
    std::int64_t storedAnswerBytes = 4096;
    /// Limit for the claim writes of the whole fleet.
    std::int64_t writesPerSecond = 300;
};

/// Ensures that at most one call per idempotency key is dispatched in the whole fleet.
///
/// Claims are kept in bucket objects of the store. A conditional write of a bucket carries every change that waits for it. Only one store operation per bucket
/// is in flight, and a budget limits the writes of the fleet, so the write rate does not grow with the number of calls.
///
/// A claim bears the nonce of its call and is never transferred to another call. After an ambiguous write the bucket is read back: the call is granted the
/// claim only if the bucket shows its nonce. A call that gives up can't be granted the claim any more, and the ledger then removes any claim that the call may
/// have written.
class ClaimLedger
{
public:
    /// All arguments must outlive the ledger.
    ClaimLedger(const KernelSettings &settings, const Membership &membership, Counters &counters);

    /// Sets the limits for operations from now on.
    void configure(const LedgerLimits &limits);

    /// Requests the claim on a key, which comes from keyOf(). takeDecisions() returns the decision, possibly at once.
    void acquire(CallId call, const std::string &key, std::uint64_t requestHash, base::Now now);

    /// Gives up a claim that was requested or granted, because the caller is gone or the call was not dispatched after all. No decision is made any more; a
    /// claim that may have been written is removed from the store.
    void giveUp(CallId call, const std::string &key, base::Now now);

    /// Stores the outcome of a call that was granted the claim. A body above storedAnswerBytes is left out.
    void complete(CallId call, const std::string &key, std::uint64_t requestHash, const ServiceAnswer &answer, base::Now now);

    /// Records that a call that was granted the claim was dispatched but its outcome is lost.
    void markOutcomeUnknown(CallId call, const std::string &key, std::uint64_t requestHash, base::Now now);

    /// Processes the result of a store operation that ownsOp() recognises. Results of operations that have timed out are ignored.
    void onRead(const StoreReadDone &done, base::Now now, Actions &actions);
    void onWrite(const StoreWriteDone &done, base::Now now, Actions &actions);

    /// Starts store operations that are due, with ids from nextOp, and decides StoreUnavailable for requests past their deadline.
    void tick(base::Now now, Actions &actions, StoreOpId &nextOp);

    /// Returns the decisions made since the last call.
    std::vector<ClaimDecision> takeDecisions();

    /// True if the ledger started this store operation and waits for its result.
    bool ownsOp(StoreOpId op) const
    {
        return opBucket_.count(op) > 0;
    }

    /// True if no operation is pending. An instance that shuts down waits for this before it exits.
    bool isSettled() const;

    /// The claim key of a call. Different arguments give different keys, whatever bytes they contain.
    static std::string keyOf(const std::string &team, const std::string &service, const std::string &idempotencyKey);

private:
    /// What an operation does to the claim on its key.
    enum class OpKind {
        Acquire,
        Release,
        /// Stores the outcome.
        Complete,
        MarkOutcomeUnknown,
    };

    /// An operation on a claim, pending in its bucket's queue.
    struct Op {
        OpKind kind = OpKind::Acquire;
        CallId call = 0;
        wire::Claim claim;
        /// For Acquire: until when the store must confirm the claim.
        base::Instant deadline{0};
        /// Until when the call waits for the outcome of another call that holds the claim.
        base::Instant repeatDeadline{0};
        /// A decision based on another call's unfinished claim needs bucket contents from a store operation that was sent at this time or later.
        base::Instant minReadAt{0};
        /// The operation is not due before this time.
        base::Instant notBefore{0};
        /// A write with this operation's nonce was sent, so the claim may be in the stored bucket, or may still appear there.
        bool everWritten = false;
        /// The operation is part of the write that is being assembled.
        bool inBatch = false;
        /// The operation is finished and can be removed from the queue.
        bool decided = false;
    };

    /// State of a bucket's store operation.
    enum class Phase {
        Idle,
        Reading,
        Writing,
    };

    /// A bucket object of the store, with its cached contents and its pending operations.
    struct Bucket {
        Phase phase = Phase::Idle;
        /// The store operation in flight.
        StoreOpId op = 0;
        /// False if the contents must be read before the next write.
        bool cacheValid = false;
        /// Version of the cached contents; 0 while the object does not exist.
        std::uint64_t version = 0;
        wire::ClaimBucket cached;
        /// When the store operation that the cached contents come from was sent.
        base::Instant cachedAsOf{0};
        /// Contents of the write in flight.
        wire::ClaimBucket proposed;
        /// When the store operation in flight was sent.
        base::Instant issuedAt{0};
        /// An ambiguous write may still take effect. Until a later write succeeds, a claim that is absent from the bucket may still appear in it.
        bool fenceNeeded = false;
        /// No store operation starts before this time.
        base::Instant retryAt{0};
        /// Consecutive failed store operations.
        std::uint32_t failures = 0;
        std::deque<Op> ops;
    };

    /// Result of applying an operation to a bucket's claims.
    enum class ApplyResult {
        /// The operation is finished without a write.
        Settled,
        /// The operation is finished once the changed bucket is written.
        NeedsWrite,
        /// The bucket must be read again first.
        NeedsRead,
        /// The operation is tried again at its notBefore time.
        Deferred,
    };

    /// Number of the bucket that holds the claim on a key.
    std::uint32_t bucketOf(const std::string &key) const;
    /// Key of a bucket object in the store.
    std::string objectKey(std::uint32_t bucket) const;
    /// Nonce of a call's claim: "instance:incarnation:call".
    std::string nonceOf(CallId call) const;
    void addOp(Op op);
    /// Expires operations and store operations past their deadlines, and starts the bucket's next store operation if one is due.
    void advanceBucket(std::uint32_t number, base::Now now, Actions &actions, StoreOpId &nextOp);
    /// Starts a read of the bucket.
    void startRead(std::uint32_t number, base::Now now, Actions &actions, StoreOpId &nextOp);
    /// Applies the due operations to a copy of the bucket and writes it if it changed; returns false if the bucket must be read first.
    bool startWrite(std::uint32_t number, base::Now now, Actions &actions, StoreOpId &nextOp);
    /// Returns the claim of a key; null if there is none.
    static wire::Claim *findClaim(wire::ClaimBucket &bucket, const std::string &key);
    ApplyResult apply(Bucket &bucket, Op &op, wire::ClaimBucket &claims, base::Now now);
    ApplyResult applyAcquire(Bucket &bucket, Op &op, wire::ClaimBucket &claims, base::Now now);
    /// Decides on an Acquire whose key is claimed by another call, or defers it while that call may still get an outcome.
    ApplyResult checkForeignClaim(Bucket &bucket, Op &op, const wire::Claim &found, base::Now now);
    static ApplyResult applyRelease(const Bucket &bucket, const Op &op, wire::ClaimBucket &claims);
    static ApplyResult applyOutcome(const Op &op, wire::ClaimBucket &claims);
    void decide(Op &op, ClaimVerdict verdict, const wire::Claim &claim = {});
    /// Turns a pending Acquire into a Release; it is finished at once if no write with its nonce was sent.
    void abandon(Op &op);
    /// Decides StoreUnavailable for each pending Acquire past its deadline and abandons it.
    void expire(Bucket &bucket, base::Now now);
    /// Removes claims past their retention; returns true if the bucket then has space for new claims.
    bool prune(wire::ClaimBucket &claims, base::Now now) const;
    /// Finishes the operations that a successful write has carried out.
    void finishWrite(Bucket &bucket, Actions &actions);
    /// Delays the bucket's next store operation after a failed one.
    void backOff(Bucket &bucket, base::Now now);

    const KernelSettings &settings_;
    const Membership &membership_;
    Counters &counters_;
    LedgerLimits limits_;
    WriteBudget writes_;
    /// The bucket that is served first in this tick; advances on each tick so that every bucket gets its turn when the write budget is short.
    std::uint32_t firstBucket_ = 0;
    std::vector<Bucket> buckets_;
    /// Number of the bucket that each store operation in flight belongs to.
    std::unordered_map<StoreOpId, std::uint32_t> opBucket_;
    std::vector<ClaimDecision> decisions_;
};

} // namespace trefoilport
