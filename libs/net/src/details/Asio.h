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

/// A connection is closed if sent bytes aren't acknowledged by the peer within this time.
inline constexpr int TcpUserTimeoutMs = 4000;

/// Makes the kernel close the connection if the peer has disappeared without closing it. Without this, a write to it would hang for many minutes.
inline void setTcpUserTimeout(boost::asio::ip::tcp::socket &socket)
{
    const int limit = TcpUserTimeoutMs;
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}

} // namespace net
