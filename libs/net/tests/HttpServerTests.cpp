#include "SmallServer.h"

#include <CppUTest/TestHarness.h>

/// Guards against bytes of one answer that are read as the beginning of the next one.
TEST_GROUP(AnAnswerWithoutABody)
{
    SmallServer server;

    /// Returns what the client gets for a request, before its connection ends.
    std::string answerTo(const std::string &method, const std::string &target)
    {
        RawClient client(server.address());
        client.send(method + " " + target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        return client.receiveAll();
    }
};

TEST(AnAnswerWithoutABody, isThatToHead)
{
    const std::string answer = answerTo("HEAD", "/whole");
    STRCMP_CONTAINS("200 OK", answer.c_str());
    CHECK(answer.ends_with("\r\n\r\n"));
    CHECK(answerTo("HEAD", "/stream").ends_with("\r\n\r\n"));
    CHECK(answerTo("HEAD", "/stream").find("abc") == std::string::npos);
    CHECK(answerTo("HEAD", "/stream").find("1\r\na") == std::string::npos);
}

TEST(AnAnswerWithoutABody, isThatWithItsStatus)
{
    const std::string answer = answerTo("GET", "/empty");
    STRCMP_CONTAINS("204 No Content", answer.c_str());
    CHECK(answer.find("Content-Length") == std::string::npos);
    CHECK(answer.ends_with("\r\n\r\n"));
}

TEST_GROUP(AnExchangeThatGoesWrong)
{
    SmallServer server;

    /// Returns what the client gets for a request, before its connection ends.
    std::string answerTo(const std::string &target)
    {
        RawClient client(server.address());
        client.send("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
        return client.receiveAll();
    }
};

/// Guards against a request that stays unanswered, and state that stays for good, after an exception.
TEST(AnExchangeThatGoesWrong, isAnsweredAndReportedWhenItsHandlerThrows)
{
    STRCMP_CONTAINS("500 Internal Server Error", answerTo("/throw").c_str());
    STRCMP_EQUAL("no such seat", server.nextException().value_or("").c_str());
    CHECK(server.nextEnd() == net::ExchangeEnd::HandlerFailed);
    CHECK(server.waitUntilFinished());
    LONGS_EQUAL(1, server.aborts());
}

/// Guards against an error answer in the middle of a stream that has begun.
TEST(AnExchangeThatGoesWrong, isCutVisiblyInsteadOfGettingASecondHead)
{
    const std::string answer = answerTo("/twice");
    CHECK(answer.find("500") == std::string::npos);
    CHECK(answer.find("0\r\n\r\n") == std::string::npos);
    CHECK(server.nextEnd() == net::ExchangeEnd::Misused);
    CHECK(server.waitUntilFinished());
    LONGS_EQUAL(1, server.aborts());
}

/// Guards against events being dropped that the client could have had before its stream is cut.
TEST(AnExchangeThatGoesWrong, isCutVisiblyAfterThePartsThatWereQueuedBefore)
{
    const std::string answer = answerTo("/cut");
    STRCMP_CONTAINS("1\r\nc\r\n", answer.c_str());
    CHECK(answer.find("0\r\n\r\n") == std::string::npos);
    CHECK(server.nextEnd() == net::ExchangeEnd::Aborted);
}

TEST(AnExchangeThatGoesWrong, isCutVisiblyInsteadOfEndingAnAnswerThatHasNotBegun)
{
    STRCMP_EQUAL("", answerTo("/end").c_str());
    CHECK(server.nextEnd() == net::ExchangeEnd::Misused);
}

/// A process that is held up finds out at nearly the same moment that a request has come and that the time to wait for it is over.
TEST_GROUP(AServerThatIsHeldUpForLongerThanItsIdleTimeout)
{
    static constexpr std::chrono::milliseconds IdleTimeout{300};

    static net::ServerLimits limitsWithShortIdleTimeout()
    {
        net::ServerLimits limits = smallLimits();
        limits.idleTimeout = IdleTimeout;
        return limits;
    }

    SmallServer server{limitsWithShortIdleTimeout()};

    RawClient client{server.address()};

    /// Makes a first request, so that the connection waits for the next one. Then the server is held up twice: it finds the next request after the first time,
    /// and before it can take it, the second time outlasts the idle timeout.
    void sendDuringStall(const std::string &request)
    {
        client.send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\n");
        client.receiveUntil("whole ");
        CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
        server.stallDuring([&]() {
            client.send(request);
            server.stallLater(2 * IdleTimeout);
        });
    }
};

/// Guards against an expired idle timeout that acts on the exchange after it: it ended the watch for the caller's leaving.
TEST(AServerThatIsHeldUpForLongerThanItsIdleTimeout, noticesThatTheCallerLeaves)
{
    sendDuringStall("GET /silent HTTP/1.1\r\nHost: a\r\n\r\n");
    while (server.requests() < 2) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    client.close();
    CHECK(server.nextEnd() == net::ExchangeEnd::CallerLeft);
}

TEST(AServerThatIsHeldUpForLongerThanItsIdleTimeout, writesALongAnswerInFull)
{
    sendDuringStall("GET /large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(client.receiveAll().size() > LargeBytes);
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
}

TEST_GROUP(AConnectionWhoseIdleTimeoutChanges)
{
    static constexpr std::chrono::milliseconds Short{500};
    static constexpr std::chrono::milliseconds Long{60000};

    static net::ServerLimits limitsWith(std::chrono::milliseconds idleTimeout)
    {
        net::ServerLimits limits = smallLimits();
        limits.idleTimeout = idleTimeout;
        return limits;
    }

    /// Makes a request and returns whether it was answered.
    static bool isAnswered(RawClient & client)
    {
        client.send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\n");
        return client.receiveUntil("whole ").find("200") != std::string::npos;
    }
};

/// Guards against a request that is lost since its connection is closed after the timeout of an earlier configuration.
TEST(AConnectionWhoseIdleTimeoutChanges, isKeptForTheLongerTimeoutAtOnce)
{
    SmallServer server(limitsWith(Short));
    RawClient client(server.address());
    CHECK(isAnswered(client));
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
    server.setLimits(limitsWith(Long));
    std::this_thread::sleep_for(2 * Short);
    CHECK(isAnswered(client));
}

/// Guards against a request that is lost since its client doesn't know yet that the timeout is shorter now.
TEST(AConnectionWhoseIdleTimeoutChanges, isKeptForTheEarlierTimeoutUntilTheClientKnowsTheShorterOne)
{
    SmallServer server(limitsWith(Long));
    net::ServerLimits limits = limitsWith(Short);
    limits.idleTimeoutNotice = std::chrono::seconds(60);
    server.setLimits(limits);
    RawClient client(server.address());
    CHECK(isAnswered(client));
    std::this_thread::sleep_for(2 * Short);
    CHECK(isAnswered(client));
}
