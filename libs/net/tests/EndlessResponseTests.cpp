#include "EndlessServer.h"
#include "SmallServer.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

namespace {

const std::string ChunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t BodyLimit = 64 * 1024;
/// More than one call may hold: the read buffer and a body that is collected.
constexpr std::size_t MostOfOneCall = 2 * BodyLimit;

/// What endpoints may send without end.
const EndlessBytes EndlessResponses[] = {
    {"bytes that are no answer", "", "x"},
    {"a status line", "HTTP/1.1 200 ", "a"},
    {"a header field", "HTTP/1.1 200 OK\r\nX: ", "a"},
    {"header fields", "HTTP/1.1 200 OK\r\n", "X: a\r\n"},
    {"interim headers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"interim headers with fields", "", "HTTP/1.1 103 Early Hints\r\nX: " + std::string(1000, 'a') + "\r\n\r\n"},
    {"a field of an interim header", "HTTP/1.1 103 Early Hints\r\nX: ", "a"},
    {"the size of a chunk", ChunkedHeader, "0"},
    {"a chunk extension", ChunkedHeader + "1;x=", "a"},
    {"chunk extensions", ChunkedHeader + "1", ";x=a"},
    {"chunks of one byte with a large extension", ChunkedHeader, "1;x=" + std::string(1000, 'a') + "\r\na\r\n"},
    {"a trailer field", ChunkedHeader + "0\r\nX: ", "a"},
    {"trailer fields", ChunkedHeader + "1\r\na\r\n0\r\n", "X: a\r\n"},
    {"a body in chunks", ChunkedHeader, "100\r\n" + std::string(256, 'a') + "\r\n"},
    {"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "a"},
    {"a body of a huge length", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "a"},
};

/// Calls of one client that counts what it holds.
struct Client {
    explicit Client(const net::HeldLimits &limits = {})
        : held(loop, limits)
        , client(loop)
    {
    }

    net::ClientCall callTo(const net::Address &address)
    {
        net::ClientCall call;
        call.address = address;
        call.bodyLimit = BodyLimit;
        call.totalTimeout = 60s;
        call.held = &held;
        return call;
    }

    /// Starts a call and collects its response. The loop ends with the last call.
    void fetch(const net::ClientCall &call)
    {
        ++open;
        client.fetch(
            call,
            [this](const net::HttpResponse &response) {
                bodies.push_back(response.body);
                onEnd();
            },
            [this](net::CallFailure failure) {
                failures.push_back(failure);
                onEnd();
            });
    }

    /// Starts a call and drops its response.
    void stream(const net::ClientCall &call)
    {
        ++open;
        net::ClientHandlers handlers;
        handlers.onHead = [](int, const net::Headers &) {
        };
        handlers.onData = [](const std::string &) {
        };
        handlers.onEnd = [this]() {
            onEnd();
        };
        handlers.onFailure = [this](net::CallFailure failure, const net::CallProgress &) {
            failures.push_back(failure);
            onEnd();
        };
        client.start(call, std::move(handlers));
    }

    void onEnd()
    {
        if (--open == 0) {
            loop.stop();
        }
    }

    net::EventLoop loop;
    net::HeldBytes held;
    net::HttpClient client;
    int open = 0;
    std::vector<std::string> bodies;
    std::vector<net::CallFailure> failures;
};

} // namespace

TEST_GROUP(AnEndpointThatSendsWithoutEnd){/// Checks that the call ends by what is sent, not by its time, and holds little until then.
                                          static void checkMalformed(const EndlessBytes &bytes, Pace pace){EndlessServer server(bytes, pace);
Client client;
client.fetch(client.callTo(server.address()));
client.loop.run();
CHECK_TEXT(client.bodies.empty(), bytes.what);
CHECK_TEXT(client.failures.at(0) == net::CallFailure::Malformed, bytes.what);
CHECK_TEXT(client.held.mostBytes(net::PeerKind::Endpoint) < MostOfOneCall, bytes.what);
LONGS_EQUAL_TEXT(0, client.held.bytes(), bytes.what);
CHECK_TEXT(server.hasClientClosed(), bytes.what);
}
}
;

/// Guards against a process that runs out of memory, with the requests of all its callers, since one endpoint sends bytes that are no answer.
TEST(AnEndpointThatSendsWithoutEnd, isBrokenOffAsMalformedAndHoldsLittle)
{
    for (const EndlessBytes &bytes : EndlessResponses) {
        checkMalformed(bytes, Pace::AsFastAsItCan);
    }
}

TEST(AnEndpointThatSendsWithoutEnd, isBrokenOffAsMalformedAndHoldsLittleAlsoByteByByte)
{
    for (const EndlessBytes &bytes : EndlessResponses) {
        checkMalformed(bytes, Pace::ByteByByte);
    }
}

/// Guards against an answer for which a caller waits for ever, as it always goes on.
TEST(AnEndpointThatSendsWithoutEnd, isBrokenOffWhenItsTimeIsOverAlthoughItNeverPauses)
{
    const EndlessBytes body{"a body in chunks", ChunkedHeader, "1000\r\n" + std::string(4096, 'a') + "\r\n"};
    EndlessServer server(body, Pace::AsFastAsItCan, 64 * EndlessTotalBytes);
    Client client;
    net::ClientCall call = client.callTo(server.address());
    call.bodyLimit = 128 * EndlessTotalBytes;
    call.totalTimeout = 200ms;
    client.stream(call);
    client.loop.run();
    CHECK(client.failures.at(0) == net::CallFailure::TimedOut);
    CHECK(client.held.mostBytes(net::PeerKind::Endpoint) < MostOfOneCall);
    CHECK(server.hasClientClosed());
}

TEST(AnEndpointThatSendsWithoutEnd, isBrokenOffWhenItsTimeIsOverAlthoughItSendsAByteNowAndThen)
{
    for (const EndlessBytes &bytes : EndlessResponses) {
        EndlessServer server(bytes, Pace::Trickling);
        Client client;
        net::ClientCall call = client.callTo(server.address());
        call.totalTimeout = 100ms;
        client.fetch(call);
        client.loop.run();
        // These two can be told from an answer early.
        const bool mayBeMalformed = bytes.piece == "x" || bytes.begin.find("Content-Length") != std::string::npos;
        const bool isMalformed = client.failures.at(0) == net::CallFailure::Malformed;
        CHECK_TEXT(client.failures.at(0) == net::CallFailure::TimedOut || (mayBeMalformed && isMalformed), bytes.what);
        CHECK_TEXT(server.hasClientClosed(), bytes.what);
    }
}

/// Guards against calls to sound endpoints that end beside it.
TEST(AnEndpointThatSendsWithoutEnd, leavesCallsToOthersAlone)
{
    SmallServer sound;
    Client client;
    std::deque<EndlessServer> endless;
    for (const EndlessBytes &bytes : EndlessResponses) {
        endless.emplace_back(bytes, Pace::AsFastAsItCan);
        client.fetch(client.callTo(endless.back().address()));
        net::ClientCall call = client.callTo(sound.address());
        call.request.target = "/whole";
        client.fetch(call);
    }
    client.loop.run();
    LONGS_EQUAL(endless.size(), client.bodies.size());
    LONGS_EQUAL(endless.size(), client.failures.size());
}

/// Guards against a broken connection that is taken for a faulty endpoint.
TEST(AnEndpointThatSendsWithoutEnd, isToldFromOneWhoseConnectionBreaks)
{
    SmallServer server;
    Client client;
    net::ClientCall call = client.callTo(server.address());
    call.request.target = "/cut";
    client.fetch(call);
    client.loop.run();
    CHECK(client.failures.at(0) == net::CallFailure::Broken);
}

/// The other error: sound answers that are broken off for their framing.
TEST_GROUP(AResponseInSmallParts){/// Returns the body of an answer.
                                  static std::string bodyOf(const std::string &answer){EndlessServer server({"an answer", answer, "x"}, Pace::AsFastAsItCan, 0);
Client client;
client.fetch(client.callTo(server.address()));
client.loop.run();
return client.bodies.empty() ? "" : client.bodies.front();
}
}
;

TEST(AResponseInSmallParts, mayHaveManyChunksOfOneByteWithSmallExtensions)
{
    std::string chunks;
    for (int i = 0; i < 10000; ++i) {
        chunks += "1;n=v\r\na\r\n";
    }
    LONGS_EQUAL(10000, bodyOf(ChunkedHeader + chunks + "0\r\n\r\n").size());
}

TEST(AResponseInSmallParts, mayHaveASignatureForEachChunkAndATrailer)
{
    const std::string signature = ";chunk-signature=" + std::string(64, 'f');
    std::string chunks;
    for (int i = 0; i < 100; ++i) {
        chunks += "64" + signature + "\r\n" + std::string(100, 'a') + "\r\n";
    }
    const std::string trailer = "X-Checksum: " + std::string(1000, 'c') + "\r\n\r\n";
    LONGS_EQUAL(10000, bodyOf(ChunkedHeader + chunks + "0" + signature + "\r\n" + trailer).size());
}

TEST(AResponseInSmallParts, mayFollowInterimHeaders)
{
    std::string interim;
    for (int i = 0; i < 10; ++i) {
        interim += "HTTP/1.1 103 Early Hints\r\nLink: " + std::string(1000, 'a') + "\r\n\r\n";
    }
    STRCMP_EQUAL("ok", bodyOf(interim + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").c_str());
}

/// Answers that are each within their limit and together more than the process may hold.
TEST_GROUP(EndpointsThatMakeTheProcessHoldTooMuch)
{
    static constexpr std::size_t Bound = 256 * 1024;
    SmallServer server;
    Client client{net::HeldLimits::withEach(Bound)};

    net::ClientCall callFor(const std::string &target)
    {
        net::ClientCall call = client.callTo(server.address());
        call.bodyLimit = 2 * LargeBytes;
        call.request.target = target;
        return call;
    }
};

/// Guards against sound answers that end for a large one.
TEST(EndpointsThatMakeTheProcessHoldTooMuch, endWithTheLargestAnswer)
{
    client.fetch(callFor("/large"));
    client.fetch(callFor("/whole"));
    client.fetch(callFor("/stream"));
    client.loop.run();
    LONGS_EQUAL(2, client.bodies.size());
    LONGS_EQUAL(1, client.failures.size());
    CHECK(client.failures.at(0) == net::CallFailure::TooMuchHeld);
    CHECK(client.held.mostBytes(net::PeerKind::Endpoint) <= Bound);
    LONGS_EQUAL(1, client.held.ended(net::PeerKind::Endpoint));
    LONGS_EQUAL(0, client.held.bytes());
}

/// Guards against a long answer that ends for its length although it is passed on at once.
TEST(EndpointsThatMakeTheProcessHoldTooMuch, mayStreamAsMuchAsTheyLike)
{
    client.stream(callFor("/large"));
    client.loop.run();
    LONGS_EQUAL(0, client.failures.size());
    LONGS_EQUAL(0, client.held.ended(net::PeerKind::Endpoint));
}
