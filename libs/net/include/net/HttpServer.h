#pragma once

#include "base/EnumNames.h"
#include "net/EventLoop.h"
#include "net/HeldBytes.h"
#include "net/Http.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace net {

/// Identifies one request of one server until its response has ended; never reused within the process.
using ExchangeId = std::uint64_t;

/// Limits on what clients may send and on the resources that they use.
struct ServerLimits {
    /// Maximum size of a request's header, in bytes. Chunk headers with their extensions and the trailer have bounds of their own.
    std::size_t headerBytes = 16 * 1024;
    /// Maximum size of a request's body, in bytes.
    std::size_t bodyBytes = 1024 * 1024;
    /// Maximum number of open connections; further ones are closed at once, unless one makes room that has waited for its first request the longest.
    std::size_t connections = 4096;
    /// Descriptors that the process may have open when a connection is accepted; a connection beyond that is treated like one beyond `connections`. 0 is no
    /// limit.
    std::size_t descriptors = 0;
    /// Response bytes that may wait for a slow client; see HttpServer::writeChunk().
    std::size_t queuedResponseBytes = 1024 * 1024;
    /// Longest time from the first bytes of a request to the end of its header, from there to its last bytes, and for writing a refusal. If bytes wait to be
    /// read when it is over, since the process was held up, as much time is added once.
    std::chrono::milliseconds requestTimeout{10000};
    /// Longest time that a connection waits for the first bytes of a request.
    std::chrono::milliseconds idleTimeout{60000};
    /// Time for which a connection is kept beyond its idle timeout: a longer one may be in force already, and the server be told late. While `connections` are
    /// open, one that is kept beyond its timeout makes room for a new one.
    std::chrono::milliseconds idleTimeoutMargin{0};
    /// Time after which clients know of a changed idle timeout; until then they may count on the earlier one if that is longer.
    std::chrono::milliseconds idleTimeoutNotice{0};
    /// A connection is ended if its client takes nothing of what waits for it for this time, or for the time limit of its request if that is longer. While
    /// `connections` are open, one that waits for its next request makes room for a new one if this time has passed since its last request.
    std::chrono::milliseconds untakenTimeout{30000};
};

/// What a server is told of an exchange.
struct ExchangeTerms {
    /// The client's id of the request, for reports.
    std::string requestId;
    /// Time that the client gives the request: its connection isn't ended sooner because nothing is taken. Zero if it states none.
    std::chrono::milliseconds timeLimit{0};
};

/// A connection that has failed, and whose client hasn't taken all of its response.
struct DeliveryFailure {
    std::string requestId;
    /// What ended the connection, in the operating system's words.
    std::string error;
    /// Bytes that the client hasn't acknowledged, or that were not passed to the operating system yet.
    std::size_t untakenBytes = 0;
    /// The whole response had been passed to the operating system.
    bool isWritten = false;
};

/// Why the server itself answered a request.
enum class RefusalKind {
    Malformed,
    /// The header, the header of a chunk or the trailer is too large, or there is too much of these two.
    HeaderTooLarge,
    BodyTooLarge,
    /// The request wasn't received completely within a timeout.
    RequestTooSlow,
    /// Handlers::onRequest threw an exception, or HeldBytes ended the exchange before its answer had begun; the request may have been acted on.
    HandlerFailed,
    /// HeldBytes ended the request while it arrived. No part of it was run.
    TooMuchHeld,
    /// The request had not arrived completely when the server had to end. No part of it was run.
    Stopping,
    /// The client has closed its sending side before it got a response, which counts as leaving. It may read on, though.
    CallerLeft,
};

/// Why a connection was closed that hadn't brought a whole request.
enum class TurnedAway {
    /// ServerLimits::connections were open.
    Connections,
    /// ServerLimits::descriptors were open.
    Descriptors,
    /// It had sent nothing, and made room for another one.
    MadeRoom,
};

/// Names of these reasons in logs and metrics.
inline constexpr base::EnumNames<TurnedAway, 3> TurnedAwayNames = {{
    {TurnedAway::Connections, "connections"},
    {TurnedAway::Descriptors, "descriptors"},
    {TurnedAway::MadeRoom, "made_room"},
}};

/// How an exchange ended.
enum class ExchangeEnd {
    /// The last byte of the response was passed to the operating system.
    Answered,
    /// The client closed the connection before the response was complete.
    CallerLeft,
    /// The client read so slowly that more than ServerLimits::queuedResponseBytes waited for it, or took nothing for too long.
    CallerTooSlow,
    /// The connection failed while the response was written.
    WriteFailed,
    /// HttpServer::abort() was called.
    Aborted,
    /// A part of the response didn't fit to those before it, for example a second status line; the connection was closed.
    Misused,
    /// Handlers::onRequest threw an exception.
    HandlerFailed,
    /// HeldBytes ended the exchange.
    TooMuchHeld,
};

/// Names of the ends in the log.
inline constexpr base::EnumNames<ExchangeEnd, 8> ExchangeEndNames = {{
    {ExchangeEnd::Answered, "answered"},
    {ExchangeEnd::CallerLeft, "caller_left"},
    {ExchangeEnd::CallerTooSlow, "caller_too_slow"},
    {ExchangeEnd::WriteFailed, "write_failed"},
    {ExchangeEnd::Aborted, "aborted"},
    {ExchangeEnd::Misused, "misused"},
    {ExchangeEnd::HandlerFailed, "handler_failed"},
    {ExchangeEnd::TooMuchHeld, "too_much_held"},
}};

/// An HTTP/1.1 server that sends responses either complete or in chunks.
///
/// Call all members but the constructor in the event loop's thread. Calls for an exchange that has ended do nothing.
class HttpServer
{
public:
    /// Callbacks of the server, called in the loop's thread.
    struct Handlers {
        /// A request was received completely. It is answered by respond(), by beginStream() and the calls that follow it, or by abort().
        std::function<void(ExchangeId, HttpRequest)> onRequest;
        /// The connection failed, or the client closed it or read too slowly, before the response ended. The exchange has ended.
        std::function<void(ExchangeId)> onAbort;
        /// Returns the response to a request that the server answers itself.
        std::function<HttpResponse(RefusalKind)> refusal;
        /// An exchange has ended, answered or not; called once for each onRequest, before onAbort. Optional.
        std::function<void(ExchangeId, ExchangeEnd)> onEnded = {};
        /// A handler has thrown an exception with this text. Its connection is closed, after an error response if possible. Optional.
        std::function<void(std::string_view)> onException = {};
        /// A connection has failed. Called after onEnded if the exchange had ended, else before. Optional.
        std::function<void(const DeliveryFailure &)> onDeliveryFailed = {};
        /// Bytes that a client sent behind the request of its last response were discarded; that response has said that the connection ends. Optional.
        std::function<void(const std::string &requestId, std::size_t bytes)> onDiscarded = {};
        /// A connection was closed without an answer, since there were too many. Optional.
        std::function<void(TurnedAway)> onTurnedAway = {};
    };

    /// Starts to listen; port 0 means any free port. Throws base::ListenError if the address can't be bound. What each connection holds counts for `peerKind`
    /// in `held`, which may be null and otherwise must outlive the server and its connections: its read buffer, the request until its exchange has ended, and
    /// what waits to be written. A connection that is ended there is closed; its request is refused, or its exchange aborted.
    HttpServer(
        EventLoop &loop, const Address &address, ServerLimits limits, Handlers handlers, HeldBytes *held = nullptr, PeerKind peerKind = PeerKind::Caller);
    ~HttpServer();

    /// Returns the address on which the server listens, with the actual port.
    Address address() const;

    /// Tells the server about an exchange; best called before its response.
    void describe(ExchangeId id, const ExchangeTerms &terms);

    /// Sends a complete response and ends the exchange. Here and below, a part that doesn't fit to those before it closes the connection, so that the client
    /// recognizes the response as incomplete; then onAbort is called.
    void respond(ExchangeId id, const HttpResponse &response);

    /// Starts a chunked response with its status and header.
    void beginStream(ExchangeId id, int status, const Headers &headers);

    /// Queues one chunk for sending; an empty one is ignored. If more than queuedResponseBytes of earlier data still wait to be written, the client
    /// is disconnected and onAbort is called.
    void writeChunk(ExchangeId id, const std::string &data);

    /// Sends the last chunk of a chunked response and ends the exchange.
    void endStream(ExchangeId id);

    /// Closes the connection without ending the response, so that the client recognizes it as incomplete. Parts that were queued before are written; onAbort
    /// isn't called.
    void abort(ExchangeId id);

    /// Replaces the limits. A request that is being read keeps its limits, and a response that is being written keeps its; larger new ones hold for both. A
    /// connection that waits for a request does so for the longest idle timeout that has been in force meanwhile.
    void setLimits(const ServerLimits &limits);

    /// Closes idle connections once their clients have taken what was sent to them, and from now on every connection after its last response, which says so:
    /// requests that have arrived are answered before. New connections are still accepted.
    void closeConnections();

    /// Refuses the requests that are still arriving, and from now on those that don't arrive within a moment.
    void refuseArriving();

    /// Returns the number of connections on which a request is being read, or has arrived and will be, or a response isn't delivered yet.
    std::size_t unfinishedConnections() const;

    /// Reports each written response that its client hasn't taken, as a DeliveryFailure with this reason. To be called when the process ends.
    void reportUntaken(const std::string &reason);

    /// Closes the listening socket. Open connections stay open, and each is closed after its current or next response.
    void stopAccepting();

    struct Impl;

private:
    std::shared_ptr<Impl> impl_;
};

} // namespace net
