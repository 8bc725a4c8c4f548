#include "details/Connection.h"

#include <algorithm>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace net {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

/// Time that the client has to close its side after the last response has reached it.
constexpr std::chrono::seconds LingerTime{1};
/// Period of the look whether a connection that is to be closed has delivered its last response.
constexpr std::chrono::milliseconds DeliveryCheckPeriod{50};
/// Longest period of the look whether a client takes what waits for it, and the number of looks in shorter timeouts.
constexpr std::chrono::milliseconds MaxTakenCheckPeriod{1000};
constexpr int MinTakenChecks = 8;
/// A client that takes nothing at all for this time is gone, whatever time limit it has stated: TCP itself gives up then.
constexpr std::chrono::minutes MaxUntakenTime{15};
/// What is kept of a request's id for reports after its exchange, in bytes.
constexpr std::size_t MaxKeptIdBytes = 128;

} // namespace

void Connection::describe(const ExchangeTerms &terms)
{
    requestId_ = terms.requestId.substr(0, MaxKeptIdBytes);
    untakenTime_ = std::max(untakenTime_, std::min<std::chrono::milliseconds>(terms.timeLimit, MaxUntakenTime));
    answerDueAt_ = std::max(answerDueAt_, std::chrono::steady_clock::now() + terms.timeLimit);
}

void Connection::beginTerms()
{
    requestId_.clear();
    queuedLimit_ = server_->limits.queuedResponseBytes;
    // What is still untaken of an earlier response keeps its time.
    untakenTime_ = isTakingWatched_ ? std::max(untakenTime_, server_->limits.untakenTimeout) : server_->limits.untakenTimeout;
    answerDueAt_ = std::chrono::steady_clock::now() + server_->limits.untakenTimeout;
}

void Connection::watchTaking()
{
    if (!isTakingWatched_) {
        isTakingWatched_ = true;
        takenAt_ = std::chrono::steady_clock::now();
        startTakenCheck();
    }
}

void Connection::startTakenCheck()
{
    const std::chrono::milliseconds period = std::min(MaxTakenCheckPeriod, server_->limits.untakenTimeout / MinTakenChecks);
    takenCheck_.start(period, shared_from_this(), [this]() { checkTaken(); });
}

void Connection::checkTaken()
{
    const std::size_t unacknowledged = unacknowledgedBytes();
    isTakingWatched_ = socket_.is_open() && (unacknowledged > 0 || unsentBytes_ > 0);
    if (!isTakingWatched_) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    const std::uint64_t taken = passedBytes_ - std::min<std::uint64_t>(passedBytes_, unacknowledged);
    if (taken != takenBytes_) {
        takenBytes_ = taken;
        takenAt_ = now;
    }
    if (now - takenAt_ < untakenTime_) {
        return startTakenCheck();
    }
    endUntaken("nothing was taken for " + std::to_string(untakenTime_.count()) + " ms");
}

void Connection::endUntaken(const std::string &reason)
{
    const DeliveryFailure failure{requestId_, reason, untakenBytes(), isExchangeWritten()};
    // A reset frees at once what the operating system holds for the client, which can't take any of it after the report.
    beast::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    server_->reportDeliveryFailure(failure);
    if (!failure.isWritten) {
        abortExchange(ExchangeEnd::CallerTooSlow);
    }
    close();
}

std::size_t Connection::untakenBytes()
{
    return unacknowledgedBytes() + unsentBytes_ + output_.size();
}

bool Connection::isExchangeWritten() const
{
    return server_->connectionOf(id_) == nullptr;
}

std::size_t Connection::unacknowledgedBytes()
{
    int bytes = 0;
    return ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
}

void Connection::reportUndelivered(const beast::error_code &error)
{
    const std::size_t bytes = untakenBytes();
    const std::string text = systemErrorText(error);
    if (id_ != 0 && bytes > 0 && !text.empty()) {
        server_->reportDeliveryFailure({requestId_, text, bytes, isExchangeWritten()});
    }
}

void Connection::reportUntaken(const std::string &reason)
{
    const std::size_t bytes = socket_.is_open() ? untakenBytes() : 0;
    if (id_ != 0 && bytes > 0 && isExchangeWritten()) {
        server_->reportDeliveryFailure({requestId_, reason, bytes, true});
    }
}

void Connection::closeIfIdle()
{
    // A wait that has ended can't be cancelled any more, and its request is answered.
    if (!isIdle_ || hasInput()) {
        return;
    }
    if (unacknowledgedBytes() > 0) {
        // The client has yet to read its response, and doesn't know that it can't send another request.
        return closeWhenTaken();
    }
    cancelOperations();
}

void Connection::closeWhenTaken()
{
    timeout_.start(DeliveryCheckPeriod, shared_from_this(), [this]() { closeIfIdle(); });
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

bool Connection::isUnused() const
{
    return id_ == 0 && isIdle_ && socket_.is_open() && !hasInput();
}

bool Connection::closeIfOverdue()
{
    if (!isLingering_ && (!isIdle_ || hasInput())) {
        return false;
    }
    if (isTakingWatched_ && unacknowledgedBytes() > 0) {
        const bool isOverdue = std::chrono::steady_clock::now() >= answerDueAt_;
        if (isOverdue) {
            endUntaken("closed to make room for another connection");
        }
        return isOverdue;
    }
    if (isLingering_) {
        return false; // It ends in a moment.
    }
    const bool isOverdue = idleTimeLeft().count() <= 0;
    if (isOverdue) {
        closeIfIdle();
    }
    return isOverdue;
}

void Connection::startIdleTimeout()
{
    auto timeLeft = idleTimeLeft() + server_->limits.idleTimeoutMargin;
    if (timeLeft.count() <= 0 && unacknowledgedBytes() > 0) {
        // The client isn't idle before it has its last response.
        idleSince_ = IdleTimeouts::Clock::now();
        timeLeft = idleTimeLeft() + server_->limits.idleTimeoutMargin;
    }
    if (timeLeft.count() <= 0) {
        return closeIfIdle();
    }
    // The timeout may be longer by then.
    timeout_.start(timeLeft, shared_from_this(), [this]() { startIdleTimeout(); });
}

asio::awaitable<void> Connection::linger()
{
    isLingering_ = true;
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
        reportUndelivered(error);
        goesOn = lingerIsOver_ && unacknowledgedBytes() > 0;
        error = {};
    }
    timeout_.stop();
    co_return server_->reportDiscarded(requestId_, discardedBytes);
}

} // namespace net
