#pragma once

#include "net/Http.h"

#include "details/Asio.h"

#include <string>

#include <sys/socket.h>

/// A client that sends and receives arbitrary bytes over one connection, without an HTTP implementation.
class RawClient
{
public:
    static constexpr int SmallReceiveBufferBytes = 16 * 1024;

    /// The size of the receive buffer is left to the operating system if it is 0.
    explicit RawClient(const net::Address &address, int receiveBufferBytes = 0)
        : socket_(io_)
    {
        socket_.open(boost::asio::ip::tcp::v4());
        if (receiveBufferBytes > 0) {
            socket_.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
        }
        socket_.connect({boost::asio::ip::make_address(address.host), address.port});
    }

    void send(const std::string &bytes)
    {
        boost::asio::write(socket_, boost::asio::buffer(bytes));
    }

    /// Returns all bytes received until the connection ends.
    std::string receiveAll()
    {
        std::string received;
        boost::system::error_code error;
        boost::asio::read(socket_, boost::asio::dynamic_buffer(received), error);
        return received;
    }

    void close()
    {
        socket_.close();
    }

    /// Returns true if the other side has closed the connection, and nothing is left to read.
    bool isClosed()
    {
        char byte = 0;
        return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    /// Returns true if something has arrived that wasn't received yet.
    bool hasInput()
    {
        return socket_.available() > 0;
    }

    /// Closes the sending side only.
    void closeSendingSide()
    {
        socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    }

    void closeSendingSide(boost::system::error_code &error)
    {
        socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    }

    void send(const std::string &bytes, boost::system::error_code &error)
    {
        boost::asio::write(socket_, boost::asio::buffer(bytes), error);
    }

    /// Returns that many received bytes, or fewer if the connection ends before.
    std::string receive(std::size_t bytes)
    {
        std::string received;
        boost::system::error_code error;
        boost::asio::read(socket_, boost::asio::dynamic_buffer(received), boost::asio::transfer_exactly(bytes), error);
        return received;
    }

    /// Returns the bytes received until they contain the text; some that follow it may be included.
    std::string receiveUntil(const std::string &text)
    {
        std::string received;
        boost::system::error_code error;
        boost::asio::read_until(socket_, boost::asio::dynamic_buffer(received), text, error);
        return received;
    }

private:
    boost::asio::io_context io_;
    boost::asio::ip::tcp::socket socket_;
};
