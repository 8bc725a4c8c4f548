#pragma once

#include "details/AckWatch.h"
#include "details/OperationTimeout.h"

namespace net {

/// Watches a connection while its peer may be slow to read what is sent: only a peer that is gone ends it, not one that keeps its window closed.
class PeerWatch : public std::enable_shared_from_this<PeerWatch>
{
public:
    /// The connection has a timeout for bytes that aren't acknowledged, which is replaced by the watch, and in force again after stop().
    PeerWatch(std::shared_ptr<boost::asio::ip::tcp::socket> socket, std::chrono::milliseconds timeout);

    /// Calls `onGone` once if the peer acknowledges nothing for the timeout. If the operating system can't tell, logs that once in the process, and leaves the
    /// connection as it is.
    void start(std::function<void()> onGone);
    /// Ends the watch.
    void stop();

private:
    void lookLater();
    void look();

    std::shared_ptr<boost::asio::ip::tcp::socket> socket_;
    std::chrono::milliseconds timeout_;
    std::chrono::milliseconds period_;
    AckWatch watch_;
    OperationTimeout nextLook_;
    std::function<void()> onGone_;
};

} // namespace net
