#pragma once

#include "details/Asio.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace net {

/// A timeout for one operation at a time.
///
/// A timer that has expired can't be cancelled any more: its handler is queued, and runs although the operation has ended meanwhile. Here the action of a
/// timeout that was stopped or replaced never runs, so that it can't act on the operation that follows.
class OperationTimeout
{
public:
    explicit OperationTimeout(const boost::asio::any_io_executor &executor)
        : timer_(executor)
    {
    }

    /// Runs the action after the duration, unless the timeout is stopped or started again before. `owner` is kept alive until then; this object must live
    /// as long as it.
    template<typename Owner, typename Action>
    void start(std::chrono::nanoseconds duration, std::shared_ptr<Owner> owner, Action action)
    {
        const std::uint64_t operation = ++operation_;
        timer_.expires_after(duration);
        timer_.async_wait([this, operation, owner = std::move(owner), action = std::move(action)](const boost::system::error_code &error) {
            if (!error && operation == operation_) {
                action();
            }
        });
    }

    /// Ends the timeout, since its operation has ended: the action doesn't run any more.
    void stop()
    {
        ++operation_;
        timer_.cancel();
    }

private:
    boost::asio::steady_timer timer_;
    /// Number of the operation that the timeout is for; stop() takes one as well.
    std::uint64_t operation_ = 0;
};

} // namespace net
