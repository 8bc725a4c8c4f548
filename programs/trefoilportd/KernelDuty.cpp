#include "KernelDuty.h"

#include <array>

using namespace trefoilport;

namespace {

/// Maximum number of events that are taken from one ring before the next ring gets its turn.
constexpr int MaxEventsPerTurn = 256;

/// Selects the ring of the duty that carries out an action; null for Exit, which KernelDuty handles itself.
struct Destination {
    DaemonRings &rings;

    ActionRing *operator()(const StartPipeline &) const
    {
        return &rings.toEndpoints;
    }
    ActionRing *operator()(const StartService &) const
    {
        return &rings.toEndpoints;
    }
    ActionRing *operator()(const CancelAttempt &) const
    {
        return &rings.toEndpoints;
    }
    ActionRing *operator()(const ProbeEndpoint &) const
    {
        return &rings.toEndpoints;
    }
    ActionRing *operator()(const ReadStore &) const
    {
        return &rings.toPlatform;
    }
    ActionRing *operator()(const ReadHead &) const
    {
        return &rings.toPlatform;
    }
    ActionRing *operator()(const WriteStore &) const
    {
        return &rings.toPlatform;
    }
    ActionRing *operator()(const SendPeer &) const
    {
        return &rings.toMesh;
    }
    ActionRing *operator()(const Record &) const
    {
        return &rings.toRecord;
    }
    ActionRing *operator()(const Exit &) const
    {
        return nullptr;
    }
    /// All other actions are answers and orders to the callers' duty.
    template<typename CallerAction>
    ActionRing *operator()(const CallerAction &) const
    {
        return &rings.toCallers;
    }
};

} // namespace

std::uint64_t DaemonRings::overflowCount() const
{
    return fromCallers.overflowCount() + fromEndpoints.overflowCount() + fromPlatform.overflowCount() + fromMesh.overflowCount() + toCallers.overflowCount()
        + toEndpoints.overflowCount() + toPlatform.overflowCount() + toMesh.overflowCount() + toRecord.overflowCount();
}

KernelDuty::KernelDuty(KernelSettings settings, DaemonRings &rings)
    : kernel_(std::move(settings))
    , rings_(rings)
{
}

bool KernelDuty::handleEvents()
{
    bool handledAny = false;
    Event event;
    for (EventRing *ring : {&rings_.fromCallers, &rings_.fromEndpoints, &rings_.fromPlatform, &rings_.fromMesh}) {
        for (int i = 0; i < MaxEventsPerTurn && ring->pop(event); ++i) {
            kernel_.handle(event, base::readClocks(), actions_);
            handledAny = true;
        }
    }
    return handledAny;
}

void KernelDuty::dispatch()
{
    for (Action &action : actions_) {
        ActionRing *ring = std::visit(Destination{rings_}, action);
        if (ring == nullptr) {
            exited_ = true;
        } else {
            ring->push(std::move(action));
        }
    }
    actions_.clear();
    for (ActionRing *ring : {&rings_.toCallers, &rings_.toEndpoints, &rings_.toPlatform, &rings_.toMesh, &rings_.toRecord}) {
        ring->commit();
    }
}

void KernelDuty::run()
{
    base::Instant nextTick{0};
    while (!exited_) {
        const bool handledAny = handleEvents();
        const base::Now now = base::readClocks();
        if (stopRequested_.load() && !stopSent_) {
            stopSent_ = true;
            kernel_.handle(StopRequested{}, now, actions_);
        }
        if (now.mono >= nextTick) {
            kernel_.handle(Tick{}, now, actions_);
            nextTick = now.mono + TickPeriod;
        }
        dispatch();
        if (!handledAny && !exited_) {
            rings_.kernelWakeup.waitFor(nextTick - base::readClocks().mono);
        }
    }
}
