#include "details/RefusalPause.h"

namespace relay {

namespace {

/// The pause is this times 2 to the power of the number of refusals in a row, which is counted up to the maximum.
constexpr Ms PauseUnit{75};
constexpr int MaxRefusals = 5;
/// Open requests that a window never exceeds.
constexpr double MaxWindow = 1024;
constexpr Ms ProbePeriod{300};

} // namespace

void RefusalPause::onRefused(Instant sentAt, Instant now, std::uint32_t open, Ms minimum)
{
    share_.onOutcome(true, now);
    askedUntil_ = std::max(askedUntil_, now + minimum);
    pausedUntil_ = std::max(pausedUntil_, askedUntil_);
    const bool isUnderWay = window_ && sentAt <= refusedAt_;
    if (isUnderWay || !(window_ ? share_.isHigh() : share_.isMost())) {
        return;
    }
    const double halved = std::min(window_.value_or(MaxWindow), open + 1.0) / 2;
    window_ = std::max(1.0, halved);
    refusedAt_ = now;
    if (halved < 1 && share_.isMost()) {
        pause(now);
    }
}

void RefusalPause::onAccepted(Instant sentAt, Instant now, std::uint32_t open)
{
    share_.onOutcome(false, now);
    if (sentAt <= refusedAt_) {
        return;
    }
    refusals_ = 0;
    pausedUntil_ = askedUntil_;
    if (window_) {
        window_ = std::min(MaxWindow, std::max(*window_, static_cast<double>(open)) + 1);
    }
    if (share_.isRare()) {
        window_.reset();
    }
}

void RefusalPause::onSent(Instant now)
{
    sentAt_ = now;
}

bool RefusalPause::isOver(Instant now) const
{
    return now >= pausedUntil_;
}

bool RefusalPause::hasRoom(Instant now, std::uint32_t open) const
{
    return !window_ || open < *window_ || now >= sentAt_ + ProbePeriod;
}

void RefusalPause::pause(Instant now)
{
    // Refusals of attempts that were under way at the same time count as one.
    if (now >= pausedUntil_) {
        refusals_ = std::min(refusals_ + 1, MaxRefusals);
    }
    pausedUntil_ = std::max(pausedUntil_, now + PauseUnit * (1 << refusals_));
}

} // namespace relay
