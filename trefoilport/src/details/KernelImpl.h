#pragma once

#include "details/KernelContext.h"
#include "details/LoadObserver.h"
#include "details/PipelineCalls.h"
#include "details/ServiceCalls.h"
#include "trefoilport/Kernel.h"

#include <optional>
#include <string>

namespace trefoilport {

/// The kernel's state and a handler per event.
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

    std::optional<std::string> admit(CallId call, const std::string &keySha256, base::Now now, Actions &actions);
    void applyLimits();
    void settleLedger(base::Now now, Actions &actions);
    void gossipIfDue(base::Now now, Actions &actions);
    void sendUpdates(base::Now now, Actions &actions);
    void updateReadiness(base::Now now, Actions &actions);
    void continueStopping(base::Now now, Actions &actions);
    void sayFarewell(base::Now now, Actions &actions);
    void publishOwnState();
    StatusReport describe(base::Now now);

    KernelContext context;
    PipelineCalls pipelines;
    ServiceCalls services;
    LoadObserver observer;
    std::uint64_t limitsRevision = 0;
    bool ready = false;
    bool wasConfirmed = false;
    bool stopping = false;
    bool acceptsNothing = false;
    bool exited = false;
    base::Instant stopAt{0};
    base::Instant farewellAt{0};
};

} // namespace trefoilport
