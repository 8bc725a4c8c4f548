#include "details/ClaimLedger.h"

#include "base/Hash.h"

#include <algorithm>

namespace trefoilport {

namespace {

/// Delay of a write that the write budget did not allow.
constexpr std::chrono::milliseconds BudgetRetryDelay{10};
/// Backoff after failed store operations; doubles with each failure in a row.
constexpr std::chrono::milliseconds InitialBackoff{20};
constexpr std::chrono::milliseconds MaxBackoff{1000};
/// Maximum number of doublings, so that the shift can't overflow.
constexpr std::uint32_t MaxBackoffShift = 6;
/// A store operation that the driver has not answered within this time is handled as ambiguous.
constexpr std::chrono::milliseconds OpTimeout{3000};
/// Operations that may wait for one bucket; further claims are refused with StoreUnavailable, so their calls do not run.
constexpr std::size_t MaxOpsPerBucket = 4000;
/// Size from which a bucket takes no new claims. It is below the store's limit of one megabyte per value.
constexpr std::size_t MaxBucketBytes = 768 * 1024;
/// Estimated encoded size of a claim without its strings.
constexpr std::size_t ClaimOverheadBytes = 64;

std::size_t sizeOf(const wire::ClaimBucket &bucket)
{
    std::size_t bytes = 0;
    for (const wire::Claim &claim : bucket.claims) {
        bytes += ClaimOverheadBytes + claim.key.size() + claim.nonce.size() + claim.contentType.size() + claim.body.size();
    }
    return bytes;
}

} // namespace

ClaimLedger::ClaimLedger(const KernelSettings &settings, const Membership &membership, Counters &counters)
    : settings_(settings)
    , membership_(membership)
    , counters_(counters)
    , buckets_(static_cast<std::size_t>(settings.claimBuckets))
{
}

void ClaimLedger::configure(const LedgerLimits &limits)
{
    limits_ = limits;
}

std::string ClaimLedger::keyOf(const std::string &team, const std::string &service, const std::string &idempotencyKey)
{
    return std::to_string(team.size()) + ":" + team + std::to_string(service.size()) + ":" + service + idempotencyKey;
}

std::uint32_t ClaimLedger::bucketOf(const std::string &key) const
{
    return static_cast<std::uint32_t>(base::mixBits(base::hashOf(key)) % buckets_.size());
}

std::string ClaimLedger::objectKey(std::uint32_t bucket) const
{
    // The number of buckets is part of the key, so that instances with different claimBuckets settings never share an object.
    return "claims/" + std::to_string(buckets_.size()) + "/" + std::to_string(bucket);
}

std::string ClaimLedger::nonceOf(CallId call) const
{
    return settings_.id + ":" + std::to_string(settings_.incarnation) + ":" + std::to_string(call);
}

void ClaimLedger::addOp(Op op)
{
    buckets_[bucketOf(op.claim.key)].ops.push_back(std::move(op));
}

void ClaimLedger::acquire(CallId call, const std::string &key, std::uint64_t requestHash, base::Now now)
{
    Op op;
    op.call = call;
    op.claim.key = key;
    op.claim.nonce = nonceOf(call);
    op.claim.requestHash = requestHash;
    op.claim.claimedAtMs = now.wall;
    op.deadline = now.mono + std::chrono::milliseconds(limits_.claimTimeoutMs);
    op.repeatDeadline = now.mono + std::chrono::milliseconds(limits_.repeatWaitMs);
    op.minReadAt = now.mono;
    if (buckets_[bucketOf(key)].ops.size() >= MaxOpsPerBucket) {
        decide(op, ClaimVerdict::StoreUnavailable);
        return;
    }
    addOp(std::move(op));
}

void ClaimLedger::giveUp(CallId call, const std::string &key, base::Now now)
{
    Bucket &bucket = buckets_[bucketOf(key)];
    for (Op &op : bucket.ops) {
        if (op.kind == OpKind::Acquire && op.call == call) {
            abandon(op);
            return;
        }
    }
    // The claim was granted, so the stored bucket contains it.
    Op op;
    op.kind = OpKind::Release;
    op.call = call;
    op.claim.key = key;
    op.claim.nonce = nonceOf(call);
    op.minReadAt = now.mono;
    op.everWritten = true;
    addOp(std::move(op));
}

void ClaimLedger::abandon(Op &op)
{
    counters_.add(Counter::ClaimsGivenUp);
    op.kind = OpKind::Release;
    op.notBefore = base::Instant{0};
    op.decided = !op.everWritten;
}

void ClaimLedger::complete(CallId call, const std::string &key, std::uint64_t requestHash, const ServiceAnswer &answer, base::Now now)
{
    Op op;
    op.kind = OpKind::Complete;
    op.call = call;
    op.claim = {key, nonceOf(call), wire::ClaimState::Done, requestHash, now.wall, answer.status, answer.contentType, answer.body, true};
    if (answer.body.size() > static_cast<std::size_t>(limits_.storedAnswerBytes)) {
        op.claim.body.clear();
        op.claim.bodyKept = false;
    }
    addOp(std::move(op));
}

void ClaimLedger::markOutcomeUnknown(CallId call, const std::string &key, std::uint64_t requestHash, base::Now now)
{
    Op op;
    op.kind = OpKind::MarkOutcomeUnknown;
    op.call = call;
    op.claim = {key, nonceOf(call), wire::ClaimState::Unknown, requestHash, now.wall, 0, {}, {}, true};
    addOp(std::move(op));
}

void ClaimLedger::decide(Op &op, ClaimVerdict verdict, const wire::Claim &claim)
{
    op.decided = true;
    decisions_.push_back({op.call, verdict, claim});
}

std::vector<ClaimDecision> ClaimLedger::takeDecisions()
{
    std::vector<ClaimDecision> taken;
    taken.swap(decisions_);
    return taken;
}

bool ClaimLedger::prune(wire::ClaimBucket &claims, base::Now now) const
{
    const std::int64_t oldest = now.wall - limits_.retentionMs;
    std::erase_if(claims.claims, [oldest](const wire::Claim &claim) { return claim.claimedAtMs < oldest; });
    return sizeOf(claims) <= MaxBucketBytes;
}

void ClaimLedger::startRead(std::uint32_t number, base::Now now, Actions &actions, StoreOpId &nextOp)
{
    Bucket &bucket = buckets_[number];
    bucket.phase = Phase::Reading;
    bucket.op = nextOp++;
    bucket.issuedAt = now.mono;
    opBucket_[bucket.op] = number;
    actions.push_back(ReadStore{bucket.op, objectKey(number)});
}

bool ClaimLedger::startWrite(std::uint32_t number, base::Now now, Actions &actions, StoreOpId &nextOp)
{
    Bucket &bucket = buckets_[number];
    wire::ClaimBucket claims = bucket.cached;
    const bool hasSpace = prune(claims, now);
    bool changed = false;
    for (Op &op : bucket.ops) {
        op.inBatch = false;
        if (op.decided || op.notBefore > now.mono) {
            continue;
        }
        const bool isNew = op.kind == OpKind::Acquire && findClaim(claims, op.claim.key) == nullptr;
        if (isNew && !hasSpace) {
            decide(op, ClaimVerdict::StoreUnavailable);
            continue;
        }
        const ApplyResult applied = apply(bucket, op, claims, now);
        if (applied == ApplyResult::NeedsRead) {
            return false;
        }
        op.decided = op.decided || applied == ApplyResult::Settled;
        op.inBatch = applied == ApplyResult::NeedsWrite;
        changed = changed || applied == ApplyResult::NeedsWrite;
    }
    std::erase_if(bucket.ops, [](const Op &op) { return op.decided; });
    if (!changed) {
        return true;
    }
    if (!writes_.tryAcquire(now.mono)) {
        bucket.retryAt = now.mono + BudgetRetryDelay;
        return true;
    }
    for (Op &op : bucket.ops) {
        op.everWritten = op.everWritten || op.inBatch;
    }
    bucket.phase = Phase::Writing;
    bucket.op = nextOp++;
    bucket.issuedAt = now.mono;
    bucket.proposed = std::move(claims);
    opBucket_[bucket.op] = number;
    counters_.add(Counter::ClaimWrites);
    actions.push_back(Record{TimelineKind::ClaimWritten, 0, objectKey(number), std::to_string(bucket.ops.size()) + " changes"});
    actions.push_back(WriteStore{bucket.op, objectKey(number), bucket.proposed, bucket.version});
    return true;
}

void ClaimLedger::expire(Bucket &bucket, base::Now now)
{
    for (Op &op : bucket.ops) {
        if (op.kind == OpKind::Acquire && !op.decided && now.mono >= op.deadline) {
            decisions_.push_back({op.call, ClaimVerdict::StoreUnavailable, {}});
            abandon(op);
        }
    }
    std::erase_if(bucket.ops, [](const Op &op) { return op.decided; });
}

void ClaimLedger::advanceBucket(std::uint32_t number, base::Now now, Actions &actions, StoreOpId &nextOp)
{
    Bucket &bucket = buckets_[number];
    expire(bucket, now);
    if (bucket.phase != Phase::Idle) {
        if (now.mono - bucket.issuedAt > OpTimeout) {
            onWrite({bucket.op, StoreStatus::Ambiguous, 0}, now, actions);
        }
        return;
    }
    const auto isDue = [&](const Op &op) {
        return op.notBefore <= now.mono;
    };
    if (now.mono < bucket.retryAt || std::none_of(bucket.ops.begin(), bucket.ops.end(), isDue)) {
        return;
    }
    if (!bucket.cacheValid || !startWrite(number, now, actions, nextOp)) {
        startRead(number, now, actions, nextOp);
    }
}

void ClaimLedger::tick(base::Now now, Actions &actions, StoreOpId &nextOp)
{
    writes_.configure(static_cast<double>(limits_.writesPerSecond), membership_.liveMembers().size());
    firstBucket_ = (firstBucket_ + 1) % static_cast<std::uint32_t>(buckets_.size());
    for (std::uint32_t i = 0; i < buckets_.size(); ++i) {
        const std::uint32_t number = (firstBucket_ + i) % static_cast<std::uint32_t>(buckets_.size());
        if (!buckets_[number].ops.empty() || buckets_[number].phase != Phase::Idle) {
            advanceBucket(number, now, actions, nextOp);
        }
    }
}

void ClaimLedger::backOff(Bucket &bucket, base::Now now)
{
    const auto delay = InitialBackoff * (1U << std::min(bucket.failures, MaxBackoffShift));
    bucket.retryAt = now.mono + std::min<base::Instant>(delay, MaxBackoff);
    ++bucket.failures;
}

void ClaimLedger::onRead(const StoreReadDone &done, base::Now now, Actions &)
{
    const auto found = opBucket_.find(done.op);
    if (found == opBucket_.end()) {
        return;
    }
    Bucket &bucket = buckets_[found->second];
    opBucket_.erase(found);
    if (bucket.op != done.op) {
        return;
    }
    bucket.phase = Phase::Idle;
    const auto *value = std::get_if<wire::ClaimBucket>(&done.value);
    const bool isAnswer = done.status == StoreStatus::NotFound || (done.status == StoreStatus::Ok && value != nullptr);
    // Versions in the store only grow, so a lower one comes from a stale read, which must not be used.
    if (!isAnswer || (done.status == StoreStatus::NotFound && bucket.version > 0) || (done.status == StoreStatus::Ok && done.version < bucket.version)) {
        backOff(bucket, now);
        return;
    }
    bucket.failures = 0;
    bucket.cacheValid = true;
    bucket.version = done.status == StoreStatus::Ok ? done.version : 0;
    bucket.cached = value != nullptr ? *value : wire::ClaimBucket{};
    bucket.cachedAsOf = bucket.issuedAt;
}

void ClaimLedger::finishWrite(Bucket &bucket, Actions &actions)
{
    for (Op &op : bucket.ops) {
        const bool mayBeSettled = op.everWritten && !op.decided;
        if (!mayBeSettled) {
            continue;
        }
        const wire::Claim *claim = findClaim(bucket.cached, op.claim.key);
        const bool isOurs = claim != nullptr && claim->nonce == op.claim.nonce;
        switch (op.kind) {
        case OpKind::Acquire:
            if (isOurs) {
                decide(op, ClaimVerdict::Granted, *claim);
            }
            break;
        case OpKind::Release:
            if (!isOurs) {
                counters_.add(Counter::ClaimsReleased);
                actions.push_back(Record{TimelineKind::ClaimReleased, op.call, op.claim.key, ""});
                op.decided = true;
            }
            break;
        case OpKind::Complete:
        case OpKind::MarkOutcomeUnknown:
            op.decided = isOurs && claim->state == op.claim.state;
            break;
        }
    }
    std::erase_if(bucket.ops, [](const Op &op) { return op.decided; });
}

void ClaimLedger::onWrite(const StoreWriteDone &done, base::Now now, Actions &actions)
{
    const auto found = opBucket_.find(done.op);
    if (found == opBucket_.end()) {
        return;
    }
    Bucket &bucket = buckets_[found->second];
    opBucket_.erase(found);
    if (bucket.op != done.op) {
        return;
    }
    const bool wasWriting = bucket.phase == Phase::Writing;
    bucket.phase = Phase::Idle;
    bucket.op = 0;
    switch (done.status) {
    case StoreStatus::Ok:
        bucket.failures = 0;
        bucket.fenceNeeded = false;
        bucket.version = done.version;
        bucket.cached = std::move(bucket.proposed);
        bucket.cachedAsOf = bucket.issuedAt;
        bucket.cacheValid = true;
        finishWrite(bucket, actions);
        break;
    case StoreStatus::Conflict:
        counters_.add(Counter::ClaimConflicts);
        bucket.cacheValid = false;
        break;
    case StoreStatus::Ambiguous:
        bucket.fenceNeeded = bucket.fenceNeeded || wasWriting;
        bucket.cacheValid = false;
        backOff(bucket, now);
        break;
    case StoreStatus::NotFound:
    case StoreStatus::Unavailable:
        bucket.cacheValid = false;
        backOff(bucket, now);
        break;
    }
}

bool ClaimLedger::isSettled() const
{
    return std::all_of(buckets_.begin(), buckets_.end(), [](const Bucket &bucket) { return bucket.ops.empty(); });
}

} // namespace trefoilport
