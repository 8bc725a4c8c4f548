#pragma once

#include "EndlessPeer.h"

#include <atomic>
#include <thread>

/// How a server sends.
enum class Pace {
    AsFastAsItCan,
    ByteByByte,
    /// A byte every few milliseconds.
    Trickling,
};

/// A server that answers one request with bytes without end, until its client closes the connection. After far more than any bound permits it gives up.
class EndlessServer
{
public:
    EndlessServer(EndlessBytes bytes, Pace pace, std::size_t totalBytes = EndlessTotalBytes)
        : acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , thread_([this, bytes = std::move(bytes), pace, totalBytes]() { serve(bytes, pace, totalBytes); })
    {
    }

    ~EndlessServer()
    {
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    net::Address address() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    /// Returns whether the client has closed the connection, rather than the server given up.
    bool hasClientClosed()
    {
        thread_.join();
        return hasClientClosed_;
    }

private:
    void serve(const EndlessBytes &bytes, Pace pace, std::size_t totalBytes)
    {
        auto socket = acceptor_.accept();
        std::string request;
        boost::system::error_code error;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
        boost::asio::write(socket, boost::asio::buffer(bytes.begin), error);
        const std::string many = manyOf(bytes.piece);
        const bool isFast = pace == Pace::AsFastAsItCan;
        const std::size_t limit = isFast ? totalBytes : EndlessSingleBytes;
        for (std::size_t sent = 0; !error && sent < limit; sent += isFast ? many.size() : 1) {
            const auto next = isFast ? boost::asio::buffer(many) : boost::asio::buffer(&bytes.piece[sent % bytes.piece.size()], 1);
            boost::asio::write(socket, next, error);
            if (pace == Pace::Trickling) {
                std::this_thread::sleep_for(std::chrono::milliseconds(2));
            }
        }
        hasClientClosed_ = error.failed();
    }

    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> hasClientClosed_{false};
    std::thread thread_;
};
