#include "SmallServer.h"

#include <CppUTest/TestHarness.h>

namespace {

/// Header fields of a message from which it isn't clear where its body ends.
const std::vector<std::string> UnclearHeads = {
    "Transfer-Encoding: gzip\r\n",
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: deflate\r\n",
    "Transfer-Encoding: \r\n",
    "Transfer-Encoding: chunked, identity\r\n",
    "Transfer-Encoding: chunked, chunked\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: chunkedx\r\n",
    "Transfer-Encoding: chunked;q=1\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    "Content-Length: 5\r\nTransfer-Encoding: identity\r\n",
    "Content-Length: 5\r\nContent-Length: 6\r\n",
    "Content-Length: +5\r\n",
    "Content-Length: -1\r\n",
    "Content-Length: 5, 6\r\n",
    "Content-Length: 99999999999999999999999\r\n",
};

/// A server that sends the same answer to each request, and closes the connection.
class AnsweringServer
{
public:
    explicit AnsweringServer(std::string answer)
        : acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , thread_([this, answer = std::move(answer)]() {
            auto socket = acceptor_.accept();
            std::string received;
            boost::system::error_code error;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
            boost::asio::write(socket, boost::asio::buffer(answer), error);
        })
    {
    }

    ~AnsweringServer()
    {
        thread_.join();
    }

    /// Makes one call, and returns how it ended.
    net::BlockingResult call() const
    {
        net::ClientCall call;
        call.address = {"127.0.0.1", acceptor_.local_endpoint().port()};
        call.totalTimeout = std::chrono::seconds(30);
        return net::callAndWait(call);
    }

private:
    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

} // namespace

/// Guards against a body that runs as a request of its own, since the server and the client disagree on where the request ends.
TEST_GROUP(ARequestWhoseEndIsUnclear)
{
    SmallServer server;

    /// Returns what the client gets for a request with these header fields, behind which a second request stands, before its connection ends.
    std::string answerTo(const std::string &fields, const std::string &version = "1.1")
    {
        const std::string hidden = "GET /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        RawClient client(server.address());
        client.send("POST /whole HTTP/" + version + "\r\nHost: a\r\n" + fields + "\r\n" + hidden);
        return client.receiveAll();
    }
};

TEST(ARequestWhoseEndIsUnclear, isRefusedAndItsConnectionClosed)
{
    for (const std::string &head : UnclearHeads) {
        const std::string answer = answerTo(head);
        CHECK_TEXT(answer.starts_with("HTTP/1.1 4"), head.c_str());
        CHECK_TEXT(answer.find("Connection: close") != std::string::npos, head.c_str());
        CHECK_TEXT(answer.find("HTTP/1.1", 1) == std::string::npos, head.c_str());
    }
    const std::string answer = answerTo("Transfer-Encoding: chunked\r\n", "1.0");
    CHECK(answer.find("400") != std::string::npos);
    LONGS_EQUAL(0, server.requests());
}

/// Guards against the other error: sound requests that are refused.
TEST_GROUP(ARequestInChunks)
{
    SmallServer server;
};

TEST(ARequestInChunks, isAcceptedWhateverTheCaseOfItsCoding)
{
    for (const char *coding : {"chunked", "Chunked", "  CHUNKED  "}) {
        RawClient client(server.address());
        client.send("POST /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: " + std::string(coding) + "\r\n\r\n5\r\nabcde\r\n0\r\n\r\n");
        STRCMP_CONTAINS("whole abcde", client.receiveAll().c_str());
    }
}

/// Guards against fields behind the body that are forwarded as if they stood in the header, where they may set what only the router sets.
TEST(ARequestInChunks, losesTheFieldsBehindItsBody)
{
    RawClient client(server.address());
    client.send("POST /fields HTTP/1.1\r\nHost: a\r\nX-Own: 1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\nX-Late: 2\r\nX-Own: "
                "3\r\n\r\n");
    const std::string answer = client.receiveAll();
    STRCMP_CONTAINS("X-Own=1;", answer.c_str());
    CHECK(answer.find("X-Late") == std::string::npos);
    CHECK(answer.find("X-Own=3") == std::string::npos);
}

/// Guards against bytes that are forwarded as a whole body though they are a part of it, or are coded in a way that the caller isn't told of.
TEST_GROUP(AnAnswerWhoseEndIsUnclear){};

TEST(AnAnswerWhoseEndIsUnclear, isBroken)
{
    for (const std::string &head : UnclearHeads) {
        const net::BlockingResult result = AnsweringServer("HTTP/1.1 200 OK\r\n" + head + "\r\n5\r\nabcde\r\n0\r\n\r\n").call();
        CHECK_TEXT(!result.ok, head.c_str());
        CHECK_TEXT(result.failure == net::CallFailure::Malformed, head.c_str());
    }
    CHECK(!AnsweringServer("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n").call().ok);
}

TEST(AnAnswerWhoseEndIsUnclear, isNoneInChunks)
{
    const net::BlockingResult result = AnsweringServer("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nabcde\r\n0\r\nX-Late: 1\r\n\r\n").call();
    CHECK(result.ok);
    STRCMP_EQUAL("abcde", result.response.body.c_str());
    CHECK(net::headerIn(result.response.headers, "X-Late").empty());
}
