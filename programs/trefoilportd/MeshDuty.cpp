#include "MeshDuty.h"

#include "PlatformDuty.h"
#include "wire/Codec.h"

using namespace trefoilport;

namespace {

/// Longest time that the sending thread sleeps without a notification.
constexpr std::chrono::milliseconds SendPollInterval{50};

} // namespace

MeshDuty::MeshDuty(const settings::DaemonSettings &settings, DaemonRings &rings, timeline::HybridClock &clock)
    : rings_(rings)
    , clock_(clock)
    , mesh_(settings.mesh, {settings.meshPublicKey, settings.meshSecretKey}, static_cast<std::size_t>(settings.ringItems), [this](const std::string &bytes) {
        receive(bytes);
    })
{
    rings_.toMesh.wake = [this]() {
        sendWakeup_.notify();
    };
}

const std::string &MeshDuty::address() const
{
    return mesh_.address();
}

void MeshDuty::receive(const std::string &bytes)
{
    auto decoded = wire::decodePeerEnvelope(bytes);
    if (!base::isOk(decoded)) {
        return;
    }
    PeerMessageArrived event{std::get<wire::PeerEnvelope>(std::move(decoded)), std::nullopt};
    clock_.receive(event.envelope.stamp);
    if (const auto *reply = std::get_if<wire::ConfigReply>(&event.envelope.message)) {
        event.head = parseHead(reply->head);
    }
    rings_.fromMesh.push(std::move(event));
}

void MeshDuty::sendQueued()
{
    Action action;
    while (rings_.toMesh.pop(action)) {
        if (auto *message = std::get_if<SendPeer>(&action)) {
            message->envelope.stamp = clock_.now();
            mesh_.send(message->address, wire::encode(message->envelope));
        }
    }
}

void MeshDuty::run()
{
    std::thread receiveThread([this]() { mesh_.run(); });
    while (!stopped_) {
        sendQueued();
        mesh_.flush();
        sendWakeup_.waitFor(SendPollInterval);
    }
    mesh_.stop();
    receiveThread.join();
}

void MeshDuty::stop()
{
    stopped_ = true;
    sendWakeup_.notify();
}

std::uint64_t MeshDuty::bytesSent() const
{
    return mesh_.bytesSent();
}

std::uint64_t MeshDuty::bytesReceived() const
{
    return mesh_.bytesReceived();
}
