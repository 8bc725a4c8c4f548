#include "FramedBodies.h"
#include "SmallServer.h"

#include <CppUTest/TestHarness.h>

namespace {

const std::string LastRequest = "GET /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

/// What a reader makes of a message.
struct Reading {
    /// None if it refuses the message.
    std::optional<std::string> body;
    /// What follows the message is read as what it is, or not at all if the message is refused.
    bool isNextSound = false;
};

/// Returns what the server makes of a request behind which another one follows. `/whole` answers with the body.
Reading readByServer(const FramedBody &row)
{
    net::ServerLimits limits = smallLimits();
    // A row without an end must not hold the test up.
    limits.requestTimeout = std::chrono::milliseconds(500);
    SmallServer server(limits);
    RawClient client(server.address());
    boost::system::error_code ignored;
    client.send("POST /whole HTTP/1.1\r\nHost: a\r\n" + row.fields + "\r\n" + row.bytes + LastRequest, ignored);
    const std::string answers = client.receiveAll();
    Reading reading;
    const std::size_t second = answers.find("HTTP/1.1 ", 1);
    if (!answers.starts_with("HTTP/1.1 200")) {
        reading.isNextSound = server.requests() == 0 && second == std::string::npos && answers.starts_with("HTTP/1.1 4");
        return reading;
    }
    const std::string first = answers.substr(0, second);
    reading.body = first.substr(first.find("whole ") + 6);
    reading.isNextSound = server.requests() == 2 && answers.ends_with("\r\n\r\nwhole ");
    return reading;
}

/// Returns what the client makes of an answer behind which another one follows.
Reading readByClient(const FramedBody &row)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    std::atomic<int> connections{0};
    std::thread thread([&]() {
        for (int i = 0; i < 2; ++i) {
            auto socket = acceptor.accept();
            ++connections;
            std::string received;
            boost::system::error_code error;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
            const std::string stale = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";
            const std::string answer = i == 0 ? "HTTP/1.1 200 OK\r\n" + row.fields + "\r\n" + row.bytes + stale
                                              : std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nnext");
            boost::asio::write(socket, boost::asio::buffer(answer), error);
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
        }
    });
    net::EventLoop loop;
    net::HttpClient client(loop);
    Reading reading;
    net::ClientCall first;
    first.address = {"127.0.0.1", acceptor.local_endpoint().port()};
    first.totalTimeout = std::chrono::seconds(20);
    net::ClientCall second = first;
    const auto askAgain = [&]() {
        client.fetch(
            std::move(second),
            [&](const net::HttpResponse &response) {
                reading.isNextSound = response.body == "next";
                loop.stop();
            },
            [&](net::CallFailure) { loop.stop(); });
    };
    client.fetch(
        std::move(first),
        [&](const net::HttpResponse &response) {
            reading.body = response.body;
            askAgain();
        },
        [&](net::CallFailure) { askAgain(); });
    loop.run();
    thread.join();
    return reading;
}

std::string textOf(const FramedBody &row, const Reading &reading)
{
    return row.fields + "|" + row.bytes + " read as " + reading.body.value_or("(refused)") + (reading.isNextSound ? "" : ", and the next one wrongly");
}

} // namespace

/// Guards against a body that is read as a further message, since two readers disagree on where the message ends.
TEST_GROUP(TheEndOfABody){};

TEST(TheEndOfABody, isWhereTheTableSaysForServerAndClient)
{
    for (const FramedBody &row : FramedBodies) {
        const Reading byServer = readByServer(row);
        CHECK_TEXT(byServer.body == row.body && byServer.isNextSound, ("server: " + textOf(row, byServer)).c_str());
        const Reading byClient = readByClient(row);
        CHECK_TEXT(byClient.body == row.body && byClient.isNextSound, ("client: " + textOf(row, byClient)).c_str());
    }
}

TEST(TheEndOfABody, isTheSameForBothWhereARowIsOpen)
{
    for (const FramedBody &row : OpenFramedBodies) {
        const Reading byServer = readByServer(row);
        const Reading byClient = readByClient(row);
        CHECK_TEXT(byServer.isNextSound, ("server: " + textOf(row, byServer)).c_str());
        CHECK_TEXT(byClient.isNextSound, ("client: " + textOf(row, byClient)).c_str());
        CHECK_TEXT(byServer.body == byClient.body, ("server: " + textOf(row, byServer) + "; client: " + textOf(row, byClient)).c_str());
    }
}

/// Guards against a sender that holds a connection as long as it likes, by a byte now and then.
TEST_GROUP(ARequestThatArrivesByteByByte)
{
    static net::ServerLimits limits()
    {
        net::ServerLimits limits = smallLimits();
        limits.requestTimeout = std::chrono::milliseconds(200);
        return limits;
    }

    SmallServer server{limits()};

    /// Sends one byte after the other until the connection ends, but no more than the limits would allow.
    std::string answerTo(const std::string &begin)
    {
        RawClient client(server.address());
        client.send(begin);
        boost::system::error_code error;
        for (int i = 0; i < 900 && !client.hasInput(); ++i) {
            client.send("x", error);
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return client.receiveAll();
    }
};

TEST(ARequestThatArrivesByteByByte, isRefusedWhenItsTimeIsOver)
{
    CHECK(answerTo("GET /whole HTTP/1.1\r\nHost: a\r\nX-Slow: ").starts_with("HTTP/1.1 408"));
    CHECK(answerTo("POST /whole HTTP/1.1\r\nHost: a\r\nContent-Length: 950\r\n\r\n").starts_with("HTTP/1.1 408"));
    LONGS_EQUAL(0, server.requests());
}

/// Guards against a request that ends the process: an assertion of the HTTP library didn't hold for an empty body in chunks that arrives byte by byte.
TEST(TheEndOfABody, isTheSameWhenItArrivesByteByByte)
{
    SmallServer server;
    for (const FramedBody &row : FramedBodies) {
        if (!row.body) {
            continue;
        }
        RawClient client(server.address());
        client.send("POST /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + row.fields + "\r\n");
        boost::system::error_code ignored;
        for (const char byte : row.bytes) {
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
            client.send(std::string(1, byte), ignored);
        }
        const std::string answer = client.receiveAll();
        CHECK_TEXT(answer.ends_with("whole " + *row.body), (row.fields + "|" + row.bytes).c_str());
    }
}
