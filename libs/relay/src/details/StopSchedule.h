#pragma once

#include "relay/RelayKernel.h"

namespace relay {

/// When an instance takes the steps of its shutdown. All are times since the request to stop.
struct StopSchedule {
    /// New requests are rejected, and connections closed after their current answer. By then the balancer sends no new connections if the grace period is
    /// long enough; those that go on using open ones learn in time that they must not.
    Ms refuseAfter{0};
    /// Rejected callers that come back from then on are sent to other instances by the balancer.
    Ms returnAfter{0};
    /// The process keeps running for at least this time, even if it is idle.
    Ms minDuration{0};
    /// Open requests are failed, so that their callers still get an answer.
    Ms failAfter{0};
    /// The process ends, whatever is still being written.
    Ms exitAfter{0};
};

/// Returns the steps within a grace period, at the end of which the platform kills the process.
StopSchedule stopScheduleOf(Ms gracePeriod);

} // namespace relay
