#pragma once

#include "net/EventLoop.h"
#include "net/HeldBytes.h"
#include "net/Http.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace net {

/// Why a call failed. Only NotSent proves that the server received no part of it.
enum class CallFailure {
    /// The call failed, timed out or was cancelled before its first byte was written, or its request can't be written as HTTP.
    NotSent,
    /// The connection was closed or failed before the response was complete, or a handler threw an exception.
    Broken,
    /// What was received is no HTTP response, or more than a bound permits: on the header, on interim ones, on the body, or on the chunk headers and the
    /// trailer. A sound server doesn't send that.
    Malformed,
    /// HeldBytes ended the call. The server may be sound.
    TooMuchHeld,
    /// The total timeout has passed.
    TimedOut,
    /// HttpClient::cancel() was called.
    Cancelled,
};

/// How much of a response was received.
enum class ResponsePart {
    Nothing,
    /// A part of the header, or an interim one only.
    Header,
    /// The header, and perhaps a part of the body.
    Body,
};

/// How far a call came before it failed, for logs.
struct CallProgress {
    /// The call used a connection that had carried other calls before.
    bool isOnKeptConnection = false;
    ResponsePart part = ResponsePart::Nothing;
    /// Bytes of the body that were received, without the chunk framing.
    std::uint64_t bodyBytes = 0;
    /// The length of the body that the header states, if it states one.
    std::optional<std::uint64_t> statedBytes;
    /// What ended the connection, in the operating system's words; empty if it was closed in order, or by this process.
    std::string error;
};

/// Returns a phrase such as "kept connection, 512 of 800 bytes of the body".
std::string toText(const CallProgress &progress);

/// Identifies a call of one client; 0 is never used.
using ClientCallId = std::uint64_t;

/// One outgoing request with its limits.
struct ClientCall {
    Address address;
    HttpRequest request;
    std::chrono::milliseconds connectTimeout{500};
    /// Longest time from the start of the call to its end; zero means no limit.
    std::chrono::milliseconds totalTimeout{5000};
    /// A server that acknowledges nothing of what it was sent for this time is gone, and the call fails. One that acknowledges, but doesn't read, is not.
    std::chrono::milliseconds unacknowledgedTimeout{4000};
    /// Use a new connection and close it after the call. The server may close a kept-alive connection while the request is being written, which
    /// leaves the outcome unknown; calls that must run at most once avoid this with a new connection.
    bool freshConnection = false;
    /// Maximum size of the response body, in bytes; a larger one fails the call as Malformed.
    std::size_t bodyLimit = 4 * 1024 * 1024;
    /// Returns whether the response with this header answers another request than the call's. A faulty server may send a response once more where the next
    /// one is expected. Asked only on a connection that has carried other calls before; such a response is skipped, and the connection is closed after
    /// the call. May be null.
    std::function<bool(const Headers &)> isStray = nullptr;
    /// Counts what the call holds of the response for `peerKind`: its read buffer, and the body if HttpClient::fetch() collects it. May be null; otherwise it
    /// must live until the call has begun, which is in the next turn of the event loop.
    HeldBytes *held = nullptr;
    PeerKind peerKind = PeerKind::Endpoint;
};

/// Callbacks of a call, called in the loop's thread. Exactly one of onEnd and onFailure is called, after all others.
struct ClientHandlers {
    /// The call uses a connection that has carried other calls before. Called before onHead; may be null.
    std::function<void()> onKeptConnection;
    /// The status line and the header fields have been received. Interim headers (status 100 to 199) are skipped.
    std::function<void(int status, const Headers &)> onHead;
    /// A part of the body has been received, with the chunk framing removed.
    std::function<void(std::string data)> onData;
    /// The response has been received completely.
    std::function<void()> onEnd;
    std::function<void(CallFailure, const CallProgress &)> onFailure;
};

/// An HTTP/1.1 client with a pool of kept-alive connections per address. Call all members in the loop's thread.
class HttpClient
{
public:
    explicit HttpClient(EventLoop &loop);
    ~HttpClient();

    /// Starts a call. Its handlers are called after start() has returned. A call whose request can't be written as HTTP fails as NotSent; one whose
    /// onHead or onData throws fails as Broken. What onData is given is no longer counted as held by the call.
    ClientCallId start(ClientCall call, ClientHandlers handlers);

    /// Starts a call, collects the response, and calls one of the handlers with the complete response or with the failure.
    ClientCallId fetch(ClientCall call, std::function<void(HttpResponse)> onResponse, std::function<void(CallFailure)> onFailure);

    /// Closes the connection of a call. Its onFailure is called later with Cancelled, or with NotSent if nothing was sent yet. Does nothing if the
    /// call has ended.
    void cancel(ClientCallId id);

    struct Impl;

private:
    std::shared_ptr<Impl> impl_;
};

/// The result of callAndWait(): `response` if `ok`, otherwise `failure`.
struct BlockingResult {
    bool ok = false;
    CallFailure failure = CallFailure::NotSent;
    HttpResponse response;
};

/// Makes one call and blocks until it ends, with an event loop of its own. For command-line programs and tests.
BlockingResult callAndWait(ClientCall call);

} // namespace net
