#include "details/CrashGuard.h"

#include "base/Hash.h"

#include <algorithm>

namespace relay {

namespace {

/// A crashed endpoint is known as such within this time: it is silent, or listed with a new incarnation.
constexpr Ms ConfirmTime{6000};
constexpr std::size_t QuarantineCrashes = 3;
/// Strikes are forgotten after this time without another.
constexpr Ms CrashReportLifetime{120000};
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

void CrashGuard::onServed(std::uint64_t fingerprint)
{
    strikes_.erase(fingerprint);
    std::erase_if(suspicions_, [&](const Suspicion &suspicion) { return suspicion.fingerprint == fingerprint; });
}

std::vector<wire::CrashReport> CrashGuard::tick(Instant now)
{
    std::vector<wire::CrashReport> confirmed;
    std::erase_if(suspicions_, [&](const Suspicion &suspicion) {
        const EndpointState &state = endpoints_.at(suspicion.endpoint);
        const bool hasCrashed = state.entry.incarnation > suspicion.incarnation || state.suspectUntil.count() != 0;
        if (hasCrashed) {
            confirmed.push_back({suspicion.fingerprint, base::mixBits(base::hashOf(state.entry.id) ^ suspicion.incarnation)});
        }
        return hasCrashed || now >= suspicion.brokenAt + ConfirmTime;
    });
    std::erase_if(confirmed, [&](const wire::CrashReport &strike) { return !onCrashReport(strike, now); });
    std::erase_if(strikes_, [&](const auto &entry) { return now >= entry.second.lastAt + CrashReportLifetime; });
    return confirmed;
}

bool CrashGuard::onCrashReport(const wire::CrashReport &strike, Instant now)
{
    Strikes &strikes = strikes_[strike.fingerprint];
    if (std::find(strikes.crashes.begin(), strikes.crashes.end(), strike.crash) != strikes.crashes.end()) {
        return false;
    }
    if (strikes.crashes.size() < QuarantineCrashes) {
        strikes.crashes.push_back(strike.crash);
    }
    strikes.lastAt = now;
    return true;
}

bool CrashGuard::isQuarantined(std::uint64_t fingerprint, Instant now) const
{
    const auto found = strikes_.find(fingerprint);
    return found != strikes_.end() && found->second.crashes.size() >= QuarantineCrashes && now < found->second.lastAt + CrashReportLifetime;
}

} // namespace relay
