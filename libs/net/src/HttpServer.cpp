#include "net/HttpServer.h"

#include "base/ListenError.h"
#include "details/Connection.h"

#include <algorithm>
#include <vector>

namespace net {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

HttpServer::Impl::Impl(EventLoop &loop, const Address &address, ServerLimits serverLimits, Handlers serverHandlers, HeldBytes *heldBytes, PeerKind kindOfPeers)
    : io(loop.impl().io)
    , acceptor(io)
    , limits(serverLimits)
    , idleTimeouts(serverLimits.idleTimeout)
    , handlers(std::move(serverHandlers))
    , held(heldBytes)
    , peerKind(kindOfPeers)
{
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen(asio::socket_base::max_listen_connections);
    } catch (const boost::system::system_error &error) {
        throw base::ListenError(toString(address), error.code().value());
    }
}

std::shared_ptr<Connection> HttpServer::Impl::connectionOf(ExchangeId id) const
{
    const auto found = exchanges.find(id);
    return found == exchanges.end() ? nullptr : found->second;
}

void HttpServer::Impl::endExchange(ExchangeId id, ExchangeEnd end)
{
    if (exchanges.erase(id) == 0 || !handlers.onEnded) {
        return;
    }
    try {
        handlers.onEnded(id, end);
    } catch (const std::exception &exception) {
        reportException(exception);
    }
}

void HttpServer::Impl::reportAbort(ExchangeId id) const
{
    try {
        handlers.onAbort(id);
    } catch (const std::exception &exception) {
        reportException(exception);
    }
}

void HttpServer::Impl::reportDeliveryFailure(const DeliveryFailure &failure) const
{
    if (handlers.onDeliveryFailed) {
        handlers.onDeliveryFailed(failure);
    }
}

void HttpServer::Impl::reportDiscarded(const std::string &requestId, std::size_t bytes) const
{
    if (handlers.onDiscarded && bytes > 0) {
        handlers.onDiscarded(requestId, bytes);
    }
}

bool HttpServer::Impl::closeOverdue()
{
    return std::any_of(open.begin(), open.end(), [](Connection *connection) { return connection->closeIfOverdue(); });
}

bool HttpServer::Impl::closeUnused()
{
    Connection *oldest = nullptr;
    for (Connection *connection : open) {
        if (connection->isUnused() && (!oldest || connection->idleSince() < oldest->idleSince())) {
            oldest = connection;
        }
    }
    if (oldest) {
        oldest->closeNow();
        reportTurnedAway(TurnedAway::MadeRoom);
    }
    return oldest != nullptr;
}

bool HttpServer::Impl::hasRoomFor(tcp::socket &socket)
{
    // The system gives out the lowest free number, so that at least as many descriptors are open.
    const auto number = static_cast<std::size_t>(socket.native_handle());
    const bool hasDescriptor = limits.descriptors == 0 || number < limits.descriptors;
    if (hasDescriptor && open.size() < limits.connections) {
        return true;
    }
    if (closeOverdue() || closeUnused()) {
        return true;
    }
    reportTurnedAway(hasDescriptor ? TurnedAway::Connections : TurnedAway::Descriptors);
    return false;
}

void HttpServer::Impl::reportTurnedAway(TurnedAway reason) const
{
    if (handlers.onTurnedAway) {
        handlers.onTurnedAway(reason);
    }
}

void HttpServer::Impl::reportException(const std::exception &exception) const
{
    if (handlers.onException) {
        handlers.onException(exception.what());
    }
}

asio::awaitable<void> HttpServer::Impl::acceptLoop()
{
    auto self = shared_from_this();
    while (acceptor.is_open()) {
        beast::error_code error;
        tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || !acceptor.is_open()) {
            co_return;
        }
        if (error) {
            asio::steady_timer pause(io, std::chrono::milliseconds(20));
            co_await pause.async_wait(asio::use_awaitable);
            continue;
        }
        if (!hasRoomFor(socket)) {
            continue; // The destructor closes the socket. The client sees a closed connection; no part of a request was run.
        }
        socket.set_option(tcp::no_delay(true), error);
        auto connection = std::make_shared<Connection>(self, std::move(socket));
        asio::co_spawn(
            io, [connection]() { return connection->run(); }, asio::detached);
    }
}

HttpServer::HttpServer(EventLoop &loop, const Address &address, ServerLimits limits, Handlers handlers, HeldBytes *held, PeerKind peerKind)
    : impl_(std::make_shared<Impl>(loop, address, limits, std::move(handlers), held, peerKind))
{
    asio::co_spawn(
        impl_->io, [impl = impl_]() { return impl->acceptLoop(); }, asio::detached);
}

HttpServer::~HttpServer()
{
    stopAccepting();
}

Address HttpServer::address() const
{
    const auto endpoint = impl_->acceptor.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

void HttpServer::describe(ExchangeId id, const ExchangeTerms &terms)
{
    if (const auto connection = impl_->connectionOf(id)) {
        connection->describe(terms);
    }
}

void HttpServer::respond(ExchangeId id, const HttpResponse &response)
{
    if (const auto connection = impl_->connectionOf(id)) {
        connection->respond(response);
    }
}

void HttpServer::beginStream(ExchangeId id, int status, const Headers &headers)
{
    if (const auto connection = impl_->connectionOf(id)) {
        connection->begin(status, headers);
    }
}

void HttpServer::writeChunk(ExchangeId id, const std::string &data)
{
    if (const auto connection = impl_->connectionOf(id)) {
        connection->chunk(data);
    }
}

void HttpServer::endStream(ExchangeId id)
{
    if (const auto connection = impl_->connectionOf(id)) {
        connection->end();
    }
}

void HttpServer::abort(ExchangeId id)
{
    if (const auto connection = impl_->connectionOf(id)) {
        connection->abort();
    }
}

void HttpServer::setLimits(const ServerLimits &limits)
{
    impl_->limits = limits;
    impl_->idleTimeouts.set(limits.idleTimeout, limits.idleTimeoutNotice, IdleTimeouts::Clock::now());
}

void HttpServer::closeConnections()
{
    impl_->closing = true;
    for (Connection *connection : std::vector<Connection *>(impl_->open.begin(), impl_->open.end())) {
        connection->closeIfIdle();
    }
}

void HttpServer::refuseArriving()
{
    impl_->refusesArriving = true;
    for (Connection *connection : std::vector<Connection *>(impl_->open.begin(), impl_->open.end())) {
        connection->hurryReading();
    }
}

std::size_t HttpServer::unfinishedConnections() const
{
    return static_cast<std::size_t>(std::count_if(impl_->open.begin(), impl_->open.end(), [](Connection *connection) { return connection->isUnfinished(); }));
}

void HttpServer::reportUntaken(const std::string &reason)
{
    for (Connection *connection : impl_->open) {
        connection->reportUntaken(reason);
    }
}

void HttpServer::stopAccepting()
{
    impl_->closing = true;
    beast::error_code ignored;
    impl_->acceptor.close(ignored);
}

} // namespace net
