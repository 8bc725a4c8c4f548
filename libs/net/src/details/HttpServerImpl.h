#pragma once

#include "details/EventLoopImpl.h"
#include "details/IdleTimeouts.h"
#include "net/HttpServer.h"

#include <exception>
#include <unordered_map>
#include <unordered_set>

namespace net {

class Connection;

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
    Impl(EventLoop &loop, const Address &address, ServerLimits serverLimits, Handlers serverHandlers, HeldBytes *heldBytes, PeerKind kindOfPeers);

    /// Accepts connections until the listening socket is closed.
    boost::asio::awaitable<void> acceptLoop();
    /// Closes a connection that has waited for longer than the idle timeout. Returns false if there is none.
    bool closeOverdue();
    /// Closes the connection that has waited the longest for its first request. Returns false if there is none.
    bool closeUnused();
    /// Returns whether a new connection can be served, after another one has made room if that is necessary; reports it if not.
    bool hasRoomFor(boost::asio::ip::tcp::socket &socket);
    /// Reports that a connection was closed since there are too many.
    void reportTurnedAway(TurnedAway reason) const;
    /// Returns the connection of a running exchange; null if the exchange has ended.
    std::shared_ptr<Connection> connectionOf(ExchangeId id) const;
    /// Forgets an exchange and reports how it ended. Does nothing if it has ended before. Exceptions of the handlers are reported here and below: what ends
    /// an exchange has to go on, wherever it was found out.
    void endExchange(ExchangeId id, ExchangeEnd end);
    /// Reports that an exchange has failed.
    void reportAbort(ExchangeId id) const;
    /// Reports that a connection has failed before its client had its whole response.
    void reportDeliveryFailure(const DeliveryFailure &failure) const;
    /// Reports that bytes behind the last request of a connection were discarded.
    void reportDiscarded(const std::string &requestId, std::size_t bytes) const;
    /// Reports an exception that a handler has thrown.
    void reportException(const std::exception &exception) const;

    boost::asio::io_context &io;
    boost::asio::ip::tcp::acceptor acceptor;
    ServerLimits limits;
    IdleTimeouts idleTimeouts;
    Handlers handlers;
    /// Counts what the connections hold; may be null.
    HeldBytes *held;
    PeerKind peerKind;
    /// Connections by the exchange that they are running; a connection runs one at a time.
    std::unordered_map<ExchangeId, std::shared_ptr<Connection>> exchanges;
    ExchangeId nextId = 1;
    /// All connections, with or without a running exchange.
    std::unordered_set<Connection *> open;
    /// Connections are closed after their current or next response.
    bool closing = false;
    /// Requests have to arrive within a moment.
    bool refusesArriving = false;
};

} // namespace net
