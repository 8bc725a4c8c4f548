#include "details/AckWatch.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

/// What the operating system says of a connection decides whether its peer is gone, or only doesn't read.
TEST_GROUP(APeerThatIsSentSomething)
{
    static constexpr std::chrono::milliseconds Bound = 4s;
    const net::AckWatch::Time start{100s};
    net::AckWatch watch{Bound};

    static tcp_info infoWith(std::uint32_t unacked, std::uint8_t probes, std::chrono::milliseconds sinceAck)
    {
        tcp_info info{};
        info.tcpi_unacked = unacked;
        info.tcpi_probes = probes;
        info.tcpi_last_ack_recv = static_cast<std::uint32_t>(sinceAck.count());
        return info;
    }

    bool isGoneAt(std::chrono::milliseconds time, const tcp_info &info)
    {
        return watch.isGone(net::ackStateOf(info), start + time);
    }
};

/// Guards against connections to vanished peers that hold their calls.
TEST(APeerThatIsSentSomething, isGoneOnceNothingWasAcknowledgedForTheBound)
{
    CHECK(!isGoneAt(0s, infoWith(3, 0, 20s)));
    CHECK(!isGoneAt(3999ms, infoWith(3, 0, 24s)));
    CHECK(isGoneAt(4s, infoWith(3, 0, 24s)));
}

/// Guards against a sound peer that is taken for gone since nothing was sent to it for long before.
TEST(APeerThatIsSentSomething, isNotGoneBecauseTheConnectionWasIdleBefore)
{
    CHECK(!isGoneAt(0s, infoWith(0, 0, 20s)));
    CHECK(!isGoneAt(1s, infoWith(1, 0, 21s)));
    CHECK(!isGoneAt(2s, infoWith(0, 0, 900ms)));
    CHECK(!isGoneAt(6s, infoWith(1, 0, 4900ms)));
}

/// Guards against a peer that is cut off since it doesn't read: it acknowledges each probe of its closed window.
TEST(APeerThatIsSentSomething, isNotGoneWhileItAcknowledgesProbes)
{
    for (std::chrono::milliseconds time = 0s; time < 60s; time += 500ms) {
        // A probe is on its way at every fourth look, and the one before it was acknowledged.
        const bool isProbed = time.count() % 2000 == 0;
        CHECK(!isGoneAt(time, infoWith(0, isProbed ? 1 : 0, isProbed ? 2s : 500ms)));
    }
}

/// Guards against a peer that vanishes with its window closed, and is held as one that doesn't read.
TEST(APeerThatIsSentSomething, isGoneOnceItsProbesStayUnacknowledged)
{
    CHECK(!isGoneAt(0s, infoWith(0, 0, 100ms)));
    CHECK(!isGoneAt(1s, infoWith(0, 1, 1100ms)));
    CHECK(!isGoneAt(4900ms, infoWith(0, 3, 5s)));
    CHECK(isGoneAt(5s, infoWith(0, 3, 5100ms)));
}

/// Guards against a slow link that is taken for a vanished peer: something always waits, and acknowledgements go on.
TEST(APeerThatIsSentSomething, isNotGoneWhileAnythingIsAcknowledged)
{
    for (std::chrono::milliseconds time = 0s; time < 60s; time += 500ms) {
        CHECK(!isGoneAt(time, infoWith(10, 0, 3900ms)));
    }
}

/// Guards against a watch that never learns anything, and one that takes a failed question for an answer.
TEST(APeerThatIsSentSomething, canBeAskedForInThisSystem)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io, boost::asio::ip::tcp::v4());
    boost::system::error_code error;
    const auto state = net::ackStateOf(socket, error);
    CHECK(state.has_value());
    CHECK(!state->isWaiting);
    socket.close();
    CHECK(!net::ackStateOf(socket, error));
    CHECK(error.failed());
}

/// Guards against a sound peer that is taken for gone after a hold-up of the process: what was on its way at the last look has been acknowledged long since,
/// and more was passed to the operating system just before this one.
TEST(APeerThatIsSentSomething, isNotGoneBecauseTheProcessWasHeldUp)
{
    CHECK(!isGoneAt(0s, infoWith(3, 0, 0s)));
    CHECK(!isGoneAt(500ms, infoWith(3, 0, 10ms)));
    // No look for 4.6 s. The last acknowledgement came 0.1 s after the hold-up began.
    CHECK(!isGoneAt(5100ms, infoWith(3, 0, 4500ms)));
    CHECK(!isGoneAt(5600ms, infoWith(3, 0, 20ms)));
}

/// Guards against the other error: hold-ups between which a peer that is gone isn't found.
TEST(APeerThatIsSentSomething, isGoneAfterAHoldUpIfItGoesOnAcknowledgingNothing)
{
    CHECK(!isGoneAt(0s, infoWith(3, 0, 0s)));
    bool isGone = false;
    for (std::chrono::milliseconds time = 5s; time <= 9s; time += 500ms) {
        isGone = isGoneAt(time, infoWith(3, 0, time));
    }
    CHECK(isGone);
}
