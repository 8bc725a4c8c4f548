#include "EndlessPeer.h"
#include "SmallServer.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

namespace {

const std::string ChunkedHeader = "POST /whole HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

/// More than one connection may hold with the limits of the tests: the read buffer, the header and the body.
constexpr std::size_t MostOfOneConnection = 64 * 1024;

/// What callers may send without end.
const EndlessBytes EndlessRequests[] = {
    {"a start line", "GET /", "a", 431},
    {"a header field", "GET / HTTP/1.1\r\nHost: a\r\nX: ", "a", 431},
    {"header fields", "GET / HTTP/1.1\r\nHost: a\r\n", "X: a\r\n", 431},
    {"the size of a chunk", ChunkedHeader, "0", 431},
    {"a chunk extension", ChunkedHeader + "1;x=", "a", 431},
    {"chunk extensions", ChunkedHeader + "1", ";x=a", 431},
    {"chunks of one byte with a large extension", ChunkedHeader, "1;x=" + std::string(1000, 'a') + "\r\na\r\n", 431},
    {"a trailer field", ChunkedHeader + "0\r\nX: ", "a", 431},
    {"trailer fields", ChunkedHeader + "1\r\na\r\n0\r\n", "X: a\r\n", 431},
    {"a body in chunks", ChunkedHeader, "100\r\n" + std::string(256, 'a') + "\r\n", 413},
};

/// Returns what the client is told after it has ended its own side.
std::string answerTo(RawClient &client)
{
    boost::system::error_code ignored;
    client.closeSendingSide(ignored);
    return client.receiveAll();
}

} // namespace

/// A caller may send what it likes before any handler has seen its key; so the server bounds what it keeps of that.
TEST_GROUP(ACallerThatSendsWithoutEnd)
{
    SmallServer server;

    /// Checks that the request was refused and not run, and that little was held for it.
    void checkRefused(const EndlessBytes &bytes, const std::string &answer)
    {
        const std::string statusLine = "HTTP/1.1 " + std::to_string(bytes.status);
        CHECK_TEXT(answer.starts_with(statusLine), bytes.what);
        CHECK_TEXT(answer.find("Connection: close") != std::string::npos, bytes.what);
        LONGS_EQUAL_TEXT(0, server.requests(), bytes.what);
        CHECK_TEXT(server.mostHeld() < MostOfOneConnection, bytes.what);
    }
};

/// Guards against a process that runs out of memory, with the requests of all its callers, since one sends an extension or a trailer without end.
TEST(ACallerThatSendsWithoutEnd, isRefusedAndHoldsLittle)
{
    for (const EndlessBytes &bytes : EndlessRequests) {
        RawClient client(server.address());
        CHECK_TEXT(sendWithoutEnd(client, bytes), bytes.what);
        checkRefused(bytes, answerTo(client));
    }
}

TEST(ACallerThatSendsWithoutEnd, isRefusedAndHoldsLittleAlsoByteByByte)
{
    for (const EndlessBytes &bytes : EndlessRequests) {
        RawClient client(server.address());
        CHECK_TEXT(sendByteByByte(client, bytes), bytes.what);
        checkRefused(bytes, answerTo(client));
    }
}

/// Guards against memory that stays with a connection after its request.
TEST(ACallerThatSendsWithoutEnd, holdsNothingOnceItIsGone)
{
    for (const EndlessBytes &bytes : EndlessRequests) {
        RawClient client(server.address());
        sendWithoutEnd(client, bytes);
        answerTo(client);
    }
    CHECK(server.waitUntilFinished());
    LONGS_EQUAL(0, server.heldNow());
}

/// Guards against idle connections that keep the buffers of their largest request.
TEST(ACallerThatSendsWithoutEnd, isTheOnlyOneThatHoldsSomethingWhileOthersAreIdle)
{
    RawClient idle(server.address());
    idle.send("GET /whole HTTP/1.1\r\nHost: a\r\nX: " + std::string(10000, 'a') + "\r\n\r\n");
    idle.receiveUntil("whole ");
    CHECK(server.mostHeld() > 10000);
    CHECK(server.waitUntilFinished());
    LONGS_EQUAL(0, server.heldNow());
    CHECK(!idle.isClosed());
}

/// Guards against the requests of others that fail beside it.
TEST(ACallerThatSendsWithoutEnd, leavesTheOthersAlone)
{
    std::atomic<bool> isOver{false};
    std::thread sender([&]() {
        while (!isOver) {
            RawClient client(server.address());
            sendWithoutEnd(client, EndlessRequests[7]);
            answerTo(client);
        }
    });
    int answered = 0;
    for (int i = 0; i < 50; ++i) {
        answered += server.get("/whole", "abc").ok ? 1 : 0;
    }
    isOver = true;
    sender.join();
    LONGS_EQUAL(50, answered);
}

/// A request that keeps arriving within all sizes, for longer than its time.
TEST_GROUP(ACallerThatSendsForTooLong){static net::ServerLimits limitsWith(std::chrono::milliseconds requestTimeout){net::ServerLimits limits;
limits.bodyBytes = 1024 * 1024 * 1024;
limits.requestTimeout = requestTimeout;
return limits;
}
}
;

/// Guards against a timeout that is renewed for ever, since there is always something to read.
TEST(ACallerThatSendsForTooLong, isRefusedAlthoughItNeverPauses)
{
    SmallServer server(limitsWith(20ms));
    RawClient client(server.address());
    const EndlessBytes body{"a body in chunks", ChunkedHeader, "1000\r\n" + std::string(4096, 'a') + "\r\n"};
    CHECK(sendWithoutEnd(client, body, 16 * EndlessTotalBytes));
    CHECK(answerTo(client).starts_with("HTTP/1.1 408"));
    LONGS_EQUAL(0, server.requests());
}

TEST(ACallerThatSendsForTooLong, isRefusedAlthoughItSendsAByteNowAndThen)
{
    SmallServer server(limitsWith(50ms));
    for (const std::string &begun : {std::string("GET /"), ChunkedHeader + "1;x=", ChunkedHeader + "1000\r\n", ChunkedHeader + "0\r\nX: "}) {
        RawClient client(server.address());
        client.send(begun);
        for (int i = 0; i < 1000 && !client.hasInput(); ++i) {
            boost::system::error_code ignored;
            client.send("a", ignored);
            std::this_thread::sleep_for(5ms);
        }
        CHECK(answerTo(client).starts_with("HTTP/1.1 408"));
    }
    LONGS_EQUAL(0, server.requests());
}

/// The other error: sound requests that are refused for their framing.
TEST_GROUP(ARequestInSmallParts)
{
    SmallServer server;

    /// Returns what the client gets for a request of that body in chunks.
    std::string answerToChunks(const std::string &chunks)
    {
        RawClient client(server.address());
        client.send("POST /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
        return client.receiveAll();
    }
};

TEST(ARequestInSmallParts, mayHaveChunksOfOneByteWithSmallExtensions)
{
    std::string chunks;
    for (int i = 0; i < 1000; ++i) {
        chunks += "1;n=v\r\na\r\n";
    }
    CHECK(answerToChunks(chunks + "0\r\n\r\n").ends_with("whole " + std::string(1000, 'a')));
}

TEST(ARequestInSmallParts, mayHaveASignatureForEachChunkAndATrailer)
{
    const std::string signature = ";chunk-signature=" + std::string(64, 'f');
    std::string chunks;
    for (int i = 0; i < 10; ++i) {
        chunks += "64" + signature + "\r\n" + std::string(100, 'a') + "\r\n";
    }
    const std::string trailer = "X-Checksum: " + std::string(1000, 'c') + "\r\n\r\n";
    CHECK(answerToChunks(chunks + "0" + signature + "\r\n" + trailer).ends_with("whole " + std::string(1000, 'a')));
}

/// Callers that together make the process hold more than it may, though each keeps its own limits.
TEST_GROUP(CallersThatMakeTheProcessHoldTooMuch)
{
    static constexpr std::size_t Bound = 256 * 1024;

    static net::ServerLimits generousLimits()
    {
        net::ServerLimits limits;
        limits.queuedResponseBytes = 64 * LargeBytes;
        return limits;
    }

    SmallServer server{generousLimits(), net::HeldLimits::withEach(Bound)};

    static std::string headerOf(const std::string &target, std::size_t bodyBytes)
    {
        return "POST " + target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    }
};

/// Guards against bodies that are each within their limit and together more than the process may hold.
TEST(CallersThatMakeTheProcessHoldTooMuch, areRefusedTheLargestFirstWhileTheirRequestsArrive)
{
    RawClient small(server.address());
    small.send(headerOf("/whole", 1001) + std::string(1000, 'a'));
    RawClient large(server.address());
    large.send(headerOf("/whole", Bound + 1000) + std::string(Bound, 'b'));
    CHECK(large.receiveAll().starts_with("HTTP/1.1 503"));
    small.send("a");
    CHECK(small.receiveAll().ends_with("whole " + std::string(1001, 'a')));
    LONGS_EQUAL(1, server.requests());
    CHECK(server.mostHeld() <= Bound);
}

/// Guards against a request that was read whole and ends without a word.
TEST(CallersThatMakeTheProcessHoldTooMuch, areToldAlsoWhileTheirRequestsRun)
{
    RawClient small(server.address());
    small.send(headerOf("/silent", Bound / 4) + std::string(Bound / 4, 'a'));
    RawClient large(server.address());
    large.send(headerOf("/silent", Bound / 2) + std::string(Bound / 2, 'b'));
    server.waitForRequests(2);
    RawClient last(server.address());
    last.send(headerOf("/whole", Bound / 3) + std::string(Bound / 3, 'c'));
    CHECK(large.receiveAll().starts_with("HTTP/1.1 500"));
    CHECK(last.receiveAll().starts_with("HTTP/1.1 200"));
    CHECK(!small.hasInput());
    CHECK(!small.isClosed());
}

TEST(CallersThatMakeTheProcessHoldTooMuch, areCutOffIfTheyDoNotReadTheirAnswers)
{
    RawClient client(server.address(), RawClient::SmallReceiveBufferBytes);
    client.send("GET /begun-large HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(server.nextEnd() == net::ExchangeEnd::TooMuchHeld);
    // The end is reported before the abort, in the server's thread.
    CHECK(server.waitUntilFinished());
    LONGS_EQUAL(1, server.aborts());
    CHECK(server.get("/whole", "abc").ok);
}
