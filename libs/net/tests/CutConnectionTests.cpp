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

/// Guards against events that are dropped although the client could have had them before its stream is cut: their write was under way.
TEST(AConnectionThatTheServerEnds, deliversWhatWasQueuedBeforeACutThatMeetsItsWrite)
{
    SmallServer server;
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    client.send("GET /begun-large HTTP/1.1\r\nHost: a\r\n\r\n");
    std::string answer = client.receiveUntil("\r\n\r\n");
    server.abortBegun();
    answer += client.receiveAll();
    CHECK(answer.size() > LargeBytes);
    CHECK(!answer.ends_with("0\r\n\r\n"));
    CHECK(server.nextEnd() == net::ExchangeEnd::Aborted);
}

/// Guards against the same by a reset, since the client has sent more.
TEST(AConnectionThatTheServerEnds, deliversWhatWasWrittenBeforeACutAlthoughTheClientHasSentMore)
{
    SmallServer server;
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    client.send("GET /begun-buffered HTTP/1.1\r\nHost: a\r\n\r\n");
    server.waitForRequests(1);
    client.send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\n");
    // A second exchange: by its end, what the first one has queued is in the buffers of its connection.
    CHECK(server.get("/whole").ok);
    server.abortBegun();
    const std::string answer = client.receiveAll();
    CHECK(answer.size() > BufferedBytes);
    CHECK(!answer.ends_with("0\r\n\r\n"));
}

/// Guards against an exception that ends the event loop, and with it the process.
TEST(AConnectionThatTheServerEnds, endsAloneWhenTheHandlerOfItsEndThrows)
{
    SmallServer server;
    server.throwOnAbort();
    RawClient client(server.address());
    client.send("GET /silent HTTP/1.1\r\nHost: a\r\n\r\n");
    server.waitForRequests(1);
    client.close();
    STRCMP_EQUAL("the seat can't be given back", server.nextException().value_or("").c_str());
    CHECK(server.nextEnd() == net::ExchangeEnd::CallerLeft);
    CHECK(server.get("/whole").ok);
}

/// Guards against a long answer to a slow reader that is cut by what happens to its server meanwhile.
TEST(AConnectionThatTheServerEnds, deliversALongAnswerWhileTheLimitsChangeAndTheServerStops)
{
    net::ServerLimits tight = limitsWithShortIdleTimeout();
    tight.requestTimeout = std::chrono::milliseconds(1);
    tight.queuedResponseBytes = 1;
    SmallServer server;
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    client.send("GET /large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    std::string answer = client.receiveUntil("\r\n\r\n");
    for (int part = 0; part < 8; ++part) {
        server.setLimits(part % 2 == 0 ? tight : smallLimits());
        answer += client.receive(LargeBytes / 16);
    }
    server.closeConnections();
    server.refuseArriving();
    answer += client.receiveAll();
    CHECK(answer.ends_with("\r\n\r\n" + std::string(LargeBytes, 'x')));
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
}

/// A stream whose reader falls behind by more than may be queued is cut, visibly, and its end is reported as that.
TEST(AConnectionThatTheServerEnds, isCutVisiblyWhenTheReaderOfAStreamIsTooSlow)
{
    SmallServer server;
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    client.send("GET /begun-large HTTP/1.1\r\nHost: a\r\n\r\n");
    server.waitForRequests(1);
    for (int i = 0; i < 2; ++i) {
        server.writeToBegun(std::string(2 * BufferedBytes, 'y'));
    }
    CHECK(server.nextEnd() == net::ExchangeEnd::CallerTooSlow);
    const std::string answer = client.receiveAll();
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(!answer.ends_with("0\r\n\r\n"));
}

/// Guards against a stream that is cut, since a change lets fewer bytes wait for a slow reader than when it began.
TEST(AConnectionThatTheServerEnds, keepsTheRoomThatItsStreamBeganWith)
{
    net::ServerLimits tight = smallLimits();
    tight.queuedResponseBytes = 1;
    SmallServer server;
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    client.send("GET /begun-large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    server.waitForRequests(1);
    server.setLimits(tight);
    for (int i = 0; i < 4; ++i) {
        server.writeToBegun(std::string(1000, 'y'));
    }
    server.endBegun();
    CHECK(client.receiveAll().ends_with("0\r\n\r\n"));
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
}
