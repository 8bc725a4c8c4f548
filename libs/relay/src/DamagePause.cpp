#include "details/DamagePause.h"

#include <algorithm>

namespace relay {

namespace {

/// Damaged answers in a row from which on an endpoint is avoided, and those up to which its pause grows.
constexpr int FirstPauseCount = 2;
constexpr int MaxPauseCount = 6;
constexpr std::chrono::milliseconds FirstPause{1000};
/// An endpoint that was avoided and neither answers nor sends damage for this time after its pause gets requests as before: its answers may take long.
constexpr std::chrono::milliseconds MaxProbeTime{4000};

} // namespace

void DamagePause::onDamaged(Instant sentAt, Instant now)
{
    if (sentAt <= avoidedFrom_) {
        return;
    }
    damaged_ = std::min(damaged_ + 1, MaxPauseCount);
    if (damaged_ < FirstPauseCount) {
        return;
    }
    avoidedFrom_ = now;
    avoidedUntil_ = now + FirstPause * (1U << static_cast<unsigned>(damaged_ - FirstPauseCount));
}

void DamagePause::onSound(Instant sentAt)
{
    if (sentAt > avoidedFrom_) {
        *this = DamagePause();
    }
}

bool DamagePause::isAvoided(Instant now, std::uint32_t open) const
{
    if (damaged_ < FirstPauseCount) {
        return false;
    }
    return now < avoidedUntil_ || (open > 0 && now < avoidedUntil_ + MaxProbeTime);
}

} // namespace relay
