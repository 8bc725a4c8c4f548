#pragma once

#include "relay/RelayKernel.h"

#include <functional>
#include <queue>
#include <vector>

/// Simulated clock and task queue. Time advances only when tasks run; tasks due at the same time run in the order in which they were added.
class VirtualTime
{
public:
    /// Current simulated time; 1000 s at the start.
    relay::Instant now() const
    {
        return now_;
    }

    /// Adds a task that runs once, `delay` after the current time.
    void after(relay::Ms delay, std::function<void()> task)
    {
        tasks_.push({now_ + delay, nextNumber_++, std::move(task)});
    }

    /// Runs all tasks due up to and including `end`, also those that they add, and then sets the time to `end`.
    void runUntil(relay::Instant end)
    {
        while (!tasks_.empty() && tasks_.top().due <= end) {
            const Task next = tasks_.top();
            tasks_.pop();
            now_ = next.due;
            next.run();
        }
        now_ = end;
    }

private:
    struct Task {
        relay::Instant due{0};
        /// Position in the order of addition.
        std::uint64_t number = 0;
        std::function<void()> run;

        /// Reversed, because std::priority_queue returns its largest element first.
        friend bool operator<(const Task &a, const Task &b)
        {
            return a.due != b.due ? a.due > b.due : a.number > b.number;
        }
    };

    relay::Instant now_{std::chrono::seconds(1000)};
    std::uint64_t nextNumber_ = 0;
    std::priority_queue<Task> tasks_;
};
