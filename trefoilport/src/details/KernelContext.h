#pragma once

#include "details/ClaimLedger.h"
#include "details/ConfigKeeper.h"
#include "details/EndpointTable.h"
#include "details/Membership.h"
#include "details/PipelineChooser.h"
#include "details/Quarantine.h"
#include "details/RetryBudget.h"

namespace trefoilport {

/// The state that the kernel and its call handlers share. The kernel owns it, and it outlives the handlers.
struct KernelContext {
    explicit KernelContext(KernelSettings kernelSettings)
        : settings(std::move(kernelSettings))
        , membership(settings)
        , config(settings, membership)
        , chooser(endpoints, settings.zone, settings.seed)
        , ledger(settings, membership, counters)
        , quarantine(settings.id)
    {
    }

    KernelContext(const KernelContext &) = delete;
    KernelContext &operator=(const KernelContext &) = delete;

    /// Number of live instances that are not leaving; at least 1.
    std::size_t liveInstances() const
    {
        return std::max<std::size_t>(1, membership.liveMembers().size());
    }

    KernelSettings settings;
    Counters counters;
    Membership membership;
    ConfigKeeper config;
    EndpointTable endpoints;
    PipelineChooser chooser;
    ClaimLedger ledger;
    Quarantine quarantine;
    RetryBudget retries;
    /// Id of the next attempt.
    AttemptId nextAttempt = 1;
    /// Id of the next store operation.
    StoreOpId nextOp = 1;
};

/// Longest time between the kernel's decision to start an attempt and the write to the socket. After it the attempt must not be sent any more,
/// since the process may have been paused meanwhile.
inline constexpr std::chrono::milliseconds SendTimeout{1000};

/// Answers a call with an error before any attempt has run, and counts and records it as refused.
inline void refuse(KernelContext &context, CallId call, base::ErrorKind kind, std::string detail, Actions &actions)
{
    context.counters.add(Counter::CallsRefused);
    actions.push_back(Record{TimelineKind::CallFailed, call, "", std::string(base::nameOf(kind))});
    actions.push_back(AnswerFailure{call, {kind, std::move(detail)}});
}

} // namespace trefoilport
