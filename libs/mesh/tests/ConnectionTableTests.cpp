#include "details/ConnectionTable.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

/// A table with room for four connections, which counts those that it opens.
TEST_GROUP(TheConnectionTable)
{
    static constexpr std::size_t Room = 4;
    mesh::ConnectionTable<int> table{Room, 10s};
    mesh::ConnectionTable<int>::Time now{};
    int opened = 0;

    /// Uses the connection to a peer; returns false if there is no room for it.
    bool use(std::size_t peer)
    {
        now += 1ms;
        return table.use("10.0.0." + std::to_string(peer) + ":7000", now, [this]() { return ++opened; }) != nullptr;
    }
};

/// The load of a digest that goes round among more peers than there is room for, always in the same order. Closing the least recently used connection
/// would close and open one for every message.
TEST(TheConnectionTable, keepsTheConnectionsInUseUnderACyclicScanOfMorePeers)
{
    constexpr std::size_t Peers = 7;
    constexpr int Rounds = 100;
    std::size_t served = 0;
    for (int round = 0; round < Rounds; ++round) {
        for (std::size_t peer = 0; peer < Peers; ++peer) {
            served += use(peer) ? 1 : 0;
        }
    }
    LONGS_EQUAL(Room, opened);
    LONGS_EQUAL(Room * Rounds, served);
}

TEST(TheConnectionTable, makesRoomForAnotherPeerOnceOneIsIdle)
{
    for (std::size_t peer = 0; peer < Room; ++peer) {
        CHECK(use(peer));
    }
    now += 9s;
    CHECK(use(1));
    CHECK(!use(Room));
    now += 2s;
    CHECK(use(Room));
    LONGS_EQUAL(2, table.size());
}

TEST(TheConnectionTable, closesIdleConnections)
{
    CHECK(use(0));
    table.closeIdle(now + 9s);
    LONGS_EQUAL(1, table.size());
    table.closeIdle(now + 10s);
    LONGS_EQUAL(0, table.size());
}
