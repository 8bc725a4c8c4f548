#include "details/AckWatch.h"

#include <algorithm>
#include <cstddef>

namespace net {

AckState ackStateOf(const tcp_info &info)
{
    return {info.tcpi_unacked > 0 || info.tcpi_probes > 0, std::chrono::milliseconds(info.tcpi_last_ack_recv)};
}

std::optional<AckState> ackStateOf(boost::asio::ip::tcp::socket &socket, boost::system::error_code &error)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        error = boost::system::error_code(errno, boost::system::system_category());
        return std::nullopt;
    }
    if (size < offsetof(tcp_info, tcpi_last_ack_recv) + sizeof info.tcpi_last_ack_recv) {
        error = boost::asio::error::operation_not_supported;
        return std::nullopt;
    }
    return ackStateOf(info);
}

bool AckWatch::isGone(const AckState &state, Time now)
{
    // After a hold-up of the process, what waits now may have been sent a moment ago: the next look tells.
    const bool wasHeldUp = lookedAt_ && now - *lookedAt_ > bound_ / 2;
    lookedAt_ = now;
    if (!state.isWaiting) {
        waitingSince_.reset();
        return false;
    }
    waitingSince_ = waitingSince_ ? std::max(*waitingSince_, now - state.sinceAck) : now;
    return !wasHeldUp && now - *waitingSince_ >= bound_;
}

} // namespace net
