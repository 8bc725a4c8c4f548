#include "details/Connection.h"

#include "details/ResponseText.h"

namespace net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

Connection::Connection(std::shared_ptr<HttpServer::Impl> server, tcp::socket socket)
    : server_(std::move(server))
    , stream_(std::move(socket))
    , wakeTimer_(stream_.get_executor())
    , readTimer_(stream_.get_executor())
{
    server_->open.insert(this);
}

Connection::~Connection()
{
    server_->open.erase(this);
}

asio::awaitable<void> Connection::run()
{
    auto self = shared_from_this();
    bool isReusable = true;
    while (isReusable) {
        isReusable = co_await serveRequest();
    }
    close();
}

void Connection::respond(const HttpResponse &response)
{
    keepAlive_ = keepAlive_ && !server_->closing;
    queue(headText(response.status, response.headers, false, response.body.size(), keepAlive_) + response.body);
    finish();
}

void Connection::begin(int status, const Headers &headers)
{
    keepAlive_ = keepAlive_ && !server_->closing;
    queue(headText(status, headers, true, 0, keepAlive_));
}

void Connection::chunk(const std::string &data)
{
    if (!data.empty()) {
        queue(chunkOf(data));
    }
}

void Connection::end()
{
    queue("0\r\n\r\n");
    finish();
}

void Connection::abort()
{
    server_->endExchange(id_, ExchangeEnd::Aborted);
    close();
}

void Connection::close()
{
    beast::error_code ignored;
    stream_.socket().close(ignored);
    ended_ = true;
    wakeTimer_.cancel();
}

void Connection::closeIfIdle()
{
    if (isIdle_ && buffer_.size() == 0) {
        // Ends the pending read. If this read has already received a request, it can't be cancelled any more, and the request is answered.
        beast::error_code ignored;
        stream_.socket().cancel(ignored);
    }
}

asio::awaitable<bool> Connection::serveRequest()
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
    server_->endExchange(id_, broken_ ? ExchangeEnd::WriteFailed : ExchangeEnd::Answered);
    isIdle_ = true;
    co_return keepAlive_ && !broken_ && !server_->closing;
}

void Connection::startReadTimer(std::chrono::milliseconds timeout)
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

void Connection::startExchange(Request &&message)
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

asio::awaitable<void> Connection::refuse(beast::error_code error, bool gotSome)
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

asio::awaitable<void> Connection::drainInput()
{
    char scratch[4096];
    beast::error_code error;
    std::size_t droppedBytes = 0;
    stream_.expires_after(std::chrono::seconds(1));
    while (!error && droppedBytes < 4 * server_->limits.bodyBytes) {
        droppedBytes += co_await stream_.async_read_some(asio::buffer(scratch), asio::redirect_error(asio::use_awaitable, error));
    }
}

void Connection::watchForClose()
{
    auto self = shared_from_this();
    const ExchangeId watchedId = id_;
    stream_.socket().async_wait(tcp::socket::wait_read, [self, watchedId](const beast::error_code &error) {
        if (error || self->id_ != watchedId || self->ended_) {
            return;
        }
        if (self->hasClientLeft()) {
            self->abortExchange(ExchangeEnd::CallerLeft);
        }
    });
}

bool Connection::hasClientLeft()
{
    char byte = 0;
    beast::error_code error;
    stream_.socket().non_blocking(true, error);
    const std::size_t peekedBytes = stream_.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return peekedBytes == 0 && error != asio::error::would_block;
}

void Connection::abortExchange(ExchangeEnd end)
{
    if (ended_) {
        return;
    }
    broken_ = true;
    ended_ = true;
    wakeTimer_.cancel();
    server_->endExchange(id_, end);
    server_->handlers.onAbort(id_);
}

asio::awaitable<void> Connection::writeQueued()
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
            abortExchange(ExchangeEnd::WriteFailed);
            broken_ = true;
        }
    }
}

void Connection::queue(const std::string &data)
{
    if (ended_) {
        return;
    }
    output_ += data;
    if (output_.size() > server_->limits.queuedResponseBytes + data.size()) {
        abortExchange(ExchangeEnd::CallerTooSlow);
        close();
        return;
    }
    wakeTimer_.cancel();
}

void Connection::finish()
{
    ended_ = true;
    wakeTimer_.cancel();
}

} // namespace net
