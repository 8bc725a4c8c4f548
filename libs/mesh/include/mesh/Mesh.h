#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace mesh {

/// The CurveZMQ key pair of the mesh, in Z85 encoding. All instances of a fleet share one pair. If both keys are empty, messages aren't encrypted
/// and peers aren't authenticated.
struct MeshKeys {
    std::string publicKey;
    std::string secretKey;
};

/// Sends and receives messages between instances over ZeroMQ. Messages may be lost or arrive in another order; the protocol above must send
/// again whatever has to arrive.
///
/// Call send() and flush() from one thread only, and run() from one thread, which may be another. The handler is called in the thread of run().
class Mesh
{
public:
    /// Receives the content of one message.
    using Handler = std::function<void(std::string bytes)>;

    /// Binds to `address`, "IP:port", where port 0 means any free port. Throws base::ListenError if that fails. `ringItems` is the number of
    /// messages that the ring between send() and run() holds; further ones wait outside it until a later send() or flush().
    Mesh(const std::string &address, MeshKeys keys, std::size_t ringItems, Handler handler);
    ~Mesh();

    /// Returns the bound address, "IP:port", with the actual port.
    const std::string &address() const;

    /// Queues a message for the instance at `address`, "IP:port". Doesn't block; the message is dropped without notice if it can't be queued for
    /// the peer, for example because the peer is slow or unreachable.
    void send(const std::string &address, std::string bytes);

    /// Hands over messages that found no room in the ring between send() and run(). Call it regularly in the thread of send().
    void flush();

    /// Sends and receives messages until stop() is called.
    void run();

    /// Makes run() return after its current poll, which takes at most 100 ms, and after sending and receiving what is ready. Any thread may call this.
    void stop();

    /// Returns the bytes of message content handed to ZeroMQ. Any thread may call this.
    std::uint64_t bytesSent() const;
    /// Returns the bytes of message content received. Any thread may call this.
    std::uint64_t bytesReceived() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Generates a new CurveZMQ key pair. Throws std::runtime_error if the ZeroMQ library lacks CURVE support.
MeshKeys makeKeys();

} // namespace mesh
