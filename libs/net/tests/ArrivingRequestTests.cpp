#include "SmallServer.h"

#include <CppUTest/TestHarness.h>

/// A request that is cut while it arrives: its client is told, rather than just closed on.
TEST_GROUP(ARequestThatStillArrives)
{
    SmallServer server;

    /// Waits until the server has begun to read a request.
    void waitUntilReading()
    {
        while (server.unfinishedConnections() == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }
};

/// Guards against requests that end without a word when the process ends: nothing limited their arrival to its time.
TEST(ARequestThatStillArrives, isRefusedAsNotRunWhenTheServerEnds)
{
    for (const char *begun : {"GE",
                              "POST /whole HTTP/1.1\r\nHost: a\r\nContent-Le",
                              "POST /whole HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n",
                              "POST /whole HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc",
                              "POST /whole HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n"}) {
        SmallServer ending;
        RawClient client(ending.address());
        client.send(begun);
        while (ending.unfinishedConnections() == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        ending.refuseArriving();
        const std::string answer = client.receiveAll();
        STRCMP_CONTAINS("HTTP/1.1 503", answer.c_str());
        STRCMP_CONTAINS("Connection: close", answer.c_str());
        LONGS_EQUAL(0, ending.requests());
        client.close();
        CHECK(ending.waitUntilFinished());
    }
}

/// Guards against the same for a request that begins to arrive only then.
TEST(ARequestThatStillArrives, isRefusedAsNotRunAlsoIfItBeginsWhenTheServerEnds)
{
    RawClient client(server.address());
    server.refuseArriving();
    client.send("POST /whole HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
    STRCMP_CONTAINS("HTTP/1.1 503", client.receiveAll().c_str());
}

/// Guards against the other error: requests that are refused although their rest is there.
TEST(ARequestThatStillArrives, isAnsweredIfItsRestComesBeforeTheServerHasEnded)
{
    RawClient client(server.address());
    client.send("POST /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 10\r\n\r\nabcde");
    waitUntilReading();
    server.stallDuring([&]() {
        server.refuseArrivingLater();
        client.send("fghij");
    });
    STRCMP_CONTAINS("whole abcdefghij", client.receiveAll().c_str());
}

/// Guards against limits that change under a request: it keeps those that it began with.
TEST(ARequestThatStillArrives, isAnsweredWhileTheLimitsChange)
{
    net::ServerLimits tight = smallLimits();
    tight.bodyBytes = 1;
    tight.headerBytes = 1;
    tight.idleTimeout = std::chrono::milliseconds(1);
    RawClient client(server.address());
    client.send("POST /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n");
    waitUntilReading();
    for (int i = 0; i < 50; ++i) {
        server.setLimits(i % 2 == 0 ? tight : smallLimits());
        client.send("3\r\nabc\r\n");
    }
    client.send("0\r\n\r\n");
    STRCMP_CONTAINS("whole abcabc", client.receiveAll().c_str());
}

/// Guards against a request that is refused as too slow, since a change has shortened the time of those that arrive.
TEST(ARequestThatStillArrives, keepsTheTimeThatItBeganWith)
{
    net::ServerLimits hasty = smallLimits();
    hasty.requestTimeout = std::chrono::milliseconds(1);
    RawClient client(server.address());
    client.send("POST /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\n");
    waitUntilReading();
    server.setLimits(hasty);
    client.send("Content-Length: 10\r\n\r\nabcde");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    client.send("fghij");
    STRCMP_CONTAINS("whole abcdefghij", client.receiveAll().c_str());
}

/// Guards against a client that waits for leave to send its body until the time limit is over.
TEST(ARequestThatStillArrives, mayWaitForLeaveToSendItsBody)
{
    RawClient client(server.address());
    client.send("POST /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n");
    STRCMP_EQUAL("HTTP/1.1 100 Continue\r\n\r\n", client.receiveUntil("\r\n\r\n").c_str());
    client.send("abcde");
    const std::string answer = client.receiveAll();
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with("whole abcde"));
}

TEST(ARequestThatStillArrives, isRefusedInsteadOfGettingThatLeave)
{
    RawClient client(server.address());
    client.send("POST /whole HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5000\r\n\r\n");
    CHECK(client.receiveAll().starts_with("HTTP/1.1 413"));
    RawClient late(server.address());
    late.send("POST /whole HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n");
    STRCMP_CONTAINS("100 Continue", late.receiveUntil("\r\n\r\n").c_str());
    server.refuseArriving();
    CHECK(late.receiveAll().starts_with("HTTP/1.1 503"));
}

/// Requests behind one after which the connection ends can't be answered; the answer before them must not suffer.
TEST_GROUP(ARequestBehindTheLastOne)
{
    SmallServer server;
    const std::string behind = "POST /whole HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n" + std::string(900, 'x');

    /// Returns what the client gets for a request with many others behind it.
    std::string answerTo(const std::string &request)
    {
        RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
        std::string requests = request;
        for (int i = 0; i < 200; ++i) {
            requests += behind;
        }
        boost::system::error_code ignored;
        client.send(requests, ignored);
        return client.receiveAll();
    }
};

TEST(ARequestBehindTheLastOne, isNotRunAndLeavesItsAnswerWhole)
{
    const std::string answer = answerTo("GET /buffered HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with("\r\n\r\n" + std::string(BufferedBytes, 'x')));
    LONGS_EQUAL(1, server.requests());
}

TEST(ARequestBehindTheLastOne, isNotRunAndLeavesTheRefusalWhole)
{
    for (const char *refused : {"GET /whole HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
                                "no request\r\n\r\n",
                                "POST /whole HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n"}) {
        const std::string answer = answerTo(refused);
        CHECK(answer.starts_with("HTTP/1.1 4"));
        CHECK(answer.ends_with("\r\n\r\nrefused"));
    }
    LONGS_EQUAL(0, server.requests());
}

/// A client that closes only its sending side behind its request. That can't be told from one that has left before something is written to it, and its endpoint
/// must not work on for one that has left; so it counts as having left, and is told in case it still reads.
TEST_GROUP(AClientThatClosesItsSendingSide)
{
    SmallServer server;
    RawClient client{server.address()};
};

/// Guards against a request that was read whole and ends with neither an answer nor a refusal.
TEST(AClientThatClosesItsSendingSide, isToldThatThisCountsAsLeavingWhileItsRequestRuns)
{
    client.send("GET /silent HTTP/1.1\r\nHost: a\r\n\r\n");
    server.waitForRequests(1);
    client.closeSendingSide();
    CHECK(client.receiveAll().starts_with("HTTP/1.1 502"));
    CHECK(server.nextEnd() == net::ExchangeEnd::CallerLeft);
    CHECK(server.waitUntilFinished());
    LONGS_EQUAL(1, server.aborts());
}

/// Guards against the same for a request that isn't started any more.
TEST(AClientThatClosesItsSendingSide, isToldTheSameBeforeItsRequestIsStarted)
{
    server.stallDuring([&]() {
        client.send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\n");
        client.closeSendingSide();
    });
    CHECK(client.receiveAll().starts_with("HTTP/1.1 502"));
    LONGS_EQUAL(0, server.requests());
}

TEST(AClientThatClosesItsSendingSide, seesThatItsStreamIsCut)
{
    client.send("GET /begun-buffered HTTP/1.1\r\nHost: a\r\n\r\n");
    server.waitForRequests(1);
    client.closeSendingSide();
    const std::string answer = client.receiveAll();
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(!answer.ends_with("0\r\n\r\n"));
    CHECK(server.nextEnd() == net::ExchangeEnd::CallerLeft);
}

/// A change of the idle timeout that this server is told of late.
TEST_GROUP(AConnectionWhoseIdleTimeoutChangesLate)
{
    static constexpr std::chrono::milliseconds Short{200};
    static constexpr std::chrono::milliseconds Long{60000};

    static net::ServerLimits limitsWith(std::chrono::milliseconds idleTimeout, std::chrono::milliseconds margin)
    {
        net::ServerLimits limits = smallLimits();
        limits.idleTimeout = idleTimeout;
        limits.idleTimeoutMargin = margin;
        limits.idleTimeoutNotice = margin;
        limits.connections = 2;
        return limits;
    }

    static bool isAnswered(RawClient & client)
    {
        client.send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\n");
        return client.receiveUntil("whole ").find("200") != std::string::npos;
    }
};

/// Guards against a request that meets a reset, since its connection was closed after a timeout that had been replaced by a longer one already.
TEST(AConnectionWhoseIdleTimeoutChangesLate, isKeptUntilTheServerKnows)
{
    SmallServer server(limitsWith(Short, Long));
    RawClient client(server.address());
    CHECK(isAnswered(client));
    std::this_thread::sleep_for(2 * Short);
    for (int change = 0; change < 5; ++change) {
        server.setLimits(limitsWith(change % 2 == 0 ? Long : Short, Long));
        std::this_thread::sleep_for(Short / 4);
        CHECK(isAnswered(client));
    }
}

/// Guards against the other error: connections that wait too long, and leave no room for others.
TEST(AConnectionWhoseIdleTimeoutChangesLate, makesRoomForAnotherWhenItsTimeoutIsOver)
{
    SmallServer server(limitsWith(Short, Long));
    RawClient first(server.address());
    CHECK(isAnswered(first));
    std::this_thread::sleep_for(2 * Short);
    RawClient second(server.address());
    RawClient third(server.address());
    CHECK(isAnswered(second));
    CHECK(isAnswered(third));
    CHECK(first.isClosed());
    CHECK(isAnswered(third));
}
