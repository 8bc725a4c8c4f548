#include "SmallServer.h"

#include <CppUTest/TestHarness.h>

/// A request that was read whole, and an answer that was begun, whatever ends their connection.
TEST_GROUP(AConnectionThatTheServerEnds)
{
    static constexpr std::chrono::milliseconds ShortIdleTimeout{200};

    static net::ServerLimits limitsWithShortIdleTimeout()
    {
        net::ServerLimits limits = smallLimits();
        limits.idleTimeout = ShortIdleTimeout;
        return limits;
    }
};

/// Guards against a request that is dropped though it has arrived before its connection is closed: the wait for it was cancelled a turn of the loop earlier.
TEST(AConnectionThatTheServerEnds, answersARequestThatArrivesBetweenTheEndOfItsTimeAndTheClose)
{
    for (int turns = 0; turns < 6; ++turns) {
        SmallServer server(limitsWithShortIdleTimeout());
        RawClient client(server.address());
        client.send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\n");
        client.receiveUntil("whole ");
        CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
        std::promise<void> mayArrive;
        std::promise<void> hasArrived;
        server.stallDuring([&]() {
            std::this_thread::sleep_for(2 * ShortIdleTimeout);
            server.runAfterTurns(turns, [&]() {
                mayArrive.set_value();
                hasArrived.get_future().wait();
            });
        });
        mayArrive.get_future().wait();
        // The server stands still now.
        const bool isClosed = client.isClosed();
        boost::system::error_code error;
        client.send("GET /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", error);
        hasArrived.set_value();
        const std::string answer = client.receiveAll();
        CHECK_TEXT(isClosed || answer.ends_with("whole "), ("after " + std::to_string(turns) + " turns: " + answer).c_str());
    }
}

/// Guards against an answer that is destroyed on its way: its connection is kept, closed as idle when the server stops, and reset by what the client sends
/// next.
TEST(AConnectionThatTheServerEnds, deliversItsAnswerAlthoughItWasKeptAndTheClientSendsMore)
{
    SmallServer server;
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    client.send("GET /buffered HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
    server.closeConnections();
    const std::size_t unfinished = server.unfinishedConnections();
    client.send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(client.receiveAll().size() > BufferedBytes);
    LONGS_EQUAL(1, unfinished);
    client.close();
    CHECK(server.waitUntilFinished());
}
