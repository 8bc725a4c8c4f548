#pragma once

#include <chrono>
#include <vector>

namespace net {

/// How long connections may wait for a request while the idle timeout changes.
///
/// Clients use a connection again as long as they may count on it. They may count on the longest timeout that was in force while the connection waited, and on
/// a timeout that was replaced until they know of that.
class IdleTimeouts
{
public:
    using Clock = std::chrono::steady_clock;

    explicit IdleTimeouts(std::chrono::milliseconds timeout);

    /// Replaces the timeout. Clients know of it after the notice time.
    void set(std::chrono::milliseconds timeout, std::chrono::milliseconds notice, Clock::time_point now);

    /// Returns the timeout of a connection that began to wait at the given time.
    std::chrono::milliseconds timeoutSince(Clock::time_point start) const;

private:
    /// A timeout that was replaced.
    struct Replaced {
        std::chrono::milliseconds timeout;
        /// It holds for connections that begin to wait until then.
        Clock::time_point until;
    };

    std::chrono::milliseconds timeout_;
    std::vector<Replaced> replaced_;
};

} // namespace net
