#include "details/PeerWatch.h"

#include <iostream>

namespace net {

namespace {

/// Looks within the timeout. The last one of them must find the peer gone, so that the bound of the watch is shorter by one period.
constexpr int LooksPerTimeout = 8;

/// Logs, once in the process, that peers can't be watched.
void logMissingState(const boost::system::error_code &error)
{
    static bool isLogged = false;
    if (!isLogged) {
        isLogged = true;
        std::cerr << "the system doesn't tell what peers acknowledge (" << error.message() << "): one that doesn't read a large request counts as gone\n";
    }
}

} // namespace

PeerWatch::PeerWatch(std::shared_ptr<boost::asio::ip::tcp::socket> socket, std::chrono::milliseconds timeout)
    : socket_(std::move(socket))
    , timeout_(timeout)
    , period_(timeout / LooksPerTimeout)
    , watch_(timeout - period_)
    , nextLook_(socket_->get_executor())
{
}

void PeerWatch::start(std::function<void()> onGone)
{
    boost::system::error_code error;
    if (!ackStateOf(*socket_, error)) {
        return logMissingState(error);
    }
    onGone_ = std::move(onGone);
    setTcpUserTimeout(*socket_, std::chrono::milliseconds(0));
    lookLater();
}

void PeerWatch::stop()
{
    nextLook_.stop();
    if (onGone_ && socket_->is_open()) {
        setTcpUserTimeout(*socket_, timeout_);
    }
    onGone_ = nullptr;
}

void PeerWatch::lookLater()
{
    nextLook_.start(period_, shared_from_this(), [this]() { look(); });
}

void PeerWatch::look()
{
    boost::system::error_code error;
    const auto state = socket_->is_open() ? ackStateOf(*socket_, error) : std::nullopt;
    if (!state) {
        return;
    }
    if (!watch_.isGone(*state, std::chrono::steady_clock::now())) {
        return lookLater();
    }
    const auto onGone = std::exchange(onGone_, nullptr);
    onGone();
}

} // namespace net
