#include "mesh/Mesh.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>

namespace {

/// Sends from one mesh to another until something arrives or five seconds have passed.
bool arrives(const mesh::MeshKeys &senderKeys, const mesh::MeshKeys &receiverKeys, std::chrono::milliseconds patience)
{
    std::atomic<bool> arrived{false};
    mesh::Mesh receiver("127.0.0.1:0", receiverKeys, 64, [&](const std::string &bytes) { arrived = bytes == "hello"; });
    mesh::Mesh sender("127.0.0.1:0", senderKeys, 64, [](const std::string &) {});
    std::thread receiving([&]() { receiver.run(); });
    std::thread sending([&]() { sender.run(); });
    const auto end = std::chrono::steady_clock::now() + patience;
    while (!arrived && std::chrono::steady_clock::now() < end) {
        sender.send(receiver.address(), "hello");
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    receiver.stop();
    sender.stop();
    receiving.join();
    sending.join();
    return arrived;
}

} // namespace

TEST_GROUP(TheMesh){};

TEST(TheMesh, carriesMessagesInTheClearWithoutKeys)
{
    CHECK(arrives({}, {}, std::chrono::seconds(20)));
}

TEST(TheMesh, carriesMessagesUnderTheFleetsKeys)
{
    const mesh::MeshKeys keys = mesh::makeKeys();
    CHECK(arrives(keys, keys, std::chrono::seconds(20)));
}

TEST(TheMesh, takesNothingFromAPeerWithoutTheKeys)
{
    CHECK(!arrives({}, mesh::makeKeys(), std::chrono::milliseconds(500)));
    CHECK(!arrives(mesh::makeKeys(), mesh::makeKeys(), std::chrono::milliseconds(500)));
}

/// The pattern: the process is told to stop or to read its settings anew, and the signal is handled in the mesh's thread.
TEST(TheMesh, goesOnAfterASignal)
{
    struct sigaction action {
    };
    struct sigaction before {
    };
    action.sa_handler = [](int) {
    };
    sigaction(SIGUSR1, &action, &before);
    std::atomic<bool> arrived{false};
    mesh::Mesh mesh("127.0.0.1:0", {}, 64, [&](const std::string &) { arrived = true; });
    std::thread running([&]() { mesh.run(); });
    constexpr int Signals = 100;
    for (int i = 0; i < Signals; ++i) {
        pthread_kill(running.native_handle(), SIGUSR1);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!arrived && std::chrono::steady_clock::now() < end) {
        mesh.send(mesh.address(), "hello");
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    mesh.stop();
    running.join();
    sigaction(SIGUSR1, &before, nullptr);
    CHECK(arrived);
}
