#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace net {

/// Makes the operating system end the connection if sent bytes aren't acknowledged within this time, or the peer takes none for as long; zero means the
/// system's own limits. Without it, a write to a peer that has disappeared would hang for many minutes.
inline void setTcpUserTimeout(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds timeout)
{
    const int limit = static_cast<int>(std::min<std::chrono::milliseconds::rep>(timeout.count(), std::numeric_limits<int>::max()));
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}

/// Returns the operating system's words for an error of a connection; empty if the connection was ended in order, or by this process.
inline std::string systemErrorText(const boost::system::error_code &error)
{
    const bool isOfSystem = error.category() == boost::system::system_category() && error != boost::asio::error::operation_aborted;
    return error && isOfSystem ? error.message() : "";
}

} // namespace net
