#include "SmallServer.h"

#include <CppUTest/TestHarness.h>

/// A kept connection whose client has yet to take the last answer: it is no idle one, and its next request is answered.
TEST_GROUP(AKeptConnectionWithAnAnswerOnItsWay)
{
    static constexpr std::chrono::milliseconds ShortIdleTimeout{100};
    const std::string whole = "GET /whole HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string lastWhole = "GET /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

    static net::ServerLimits limitsWithShortIdleTimeout()
    {
        net::ServerLimits limits = smallLimits();
        limits.idleTimeout = ShortIdleTimeout;
        return limits;
    }

    /// Sends a request, and waits until its answer is in the buffers of the connection. The client takes nothing of it.
    static void beginAnswer(SmallServer & server, RawClient & client)
    {
        client.send("GET /buffered HTTP/1.1\r\nHost: a\r\n\r\n");
        CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
    }
};

/// Guards against a whole request that is discarded: the connection was closed as idle behind the answer that its client hadn't read yet.
TEST(AKeptConnectionWithAnAnswerOnItsWay, answersTheNextRequestAfterTheIdleTimeout)
{
    SmallServer server(limitsWithShortIdleTimeout());
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    beginAnswer(server, client);
    std::this_thread::sleep_for(5 * ShortIdleTimeout);
    client.send(lastWhole);
    const std::string answers = client.receiveAll();
    CHECK(answers.size() > BufferedBytes);
    CHECK(answers.ends_with("whole "));
}

/// Guards against the same if a change lowers the idle timeout while the answer is written.
TEST(AKeptConnectionWithAnAnswerOnItsWay, answersTheNextRequestAfterAnIdleTimeoutThatAChangeHasLowered)
{
    SmallServer server;
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    client.send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
    std::string answers = client.receiveUntil("\r\n\r\n");
    server.setLimits(limitsWithShortIdleTimeout());
    answers += client.receive(LargeBytes - BufferedBytes / 4);
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
    std::this_thread::sleep_for(5 * ShortIdleTimeout);
    client.send(lastWhole);
    answers += client.receiveAll();
    CHECK(answers.size() > LargeBytes);
    CHECK(answers.ends_with("whole "));
}

/// Guards against the same if the server stops.
TEST(AKeptConnectionWithAnAnswerOnItsWay, answersTheNextRequestWhileTheServerStops)
{
    SmallServer server;
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    beginAnswer(server, client);
    server.closeConnections();
    std::this_thread::sleep_for(ShortIdleTimeout);
    client.send(whole);
    const std::string answers = client.receiveAll();
    CHECK(answers.ends_with("whole "));
    STRCMP_CONTAINS("Connection: close", answers.substr(BufferedBytes).c_str());
    client.close();
    CHECK(server.waitUntilFinished());
}

/// Guards against the same if the server begins to stop while the answer is written.
TEST(AKeptConnectionWithAnAnswerOnItsWay, answersTheNextRequestIfTheStopBeginsWhileTheAnswerIsWritten)
{
    SmallServer server;
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    client.send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
    std::string answers = client.receiveUntil("\r\n\r\n");
    server.closeConnections();
    answers += client.receive(LargeBytes - BufferedBytes / 4);
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
    client.send(whole);
    answers += client.receiveAll();
    CHECK(answers.size() > LargeBytes);
    CHECK(answers.ends_with("whole "));
}

/// Guards against the other error: a connection that is never closed, and holds the process, once its client has taken the answer.
TEST(AKeptConnectionWithAnAnswerOnItsWay, isClosedWhenTheServerStopsAndTheAnswerIsTaken)
{
    SmallServer server;
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    beginAnswer(server, client);
    server.closeConnections();
    LONGS_EQUAL(1, server.unfinishedConnections());
    CHECK(client.receiveAll().ends_with("\r\n\r\n" + std::string(BufferedBytes, 'x')));
    CHECK(server.waitUntilFinished());
}

/// Guards against the same for the idle timeout, which begins when the answer is taken.
TEST(AKeptConnectionWithAnAnswerOnItsWay, isClosedAsIdleOnceTheAnswerIsTaken)
{
    SmallServer server(limitsWithShortIdleTimeout());
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    beginAnswer(server, client);
    std::this_thread::sleep_for(3 * ShortIdleTimeout);
    CHECK(client.receiveAll().ends_with("\r\n\r\n" + std::string(BufferedBytes, 'x')));
}

/// Guards against connections of clients that take nothing, and leave no room for others.
TEST(AKeptConnectionWithAnAnswerOnItsWay, makesRoomOnceTheTimeOfItsRequestIsOver)
{
    net::ServerLimits limits = limitsWithShortIdleTimeout();
    limits.connections = 1;
    limits.untakenTimeout = ShortIdleTimeout;
    SmallServer server(limits);
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    beginAnswer(server, client);
    std::this_thread::sleep_for(2 * ShortIdleTimeout);
    CHECK(server.get("/whole").ok);
    CHECK(server.nextDeliveryFailure().has_value());
}

/// Guards against the other error: an answer that is cut within the time of its request, since another client needs room.
TEST(AKeptConnectionWithAnAnswerOnItsWay, makesNoRoomBefore)
{
    net::ServerLimits limits = limitsWithShortIdleTimeout();
    limits.connections = 1;
    limits.untakenTimeout = ShortIdleTimeout;
    SmallServer server(limits);
    server.setTimeLimit(std::chrono::seconds(20));
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    beginAnswer(server, client);
    std::this_thread::sleep_for(5 * ShortIdleTimeout);
    CHECK(!server.get("/whole").ok);
    client.send(lastWhole);
    CHECK(client.receiveAll().ends_with("whole "));
}

/// Guards against clients that take a little now and then of a last answer, and so keep others out for as long as they like, far beyond the time of their
/// requests.
TEST(AKeptConnectionWithAnAnswerOnItsWay, makesRoomOnceTheTimeOfItsRequestIsOverAlsoIfItIsTheLastOneAndALittleIsTaken)
{
    net::ServerLimits limits = limitsWithShortIdleTimeout();
    limits.connections = 1;
    limits.untakenTimeout = std::chrono::milliseconds(600);
    SmallServer server(limits);
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    client.send("GET /buffered HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
    for (int i = 0; i < 20; ++i) {
        std::this_thread::sleep_for(limits.untakenTimeout / 4);
        client.receive(8 * 1024);
    }
    CHECK(server.get("/whole").ok);
}
