#include "mesh/Mesh.h"

#include "base/BoundedRing.h"
#include "base/ListenError.h"
#include "details/ConnectionTable.h"

#include <zmq.hpp>

#include <atomic>
#include <stdexcept>
#include <vector>

namespace mesh {

namespace {

/// Messages that wait to be sent to one peer before further ones are dropped.
constexpr int MaxQueuedMessagesPerPeer = 64;
/// Messages that were received from one peer and wait for run(); ZeroMQ reads no more from the peer meanwhile. Peers send a few a second.
constexpr int MaxReceivedMessagesPerPeer = 16;
/// Messages that are passed to the handler before run() sends what is queued: a peer that never stops must not keep this instance from sending.
constexpr int MaxMessagesPerRound = 256;
/// Limits of the connections to peers. Peers that get regular messages get them within the timeout.
constexpr std::size_t MaxPeerConnections = 512;
constexpr std::chrono::milliseconds IdleTimeout{10000};
/// Idle connections are closed once in this period.
constexpr std::chrono::milliseconds IdleCheckPeriod{1000};
/// Longest wait for messages in run(); bounds the delay of stop() and of a message whose wake-up was lost.
constexpr std::chrono::milliseconds PollTimeout{100};
/// Size of a key in Z85 encoding: 40 characters and the terminating zero.
constexpr std::size_t Z85KeyBytes = 41;
/// ZeroMQ closes the connection of a peer that sends a larger message. The largest is the list of all endpoints, of about 100 bytes each.
constexpr std::int64_t MaxMessageBytes = 2 * 1024 * 1024;

/// Ignores the error of a call that a signal has interrupted, since nothing is lost by going on; rethrows any other error.
void rethrowUnlessInterrupted(const zmq::error_t &error)
{
    if (error.num() != EINTR) {
        throw error;
    }
}

/// A message that waits for the thread of run().
struct Outgoing {
    std::string address;
    std::string bytes;
};

} // namespace

struct Mesh::Impl {
    using Connections = ConnectionTable<zmq::socket_t>;

    Impl(MeshKeys meshKeys, std::size_t ringItems, Handler meshHandler)
        : keys(std::move(meshKeys))
        , handler(std::move(meshHandler))
        , receiver(context, zmq::socket_type::pull)
        , wakeReceiver(context, zmq::socket_type::pull)
        , wakeSender(context, zmq::socket_type::push)
        , outgoing(ringItems)
    {
    }

    /// Sets the options that the receiving socket and the sockets to peers share. Closing a socket discards unsent messages, and the
    /// delay before reconnecting to a peer grows from 50 ms to 1000 ms.
    void setSocketOptions(zmq::socket_t &socket) const
    {
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, MaxQueuedMessagesPerPeer);
        socket.set(zmq::sockopt::rcvhwm, MaxReceivedMessagesPerPeer);
        socket.set(zmq::sockopt::reconnect_ivl, 50);
        socket.set(zmq::sockopt::reconnect_ivl_max, 1000);
        socket.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
    }

    /// Connects a socket to a peer. In an encrypted mesh each connection uses a client key pair of its own.
    zmq::socket_t connect(const std::string &peerAddress)
    {
        zmq::socket_t socket(context, zmq::socket_type::push);
        setSocketOptions(socket);
        if (!keys.publicKey.empty()) {
            const MeshKeys own = makeKeys();
            socket.set(zmq::sockopt::curve_serverkey, keys.publicKey);
            socket.set(zmq::sockopt::curve_publickey, own.publicKey);
            socket.set(zmq::sockopt::curve_secretkey, own.secretKey);
        }
        socket.connect("tcp://" + peerAddress);
        return socket;
    }

    /// Sends a message to a peer. It is lost if there is no room for another connection, or too many messages wait for the peer.
    void sendTo(const std::string &peerAddress, const std::string &bytes, Connections::Time now)
    {
        zmq::socket_t *socket = connections.use(peerAddress, now, [&]() { return connect(peerAddress); });
        if (socket != nullptr && socket->send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
            bytesSent += bytes.size();
        }
    }

    /// Hands all queued messages to ZeroMQ.
    void sendQueued()
    {
        const Connections::Time now = std::chrono::steady_clock::now();
        Outgoing item;
        while (outgoing.pop(item)) {
            try {
                sendTo(item.address, item.bytes, now);
            } catch (const zmq::error_t &) {
                connections.close(item.address); // Interrupted by a signal, or the address can't be parsed or connected to: the message is lost.
            }
        }
        if (now >= idleCheckedAt + IdleCheckPeriod) {
            idleCheckedAt = now;
            connections.closeIdle(now);
        }
    }

    /// Makes run() send what is queued.
    void wake()
    {
        try {
            wakeSender.send(zmq::message_t(), zmq::send_flags::dontwait);
        } catch (const zmq::error_t &error) {
            rethrowUnlessInterrupted(error); // The thread of run() sends the message when its poll times out.
        }
    }

    /// Passes received messages to the handler, all unless there are very many.
    void receiveSome()
    {
        zmq::message_t message;
        for (int i = 0; i < MaxMessagesPerRound && receiver.recv(message, zmq::recv_flags::dontwait); ++i) {
            bytesReceived += message.size();
            handler(message.to_string());
        }
    }

    zmq::context_t context{1};
    MeshKeys keys;
    Handler handler;
    zmq::socket_t receiver;
    /// Receives an empty message for each send(), so that the poll in run() returns.
    zmq::socket_t wakeReceiver;
    zmq::socket_t wakeSender;
    base::BoundedRing<Outgoing> outgoing;
    Connections connections{MaxPeerConnections, IdleTimeout};
    /// When idle connections were last closed.
    Connections::Time idleCheckedAt{};
    std::string address;
    std::atomic<bool> stopped{false};
    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> bytesReceived{0};
};

Mesh::Mesh(const std::string &address, MeshKeys keys, std::size_t ringItems, Handler handler)
    : impl_(std::make_unique<Impl>(std::move(keys), ringItems, std::move(handler)))
{
    impl_->setSocketOptions(impl_->receiver);
    if (!impl_->keys.publicKey.empty()) {
        impl_->receiver.set(zmq::sockopt::curve_server, true);
        impl_->receiver.set(zmq::sockopt::curve_secretkey, impl_->keys.secretKey);
    }
    const bool isFreePortRequested = address.size() > 2 && address.compare(address.size() - 2, 2, ":0") == 0;
    try {
        impl_->receiver.bind("tcp://" + (isFreePortRequested ? address.substr(0, address.size() - 1) + "*" : address));
        impl_->wakeReceiver.bind("inproc://wake");
        impl_->wakeSender.connect("inproc://wake");
    } catch (const zmq::error_t &error) {
        throw base::ListenError(address, error.num());
    }
    impl_->address = impl_->receiver.get(zmq::sockopt::last_endpoint).substr(std::string("tcp://").size());
}

Mesh::~Mesh() = default;

const std::string &Mesh::address() const
{
    return impl_->address;
}

void Mesh::send(const std::string &address, std::string bytes)
{
    impl_->outgoing.push({address, std::move(bytes)});
    impl_->wake();
}

void Mesh::flush()
{
    if (impl_->outgoing.hasOverflow()) {
        impl_->outgoing.flush();
        impl_->wake();
    }
}

void Mesh::run()
{
    std::vector<zmq::pollitem_t> items = {{impl_->receiver.handle(), 0, ZMQ_POLLIN, 0}, {impl_->wakeReceiver.handle(), 0, ZMQ_POLLIN, 0}};
    while (!impl_->stopped) {
        try {
            zmq::poll(items, PollTimeout);
            zmq::message_t wake;
            while (impl_->wakeReceiver.recv(wake, zmq::recv_flags::dontwait)) { }
            impl_->sendQueued();
            impl_->receiveSome();
        } catch (const zmq::error_t &error) {
            rethrowUnlessInterrupted(error);
        }
    }
}

void Mesh::stop()
{
    impl_->stopped = true;
}

std::uint64_t Mesh::bytesSent() const
{
    return impl_->bytesSent;
}

std::uint64_t Mesh::bytesReceived() const
{
    return impl_->bytesReceived;
}

MeshKeys makeKeys()
{
    char publicKey[Z85KeyBytes];
    char secretKey[Z85KeyBytes];
    if (zmq_curve_keypair(publicKey, secretKey) != 0) {
        throw std::runtime_error("the ZeroMQ library has no CURVE support");
    }
    return {publicKey, secretKey};
}

} // namespace mesh
