#pragma once

#include "Rings.h"
#include "trefoilport/Kernel.h"

#include <atomic>

/// The queues between the kernel's thread and the threads of the duties: one of events and one of actions for each duty. The record duty sends no events.
struct DaemonRings {
    /// Gives each ring room for `items` entries; more of them wait in the producer's overflow list.
    explicit DaemonRings(std::size_t items)
        : fromCallers(items, kernelWakeup)
        , fromEndpoints(items, kernelWakeup)
        , fromPlatform(items, kernelWakeup)
        , fromMesh(items, kernelWakeup)
        , toCallers(items)
        , toEndpoints(items)
        , toPlatform(items)
        , toMesh(items)
        , toRecord(items)
    {
    }

    /// Notified by every event ring, to wake the kernel's thread.
    Wakeup kernelWakeup;
    EventRing fromCallers;
    EventRing fromEndpoints;
    EventRing fromPlatform;
    EventRing fromMesh;
    ActionRing toCallers;
    ActionRing toEndpoints;
    ActionRing toPlatform;
    ActionRing toMesh;
    ActionRing toRecord;

    /// Returns the number of events and actions since the start that went to an overflow list.
    std::uint64_t overflowCount() const;
};

/// Runs the kernel: hands it the events of all rings in turn and periodic ticks, and queues each resulting action for the duty that carries it out.
class KernelDuty
{
public:
    KernelDuty(trefoilport::KernelSettings settings, DaemonRings &rings);

    /// Runs the kernel in the calling thread; returns after its Exit action.
    void run();

    /// Requests a graceful stop, which starts within TickPeriod. May be called from any thread and from a signal handler.
    void requestStop()
    {
        stopRequested_.store(true);
    }

private:
    /// Passes queued events to the kernel; returns whether there were any.
    bool handleEvents();

    /// Queues the kernel's actions for the duties and wakes them.
    void dispatch();

    trefoilport::Kernel kernel_;
    DaemonRings &rings_;
    /// Actions of the kernel that are not queued yet.
    trefoilport::Actions actions_;
    std::atomic<bool> stopRequested_{false};
    /// The kernel has received StopRequested.
    bool stopSent_ = false;
    /// The kernel has returned the Exit action.
    bool exited_ = false;
};
