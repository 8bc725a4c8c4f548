#include "mesh/Mesh.h"

#include "base/BoundedRing.h"

#include <zmq.hpp>

#include <atomic>
#include <map>
#include <stdexcept>
#include <vector>

namespace mesh {

namespace {

/// Messages that wait for one peer before more are dropped.
constexpr int PeerQueue = 64;
/// Open connections to peers; the longest unused goes first.
constexpr std::size_t PeerConnections = 128;
constexpr std::chrono::milliseconds PollTime{100};
constexpr std::size_t KeyBytes = 41;
constexpr std::int64_t MaxMessageBytes = 4 * 1024 * 1024;

/// A signal has interrupted the call; nothing is lost by going on.
void passOverInterruption(const zmq::error_t &error)
{
    if (error.num() != EINTR) {
        throw error;
    }
}

struct Outgoing {
    std::string address;
    std::string bytes;
};

struct Peer {
    zmq::socket_t socket;
    std::uint64_t lastUse = 0;
};

} // namespace

struct Mesh::Impl {
    Impl(MeshKeys meshKeys, std::size_t ringItems, Handler meshHandler)
        : keys(std::move(meshKeys))
        , handler(std::move(meshHandler))
        , inbox(context, zmq::socket_type::pull)
        , wakeReceiver(context, zmq::socket_type::pull)
        , wakeSender(context, zmq::socket_type::push)
        , outgoing(ringItems)
    {
    }

    void setUp(zmq::socket_t &socket) const
    {
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, PeerQueue);
        socket.set(zmq::sockopt::reconnect_ivl, 50);
        socket.set(zmq::sockopt::reconnect_ivl_max, 1000);
        socket.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
    }

    zmq::socket_t &peer(const std::string &address)
    {
        auto found = peers.find(address);
        if (found == peers.end()) {
            if (peers.size() >= PeerConnections) {
                closeOldest();
            }
            zmq::socket_t socket(context, zmq::socket_type::push);
            setUp(socket);
            if (!keys.publicKey.empty()) {
                const MeshKeys own = makeKeys();
                socket.set(zmq::sockopt::curve_serverkey, keys.publicKey);
                socket.set(zmq::sockopt::curve_publickey, own.publicKey);
                socket.set(zmq::sockopt::curve_secretkey, own.secretKey);
            }
            socket.connect("tcp://" + address);
            found = peers.emplace(address, Peer{std::move(socket), 0}).first;
        }
        found->second.lastUse = ++uses;
        return found->second.socket;
    }

    void closeOldest()
    {
        auto oldest = peers.begin();
        for (auto it = peers.begin(); it != peers.end(); ++it) {
            oldest = it->second.lastUse < oldest->second.lastUse ? it : oldest;
        }
        peers.erase(oldest);
    }

    void sendQueued()
    {
        Outgoing item;
        while (outgoing.pop(item)) {
            try {
                const auto sent = peer(item.address).send(zmq::buffer(item.bytes), zmq::send_flags::dontwait);
                bytesSent += sent ? item.bytes.size() : 0;
            } catch (const zmq::error_t &) {
                peers.erase(item.address); // A signal, or an address that can't be parsed or connected; the message counts as lost.
            }
        }
    }

    void receiveAll()
    {
        zmq::message_t message;
        while (inbox.recv(message, zmq::recv_flags::dontwait)) {
            bytesReceived += message.size();
            handler(message.to_string());
        }
    }

    zmq::context_t context{1};
    MeshKeys keys;
    Handler handler;
    zmq::socket_t inbox;
    zmq::socket_t wakeReceiver;
    zmq::socket_t wakeSender;
    base::BoundedRing<Outgoing> outgoing;
    std::map<std::string, Peer> peers;
    std::uint64_t uses = 0;
    std::string address;
    std::atomic<bool> stopped{false};
    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> bytesReceived{0};
};

Mesh::Mesh(const std::string &address, MeshKeys keys, std::size_t ringItems, Handler handler)
    : impl_(std::make_unique<Impl>(std::move(keys), ringItems, std::move(handler)))
{
    impl_->setUp(impl_->inbox);
    if (!impl_->keys.publicKey.empty()) {
        impl_->inbox.set(zmq::sockopt::curve_server, true);
        impl_->inbox.set(zmq::sockopt::curve_secretkey, impl_->keys.secretKey);
    }
    const bool anyPort = address.size() > 2 && address.compare(address.size() - 2, 2, ":0") == 0;
    try {
        impl_->inbox.bind("tcp://" + (anyPort ? address.substr(0, address.size() - 1) + "*" : address));
        impl_->wakeReceiver.bind("inproc://wake");
        impl_->wakeSender.connect("inproc://wake");
    } catch (const zmq::error_t &error) {
        throw std::runtime_error("mesh address " + address + ": " + error.what());
    }
    impl_->address = impl_->inbox.get(zmq::sockopt::last_endpoint).substr(std::string("tcp://").size());
}

Mesh::~Mesh() = default;

const std::string &Mesh::address() const
{
    return impl_->address;
}

void Mesh::send(const std::string &address, std::string bytes)
{
    impl_->outgoing.push({address, std::move(bytes)});
    try {
        impl_->wakeSender.send(zmq::message_t(), zmq::send_flags::dontwait);
    } catch (const zmq::error_t &error) {
        passOverInterruption(error); // The mesh's thread looks by itself at the end of its poll.
    }
}

void Mesh::run()
{
    std::vector<zmq::pollitem_t> items = {{impl_->inbox.handle(), 0, ZMQ_POLLIN, 0}, {impl_->wakeReceiver.handle(), 0, ZMQ_POLLIN, 0}};
    while (!impl_->stopped) {
        try {
            zmq::poll(items, PollTime);
            zmq::message_t wake;
            while (impl_->wakeReceiver.recv(wake, zmq::recv_flags::dontwait)) { }
            impl_->sendQueued();
            impl_->receiveAll();
        } catch (const zmq::error_t &error) {
            passOverInterruption(error);
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
    char publicKey[KeyBytes];
    char secretKey[KeyBytes];
    if (zmq_curve_keypair(publicKey, secretKey) != 0) {
        throw std::runtime_error("the ZeroMQ library has no CURVE support");
    }
    return {publicKey, secretKey};
}

} // namespace mesh
