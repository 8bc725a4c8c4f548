#include "mesh/Mesh.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>

#include <zmq.hpp>

#include <CppUTest/TestHarness.h>

namespace {

/// Long enough for a message to arrive on a busy machine.
constexpr std::chrono::seconds DeliveryTimeout{20};

/// Runs a mesh in a thread of its own, and stops it at the end.
class RunningMesh
{
public:
    explicit RunningMesh(mesh::Mesh &mesh)
        : mesh_(mesh)
        , thread_([this]() { mesh_.run(); })
    {
    }
    ~RunningMesh()
    {
        mesh_.stop();
        thread_.join();
    }
    RunningMesh(const RunningMesh &) = delete;
    RunningMesh &operator=(const RunningMesh &) = delete;

    pthread_t handle()
    {
        return thread_.native_handle();
    }

private:
    mesh::Mesh &mesh_;
    std::thread thread_;
};

/// Repeats an action until the condition holds or the timeout has passed.
template<typename Condition, typename Action>
void repeatUntil(const Condition &isMet, std::chrono::milliseconds timeout, std::chrono::milliseconds interval, const Action &action)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!isMet() && std::chrono::steady_clock::now() < deadline) {
        action();
        std::this_thread::sleep_for(interval);
    }
}

/// Sends "hello" again and again to an address, until it is received or the timeout has passed.
void greetUntil(const std::atomic<bool> &isReceived, mesh::Mesh &sender, const std::string &address, std::chrono::milliseconds timeout = DeliveryTimeout)
{
    repeatUntil([&]() { return isReceived.load(); }, timeout, std::chrono::milliseconds(10), [&]() { sender.send(address, "hello"); });
}

/// Sends a message repeatedly from one mesh to another; returns true if it is received within the timeout.
bool isDelivered(const mesh::MeshKeys &senderKeys, const mesh::MeshKeys &receiverKeys, std::chrono::milliseconds timeout)
{
    std::atomic<bool> isReceived{false};
    mesh::Mesh receiver("127.0.0.1:0", receiverKeys, 64, [&](const std::string &bytes) { isReceived = bytes == "hello"; });
    mesh::Mesh sender("127.0.0.1:0", senderKeys, 64, [](const std::string &) {});
    const RunningMesh runningReceiver(receiver);
    const RunningMesh runningSender(sender);
    greetUntil(isReceived, sender, receiver.address(), timeout);
    return isReceived;
}

} // namespace

TEST_GROUP(TheMesh){};

TEST(TheMesh, deliversMessagesUnencryptedWithoutKeys)
{
    CHECK(isDelivered({}, {}, DeliveryTimeout));
}

TEST(TheMesh, deliversMessagesEncryptedWithTheSharedKeys)
{
    const mesh::MeshKeys keys = mesh::makeKeys();
    CHECK(isDelivered(keys, keys, DeliveryTimeout));
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
    {
        const RunningMesh runningReceiver(receiver);
        const RunningMesh runningSender(sender);
        repeatUntil([&]() { return received >= Messages; }, DeliveryTimeout, std::chrono::milliseconds(5), [&]() { sender.flush(); });
    }
    LONGS_EQUAL(Messages, received);
}

/// Guards against an instance that sends nothing, and can't stop, while a peer sends it messages without end: each message here is followed by another.
TEST(TheMesh, sendsAndStopsWhileAPeerNeverStops)
{
    constexpr int MessagesUnderWay = 50;
    constexpr int MaxHandledBefore = 2000;
    std::atomic<bool> isReceived{false};
    std::atomic<int> handled{0};
    std::atomic<int> handledBefore{0};
    zmq::context_t context;
    zmq::socket_t peer(context, zmq::socket_type::push);
    peer.set(zmq::sockopt::linger, 0);
    mesh::Mesh other("127.0.0.1:0", {}, 64, [&](const std::string &) { handledBefore = isReceived.exchange(true) ? handledBefore.load() : handled.load(); });
    mesh::Mesh busy("127.0.0.1:0", {}, 64, [&](const std::string &) {
        ++handled;
        while (!peer.send(zmq::str_buffer("again"), zmq::send_flags::dontwait)) { }
        std::this_thread::sleep_for(std::chrono::milliseconds(1)); // It arrives meanwhile.
    });
    peer.connect("tcp://" + busy.address());
    for (int i = 0; i < MessagesUnderWay; ++i) {
        peer.send(zmq::str_buffer("first"), zmq::send_flags::none);
    }
    {
        const RunningMesh runningOther(other);
        const RunningMesh runningBusy(busy);
        greetUntil(isReceived, busy, other.address());
    }
    CHECK(isReceived);
    CHECK_TEXT(handledBefore <= MaxHandledBefore, std::to_string(handledBefore).c_str());
}

/// Guards against a peer that makes this instance hold a message without end: its connection is closed, and a new one is taken.
TEST(TheMesh, takesNoMessageThatIsLargerThanAnyMayBe)
{
    constexpr std::size_t TooManyBytes = 3 * 1024 * 1024;
    std::atomic<std::size_t> largest{0};
    std::atomic<bool> isReceived{false};
    mesh::Mesh receiver("127.0.0.1:0", {}, 64, [&](const std::string &bytes) {
        largest = std::max(largest.load(), bytes.size());
        isReceived = bytes == "hello";
    });
    mesh::Mesh sender("127.0.0.1:0", {}, 64, [](const std::string &) {});
    {
        const RunningMesh runningReceiver(receiver);
        const RunningMesh runningSender(sender);
        sender.send(receiver.address(), std::string(TooManyBytes, 'x'));
        greetUntil(isReceived, sender, receiver.address());
    }
    CHECK(isReceived);
    CHECK(largest < TooManyBytes);
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
    {
        RunningMesh running(mesh);
        constexpr int Signals = 100;
        for (int i = 0; i < Signals; ++i) {
            pthread_kill(running.handle(), SIGUSR1);
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        greetUntil(isReceived, mesh, mesh.address());
    }
    sigaction(SIGUSR1, &previousAction, nullptr);
    CHECK(isReceived);
}
