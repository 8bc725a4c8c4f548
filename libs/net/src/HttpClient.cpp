#include "net/HttpClient.h"

#include "details/EventLoopImpl.h"
#include "details/IdleConnections.h"
#include "details/PeerWatch.h"
#include "details/ResponseReader.h"

#include <iostream>

namespace net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t MaxIdleConnectionsPerAddress = 64;
constexpr std::chrono::seconds MaxIdleTime{20};
/// Any living peer that has read what came before takes a request of this size at once, so that its bytes wait only for one that is gone.
constexpr std::size_t MaxSmallRequestBytes = 4096;
/// Responses to other requests that are skipped before the response to a call.
constexpr int MaxStrayResponses = 4;

/// The state of a call as far as cancel() and the total timeout use it.
struct RunningCall {
    std::shared_ptr<tcp::socket> socket;
    std::shared_ptr<asio::steady_timer> timer;
    bool cancelled = false;
    bool timedOut = false;
    /// What was received was no response, or more than a bound permits.
    bool malformed = false;
    /// HeldBytes cancelled the call.
    bool tooMuchHeld = false;
    /// The body is collected.
    bool keepsBody = false;
    /// From here on, the server may have received the request and acted on it.
    bool sent = false;
    /// The connection isn't the call's any more. The total timeout may have passed just before that, with its handler still to come.
    bool ended = false;
    CallProgress progress;
    /// Tells a server that reads a large request slowly from one that is gone; else null.
    std::shared_ptr<PeerWatch> watch;
    /// What is held of the response.
    HeldBytes::Share held;
};

void closeSocket(tcp::socket &socket)
{
    beast::error_code ignored;
    socket.close(ignored);
}

/// Closes the connection of a call. The timeout for bytes that aren't acknowledged holds again, so that a server which reads them later doesn't get the
/// request.
void closeConnection(RunningCall &running)
{
    if (running.watch) {
        running.watch->stop();
    }
    closeSocket(*running.socket);
}

/// Ends a call from outside of its coroutine, which goes on with its failure.
void cancelCall(RunningCall &running)
{
    running.cancelled = true;
    closeConnection(running);
}

} // namespace

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
    explicit Impl(EventLoop &loop)
        : io(loop.impl().io)
    {
    }

    /// Returns the most recently used idle connection to an address that is still open, or null.
    std::shared_ptr<tcp::socket> takeIdle(const std::string &key)
    {
        while (auto socket = idle.take(key, std::chrono::steady_clock::now())) {
            if (isUsable(**socket)) {
                return *socket;
            }
        }
        return nullptr;
    }

    /// Returns true if an idle connection has nothing to read. If it is readable, the server closed it or sent bytes that no request asked for.
    static bool isUsable(tcp::socket &socket)
    {
        beast::error_code error;
        char byte = 0;
        socket.non_blocking(true, error);
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }

    /// Opens a connection within the connect timeout. Returns false if that fails.
    asio::awaitable<bool> connect(const ClientCall &call, const std::shared_ptr<RunningCall> &running);
    /// Runs one call to its end or failure.
    asio::awaitable<void> run(ClientCallId id, ClientCall call, ClientHandlers handlers);
    /// Makes the exchange of one call, from the connection to the end of the response. Returns false if that fails; then the connection can't be used any
    /// more. Throws what a handler or the HTTP library throws.
    asio::awaitable<bool> exchange(ClientCall &call, const ClientHandlers &handlers, std::shared_ptr<RunningCall> state);
    /// Reads the response of a call whose request was sent, after the responses to other requests on a kept connection, and keeps the connection if it can be
    /// used again. Returns false if that fails. Throws what a handler throws.
    asio::awaitable<bool> receive(const ClientCall &call, const ClientHandlers &handlers, RunningCall &state);
    /// Starts the watch of a call whose request is large.
    static void startWatch(const ClientCall &call, const std::shared_ptr<RunningCall> &state);
    /// Starts the timer of the total timeout.
    static void startTimer(const ClientCall &call, const std::shared_ptr<RunningCall> &state);

    asio::io_context &io;
    IdleConnections<std::shared_ptr<tcp::socket>> idle{MaxIdleConnectionsPerAddress, MaxIdleTime};
    std::unordered_map<ClientCallId, std::shared_ptr<RunningCall>> running;
    ClientCallId nextId = 1;
};

namespace {

/// Returns the request of a call as the HTTP library takes it; moves the body out of the call.
http::request<http::string_body> toMessage(ClientCall &call)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(call.request.method);
    message.target(call.request.target);
    if (headerIn(call.request.headers, "Host").empty()) {
        message.set(http::field::host, toString(call.address));
    }
    for (const auto &[name, value] : call.request.headers) {
        message.insert(name, value);
    }
    message.body() = std::move(call.request.body);
    message.prepare_payload();
    return message;
}

/// Returns the size of a request, without its framing.
std::size_t sizeOf(const HttpRequest &request)
{
    std::size_t bytes = request.target.size() + request.body.size();
    for (const auto &[name, value] : request.headers) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

/// Logs the exception with which a handler of a call's end has failed.
void logFailure(const std::exception_ptr &failure)
{
    try {
        if (failure) {
            std::rethrow_exception(failure);
        }
    } catch (const std::exception &error) {
        std::cerr << "the handler of a call's end failed: " << error.what() << "\n";
    }
}

/// Returns why a call has ended without a whole response.
CallFailure failureOf(const RunningCall &running)
{
    if (!running.sent) {
        return CallFailure::NotSent;
    }
    if (running.timedOut) {
        return CallFailure::TimedOut;
    }
    if (running.tooMuchHeld) {
        return CallFailure::TooMuchHeld;
    }
    if (running.cancelled) {
        return CallFailure::Cancelled;
    }
    return running.malformed ? CallFailure::Malformed : CallFailure::Broken;
}

/// Takes the body of a response that is skipped.
const ResponseReader::DataHandler DropData = [](const std::string &) {
};

} // namespace

asio::awaitable<bool> HttpClient::Impl::connect(const ClientCall &call, const std::shared_ptr<RunningCall> &running)
{
    beast::error_code error;
    const auto ip = asio::ip::make_address(call.address.host, error);
    if (error) {
        co_return false;
    }
    running->socket = std::make_shared<tcp::socket>(io);
    auto socket = running->socket;
    asio::steady_timer connectTimer(io, call.connectTimeout);
    // The timeout may have passed just before the connection is there, with its handler still to come.
    const auto isConnecting = std::make_shared<bool>(true);
    connectTimer.async_wait([socket, isConnecting](const beast::error_code &waitError) {
        if (!waitError && *isConnecting) {
            closeSocket(*socket);
        }
    });
    co_await socket->async_connect({ip, call.address.port}, asio::redirect_error(asio::use_awaitable, error));
    *isConnecting = false;
    connectTimer.cancel();
    if (error || !socket->is_open()) {
        co_return false;
    }
    socket->set_option(tcp::no_delay(true), error);
    setTcpUserTimeout(*socket, call.unacknowledgedTimeout);
    co_return true;
}

void HttpClient::Impl::startWatch(const ClientCall &call, const std::shared_ptr<RunningCall> &state)
{
    state->watch = std::make_shared<PeerWatch>(state->socket, call.unacknowledgedTimeout);
    state->watch->start([watched = std::weak_ptr(state), timeout = call.unacknowledgedTimeout]() {
        if (const auto running = watched.lock()) {
            running->progress.error = "nothing acknowledged for " + std::to_string(timeout.count()) + " ms";
            closeSocket(*running->socket);
        }
    });
}

void HttpClient::Impl::startTimer(const ClientCall &call, const std::shared_ptr<RunningCall> &state)
{
    if (call.totalTimeout.count() <= 0) {
        return;
    }
    state->timer->expires_after(call.totalTimeout);
    state->timer->async_wait([state](const beast::error_code &error) {
        if (!error && !state->ended) {
            state->timedOut = true;
            closeConnection(*state);
        }
    });
}

asio::awaitable<void> HttpClient::Impl::run(ClientCallId id, ClientCall call, ClientHandlers handlers)
{
    auto self = shared_from_this();
    auto state = running[id];
    startTimer(call, state);
    if (call.held) {
        state->held = call.held->share(call.peerKind, [running = state.get()]() {
            running->tooMuchHeld = true;
            cancelCall(*running);
        });
    }
    bool isDone = false;
    try {
        isDone = co_await exchange(call, handlers, state);
    } catch (const std::exception &error) {
        // A request that can't be written as HTTP, or a handler that failed: the call ends, and nothing else does.
        std::cerr << "call to " << toString(call.address) << " failed: " << error.what() << "\n";
    }
    state->ended = true;
    if (state->watch) {
        state->watch->stop();
    }
    state->held = {};
    state->timer->cancel();
    running.erase(id);
    if (isDone) {
        handlers.onEnd();
        co_return;
    }
    closeSocket(*state->socket);
    handlers.onFailure(failureOf(*state), state->progress);
}

asio::awaitable<bool> HttpClient::Impl::exchange(ClientCall &call, const ClientHandlers &handlers, std::shared_ptr<RunningCall> state)
{
    if (state->cancelled) {
        co_return false;
    }
    const bool isLarge = sizeOf(call.request) > MaxSmallRequestBytes;
    const auto message = toMessage(call);
    auto idleSocket = call.freshConnection ? nullptr : takeIdle(toString(call.address));
    if (idleSocket) {
        state->socket = idleSocket;
        state->progress.isOnKeptConnection = true;
    } else if (!co_await connect(call, state)) {
        co_return false;
    }
    if (state->cancelled || state->timedOut) {
        co_return false;
    }

    beast::error_code error;
    state->sent = true;
    if (isLarge) {
        startWatch(call, state);
    }
    co_await http::async_write(*state->socket, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        const std::string text = systemErrorText(error);
        state->progress.error = text.empty() ? state->progress.error : text;
        co_return false;
    }

    if (state->progress.isOnKeptConnection && handlers.onKeptConnection) {
        handlers.onKeptConnection();
    }
    co_return co_await receive(call, handlers, *state);
}

asio::awaitable<bool> HttpClient::Impl::receive(const ClientCall &call, const ClientHandlers &handlers, RunningCall &state)
{
    ResponseReader reader(*state.socket, call, state.progress, state.cancelled, state.held, state.keepsBody);
    for (int strays = 0; strays <= MaxStrayResponses; ++strays) {
        const auto headers = co_await reader.readHeader();
        state.malformed = reader.isMalformed();
        if (!headers) {
            co_return false;
        }
        const bool isStray = state.progress.isOnKeptConnection && call.isStray && call.isStray(*headers);
        if (!isStray) {
            reader.beginResponse();
            handlers.onHead(reader.status(), *headers);
        }
        if (!co_await reader.readBody(isStray ? DropData : handlers.onData)) {
            state.malformed = reader.isMalformed();
            co_return false;
        }
        if (!isStray) {
            if (reader.isReusable() && strays == 0 && !call.freshConnection) {
                idle.keep(toString(call.address), state.socket, std::chrono::steady_clock::now(), keepAliveTimeoutIn(*headers));
            }
            co_return true;
        }
    }
    co_return false;
}

HttpClient::HttpClient(EventLoop &loop)
    : impl_(std::make_shared<Impl>(loop))
{
}

HttpClient::~HttpClient() = default;

ClientCallId HttpClient::start(ClientCall call, ClientHandlers handlers)
{
    const ClientCallId id = impl_->nextId++;
    auto state = std::make_shared<RunningCall>();
    state->socket = std::make_shared<tcp::socket>(impl_->io);
    state->timer = std::make_shared<asio::steady_timer>(impl_->io);
    impl_->running[id] = state;
    auto impl = impl_;
    auto callPtr = std::make_shared<ClientCall>(std::move(call));
    auto handlersPtr = std::make_shared<ClientHandlers>(std::move(handlers));
    // The call begins only after this function has returned, even if it is called in the loop's thread.
    asio::post(impl_->io, [impl, id, callPtr, handlersPtr]() {
        asio::co_spawn(
            impl->io, [impl, id, callPtr, handlersPtr]() { return impl->run(id, std::move(*callPtr), std::move(*handlersPtr)); }, logFailure);
    });
    return id;
}

ClientCallId HttpClient::fetch(ClientCall call, std::function<void(HttpResponse)> onResponse, std::function<void(CallFailure)> onFailure)
{
    auto response = std::make_shared<HttpResponse>();
    ClientHandlers handlers;
    handlers.onHead = [response](int status, const Headers &headers) {
        response->status = status;
        response->headers = headers;
    };
    handlers.onData = [response](const std::string &data) {
        response->body += data;
    };
    handlers.onEnd = [response, onResponse = std::move(onResponse)]() {
        onResponse(std::move(*response));
    };
    handlers.onFailure = [onFailure = std::move(onFailure)](CallFailure failure, const CallProgress &) {
        onFailure(failure);
    };
    const ClientCallId id = start(std::move(call), std::move(handlers));
    impl_->running[id]->keepsBody = true;
    return id;
}

void HttpClient::cancel(ClientCallId id)
{
    const auto found = impl_->running.find(id);
    if (found == impl_->running.end()) {
        return;
    }
    cancelCall(*found->second);
}

} // namespace net
