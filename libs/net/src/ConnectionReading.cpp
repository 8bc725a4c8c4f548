#include "details/Connection.h"

#include "base/Allocator.h"
#include "details/HeaderFields.h"
#include "details/MessageEnd.h"
#include "details/ResponseText.h"

#include <algorithm>

namespace net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

/// Time that the rest of a request has to arrive once the server refuses requests that are still arriving.
constexpr std::chrono::milliseconds LastReadTime{100};
/// Memory that a header field takes besides its bytes: an entry in the parser's list and in its index, and two texts in the list that is passed on. Also short
/// texts have a place there. 900,000 fields of five bytes took 144 bytes each (tests/process/untrusted-framing.sh).
constexpr std::size_t FieldBytes = 160;

/// Returns the memory that the fields of a message take besides their bytes.
std::size_t fieldBytes(const http::fields &fields)
{
    return FieldBytes * static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
}

} // namespace

asio::awaitable<bool> Connection::waitForRequest()
{
    const bool isNew = id_ == 0;
    const bool isClosing = server_->closing && !isNew;
    if (isClosing && !hasInput() && unacknowledgedBytes() == 0) {
        co_return false;
    }
    // Most connections wait most of the time: what the last request needed isn't kept meanwhile.
    forgetRequest();
    beast::error_code error;
    idleSince_ = IdleTimeouts::Clock::now();
    isClosing ? closeWhenTaken() : startIdleTimeout();
    isIdle_ = true;
    // The bytes stay in the socket until this coroutine goes on, so that isUnfinished() sees them.
    co_await socket_.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    isIdle_ = false;
    timeout_.stop();
    // The loop may have been held up since the wait was cancelled.
    co_return !error || hasInput();
}

asio::awaitable<beast::error_code> Connection::readRequest(RequestParser &parser)
{
    beast::error_code error;
    isReading_ = true;
    isReadingOver_ = false;
    startReadTimeout(readTimeout());
    error = co_await readHeader(parser);
    // Taken before the body: the parser adds the fields behind a body in chunks to those of the header.
    headers_ = headersOf(parser.get());
    if (!error && !hasClearEnd(headers_, parser.get().version() >= Http11)) {
        error = http::error::bad_transfer_encoding;
    }
    if (!error && !parser.is_done()) {
        startReadTimeout(readTimeout());
        if (parser.get().version() >= Http11) {
            co_await sendContinue();
        }
        error = co_await readBody(parser);
    }
    timeout_.stop();
    isReading_ = false;
    co_return error;
}

asio::awaitable<beast::error_code> Connection::readHeader(RequestParser &parser)
{
    ReadStep step;
    parser.eager(false);
    while (!step.error && !parser.is_header_done()) {
        step = co_await readStep(socket_, buffer_, parser, isReadingOver_);
        requestBytes_ += step.parsedBytes;
        countHeld();
        if (buffer_.size() > 0) {
            co_await waitForRelease();
        }
    }
    if (!step.error) {
        requestBytes_ += fieldBytes(parser.get());
        countHeld();
    }
    co_return isOverLimit() ? asio::error::operation_aborted : step.error;
}

asio::awaitable<beast::error_code> Connection::readBody(RequestParser &parser)
{
    ReadStep step;
    const std::size_t headerBytes = requestBytes_;
    std::uint64_t bytesBehindHeader = 0;
    parser.eager(true);
    while (!step.error && !parser.is_done()) {
        step = co_await readStep(socket_, buffer_, parser, isReadingOver_);
        bytesBehindHeader += step.parsedBytes;
        const std::size_t bodyBytes = parser.get().body().size();
        requestBytes_ = headerBytes + base::residentBytesOf(bodyBytes, parser.get().body().capacity());
        countHeld();
        if (!step.error && isOverLimit()) {
            step.error = asio::error::operation_aborted;
        } else if (!step.error) {
            co_await waitForRelease();
        }
        if (!step.error && hasTooMuchFraming(bytesBehindHeader, bodyBytes)) {
            step.error = http::error::buffer_overflow;
        }
    }
    co_return step.error;
}

std::chrono::milliseconds Connection::readTimeout() const
{
    const std::chrono::milliseconds timeout = std::max(requestTimeout_, server_->limits.requestTimeout);
    return server_->refusesArriving ? std::min(LastReadTime, timeout) : timeout;
}

void Connection::hurryReading()
{
    if (isReading_) {
        startReadTimeout(readTimeout());
    }
}

asio::awaitable<void> Connection::sendContinue()
{
    static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    if (!beast::iequals(headerIn(headers_, "Expect"), "100-continue") || buffer_.size() > 0 || hasInput()) {
        co_return;
    }
    // If it fails, so does the read that follows.
    beast::error_code ignored;
    passedBytes_ += co_await asio::async_write(socket_, asio::buffer(Continue), asio::redirect_error(asio::use_awaitable, ignored));
}

void Connection::startReadTimeout(std::chrono::nanoseconds timeout)
{
    timeout_.start(timeout, shared_from_this(), [this, timeout]() {
        // After a hold-up of the process the bytes may be there already. A sender that never pauses has always sent some.
        if (hasInput()) {
            timeout_.start(timeout, shared_from_this(), [this]() { endReading(); });
        } else {
            endReading();
        }
    });
}

void Connection::endReading()
{
    // A read that has ended already can't be cancelled any more.
    isReadingOver_ = true;
    cancelOperations();
}

asio::awaitable<void> Connection::refuse(beast::error_code error)
{
    if (!systemErrorText(error).empty()) {
        // The connection has failed; the client may be without its last response.
        reportUndelivered(error);
        co_return;
    }
    RefusalKind kind = RefusalKind::Malformed;
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        kind = RefusalKind::HeaderTooLarge;
    } else if (error == http::error::body_limit) {
        kind = RefusalKind::BodyTooLarge;
    } else if (error == asio::error::operation_aborted) {
        kind = isTooMuchHeld_ ? RefusalKind::TooMuchHeld : server_->refusesArriving ? RefusalKind::Stopping : RefusalKind::RequestTooSlow;
    } else if (error == http::error::end_of_stream) {
        co_return;
    }
    if (unacknowledgedBytes() == 0) {
        requestId_.clear(); // The client has its last response; what fails from here on is the refusal.
    }
    co_await refuseAs(kind);
}

asio::awaitable<void> Connection::refuseAs(RefusalKind kind)
{
    if (!socket_.is_open()) {
        co_return;
    }
    const HttpResponse response = server_->handlers.refusal(kind);
    const std::string text = headText(response.status, response.headers, {false, response.body.size()}, false) + response.body;
    timeout_.start(server_->limits.requestTimeout, shared_from_this(), [this]() { cancelOperations(); });
    co_await writeAll(text);
    co_await linger();
}

} // namespace net
