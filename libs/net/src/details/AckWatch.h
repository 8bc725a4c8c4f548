#pragma once

#include "details/Asio.h"

#include <chrono>
#include <optional>

namespace net {

/// What the operating system says of the bytes on their way to a peer.
struct AckState {
    /// Bytes, or a probe of a peer that takes none, wait to be acknowledged.
    bool isWaiting = false;
    /// Time since the peer has acknowledged anything.
    std::chrono::milliseconds sinceAck{0};
};

/// Returns the state that the system's record of a connection gives.
AckState ackStateOf(const tcp_info &info);

/// Returns the state of a connection; the error if the system can't tell.
std::optional<AckState> ackStateOf(boost::asio::ip::tcp::socket &socket, boost::system::error_code &error);

/// Tells a peer that is gone from one that doesn't read: the latter goes on acknowledging the probes of its closed window.
class AckWatch
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// A peer that acknowledges nothing for this time, though something waits for it, is gone.
    explicit AckWatch(std::chrono::milliseconds bound)
        : bound_(bound)
    {
    }

    /// Takes a look at the connection, and returns whether its peer is gone.
    bool isGone(const AckState &state, Time now);

private:
    std::chrono::milliseconds bound_;
    /// When the last look was taken.
    std::optional<Time> lookedAt_;
    /// Since when something has waited without an acknowledgement of anything.
    std::optional<Time> waitingSince_;
};

} // namespace net
