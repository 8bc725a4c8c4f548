#pragma once

#include "details/BoundedRead.h"
#include "net/HttpClient.h"

#include <optional>

namespace net {

/// Reads the responses to one call from its connection, and keeps track of how far it came.
class ResponseReader
{
public:
    using DataHandler = std::function<void(std::string data)>;

    /// All references must outlive the reader. Reading ends early once `isCancelled` is true. The body counts as held if `keepsBody` is true.
    ResponseReader(
        boost::asio::ip::tcp::socket &socket, const ClientCall &call, CallProgress &progress, const bool &isCancelled, HeldBytes::Share &held, bool keepsBody)
        : socket_(socket)
        , call_(call)
        , progress_(progress)
        , isCancelled_(isCancelled)
        , held_(held)
        , keepsBody_(keepsBody)
        , buffer_(readBufferLimit(ResponseHeaderBytes))
    {
    }

    /// Reads the header of the next response, after interim ones; none if that fails, if one of them is no HTTP, or if it isn't clear where the body ends. A
    /// server that switches to another protocol, which no request asks for, gives no response.
    boost::asio::awaitable<std::optional<Headers>> readHeader();

    /// Counts the response whose header was read as the one to the call, not to an earlier one.
    void beginResponse();

    /// Returns whether reading has failed for bytes that are no HTTP response, or more than a bound permits.
    bool isMalformed() const
    {
        return isMalformed_;
    }

    /// Reads the body and passes on each part. Returns false if that fails or the call was cancelled.
    boost::asio::awaitable<bool> readBody(const DataHandler &onData);

    /// Status of the response whose header was read.
    int status() const
    {
        return static_cast<int>(parser_->get().result_int());
    }

    /// Returns whether the connection can be used again once the body was read. Bytes after it belong to no request: the next call would read them as its
    /// response.
    bool isReusable() const
    {
        return parser_->get().keep_alive() && !parser_->need_eof() && buffer_.size() == 0;
    }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    /// Maximum size of a response's header, and of each interim one, in bytes.
    static constexpr std::size_t ResponseHeaderBytes = 8 * 1024;

    /// Reads one header; none if that fails.
    boost::asio::awaitable<std::optional<Headers>> readOneHeader();
    /// Notes an error of reading.
    void noteError(const boost::beast::error_code &error);
    /// Counts what is held of the response now.
    void countHeld();

    boost::asio::ip::tcp::socket &socket_;
    const ClientCall &call_;
    CallProgress &progress_;
    const bool &isCancelled_;
    HeldBytes::Share &held_;
    const bool keepsBody_;
    bool isMalformed_ = false;
    /// Bytes that were received and not yet parsed.
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
};

} // namespace net
