#include "details/Connection.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace net {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

/// Time that the client has to close its side after the last response has reached it.
constexpr std::chrono::seconds LingerTime{1};
/// What is kept of a request's id for reports after its exchange, in bytes.
constexpr std::size_t MaxKeptIdBytes = 128;

} // namespace

void Connection::describe(const ExchangeTerms &terms)
{
    requestId_ = terms.requestId.substr(0, MaxKeptIdBytes);
}

std::size_t Connection::unacknowledgedBytes()
{
    int bytes = 0;
    return ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
}

void Connection::reportUndelivered(const beast::error_code &error, std::size_t unwrittenBytes)
{
    const std::size_t untakenBytes = unacknowledgedBytes() + unwrittenBytes;
    const std::string text = systemErrorText(error);
    if (id_ != 0 && untakenBytes > 0 && !text.empty()) {
        const bool isWritten = server_->connectionOf(id_) == nullptr;
        server_->reportDeliveryFailure({requestId_, text, untakenBytes, isWritten});
    }
}

void Connection::closeIfIdle()
{
    // A wait that has ended can't be cancelled any more, and its request is answered.
    if (isIdle_ && !hasInput()) {
        cancelOperations();
    }
}

bool Connection::isUnfinished()
{
    // A closed connection may exist for a moment, until its last operations have ended.
    return socket_.is_open() && (!isIdle_ || hasInput() || unacknowledgedBytes() > 0);
}

std::chrono::nanoseconds Connection::idleTimeLeft() const
{
    return idleSince_ + server_->idleTimeouts.timeoutSince(idleSince_) - IdleTimeouts::Clock::now();
}

bool Connection::closeIfOverdue()
{
    const bool isOverdue = isIdle_ && idleTimeLeft().count() <= 0 && !hasInput();
    if (isOverdue) {
        closeIfIdle();
    }
    return isOverdue;
}

void Connection::startIdleTimeout()
{
    const auto timeLeft = idleTimeLeft() + server_->limits.idleTimeoutMargin;
    if (timeLeft.count() <= 0) {
        return closeIfIdle();
    }
    // The timeout may be longer by then.
    timeout_.start(timeLeft, shared_from_this(), [this]() { startIdleTimeout(); });
}

asio::awaitable<void> Connection::linger()
{
    char scratch[4096];
    beast::error_code error;
    std::size_t discardedBytes = buffer_.size();
    socket_.shutdown(tcp::socket::shutdown_send, error);
    bool goesOn = !error;
    while (goesOn) {
        lingerIsOver_ = false;
        timeout_.start(LingerTime, shared_from_this(), [this]() {
            lingerIsOver_ = true;
            cancelOperations();
        });
        while (!error && !lingerIsOver_) {
            discardedBytes += co_await socket_.async_read_some(asio::buffer(scratch), asio::redirect_error(asio::use_awaitable, error));
        }
        reportUndelivered(error, 0);
        goesOn = lingerIsOver_ && unacknowledgedBytes() > 0;
        error = {};
    }
    timeout_.stop();
    co_return server_->reportDiscarded(requestId_, discardedBytes);
}

} // namespace net
