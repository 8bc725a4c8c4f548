#include "details/Connection.h"

#include "base/Allocator.h"
#include "details/ResponseText.h"

#include <algorithm>

namespace net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

/// What a connection takes besides its buffers: its object and timers, its coroutines and what the system's library keeps for its socket.
constexpr std::size_t ConnectionBytes = 4096;
/// Bytes that ended connections may have yet to release before others go on to read.
constexpr std::size_t MaxReleasingBytes = 1024UL * 1024;
/// An ended connection takes some turns of the event loop to release what it holds. One that doesn't must not hold up the others for good.
constexpr int MaxReleaseTurns = 16;

} // namespace

Connection::Connection(std::shared_ptr<HttpServer::Impl> server, tcp::socket socket)
    : server_(std::move(server))
    , socket_(std::move(socket))
    , wakeTimer_(socket_.get_executor())
    , timeout_(socket_.get_executor())
    , takenCheck_(socket_.get_executor())
{
    beast::error_code ignored;
    socket_.non_blocking(true, ignored);
    server_->open.insert(this);
    if (server_->held) {
        held_ = server_->held->share(server_->peerKind, [this]() { onTooMuchHeld(); });
    }
}

Connection::~Connection()
{
    server_->open.erase(this);
}

asio::awaitable<void> Connection::run()
{
    auto self = shared_from_this();
    try {
        bool isReusable = true;
        while (isReusable) {
            isReusable = co_await serveRequest();
        }
    } catch (const std::exception &exception) {
        server_->reportException(exception);
        if (server_->connectionOf(id_)) {
            abortExchange(ExchangeEnd::HandlerFailed);
            server_->endExchange(id_, ExchangeEnd::HandlerFailed);
        }
    }
    close();
}

void Connection::respond(const HttpResponse &response)
{
    if (isMisuse(responseState_ != ResponseState::None)) {
        return;
    }
    decideKeepAlive();
    const bool withoutBody = isHead_ || hasNoBody(response.status);
    // A response to HEAD states the length that it would have otherwise, if that is known.
    const bool statesLength = !hasNoBody(response.status) && !(isHead_ && response.body.empty());
    const Framing framing{false, statesLength ? std::optional(response.body.size()) : std::nullopt};
    std::string text = headText(response.status, response.headers, framing, keepAlive_);
    if (!withoutBody) {
        text += response.body;
    }
    queue(text);
    finish();
}

void Connection::begin(int status, const Headers &headers)
{
    if (isMisuse(responseState_ != ResponseState::None)) {
        return;
    }
    decideKeepAlive();
    responseState_ = ResponseState::Begun;
    isBodySent_ = !isHead_ && !hasNoBody(status);
    queue(headText(status, headers, {!hasNoBody(status), std::nullopt}, keepAlive_));
}

void Connection::chunk(const std::string &data)
{
    if (!isMisuse(responseState_ != ResponseState::Begun) && !data.empty() && isBodySent_) {
        queue(chunkOf(data));
    }
}

void Connection::end()
{
    if (isMisuse(responseState_ != ResponseState::Begun)) {
        return;
    }
    if (isBodySent_) {
        queue("0\r\n\r\n");
    }
    finish();
}

bool Connection::isMisuse(bool doesNotFit)
{
    if (ended_) {
        return true; // Nothing is sent any more.
    }
    if (doesNotFit) {
        abortExchange(ExchangeEnd::Misused);
        close();
    }
    return doesNotFit;
}

void Connection::decideKeepAlive()
{
    const bool isLast = server_->closing && buffer_.size() == 0 && !hasInput();
    keepAlive_ = keepAlive_ && !isLast && !held_.isEnded();
}

void Connection::abort()
{
    if (ended_) {
        return;
    }
    server_->endExchange(id_, ExchangeEnd::Aborted);
    // The client can use what is queued or on its way. Then the connection ends without the end of the response.
    keepAlive_ = false;
    ended_ = true;
    wakeTimer_.cancel();
}

void Connection::close()
{
    beast::error_code ignored;
    socket_.close(ignored);
    takenCheck_.stop();
    ended_ = true;
    wakeTimer_.cancel();
}

asio::awaitable<bool> Connection::serveRequest()
{
    // Also for a request that has arrived before a change and isn't read yet.
    requestTimeout_ = server_->limits.requestTimeout;
    if (buffer_.size() == 0 && !co_await waitForRequest()) {
        co_return false;
    }
    std::optional<RequestParser> parser(std::in_place);
    parser->header_limit(static_cast<std::uint32_t>(server_->limits.headerBytes));
    parser->body_limit(server_->limits.bodyBytes);
    buffer_.max_size(std::max(buffer_.size(), readBufferLimit(server_->limits.headerBytes)));
    if (const beast::error_code error = co_await readRequest(*parser)) {
        // Nothing of it is used any more while the refusal is written.
        parser.reset();
        forgetRequest();
        co_await refuse(error);
        co_return false;
    }
    if (hasClientLeft()) {
        // It has left while the process was held up, or while its request was read.
        co_await refuseAs(RefusalKind::CallerLeft);
        co_return false;
    }
    startExchange(parser->release());
    parser.reset();
    watchForClose();
    co_await writeQueued();
    server_->endExchange(id_, broken_ ? ExchangeEnd::WriteFailed : ExchangeEnd::Answered);
    requestBytes_ = 0;
    countHeld();
    if (leftUnanswered_) {
        co_await refuseAs(RefusalKind::CallerLeft);
    } else if (!keepAlive_ && !broken_) {
        co_await linger();
    }
    co_return keepAlive_ && !broken_;
}

void Connection::startExchange(Request &&message)
{
    id_ = server_->nextId++;
    beginTerms();
    ended_ = false;
    responseState_ = ResponseState::None;
    isHead_ = message.method() == http::verb::head;
    keepAlive_ = message.keep_alive();
    server_->exchanges[id_] = shared_from_this();
    HttpRequest request{std::string(message.method_string()), std::string(message.target()), std::move(headers_), std::move(message.body())};
    try {
        server_->handlers.onRequest(id_, std::move(request));
    } catch (const std::exception &exception) {
        server_->reportException(exception);
        failExchange(ExchangeEnd::HandlerFailed);
    }
}

void Connection::failExchange(ExchangeEnd end)
{
    const bool isUnanswered = responseState_ == ResponseState::None && !ended_;
    if (!isUnanswered) {
        abortExchange(end);
        return close();
    }
    const ExchangeId id = id_;
    keepAlive_ = false;
    respond(server_->handlers.refusal(RefusalKind::HandlerFailed));
    server_->endExchange(id, end);
    server_->reportAbort(id);
}

void Connection::countHeld()
{
    const std::size_t outputBytes = output_.empty() ? 0 : base::residentBytesOf(output_.size(), output_.capacity());
    const std::size_t bytes = buffer_.capacity() + requestBytes_ + outputBytes + writtenBytes_;
    // What waiting connections take is bounded by their number.
    held_.set(bytes > 0 ? ConnectionBytes + bytes : 0);
}

asio::awaitable<void> Connection::waitForRelease()
{
    for (int turn = 0; server_->held && server_->held->releasingBytes() > MaxReleasingBytes && turn < MaxReleaseTurns; ++turn) {
        co_await asio::post(asio::use_awaitable);
    }
}

bool Connection::isOverLimit()
{
    isTooMuchHeld_ = isTooMuchHeld_ || held_.isEnded();
    return isTooMuchHeld_;
}

void Connection::forgetRequest()
{
    buffer_.clear();
    buffer_.shrink_to_fit();
    headers_ = Headers();
    requestBytes_ = 0;
    countHeld();
}

void Connection::onTooMuchHeld()
{
    if (isReading_) {
        isTooMuchHeld_ = true;
        return endReading();
    }
    if (server_->connectionOf(id_)) {
        return failExchange(ExchangeEnd::TooMuchHeld);
    }
    // A request that has arrived since is answered, as the last one.
    isIdle_ ? closeIfIdle() : close();
}

void Connection::watchForClose()
{
    auto self = shared_from_this();
    const ExchangeId watchedId = id_;
    socket_.async_wait(tcp::socket::wait_read, [self, watchedId](const beast::error_code &error) {
        if (error || self->id_ != watchedId || self->ended_) {
            return;
        }
        if (self->hasClientLeft()) {
            self->leftUnanswered_ = self->responseState_ == ResponseState::None;
            self->reportUndelivered(self->lastError_);
            self->abortExchange(ExchangeEnd::CallerLeft);
        }
    });
}

bool Connection::hasClientLeft()
{
    char byte = 0;
    beast::error_code error;
    const std::size_t peekedBytes = socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    lastError_ = error;
    return peekedBytes == 0 && error != asio::error::would_block && error != asio::error::interrupted;
}

bool Connection::hasInput() const
{
    beast::error_code error;
    return socket_.available(error) > 0 && !error;
}

void Connection::cancelOperations()
{
    beast::error_code ignored;
    socket_.cancel(ignored);
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
    server_->reportAbort(id_);
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
        writtenBytes_ = base::residentBytesOf(data.size(), data.capacity());
        const beast::error_code error = co_await writeAll(data);
        writtenBytes_ = 0;
        countHeld();
        if (error && !broken_) {
            reportUndelivered(error);
        }
        if (error) {
            abortExchange(ExchangeEnd::WriteFailed);
            broken_ = true;
        }
    }
}

asio::awaitable<beast::error_code> Connection::writeAll(const std::string &data)
{
    beast::error_code error;
    unsentBytes_ = data.size();
    watchTaking();
    while (!error && unsentBytes_ > 0) {
        const auto rest = asio::buffer(data) + (data.size() - unsentBytes_);
        const std::size_t sentBytes = co_await socket_.async_write_some(rest, asio::redirect_error(asio::use_awaitable, error));
        passedBytes_ += sentBytes;
        unsentBytes_ -= sentBytes;
    }
    co_return error;
}

void Connection::queue(const std::string &data)
{
    if (ended_) {
        return;
    }
    output_ += data;
    countHeld();
    if (output_.size() > std::max(queuedLimit_, server_->limits.queuedResponseBytes) + data.size()) {
        abortExchange(ExchangeEnd::CallerTooSlow);
        close();
        return;
    }
    wakeTimer_.cancel();
}

void Connection::finish()
{
    responseState_ = ResponseState::Complete;
    ended_ = true;
    wakeTimer_.cancel();
}

} // namespace net
