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
    STRCMP_EQUAL("nothing was taken for 50 ms", failure->error.c_str());
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
    STRCMP_EQUAL("nothing was taken for 50 ms", failure->error.c_str());
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

/// Guards against a finished answer that is lost with its process, without a word in the log.
TEST(AnAnswerThatIsNotTaken, isReportedWhenTheProcessEnds)
{
    SmallServer server;
    RawClient idle(server.address());
    idle.send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\n");
    idle.receiveUntil("whole ");
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    client.send("GET /buffered HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
    server.reportUntaken("the process ends");
    const auto failure = server.nextDeliveryFailure();
    CHECK(failure.has_value());
    STRCMP_EQUAL("/buffered", failure->requestId.c_str());
    STRCMP_EQUAL("the process ends", failure->error.c_str());
    CHECK(failure->untakenBytes > 0);
    CHECK(failure->isWritten);
}

/// Guards against clients that take nothing, and hold an exchange and its bytes.
TEST(AnAnswerThatIsNotTaken, freesWhatWasHeldForIt)
{
    for (const auto &[target, end] :
         std::map<std::string, net::ExchangeEnd>{{"/large", net::ExchangeEnd::WriteFailed}, {"/begun-large", net::ExchangeEnd::CallerTooSlow}}) {
        SmallServer server(limitsWithShortUntakenTimeout());
        RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
        client.send("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
        const auto failure = server.nextDeliveryFailure();
        CHECK(failure.has_value());
        CHECK(!failure->isWritten);
        CHECK(server.nextEnd() == end);
        CHECK(server.waitUntilFinished());
        CHECK(server.heldNow() < BufferedBytes);
    }
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

/// Answers to clients that live and read nothing for a while, longer than the server waits for one without a time limit of its own.
TEST_GROUP(AnAnswerToAClientThatPauses)
{
    static constexpr std::chrono::milliseconds ShortUntakenTimeout{50};
    static constexpr std::chrono::milliseconds Pause{600};
    static constexpr std::chrono::milliseconds TimeLimit{20000};

    static net::ServerLimits limits()
    {
        net::ServerLimits limits = smallLimits();
        limits.untakenTimeout = ShortUntakenTimeout;
        return limits;
    }

    SmallServer server{limits()};
    RawClient client{server.address(), RawClient::SmallReceiveBufferBytes};

    void setup() override
    {
        server.setTimeLimit(TimeLimit);
    }

    void begin(const std::string &target)
    {
        client.send("GET " + target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    }
};

/// Guards against a finished answer that is cut since its client reads late.
TEST(AnAnswerToAClientThatPauses, isDeliveredWhole)
{
    begin("/buffered");
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
    std::this_thread::sleep_for(Pause);
    CHECK(client.receiveAll().ends_with("\r\n\r\n" + std::string(BufferedBytes, 'x')));
}

/// Guards against the same for one that doesn't fit the buffers of the connection.
TEST(AnAnswerToAClientThatPauses, isDeliveredWholeWhileItIsStillWritten)
{
    begin("/large");
    client.receiveUntil("\r\n\r\n");
    std::this_thread::sleep_for(Pause);
    CHECK(client.receiveAll().size() > LargeBytes - BufferedBytes);
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
}

/// Guards against the same for a stream whose events go on meanwhile.
TEST(AnAnswerToAClientThatPauses, isDeliveredWholeIfItIsAStream)
{
    begin("/begun-buffered");
    server.waitForRequests(1);
    for (int i = 0; i < 4; ++i) {
        std::this_thread::sleep_for(Pause / 4);
        server.writeToBegun("event");
    }
    server.endBegun();
    const std::string answer = client.receiveAll();
    CHECK(answer.size() > BufferedBytes);
    CHECK(answer.ends_with("5\r\nevent\r\n0\r\n\r\n"));
}

/// Guards against the same if the server stops meanwhile.
TEST(AnAnswerToAClientThatPauses, isDeliveredWholeWhileTheServerStops)
{
    begin("/buffered");
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
    std::this_thread::sleep_for(Pause / 4);
    server.closeConnections();
    server.refuseArriving();
    std::this_thread::sleep_for(Pause);
    LONGS_EQUAL(1, server.unfinishedConnections());
    CHECK(client.receiveAll().ends_with("\r\n\r\n" + std::string(BufferedBytes, 'x')));
    client.close();
    CHECK(server.waitUntilFinished());
}

/// Guards against a time limit of one request that ends the answer to the one before it on the same connection.
TEST(AnAnswerToAClientThatPauses, isDeliveredWholeAlthoughTheNextRequestHasNoTimeLimit)
{
    client.send("GET /buffered HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
    server.setTimeLimit(std::chrono::milliseconds(0));
    begin("/whole");
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
    std::this_thread::sleep_for(Pause);
    const std::string answers = client.receiveAll();
    CHECK(answers.size() > BufferedBytes);
    CHECK(answers.ends_with("whole "));
}

/// Guards against a default that is shorter than the pauses of sound clients.
TEST(AnAnswerToAClientThatPauses, isKeptForHalfAMinuteWithoutATimeLimit)
{
    CHECK(net::ServerLimits{}.untakenTimeout >= std::chrono::seconds(30));
}

/// Guards against an answer that is cut although its client goes on taking a little.
TEST(AnAnswerToAClientThatPauses, isDeliveredWholeIfALittleIsTakenNowAndThen)
{
    constexpr int Steps = 12;
    constexpr std::size_t StepBytes = 8 * 1024;
    net::ServerLimits patient = limits();
    patient.untakenTimeout = Pause;
    SmallServer other(patient);
    RawClient slow(other.address(), RawClient::SmallReceiveBufferBytes);
    slow.send("GET /buffered HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    std::string answer;
    for (int i = 0; i < Steps; ++i) {
        std::this_thread::sleep_for(Pause / 4);
        answer += slow.receive(StepBytes);
    }
    answer += slow.receiveAll();
    CHECK(answer.ends_with("\r\n\r\n" + std::string(BufferedBytes, 'x')));
}

/// Guards against a report that says of an answer which was taken that it wasn't: what fails or is discarded here follows a refusal of a later request.
TEST(AnAnswerThatIsNotTaken, isNotConfusedWithARefusalBehindIt)
{
    SmallServer server;
    RawClient client(server.address());
    client.send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\n");
    client.receive(1);
    client.send("NONSENSE\r\n\r\n");
    client.receiveUntil("refused");
    client.send("more");
    client.close();
    const auto discarded = server.nextDiscarded();
    CHECK(discarded.has_value());
    STRCMP_EQUAL("", discarded->first.c_str());
}
