#include "SmallServer.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(AConnectionOfAServerThatStops)
{
    SmallServer server;
};

TEST(AConnectionOfAServerThatStops, isClosedWhenItIsIdle)
{
    RawClient client(server.address());
    client.send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\n");
    STRCMP_CONTAINS("200", client.receiveUntil("whole ").c_str());
    server.closeConnections();
    STRCMP_EQUAL("", client.receiveAll().c_str());
}

/// Guards against a request that is lost because it arrives while the server closes its idle connections.
TEST(AConnectionOfAServerThatStops, answersARequestThatWasPartlyReadBefore)
{
    RawClient client(server.address());
    client.send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\nGET /wh");
    STRCMP_CONTAINS("200", client.receiveUntil("whole ").c_str());
    // Another exchange gives the server the time to read the first bytes of the second request.
    CHECK(server.get("/whole").ok);
    server.closeConnections();
    client.send("ole HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string answer = client.receiveAll();
    STRCMP_CONTAINS("200", answer.c_str());
    STRCMP_CONTAINS("Connection: close", answer.c_str());
}

/// Guards against a request that is dropped because the connection is closed after the answer to the one before it.
TEST(AConnectionOfAServerThatStops, answersARequestThatHasArrivedDuringTheOneBefore)
{
    RawClient client(server.address());
    server.stallDuring([&]() {
        client.send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\nGET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
        server.closeConnectionsLater();
    });
    const std::string answers = client.receiveAll();
    STRCMP_CONTAINS("whole ", answers.c_str());
    STRCMP_CONTAINS("Connection: close", answers.c_str());
    STRCMP_CONTAINS("1\r\nc\r\n0\r\n\r\n", answers.c_str());
    LONGS_EQUAL(answers.find("Connection: close"), answers.rfind("Connection: close"));
}

/// Guards against a request that has arrived in the socket when its idle connection is closed.
TEST(AConnectionOfAServerThatStops, answersARequestThatHasArrivedWhenItIsClosed)
{
    RawClient client(server.address());
    client.send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\n");
    client.receiveUntil("whole ");
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
    server.stallDuring([&]() {
        client.send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\n");
        server.closeConnectionsLater();
    });
    STRCMP_CONTAINS("whole ", client.receiveAll().c_str());
}

/// Guards against an answer that is destroyed on its way: closing a socket with unread bytes resets the connection.
TEST(AConnectionOfAServerThatStops, deliversItsLastAnswerAlthoughTheClientHasSentMore)
{
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    client.send("GET /buffered HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + std::string(100 * 1024, 'x'));
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
    CHECK(client.receiveAll().size() > BufferedBytes);
}

/// Guards against a process that ends while its last answer is in the buffers of a connection to a slow client.
TEST(AConnectionOfAServerThatStops, isUnfinishedWhileItsLastAnswerIsOnItsWay)
{
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    client.send("GET /buffered HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    LONGS_EQUAL(1, server.unfinishedConnections());
    CHECK(client.receiveAll().size() > BufferedBytes);
    client.close();
    CHECK(server.waitUntilFinished());
}

/// Guards against a process that ends while the last answers are still on their way to slow clients.
TEST(AConnectionOfAServerThatStops, isUnfinishedUntilTheClientHasItsAnswer)
{
    LONGS_EQUAL(0, server.unfinishedConnections());
    RawClient client(server.address());
    client.send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
    std::string answer = client.receiveUntil("\r\n\r\n");
    server.closeConnections();
    LONGS_EQUAL(1, server.unfinishedConnections());
    answer += client.receive(LargeBytes - answer.size());
    CHECK(answer.size() >= LargeBytes);
    CHECK(server.waitUntilFinished());
}

/// Guards against requests that are lost since their clients go on using their connections until the process is gone.
TEST(AConnectionOfAServerThatStops, answersEachRequestThatIsPassedOnWhileClientsGoOnUntilItsEnd)
{
    constexpr int Clients = 16;
    std::optional<SmallServer> ending(smallLimits());
    const net::Address address = ending->address();
    std::atomic<int> answers{0};
    std::deque<RawClient> connections;
    std::vector<std::thread> clients;
    for (int i = 0; i < Clients; ++i) {
        RawClient &client = connections.emplace_back(address);
        clients.emplace_back([&answers, &client]() {
            boost::system::error_code error;
            while (!error) {
                client.send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\n", error);
                const bool isAnswered = client.receiveUntil("whole ").ends_with("whole ");
                answers += isAnswered ? 1 : 0;
                error = isAnswered ? error : boost::asio::error::eof;
            }
            client.close();
        });
    }
    while (answers < 100 * Clients) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    ending->closeConnections();
    ending->stopWhenFinished();
    const int handled = ending->requests();
    ending.reset();
    for (std::thread &client : clients) {
        client.join();
    }
    LONGS_EQUAL(handled, answers);
}

/// Guards against a process that ends between two turns of its event loop: the request has left the socket and isn't taken yet.
TEST(AConnectionOfAServerThatStops, isUnfinishedWhenARequestHasLeftTheSocket)
{
    RawClient client(server.address());
    client.send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\n");
    client.receiveUntil("whole ");
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
    std::promise<std::size_t> unfinished;
    server.stallDuring([&]() {
        client.send("GET /silent HTTP/1.1\r\nHost: a\r\n\r\n");
        server.countUnfinishedTwoTurnsLater(unfinished);
    });
    LONGS_EQUAL(1, unfinished.get_future().get());
}

/// Guards against a process that ends while a request is half read.
TEST(AConnectionOfAServerThatStops, isUnfinishedWhileARequestIsRead)
{
    RawClient client(server.address());
    client.send("GET /whole HT");
    while (server.unfinishedConnections() == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    server.closeConnections();
    LONGS_EQUAL(1, server.unfinishedConnections());
    client.send("TP/1.1\r\nHost: a\r\n\r\n");
    STRCMP_CONTAINS("Connection: close", client.receiveAll().c_str());
    client.close();
    CHECK(server.waitUntilFinished());
}

/// Guards against a connection that waits for ever, and holds the process, if the client sends something while the process is held up at its end.
TEST(AConnectionOfAServerThatStops, isFinishedAlthoughInputArrivesTogetherWithTheEndOfItsTime)
{
    constexpr std::chrono::milliseconds LongerThanItWaits{1300};
    RawClient client(server.address());
    client.send("GET /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    client.receiveAll();
    server.stallDuring([&]() {
        std::this_thread::sleep_for(LongerThanItWaits);
        client.send("x");
    });
    CHECK(server.waitUntilFinished());
}
