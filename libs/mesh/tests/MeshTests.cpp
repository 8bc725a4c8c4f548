#include "mesh/Mesh.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>

namespace {

/// Sends a message repeatedly from one mesh to another; returns true if it is received within the timeout.
bool isDelivered(const mesh::MeshKeys &senderKeys, const mesh::MeshKeys &receiverKeys, std::chrono::milliseconds timeout)
{
    std::atomic<bool> isReceived{false};
    mesh::Mesh receiver("127.0.0.1:0", receiverKeys, 64, [&](const std::string &bytes) { isReceived = bytes == "hello"; });
    mesh::Mesh sender("127.0.0.1:0", senderKeys, 64, [](const std::string &) {});
    std::thread receiverThread([&]() { receiver.run(); });
    std::thread senderThread([&]() { sender.run(); });
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!isReceived && std::chrono::steady_clock::now() < deadline) {
        sender.send(receiver.address(), "hello");
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    receiver.stop();
    sender.stop();
    receiverThread.join();
    senderThread.join();
    return isReceived;
}

} // namespace

TEST_GROUP(TheMesh){};

TEST(TheMesh, deliversMessagesUnencryptedWithoutKeys)
{
    CHECK(isDelivered({}, {}, std::chrono::seconds(20)));
}

TEST(TheMesh, deliversMessagesEncryptedWithTheSharedKeys)
{
    const mesh::MeshKeys keys = mesh::makeKeys();
    CHECK(isDelivered(keys, keys, std::chrono::seconds(20)));
}

/// More messages than the ring holds are sent at once, as by an aggregator to the instances of its zone, and none afterwards.
TEST(TheMesh, deliversABurstThatIsLargerThanItsRing)
{
    constexpr int Messages = 40;
    std::atomic<int> received{0};
    mesh::Mesh receiver("127.0.0.1:0", {}, 64, [&](const std::string &) { ++received; });
    mesh::Mesh sender("127.0.0.1:0", {}, 4, [](const std::string &) {});
    for (int i = 0; i < Messages; ++i) {
        sender.send(receiver.address(), "hello");
    }
    std::thread receiverThread([&]() { receiver.run(); });
    std::thread senderThread([&]() { sender.run(); });
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (received < Messages && std::chrono::steady_clock::now() < deadline) {
        sender.flush();
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    receiver.stop();
    sender.stop();
    receiverThread.join();
    senderThread.join();
    LONGS_EQUAL(Messages, received);
}

TEST(TheMesh, rejectsMessagesFromAPeerWithoutTheKeys)
{
    CHECK(!isDelivered({}, mesh::makeKeys(), std::chrono::milliseconds(500)));
    CHECK(!isDelivered(mesh::makeKeys(), mesh::makeKeys(), std::chrono::milliseconds(500)));
}

/// Guards against a run() that ends with an exception when a signal interrupts its poll. This happens if a signal to the process, for example to
/// stop or to reload the settings, is handled in the thread of run().
TEST(TheMesh, keepsRunningAfterASignal)
{
    struct sigaction action {
    };
    struct sigaction previousAction {
    };
    action.sa_handler = [](int) {
    };
    sigaction(SIGUSR1, &action, &previousAction);
    std::atomic<bool> isReceived{false};
    mesh::Mesh mesh("127.0.0.1:0", {}, 64, [&](const std::string &) { isReceived = true; });
    std::thread meshThread([&]() { mesh.run(); });
    constexpr int Signals = 100;
    for (int i = 0; i < Signals; ++i) {
        pthread_kill(meshThread.native_handle(), SIGUSR1);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!isReceived && std::chrono::steady_clock::now() < deadline) {
        mesh.send(mesh.address(), "hello");
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    mesh.stop();
    meshThread.join();
    sigaction(SIGUSR1, &previousAction, nullptr);
    CHECK(isReceived);
}
