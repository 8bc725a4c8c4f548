#include "details/StopSchedule.h"

#include <algorithm>

namespace relay {

namespace {

/// Time within which the balancer learns that the instance isn't ready, with some margin.
constexpr Ms BalancerNotice{2500};
/// Time after which an idle instance may end: no connection is on its way to it any more.
constexpr Ms IdleStopTime{2800};
/// Longest time before the end of the grace period at which open requests are failed, and at which the process ends. Of a short grace period it is the
/// fraction below.
constexpr Ms FailMargin{600};
constexpr int FailMarginDivisor = 4;
constexpr Ms ExitMargin{200};
constexpr int ExitMarginDivisor = 10;
/// Requests are taken for at most this fraction of the time until open ones are failed, so that those have the rest to end.
constexpr int AcceptDivisor = 2;

} // namespace

StopSchedule stopScheduleOf(Ms gracePeriod)
{
    StopSchedule schedule;
    schedule.exitAfter = gracePeriod - std::min(ExitMargin, gracePeriod / ExitMarginDivisor);
    schedule.failAfter = gracePeriod - std::min(FailMargin, gracePeriod / FailMarginDivisor);
    schedule.refuseAfter = std::min(BalancerNotice, schedule.failAfter / AcceptDivisor);
    schedule.returnAfter = std::min(BalancerNotice, gracePeriod);
    schedule.minDuration = std::min(IdleStopTime, schedule.failAfter);
    return schedule;
}

} // namespace relay
