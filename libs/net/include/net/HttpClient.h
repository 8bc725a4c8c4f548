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

/// How far a failed call got. Only NotSent proves that the server saw nothing of it.
enum class CallFailure {
    NotSent,
    Broken,
    TimedOut,
    Cancelled,
};

/// A call that is under way; 0 is never used.
using ClientCallId = std::uint64_t;

/// One outgoing request with its limits.
struct ClientCall {
    Address address;
    HttpRequest request;
    std::chrono::milliseconds connectTimeout{500};
    /// From the start of the call to its end; zero means no bound.
    std::chrono::milliseconds totalTimeout{5000};
    /// A kept-alive connection may be closed by the server while the request is being written, which leaves the outcome unknown; calls that
    /// may not be repeated ask for a fresh one.
    bool freshConnection = false;
    std::size_t bodyLimit = 4 * 1024 * 1024;
};

/// What a call reports, in the loop's thread. Exactly one of onEnd and onFailure is called, last.
struct ClientHandlers {
    std::function<void(int status, const Headers &)> onHead;
    std::function<void(std::string data)> onData;
    std::function<void()> onEnd;
    std::function<void(CallFailure)> onFailure;
};

/// An HTTP/1.1 client with a pool of kept-alive connections per address. Call its members in the loop's thread.
class HttpClient
{
public:
    explicit HttpClient(EventLoop &loop);
    ~HttpClient();

    /// Starts a call; its handlers run later.
    ClientCallId start(ClientCall call, ClientHandlers handlers);

    /// Starts a call and gives the whole response, or the failure, to one handler.
    ClientCallId fetch(ClientCall call, std::function<void(HttpResponse)> onResponse, std::function<void(CallFailure)> onFailure);

    /// Breaks a call off; its onFailure gets Cancelled. Does nothing for a call that has ended.
    void cancel(ClientCallId id);

    struct Impl;

private:
    std::shared_ptr<Impl> impl_;
};

/// What callAndWait() got: a response if ok, otherwise the failure.
struct BlockingResult {
    bool ok = false;
    CallFailure failure = CallFailure::NotSent;
    HttpResponse response;
};

/// Makes one call and waits for it, on a loop of its own. For command-line programs and tests.
BlockingResult callAndWait(ClientCall call);

} // namespace net
