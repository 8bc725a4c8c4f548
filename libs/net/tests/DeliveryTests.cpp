#include "SmallServer.h"

#include <CppUTest/TestHarness.h>

/// Answers that were written, or nearly, and that their clients haven't taken yet.
TEST_GROUP(AnAnswerThatIsNotTaken)
{
    static constexpr std::chrono::milliseconds ShortUntakenTimeout{50};

    static net::ServerLimits limitsWithShortUntakenTimeout()
    {
        net::ServerLimits limits = smallLimits();
        limits.untakenTimeout = ShortUntakenTimeout;
        return limits;
    }
};

/// Guards against a finished answer that its client never gets, without a word in the log.
TEST(AnAnswerThatIsNotTaken, isReportedWhenItsConnectionFails)
{
    SmallServer server(limitsWithShortUntakenTimeout());
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    client.send("GET /buffered HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
    const auto failure = server.nextDeliveryFailure();
    CHECK(failure.has_value());
    STRCMP_EQUAL("/buffered", failure->requestId.c_str());
    STRCMP_EQUAL("Connection timed out", failure->error.c_str());
    CHECK(failure->isWritten);
    const std::size_t taken = client.receiveAll().size();
    CHECK(failure->untakenBytes > 0);
    CHECK(taken < BufferedBytes);
    CHECK(failure->untakenBytes + taken >= BufferedBytes);
}

/// Guards against the same behind an answer that says that its connection ends.
TEST(AnAnswerThatIsNotTaken, isReportedAlsoIfItIsTheLastOne)
{
    SmallServer server(limitsWithShortUntakenTimeout());
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    client.send("GET /buffered HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const auto failure = server.nextDeliveryFailure();
    CHECK(failure.has_value());
    STRCMP_EQUAL("Connection timed out", failure->error.c_str());
    CHECK(failure->isWritten);
    CHECK(server.waitUntilFinished());
}

/// Guards against an answer whose write fails while the log doesn't say why.
TEST(AnAnswerThatIsNotTaken, isReportedWithWhatEndedItsWrite)
{
    SmallServer server;
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    client.send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
    client.receiveUntil("\r\n\r\n");
    client.close();
    const auto failure = server.nextDeliveryFailure();
    CHECK(failure.has_value());
    STRCMP_EQUAL("/large", failure->requestId.c_str());
    CHECK(failure->error == "Connection reset by peer" || failure->error == "Broken pipe");
    CHECK(failure->untakenBytes > BufferedBytes);
    CHECK(!failure->isWritten);
    CHECK(server.nextEnd() == net::ExchangeEnd::WriteFailed);
}

/// Guards against further requests that are dropped without a word: the close behind a last answer discards them.
TEST(AnAnswerThatIsNotTaken, letsTheBytesBehindItBeDiscardedWithAReport)
{
    const std::string behind = "GET /whole HTTP/1.1\r\nHost: a\r\n\r\n";
    SmallServer server;
    RawClient client(server.address());
    client.send("GET /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + behind);
    CHECK(client.receiveAll().ends_with("whole "));
    client.close();
    const auto discarded = server.nextDiscarded();
    CHECK(discarded.has_value());
    STRCMP_EQUAL("/whole", discarded->first.c_str());
    LONGS_EQUAL(behind.size(), discarded->second);
    LONGS_EQUAL(1, server.requests());
}
