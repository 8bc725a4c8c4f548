#pragma once

#include "details/KernelContext.h"
#include "details/LoadObserver.h"
#include "details/PipelineCalls.h"
#include "details/ServiceCalls.h"
#include "trefoilport/Kernel.h"

#include <optional>
#include <string>

namespace trefoilport {

/// The kernel's state, with one handler for each type of event.
struct Kernel::Impl {
    explicit Impl(KernelSettings settings)
        : context(std::move(settings))
        , pipelines(context)
        , services(context)
        , observer(context.settings)
    {
    }

    void on(const CompletionArrived &event, base::Now now, Actions &actions);
    void on(const ServiceCallArrived &event, base::Now now, Actions &actions);
    void on(const ModelsRequested &event, base::Now now, Actions &actions);
    void on(const CallerGone &event, base::Now now, Actions &actions);
    void on(const TokenArrived &event, base::Now now, Actions &actions);
    void on(const AttemptEnded &event, base::Now now, Actions &actions);
    void on(const AttemptFailed &event, base::Now now, Actions &actions);
    void on(const ServiceAnswered &event, base::Now now, Actions &actions);
    void on(const StoreReadDone &event, base::Now now, Actions &actions);
    void on(const StoreWriteDone &event, base::Now now, Actions &actions);
    void on(const HeadReceived &event, base::Now now, Actions &actions);
    void on(const StoreFailed &event, base::Now now, Actions &actions);
    void on(const ListReceived &event, base::Now now, Actions &actions);
    void on(const LoadReported &event, base::Now now, Actions &actions);
    void on(const ProbeFailed &event, base::Now now, Actions &actions);
    void on(const PeerMessageArrived &event, base::Now now, Actions &actions);
    void on(const Tick &event, base::Now now, Actions &actions);
    void on(const StopRequested &event, base::Now now, Actions &actions);
    void on(const DrainRequested &event, base::Now now, Actions &actions);
    void on(const StatusRequested &event, base::Now now, Actions &actions);

    /// Counts a call and authenticates it. Returns the name of its team, or refuses the call and returns nothing if the instance is shutting down,
    /// its configuration is not confirmed, the API key is unknown or the team has too many open calls.
    std::optional<std::string> admit(CallId call, const std::string &keySha256, base::Now now, Actions &actions);
    /// Passes the limits of the configuration in force to the retry budget and the ledger if the revision has changed.
    void applyLimits();
    /// Starts due store operations of the ledger and applies its decisions, until there are no further decisions.
    void processClaims(base::Now now, Actions &actions);
    /// Sends gossip to a few peers if a round is due.
    void gossipIfDue(base::Now now, Actions &actions);
    /// Sends new crash reports of this instance to all live instances at once, without waiting for the next gossip round.
    void sendCrashReports(base::Now now, Actions &actions);
    /// Records changes of the confirmation and reports the readiness to the balancer. The instance is ready while its configuration is confirmed
    /// and it is not stopping.
    void updateReadiness(base::Now now, Actions &actions);
    /// Advances the shutdown: stops accepting calls after a grace period, fails the open calls at the end of shutdown_ms, and exits once no call is
    /// open and all claims are written, or at the end of shutdown_ms.
    void continueStopping(base::Now now, Actions &actions);
    /// On the first call marks this instance as stopped for good, which gossip reports to the peers. Exits on a later call, after a grace period in
    /// which the peers can receive that report.
    void announceExit(base::Now now, Actions &actions);
    /// Updates the state of this instance that gossip sends.
    void publishOwnState();
    /// Builds the answer to a status request.
    StatusReport describe(base::Now now);

    KernelContext context;
    PipelineCalls pipelines;
    ServiceCalls services;
    LoadObserver observer;
    /// Configuration revision whose limits were applied last.
    std::uint64_t limitsRevision = 0;
    /// The readiness that was reported last.
    bool ready = false;
    /// Whether the configuration was confirmed at the last tick or stop request.
    bool wasConfirmed = false;
    /// A stop was requested.
    bool stopping = false;
    /// The StopAccepting action was issued; calls that still arrive are refused.
    bool stoppedAccepting = false;
    /// The Exit action was issued.
    bool exited = false;
    base::Instant stopRequestedAt{0};
    /// Zero until announceExit() was called.
    base::Instant exitAnnouncedAt{0};
};

} // namespace trefoilport
