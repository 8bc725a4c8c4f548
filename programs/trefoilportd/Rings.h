#pragma once

#include "base/BoundedRing.h"
#include "trefoilport/Action.h"
#include "trefoilport/Event.h"

#include <condition_variable>
#include <functional>
#include <mutex>

/// Wakes a thread that waits for work with a timeout. A notification that comes before the wait is not lost.
class Wakeup
{
public:
    void notify()
    {
        const std::lock_guard lock(mutex_);
        pending_ = true;
        condition_.notify_one();
    }

    /// Returns after notify() or the timeout, whichever comes first.
    void waitFor(std::chrono::nanoseconds timeout)
    {
        std::unique_lock lock(mutex_);
        condition_.wait_for(lock, timeout, [this]() { return pending_; });
        pending_ = false;
    }

private:
    std::mutex mutex_;
    std::condition_variable condition_;
    bool pending_ = false;
};

/// A queue of events from one duty's thread to the kernel's thread. Nothing is dropped: events that meet a full ring wait in an overflow list.
class EventRing
{
public:
    EventRing(std::size_t items, Wakeup &kernelWakeup)
        : ring_(items)
        , kernelWakeup_(kernelWakeup)
    {
    }

    /// Producer only. Wakes the kernel's thread.
    void push(trefoilport::Event event)
    {
        ring_.push(std::move(event));
        kernelWakeup_.notify();
    }

    /// Producer only. Moves overflowed events into the ring. Must be called periodically, since otherwise they would wait until the next push().
    void flush()
    {
        ring_.flush();
    }

    /// Kernel thread only. Returns false if the ring is empty.
    bool pop(trefoilport::Event &event)
    {
        return ring_.pop(event);
    }

    /// Returns the number of events since construction that went to the overflow list. Any thread may call this.
    std::uint64_t overflowCount() const
    {
        return ring_.overflowCount();
    }

private:
    base::BoundedRing<trefoilport::Event> ring_;
    Wakeup &kernelWakeup_;
};

/// A queue of actions from the kernel's thread to one duty's thread. The consumer is woken once for a batch of actions.
class ActionRing
{
public:
    explicit ActionRing(std::size_t items)
        : ring_(items)
    {
    }

    /// Wakes the consumer; called in the kernel's thread. Set it before the threads start.
    std::function<void()> wake;

    /// Kernel thread only. Adds an action to the batch.
    void push(trefoilport::Action action)
    {
        ring_.push(std::move(action));
        wakePending_ = true;
    }

    /// Kernel thread only. Ends a batch and wakes the consumer if there are new actions. Moves overflowed actions into the ring; while some are left, the next
    /// call wakes the consumer again.
    void commit()
    {
        const bool isAllPlaced = ring_.flush();
        if (wakePending_ || !isAllPlaced) {
            wakePending_ = !isAllPlaced;
            wake();
        }
    }

    /// Consumer only. Returns false if the ring is empty.
    bool pop(trefoilport::Action &action)
    {
        return ring_.pop(action);
    }

    /// Returns the number of actions since construction that went to the overflow list. Any thread may call this.
    std::uint64_t overflowCount() const
    {
        return ring_.overflowCount();
    }

private:
    base::BoundedRing<trefoilport::Action> ring_;
    /// Actions were pushed, or left in the overflow list, since the consumer was last woken.
    bool wakePending_ = false;
};
