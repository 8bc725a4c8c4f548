#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace net {

/// Sent bytes that the peer doesn't acknowledge for this time end the connection.
inline constexpr int SilenceMs = 4000;

/// Ends the connection if the peer has vanished without a word; otherwise a write to it would hang for many minutes.
inline void limitSilence(boost::asio::ip::tcp::socket &socket)
{
    const int limit = SilenceMs;
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}

} // namespace net
