#pragma once

#include "details/HttpServerImpl.h"

namespace net {

/// A client connection. It reads a request, passes it to the handler, writes the queued parts of the response, and meanwhile checks whether the
/// client closes the connection.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<HttpServer::Impl> server, boost::asio::ip::tcp::socket socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Serves requests until the connection ends.
    boost::asio::awaitable<void> run();

    /// These queue parts of the response of the current exchange; see the functions of HttpServer.
    void respond(const HttpResponse &response);
    void begin(int status, const Headers &headers);
    void chunk(const std::string &data);
    void end();
    /// Ends the exchange in the middle of its response and closes the connection, without onAbort.
    void abort();

    /// Closes the connection unless a request is being read or answered.
    void closeIfIdle();

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    /// Reads one request and writes its response, or refuses the request. Returns false if the connection can't be used for another one.
    boost::asio::awaitable<bool> serveRequest();
    /// Cancels the reading of a request after a timeout, and leaves the connection open for the refusal. Replaces an earlier timeout.
    void startReadTimer(std::chrono::milliseconds timeout);
    /// Starts an exchange for a request and passes it to the handler.
    void startExchange(Request &&message);
    /// Answers a request that couldn't be read, unless the client is gone or hasn't sent any of it, or the read was cancelled by closeIfIdle().
    boost::asio::awaitable<void> refuse(boost::beast::error_code error, bool gotSome);
    /// Reads and discards what the client still sends, for at most 1 s and about 4 times the body limit. Closing a socket with unread data resets the
    /// connection, so that the client might not receive the refusal.
    boost::asio::awaitable<void> drainInput();
    /// Waits until the socket becomes readable during an exchange, and aborts the exchange if there is no data to read: then the client has closed
    /// the connection, or at least its sending side. Data, for example of a pipelined request, ends the check.
    void watchForClose();
    /// Returns true if the client has closed the connection, or at least its sending side, and nothing else is left to read.
    bool hasClientLeft();
    /// Ends the exchange because its connection has failed, and reports it by onAbort.
    void abortExchange(ExchangeEnd end);
    /// Writes queued output until the response has ended and is written, or the connection fails.
    boost::asio::awaitable<void> writeQueued();
    /// Queues output. If too much earlier output still waits, aborts the exchange and closes the connection.
    void queue(const std::string &data);
    /// Marks the response as complete; queued output is still written.
    void finish();
    void close();

    std::shared_ptr<HttpServer::Impl> server_;
    boost::beast::tcp_stream stream_;
    /// Never expires; writeQueued() waits on it, and cancelling it ends the wait.
    boost::asio::steady_timer wakeTimer_;
    boost::asio::steady_timer readTimer_;
    /// Received bytes that aren't parsed yet.
    boost::beast::flat_buffer buffer_;
    /// Response bytes that aren't passed to the socket yet.
    std::string output_;
    /// The current exchange, or the last one.
    ExchangeId id_ = 0;
    bool keepAlive_ = true;
    /// The response is complete or aborted; no more output is queued.
    bool ended_ = false;
    /// The connection has failed.
    bool broken_ = false;
    bool readTimedOut_ = false;
    /// No read of the next request has succeeded yet. Bytes that arrived with the previous request may be in `buffer_`.
    bool isIdle_ = true;
};

} // namespace net
