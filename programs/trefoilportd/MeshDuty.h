#pragma once

#include "KernelDuty.h"
#include "mesh/Mesh.h"
#include "settings/DaemonSettings.h"
#include "timeline/HybridClock.h"

#include <thread>

/// Sends the kernel's messages to other instances and passes theirs to the kernel.
class MeshDuty
{
public:
    /// Binds the mesh address; throws std::runtime_error if that fails. Every sent message is stamped by the clock, and the stamps of received ones advance it.
    MeshDuty(const settings::DaemonSettings &settings, DaemonRings &rings, timeline::HybridClock &clock);

    /// Returns the bound address with the actual port.
    const std::string &address() const;

    /// Sends in the calling thread and receives in a second one until stop().
    void run();

    /// Ends run() from any thread.
    void stop();

    /// Returns the bytes of message content sent since the start. Any thread may call this.
    std::uint64_t bytesSent() const;
    /// Returns the bytes of message content received since the start. Any thread may call this.
    std::uint64_t bytesReceived() const;

private:
    /// Decodes a message and queues it for the kernel; a malformed one is dropped.
    void receive(const std::string &bytes);
    void sendQueued();

    DaemonRings &rings_;
    timeline::HybridClock &clock_;
    /// Wakes the sending thread when messages are queued or stop() is called.
    Wakeup sendWakeup_;
    std::atomic<bool> stopped_{false};
    mesh::Mesh mesh_;
};
