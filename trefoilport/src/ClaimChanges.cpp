#include "details/ClaimLedger.h"

#include <algorithm>
#include <charconv>

namespace trefoilport {

namespace {

/// Interval between reads of a bucket in which another call holds the claim.
constexpr std::chrono::milliseconds ForeignClaimPollInterval{100};

/// Instance and incarnation of a nonce, which is "instance:incarnation:call"; instance ids contain no colon. An empty id if the nonce is malformed.
std::pair<std::string, std::uint64_t> claimantOf(const std::string &nonce)
{
    const auto first = nonce.find(':');
    const auto second = nonce.find(':', first + 1);
    if (first == std::string::npos || second == std::string::npos) {
        return {};
    }
    std::uint64_t incarnation = 0;
    std::from_chars(nonce.data() + first + 1, nonce.data() + second, incarnation);
    return {nonce.substr(0, first), incarnation};
}

} // namespace

wire::Claim *ClaimLedger::findClaim(wire::ClaimBucket &bucket, const std::string &key)
{
    const auto found = std::find_if(bucket.claims.begin(), bucket.claims.end(), [&](const wire::Claim &claim) { return claim.key == key; });
    return found == bucket.claims.end() ? nullptr : &*found;
}

ClaimLedger::ApplyResult ClaimLedger::checkForeignClaim(Bucket &bucket, Op &op, const wire::Claim &found, base::Now now)
{
    if (found.requestHash != op.claim.requestHash) {
        decide(op, ClaimVerdict::Mismatch);
        return ApplyResult::Settled;
    }
    if (found.state == wire::ClaimState::Done) {
        decide(op, ClaimVerdict::Replay, found);
        return ApplyResult::Settled;
    }
    if (found.state == wire::ClaimState::Unknown) {
        decide(op, ClaimVerdict::OutcomeUnknown);
        return ApplyResult::Settled;
    }
    if (bucket.cachedAsOf < op.minReadAt) {
        return ApplyResult::NeedsRead;
    }
    const auto [instance, incarnation] = claimantOf(found.nonce);
    const bool claimantIsAlive = membership_.isAlive(instance, incarnation);
    if (claimantIsAlive && now.mono < op.repeatDeadline) {
        op.notBefore = now.mono + ForeignClaimPollInterval;
        op.minReadAt = op.notBefore;
        op.deadline = std::max(op.deadline, op.repeatDeadline + std::chrono::milliseconds(limits_.claimTimeoutMs));
        return ApplyResult::Deferred;
    }
    decide(op, claimantIsAlive ? ClaimVerdict::InProgress : ClaimVerdict::OutcomeUnknown);
    return ApplyResult::Settled;
}

ClaimLedger::ApplyResult ClaimLedger::applyAcquire(Bucket &bucket, Op &op, wire::ClaimBucket &claims, base::Now now)
{
    const wire::Claim *found = findClaim(claims, op.claim.key);
    if (found == nullptr) {
        claims.claims.push_back(op.claim);
        return ApplyResult::NeedsWrite;
    }
    if (found->nonce != op.claim.nonce) {
        return checkForeignClaim(bucket, op, *found, now);
    }
    // The bucket was read back after an ambiguous write and shows the claim, so the write took effect.
    counters_.add(Counter::ClaimReadBacks);
    decide(op, ClaimVerdict::Granted, *found);
    return ApplyResult::Settled;
}

ClaimLedger::ApplyResult ClaimLedger::applyRelease(const Bucket &bucket, const Op &op, wire::ClaimBucket &claims)
{
    const auto found = std::find_if(claims.claims.begin(), claims.claims.end(), [&](const wire::Claim &claim) { return claim.nonce == op.claim.nonce; });
    if (found != claims.claims.end()) {
        claims.claims.erase(found);
        return ApplyResult::NeedsWrite;
    }
    // An ambiguous write that is still on its way could add the claim later. Another write raises the bucket's version and so makes that one fail.
    return bucket.fenceNeeded ? ApplyResult::NeedsWrite : ApplyResult::Settled;
}

ClaimLedger::ApplyResult ClaimLedger::applyOutcome(const Op &op, wire::ClaimBucket &claims)
{
    wire::Claim *found = findClaim(claims, op.claim.key);
    if (found == nullptr) {
        claims.claims.push_back(op.claim); // The claim was removed at the end of its retention; the outcome starts a new retention period.
        return ApplyResult::NeedsWrite;
    }
    if (found->nonce != op.claim.nonce || found->state == op.claim.state) {
        return ApplyResult::Settled;
    }
    const std::int64_t claimedAt = found->claimedAtMs;
    *found = op.claim;
    found->claimedAtMs = claimedAt;
    return ApplyResult::NeedsWrite;
}

ClaimLedger::ApplyResult ClaimLedger::apply(Bucket &bucket, Op &op, wire::ClaimBucket &claims, base::Now now)
{
    switch (op.kind) {
    case OpKind::Acquire:
        return applyAcquire(bucket, op, claims, now);
    case OpKind::Release:
        return applyRelease(bucket, op, claims);
    case OpKind::Complete:
    case OpKind::MarkOutcomeUnknown:
        return applyOutcome(op, claims);
    }
    return ApplyResult::Settled;
}

} // namespace trefoilport
