#pragma once

#include "details/ClaimLedger.h"
#include "details/ConfigKeeper.h"
#include "details/EndpointTable.h"
#include "details/Membership.h"
#include "details/PipelineChooser.h"
#include "details/Quarantine.h"
#include "details/RetryBudget.h"

namespace trefoilport {

/// The parts of a kernel that the call handlers share. Owned by the kernel, which outlives them.
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
    AttemptId nextAttempt = 1;
    StoreOpId nextOp = 1;
};

/// An order that waited longer than this between the kernel and the socket must not be sent: the process may have been paused.
inline constexpr std::chrono::milliseconds SendTimeout{1000};

/// Refuses a call; nothing of it ran.
inline void refuse(KernelContext &context, CallId call, base::ErrorKind kind, std::string detail, Actions &actions)
{
    context.counters.add(Counter::CallsRefused);
    actions.push_back(Record{TimelineKind::CallFailed, call, "", std::string(base::nameOf(kind))});
    actions.push_back(AnswerFailure{call, {kind, std::move(detail)}});
}

} // namespace trefoilport
