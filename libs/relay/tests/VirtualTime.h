#pragma once

#include "relay/RelayKernel.h"

#include <functional>
#include <queue>
#include <vector>

/// Time that passes only as tasks are run; tasks that are due together run in the order in which they were planned.
class VirtualTime
{
public:
    relay::Instant now() const
    {
        return now_;
    }

    void after(relay::Ms delay, std::function<void()> task)
    {
        tasks_.push({now_ + delay, planned_++, std::move(task)});
    }

    /// Runs tasks until none is due before the end.
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
        std::uint64_t number = 0;
        std::function<void()> run;

        friend bool operator<(const Task &a, const Task &b)
        {
            return a.due != b.due ? a.due > b.due : a.number > b.number;
        }
    };

    relay::Instant now_{std::chrono::seconds(1000)};
    std::uint64_t planned_ = 0;
    std::priority_queue<Task> tasks_;
};
