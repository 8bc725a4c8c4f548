#pragma once

#include "details/BoundedRead.h"
#include "details/HttpServerImpl.h"
#include "details/OperationTimeout.h"

#include <optional>

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
    /// Ends the exchange in the middle of its response, without onAbort. Closes the connection once the parts that were queued are written.
    void abort();

    /// Takes what the reports and limits of the current exchange need.
    void describe(const ExchangeTerms &terms);

    /// Closes the connection unless a request is being read or answered, as soon as the client has taken its last response.
    void closeIfIdle();
    /// Closes the connection, and returns true, if it has waited for longer than the idle timeout, or if its client hasn't taken its last response although the
    /// time of that request is over.
    bool closeIfOverdue();
    /// Returns whether it has sent nothing since it was opened.
    bool isUnused() const;
    /// When it began to wait for a request.
    IdleTimeouts::Clock::time_point idleSince() const
    {
        return idleSince_;
    }
    /// Closes the connection at once, whatever its state.
    void closeNow()
    {
        close();
    }
    /// Refuses a request that is being read, unless its rest arrives within a moment.
    void hurryReading();
    /// Reports a written response that the client hasn't taken, with this reason.
    void reportUntaken(const std::string &reason);
    /// Returns true unless the connection waits for a request of which nothing has arrived, and its last response has reached the client.
    bool isUnfinished();

private:
    /// What was queued of the response of the current exchange.
    enum class ResponseState {
        None,
        /// The header of a response in chunks, and perhaps some of these.
        Begun,
        Complete,
    };

    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// Reads one request and writes its response, or refuses the request. Returns false if the connection can't be used for another one.
    boost::asio::awaitable<bool> serveRequest();
    /// Waits for the first bytes of a request. Returns false if the connection is to be closed: it failed, the idle timeout is over or closeIfIdle() was
    /// called.
    boost::asio::awaitable<bool> waitForRequest();
    /// Returns the time until the connection has waited for as long as the idle timeout.
    std::chrono::nanoseconds idleTimeLeft() const;
    /// Looks again in a moment whether the connection can be closed.
    void closeWhenTaken();
    /// Closes the connection when its idle timeout and the margin are over.
    void startIdleTimeout();
    /// Reads the rest of a request of which some bytes have been received.
    boost::asio::awaitable<boost::beast::error_code> readRequest(RequestParser &parser);
    /// Reads until the parser has the header.
    boost::asio::awaitable<boost::beast::error_code> readHeader(RequestParser &parser);
    /// Reads until the parser has the whole request.
    boost::asio::awaitable<boost::beast::error_code> readBody(RequestParser &parser);
    /// Ends the reading of a request after a timeout. If bytes wait to be read then, it goes on for as long again, but only once.
    void startReadTimeout(std::chrono::nanoseconds timeout);
    /// Ends the reading of a request, also while there is always something to read.
    void endReading();
    /// Returns the time that the rest of a request's header, or of its body, has to arrive.
    std::chrono::milliseconds readTimeout() const;
    /// Tells a client that waits before it sends the body that it may send it.
    boost::asio::awaitable<void> sendContinue();
    /// Starts an exchange for a request and passes it to the handler.
    void startExchange(Request &&message);
    /// Ends the exchange because of a fault that isn't its client's: by an error response if nothing was sent yet. Reports it by onAbort.
    void failExchange(ExchangeEnd end);
    /// Frees what was received of a request that is refused, or has been answered.
    void forgetRequest();
    /// Counts what the connection holds now.
    void countHeld();
    /// Waits until those that were ended, since the process holds too much, have released most of it: what many connections bring at a time is parsed before.
    boost::asio::awaitable<void> waitForRelease();
    /// Returns whether the connection was ended since the process holds too much. If so, its request is refused for that reason.
    bool isOverLimit();
    /// Ends the connection, since this process holds too much for its clients.
    void onTooMuchHeld();
    /// Answers a request that couldn't be read, unless the client is gone.
    boost::asio::awaitable<void> refuse(boost::beast::error_code error);
    /// Writes the response to a request that the server refuses itself, and ends the connection.
    boost::asio::awaitable<void> refuseAs(RefusalKind kind);
    /// Ends the connection so that the client receives all that was written: closes the sending side, and discards what the client still sends until it
    /// closes its side, or doesn't within 1 s after everything has reached it. Closing a socket with unread data resets the connection, which destroys a
    /// response on its way.
    boost::asio::awaitable<void> linger();
    /// Returns true if a part of the response must not be sent. If it doesn't fit to the parts before it, aborts the exchange and closes the connection.
    bool isMisuse(bool doesNotFit);
    /// Closes the connection after this response if the server closes its connections, unless another request has arrived on it.
    void decideKeepAlive();
    /// Waits until the socket becomes readable during an exchange, and aborts the exchange if there is no data to read: then the client has closed
    /// the connection, or at least its sending side. Data, for example of a pipelined request, ends the check.
    void watchForClose();
    /// Returns true if the client has closed the connection, or at least its sending side, and nothing else is left to read.
    bool hasClientLeft();
    /// Returns true if the socket has received bytes that weren't read yet.
    bool hasInput() const;
    /// Returns the number of bytes that were written but not acknowledged by the client; 0 if that is unknown.
    std::size_t unacknowledgedBytes();
    /// Returns the number of response bytes that the client hasn't acknowledged, written or not.
    std::size_t untakenBytes();
    /// Returns whether the whole response of the last exchange was passed to the operating system.
    bool isExchangeWritten() const;
    /// Reports that the connection has failed for this error, unless the client has taken all, or has closed the connection in order.
    void reportUndelivered(const boost::beast::error_code &error);
    /// Begins an exchange with what holds for one of which nothing is known.
    void beginTerms();
    /// Looks from now on whether the client takes what waits for it, until it has taken all. The system's own timeout is no use for this: it counts from the
    /// moment at which the client's window closed, although the client goes on taking a little now and then.
    void watchTaking();
    void startTakenCheck();
    void checkTaken();
    /// Ends the connection of a client that hasn't taken all, reports that, and frees what was held for it.
    void endUntaken(const std::string &reason);
    /// Cancels the operations of the socket.
    void cancelOperations();
    /// Ends the exchange because its connection has failed, and reports it by onAbort.
    void abortExchange(ExchangeEnd end);
    /// Writes queued output until the response has ended and is written, or the connection fails.
    boost::asio::awaitable<void> writeQueued();
    /// Writes all of this, unless the connection fails.
    boost::asio::awaitable<boost::beast::error_code> writeAll(const std::string &data);
    /// Queues output. If too much earlier output still waits, aborts the exchange and closes the connection.
    void queue(const std::string &data);
    /// Marks the response as complete; queued output is still written.
    void finish();
    /// Closes the socket, marks the response as ended and wakes writeQueued().
    void close();

    std::shared_ptr<HttpServer::Impl> server_;
    boost::asio::ip::tcp::socket socket_;
    /// Never expires; writeQueued() waits on it, and cancelling it ends the wait.
    boost::asio::steady_timer wakeTimer_;
    /// For reading a request, or for writing a refusal.
    OperationTimeout timeout_;
    /// For the look whether the client takes what waits for it.
    OperationTimeout takenCheck_;
    /// Received bytes that aren't parsed yet. Its size is limited while a request is read.
    boost::beast::flat_buffer buffer_;
    /// What the connection holds, as far as anything counts it.
    HeldBytes::Share held_;
    /// Bytes of memory that the request's header and body take, until its exchange has ended.
    std::size_t requestBytes_ = 0;
    /// Bytes of memory that the part of the response takes which is being written.
    std::size_t writtenBytes_ = 0;
    /// Header fields of the request that is being read.
    Headers headers_;
    /// Response bytes that aren't passed to the socket yet.
    std::string output_;
    /// The current exchange, or the last one.
    ExchangeId id_ = 0;
    /// The client's id of that request, as far as it is kept.
    std::string requestId_;
    /// Limits that were in force when the request, or its exchange, began.
    std::chrono::milliseconds requestTimeout_{0};
    std::size_t queuedLimit_ = 0;
    /// Bytes that were passed to the operating system in all, and those of the current write that weren't yet.
    std::uint64_t passedBytes_ = 0;
    std::size_t unsentBytes_ = 0;
    /// Bytes that the client had taken at the last look, and since when it has taken no more.
    std::uint64_t takenBytes_ = 0;
    std::chrono::steady_clock::time_point takenAt_;
    bool isTakingWatched_ = false;
    /// Time for which the client may take nothing.
    std::chrono::milliseconds untakenTime_{0};
    /// When the time of the last request is over.
    std::chrono::steady_clock::time_point answerDueAt_;
    /// What hasClientLeft() has met last.
    boost::beast::error_code lastError_;
    ResponseState responseState_ = ResponseState::None;
    /// The response in chunks has a body.
    bool isBodySent_ = true;
    /// The request is one for the header only.
    bool isHead_ = false;
    bool keepAlive_ = true;
    /// The response is complete or aborted; no more output is queued.
    bool ended_ = false;
    /// The connection has failed.
    bool broken_ = false;
    /// It waits for the first bytes of a request.
    bool isIdle_ = false;
    /// It waits for the rest of a request.
    bool isReading_ = false;
    /// The reading of the request was ended.
    bool isReadingOver_ = false;
    /// That was done by onTooMuchHeld().
    bool isTooMuchHeld_ = false;
    /// The client has closed its sending side, and nothing was sent of the response.
    bool leftUnanswered_ = false;
    /// It is in linger().
    bool isLingering_ = false;
    /// The client has had its time to close its side, in linger().
    bool lingerIsOver_ = false;
    /// When it began to wait for a request.
    IdleTimeouts::Clock::time_point idleSince_;
};

} // namespace net
