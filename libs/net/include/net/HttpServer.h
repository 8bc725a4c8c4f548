#pragma once

#include "net/EventLoop.h"
#include "net/Http.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace net {

/// Identifies one request of one server until its response has ended; never reused within the process.
using ExchangeId = std::uint64_t;

/// Limits on what a client may send and hold.
struct ServerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    std::size_t connections = 4096;
    std::size_t queuedResponseBytes = 1024 * 1024;
    std::chrono::milliseconds requestTimeout{10000};
    std::chrono::milliseconds idleTimeout{60000};
};

/// Why a request was refused by the server itself before any handler saw it.
enum class RefusalKind {
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    TooSlow,
};

/// An HTTP/1.1 server with whole and chunked responses.
///
/// All members but the constructor are to be called in the event loop's thread. A call for an exchange that has ended does nothing.
class HttpServer
{
public:
    /// What the server reports. All are called in the loop's thread.
    struct Handlers {
        std::function<void(ExchangeId, HttpRequest)> onRequest;
        /// The client closed or broke the connection before the response ended.
        std::function<void(ExchangeId)> onAbort;
        /// Makes the response to a request that the server refuses.
        std::function<HttpResponse(RefusalKind)> refusal;
    };

    /// Listens at once; port 0 takes a free port. Throws std::runtime_error if the address can't be bound.
    HttpServer(EventLoop &loop, const Address &address, ServerLimits limits, Handlers handlers);
    ~HttpServer();

    /// The address that is listened on, with the actual port.
    Address address() const;

    /// Sends a whole response and ends the exchange.
    void respond(ExchangeId id, const HttpResponse &response);

    /// Starts a chunked response.
    void beginStream(ExchangeId id, int status, const Headers &headers);

    /// Sends one chunk. A client that lets more than queuedResponseBytes wait is disconnected and reported by onAbort.
    void writeChunk(ExchangeId id, const std::string &data);

    /// Ends a chunked response.
    void endStream(ExchangeId id);

    /// Breaks the connection without ending the response, so that the client can't take it for a whole one.
    void abort(ExchangeId id);

    /// Limits for what is read from now on.
    void setLimits(const ServerLimits &limits);

    /// Responses from now on end their connections, and idle connections are closed. New ones are still accepted.
    void closeConnections();

    /// Closes the listening socket; open exchanges go on.
    void stopAccepting();

    struct Impl;

private:
    std::shared_ptr<Impl> impl_;
};

} // namespace net
