#include "details/CrashGuard.h"

namespace relay {

namespace {

/// A crashed endpoint is known as such within this time: it is silent, or listed with a new incarnation.
constexpr Ms ConfirmTime{6000};
constexpr int MostStrikes = 3;
/// Strikes are forgotten after this time without another.
constexpr Ms StrikeLife{120000};
/// Bounds the memory that a flood of broken requests can take.
constexpr std::size_t MostSuspicions = 1024;

} // namespace

void CrashGuard::onBroken(std::uint64_t fingerprint, EndpointIndex endpoint, Instant now)
{
    if (suspicions_.size() >= MostSuspicions) {
        suspicions_.pop_front();
    }
    suspicions_.push_back({fingerprint, endpoint, endpoints_.at(endpoint).entry.incarnation, now});
}

std::vector<std::uint64_t> CrashGuard::tick(Instant now)
{
    std::vector<std::uint64_t> confirmed;
    std::erase_if(suspicions_, [&](const Suspicion &suspicion) {
        const EndpointState &state = endpoints_.at(suspicion.endpoint);
        const bool hasCrashed = state.entry.incarnation > suspicion.incarnation || state.suspectUntil.count() != 0;
        if (hasCrashed) {
            confirmed.push_back(suspicion.fingerprint);
        }
        return hasCrashed || now >= suspicion.brokenAt + ConfirmTime;
    });
    for (const std::uint64_t fingerprint : confirmed) {
        onStrike(fingerprint, now);
    }
    std::erase_if(strikes_, [&](const auto &entry) { return now >= entry.second.lastAt + StrikeLife; });
    return confirmed;
}

void CrashGuard::onStrike(std::uint64_t fingerprint, Instant now)
{
    Strikes &strikes = strikes_[fingerprint];
    ++strikes.count;
    strikes.lastAt = now;
}

bool CrashGuard::isBarred(std::uint64_t fingerprint, Instant now) const
{
    const auto found = strikes_.find(fingerprint);
    return found != strikes_.end() && found->second.count >= MostStrikes && now < found->second.lastAt + StrikeLife;
}

} // namespace relay
