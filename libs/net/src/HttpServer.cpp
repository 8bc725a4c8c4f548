#include "net/HttpServer.h"

#include "details/EventLoopImpl.h"

#include <unordered_set>
#include <vector>

namespace net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

class Connection;

namespace {

/// Returns data in the framing of the chunked transfer coding.
std::string chunkOf(const std::string &data)
{
    char size[20];
    const int length = std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    std::string chunk(size, static_cast<std::size_t>(length));
    chunk += data;
    chunk += "\r\n";
    return chunk;
}

/// Returns the status line and the header of a response, with the fields for its framing.
std::string headText(int status, const Headers &headers, bool chunked, std::size_t bodyBytes, bool keepAlive)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    text.append(reason.data(), reason.size());
    text += "\r\n";
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
    text += keepAlive ? "" : "Connection: close\r\n";
    text += "\r\n";
    return text;
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
    Impl(EventLoop &loop, const Address &address, ServerLimits serverLimits, Handlers serverHandlers)
        : io(loop.impl().io)
        , acceptor(io)
        , limits(serverLimits)
        , handlers(std::move(serverHandlers))
    {
        const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen(asio::socket_base::max_listen_connections);
    }

    /// Accepts connections until the listening socket is closed.
    asio::awaitable<void> acceptLoop();

    asio::io_context &io;
    tcp::acceptor acceptor;
    ServerLimits limits;
    Handlers handlers;
    /// Connections by the exchange that they are running; a connection runs one at a time.
    std::unordered_map<ExchangeId, std::shared_ptr<Connection>> exchanges;
    ExchangeId nextId = 1;
    /// All connections, with or without a running exchange.
    std::unordered_set<Connection *> open;
    std::size_t connections = 0;
    /// Connections are closed after their current or next response.
    bool closing = false;
};

/// A client connection. It reads a request, passes it to the handler, writes the queued parts of the response, and meanwhile checks whether the
/// client closes the connection.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<HttpServer::Impl> server, tcp::socket socket)
        : server_(std::move(server))
        , stream_(std::move(socket))
        , wakeTimer_(stream_.get_executor())
        , readTimer_(stream_.get_executor())
    {
        ++server_->connections;
        server_->open.insert(this);
    }

    ~Connection()
    {
        --server_->connections;
        server_->open.erase(this);
    }

    /// Serves requests until the connection ends.
    asio::awaitable<void> run()
    {
        auto self = shared_from_this();
        bool isReusable = true;
        while (isReusable) {
            isReusable = co_await serveRequest();
        }
        close();
    }

    void respond(const HttpResponse &response)
    {
        keepAlive_ = keepAlive_ && !server_->closing;
        queue(headText(response.status, response.headers, false, response.body.size(), keepAlive_) + response.body);
        finish();
    }

    void begin(int status, const Headers &headers)
    {
        keepAlive_ = keepAlive_ && !server_->closing;
        queue(headText(status, headers, true, 0, keepAlive_));
    }

    void chunk(const std::string &data)
    {
        if (!data.empty()) {
            queue(chunkOf(data));
        }
    }

    void end()
    {
        queue("0\r\n\r\n");
        finish();
    }

    void close()
    {
        beast::error_code ignored;
        stream_.socket().close(ignored);
        ended_ = true;
        wakeTimer_.cancel();
    }

    ExchangeId id() const
    {
        return id_;
    }

    /// Closes the connection unless a request is being read or answered.
    void closeIfIdle()
    {
        if (isIdle_ && buffer_.size() == 0) {
            // Ends the pending read. If this read has already received a request, it can't be cancelled any more, and the request is answered.
            beast::error_code ignored;
            stream_.socket().cancel(ignored);
        }
    }

private:
    /// Reads one request and writes its response, or refuses the request. Returns false if the connection can't be used for another one.
    asio::awaitable<bool> serveRequest()
    {
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(server_->limits.headerBytes));
        parser.body_limit(server_->limits.bodyBytes);
        beast::error_code error;
        startReadTimer(server_->limits.idleTimeout);
        co_await http::async_read_some(stream_, buffer_, parser, asio::redirect_error(asio::use_awaitable, error));
        isIdle_ = isIdle_ && error;
        if (!error && !parser.is_done()) {
            startReadTimer(server_->limits.requestTimeout);
            co_await http::async_read(stream_, buffer_, parser, asio::redirect_error(asio::use_awaitable, error));
        }
        readTimer_.cancel();
        if (error) {
            co_await refuse(error, parser.got_some());
            co_return false;
        }
        if (hasClientLeft()) {
            co_return false; // It has left while the process was held up, or while its request was read.
        }
        startExchange(parser.release());
        watchForClose();
        co_await writeQueued();
        server_->exchanges.erase(id_);
        isIdle_ = true;
        co_return keepAlive_ && !broken_ && !server_->closing;
    }

    /// Cancels the reading of a request after a timeout, and leaves the connection open for the refusal. Replaces an earlier timeout.
    void startReadTimer(std::chrono::milliseconds timeout)
    {
        readTimedOut_ = false;
        auto self = shared_from_this();
        readTimer_.expires_after(timeout);
        readTimer_.async_wait([self](const beast::error_code &error) {
            if (!error) {
                self->readTimedOut_ = true;
                beast::error_code ignored;
                self->stream_.socket().cancel(ignored);
            }
        });
    }

    /// Starts an exchange for a request and passes it to the handler.
    void startExchange(http::request<http::string_body> &&message)
    {
        id_ = server_->nextId++;
        ended_ = false;
        keepAlive_ = message.keep_alive();
        server_->exchanges[id_] = shared_from_this();
        HttpRequest request{std::string(message.method_string()), std::string(message.target()), {}, std::move(message.body())};
        for (const auto &field : message) {
            request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
        server_->handlers.onRequest(id_, std::move(request));
    }

    /// Answers a request that couldn't be read, unless the client is gone or hasn't sent any of it, or the read was cancelled by closeIfIdle().
    asio::awaitable<void> refuse(beast::error_code error, bool gotSome)
    {
        const bool timedOut = error == asio::error::operation_aborted && readTimedOut_;
        const bool isClientGone = error == http::error::end_of_stream || error == asio::error::connection_reset;
        if (isClientGone || (error == asio::error::operation_aborted && !timedOut) || (timedOut && !gotSome)) {
            co_return;
        }
        RefusalKind kind = RefusalKind::Malformed;
        if (error == http::error::header_limit) {
            kind = RefusalKind::HeaderTooLarge;
        } else if (error == http::error::body_limit) {
            kind = RefusalKind::BodyTooLarge;
        } else if (timedOut) {
            kind = RefusalKind::RequestTooSlow;
        }
        if (!stream_.socket().is_open()) {
            co_return;
        }
        const HttpResponse response = server_->handlers.refusal(kind);
        const std::string text = headText(response.status, response.headers, false, response.body.size(), false) + response.body;
        beast::error_code ignored;
        stream_.expires_after(server_->limits.requestTimeout);
        co_await asio::async_write(stream_, asio::buffer(text), asio::redirect_error(asio::use_awaitable, ignored));
        stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
        co_await drainInput();
    }

    /// Reads and discards what the client still sends, for at most 1 s and about 4 times the body limit. Closing a socket with unread data resets the
    /// connection, so that the client might not receive the refusal.
    asio::awaitable<void> drainInput()
    {
        char scratch[4096];
        beast::error_code error;
        std::size_t droppedBytes = 0;
        stream_.expires_after(std::chrono::seconds(1));
        while (!error && droppedBytes < 4 * server_->limits.bodyBytes) {
            droppedBytes += co_await stream_.async_read_some(asio::buffer(scratch), asio::redirect_error(asio::use_awaitable, error));
        }
    }

    /// Waits until the socket becomes readable during an exchange, and aborts the exchange if there is no data to read: then the client has closed
    /// the connection, or at least its sending side. Data, for example of a pipelined request, ends the check.
    void watchForClose()
    {
        auto self = shared_from_this();
        const ExchangeId watchedId = id_;
        stream_.socket().async_wait(tcp::socket::wait_read, [self, watchedId](const beast::error_code &error) {
            if (error || self->id_ != watchedId || self->ended_) {
                return;
            }
            if (self->hasClientLeft()) {
                self->abortExchange();
            }
        });
    }

    /// Returns true if the client has closed the connection, or at least its sending side, and nothing else is left to read.
    bool hasClientLeft()
    {
        char byte = 0;
        beast::error_code error;
        stream_.socket().non_blocking(true, error);
        const std::size_t peekedBytes = stream_.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return peekedBytes == 0 && error != asio::error::would_block;
    }

    /// Ends the exchange because its connection has failed, and reports it by onAbort.
    void abortExchange()
    {
        if (ended_) {
            return;
        }
        broken_ = true;
        ended_ = true;
        wakeTimer_.cancel();
        server_->exchanges.erase(id_);
        server_->handlers.onAbort(id_);
    }

    /// Writes queued output until the response has ended and is written, or the connection fails.
    asio::awaitable<void> writeQueued()
    {
        while (!broken_) {
            if (output_.empty()) {
                if (ended_) {
                    co_return;
                }
                beast::error_code ignored;
                wakeTimer_.expires_at(asio::steady_timer::time_point::max());
                co_await wakeTimer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
                continue;
            }
            std::string data;
            data.swap(output_);
            beast::error_code error;
            co_await asio::async_write(stream_, asio::buffer(data), asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                broken_ = true;
                abortExchange();
                ended_ = true;
            }
        }
    }

    /// Queues output. If too much earlier output still waits, aborts the exchange and closes the connection.
    void queue(const std::string &data)
    {
        if (ended_) {
            return;
        }
        output_ += data;
        if (output_.size() > server_->limits.queuedResponseBytes + data.size()) {
            abortExchange();
            close();
            return;
        }
        wakeTimer_.cancel();
    }

    /// Marks the response as complete; queued output is still written.
    void finish()
    {
        ended_ = true;
        wakeTimer_.cancel();
    }

    std::shared_ptr<HttpServer::Impl> server_;
    beast::tcp_stream stream_;
    /// Never expires; writeQueued() waits on it, and cancelling it ends the wait.
    asio::steady_timer wakeTimer_;
    asio::steady_timer readTimer_;
    /// Received bytes that aren't parsed yet.
    beast::flat_buffer buffer_;
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

asio::awaitable<void> HttpServer::Impl::acceptLoop()
{
    auto self = shared_from_this();
    while (acceptor.is_open()) {
        beast::error_code error;
        tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || !acceptor.is_open()) {
            co_return;
        }
        if (error) {
            asio::steady_timer pause(io, std::chrono::milliseconds(20));
            co_await pause.async_wait(asio::use_awaitable);
            continue;
        }
        if (connections >= limits.connections) {
            continue; // The destructor closes the socket. The client sees a closed connection; no part of a request was run.
        }
        socket.set_option(tcp::no_delay(true), error);
        setTcpUserTimeout(socket);
        auto connection = std::make_shared<Connection>(self, std::move(socket));
        asio::co_spawn(
            io, [connection]() { return connection->run(); }, asio::detached);
    }
}

HttpServer::HttpServer(EventLoop &loop, const Address &address, ServerLimits limits, Handlers handlers)
    : impl_(std::make_shared<Impl>(loop, address, limits, std::move(handlers)))
{
    asio::co_spawn(
        impl_->io, [impl = impl_]() { return impl->acceptLoop(); }, asio::detached);
}

HttpServer::~HttpServer()
{
    stopAccepting();
}

Address HttpServer::address() const
{
    const auto endpoint = impl_->acceptor.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

void HttpServer::respond(ExchangeId id, const HttpResponse &response)
{
    const auto found = impl_->exchanges.find(id);
    if (found != impl_->exchanges.end()) {
        found->second->respond(response);
    }
}

void HttpServer::beginStream(ExchangeId id, int status, const Headers &headers)
{
    const auto found = impl_->exchanges.find(id);
    if (found != impl_->exchanges.end()) {
        found->second->begin(status, headers);
    }
}

void HttpServer::writeChunk(ExchangeId id, const std::string &data)
{
    const auto found = impl_->exchanges.find(id);
    if (found != impl_->exchanges.end()) {
        const auto connection = found->second;
        connection->chunk(data);
    }
}

void HttpServer::endStream(ExchangeId id)
{
    const auto found = impl_->exchanges.find(id);
    if (found != impl_->exchanges.end()) {
        found->second->end();
    }
}

void HttpServer::abort(ExchangeId id)
{
    const auto found = impl_->exchanges.find(id);
    if (found != impl_->exchanges.end()) {
        const auto connection = found->second;
        impl_->exchanges.erase(found);
        connection->close();
    }
}

void HttpServer::setLimits(const ServerLimits &limits)
{
    impl_->limits = limits;
}

void HttpServer::closeConnections()
{
    impl_->closing = true;
    for (Connection *connection : std::vector<Connection *>(impl_->open.begin(), impl_->open.end())) {
        connection->closeIfIdle();
    }
}

void HttpServer::stopAccepting()
{
    impl_->closing = true;
    beast::error_code ignored;
    impl_->acceptor.close(ignored);
}

} // namespace net
