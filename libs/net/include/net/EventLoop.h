#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

namespace net {

/// An event loop for one thread. Servers and clients that are created with it call their handlers in the thread that calls run().
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs handlers and tasks, and waits while there are none, until stop() is called. Call this from one thread only. Throws what a task throws, unless
    /// reportExceptions() was called.
    void run();

    /// Makes run() go on after an exception, whose text it passes to `report`. Call this before run().
    void reportExceptions(std::function<void(std::string_view)> report);

    /// Makes run() return after the handler that is running. Any thread may call this.
    void stop();

    /// Queues a task to be run in the loop's thread. Costs one memory allocation. Any thread may call this.
    void post(std::function<void()> task);

    /// Runs a task once after the delay, in the loop's thread. Any thread may call this.
    void after(std::chrono::nanoseconds delay, std::function<void()> task);

    /// The implementation; only this library's servers and clients use it.
    struct Impl;
    Impl &impl();

private:
    std::unique_ptr<Impl> impl_;
    std::function<void(std::string_view)> report_;
};

} // namespace net
