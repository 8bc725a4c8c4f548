#include "SmallServer.h"
#include "net/EventFrames.h"

#include <CppUTest/TestHarness.h>

namespace {

/// A server that sends the same bytes as the response to the first request on each connection, ignores further requests, and keeps the
/// connections open.
class FixedServer
{
public:
    /// What the server does with a connection once it has answered.
    enum class Ending {
        KeepOpen,
        Close,
        Reset,
    };

    explicit FixedServer(std::string answer, Ending ending = Ending::KeepOpen)
        : ending_(ending)
        , acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , thread_([this, answer = std::move(answer)]() { serve(answer); })
    {
    }

    ~FixedServer()
    {
        // The server's thread waits in accept(); another connection makes it return.
        stopped_ = true;
        boost::system::error_code ignored;
        boost::asio::ip::tcp::socket last(io_);
        last.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }

    net::Address address() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    int connections() const
    {
        return connections_;
    }

private:
    void serve(const std::string &answer)
    {
        while (!stopped_) {
            auto &socket = sockets_.emplace_back(acceptor_.accept());
            if (stopped_) {
                return;
            }
            ++connections_;
            std::string request;
            boost::system::error_code error;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
            boost::asio::write(socket, boost::asio::buffer(answer), error);
            if (ending_ == Ending::Reset) {
                socket.set_option(boost::asio::socket_base::linger(true, 0), error);
            }
            if (ending_ != Ending::KeepOpen) {
                socket.close(error);
            }
        }
    }

    const Ending ending_;
    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::deque<boost::asio::ip::tcp::socket> sockets_;
    std::atomic<bool> stopped_{false};
    std::atomic<int> connections_{0};
    std::thread thread_;
};

} // namespace

TEST_GROUP(AnHttpExchange)
{
    SmallServer server;
};

TEST(AnHttpExchange, deliversTheWholeResponse)
{
    const auto result = server.get("/whole", "body");
    CHECK(result.ok);
    STRCMP_EQUAL("whole body", result.response.body.c_str());
}

TEST(AnHttpExchange, keepsOnlyEndToEndHeadersWhenForwarded)
{
    const net::Headers headers = {{"Accept", "a"}, {"connection", "X-Hop"}, {"X-Hop", "b"}, {"host", "c"}, {"Authorization", "d"}, {"ETag", "e"}};
    const net::Headers passed = net::endToEndHeaders(headers, {"authorization"});
    LONGS_EQUAL(2, passed.size());
    STRCMP_EQUAL("Accept", passed.at(0).first.c_str());
    STRCMP_EQUAL("ETag", passed.at(1).first.c_str());
}

TEST(AnHttpExchange, dropsAllHeadersThatItsConnectionHeadersName)
{
    const net::Headers headers = {{"Connection", "keep-alive, X-First"}, {"Connection", "X-Second"}, {"X-First", "a"}, {"x-second", "b"}, {"ETag", "c"}};
    const net::Headers passed = net::endToEndHeaders(headers, {});
    LONGS_EQUAL(1, passed.size());
    STRCMP_EQUAL("ETag", passed.at(0).first.c_str());
}

TEST(AnHttpExchange, mayStateWhenItsConnectionIsClosed)
{
    CHECK(net::keepAliveTimeoutIn({{"keep-alive", "timeout=5, max=100"}}) == std::chrono::seconds(5));
    CHECK(net::keepAliveTimeoutIn({{"Keep-Alive", "max=100,timeout=0"}}) == std::chrono::seconds(0));
    for (const char *value : {"", "timeout", "timeout=", "timeout=-1", "timeout=99999999999", "max=3"}) {
        CHECK(!net::keepAliveTimeoutIn({{"Keep-Alive", value}}));
    }
}

TEST(AnHttpExchange, deliversChunksInOrder)
{
    const auto result = server.get("/stream");
    CHECK(result.ok);
    STRCMP_EQUAL("abc", result.response.body.c_str());
}

TEST(AnHttpExchange, failsAsBrokenWhenTheResponseIsCutOff)
{
    const auto result = server.get("/cut");
    CHECK(!result.ok);
    CHECK(result.failure == net::CallFailure::Broken);
}

TEST(AnHttpExchange, timesOutIfTheServerDoesNotAnswer)
{
    const auto result = server.get("/silent");
    CHECK(!result.ok);
    CHECK(result.failure == net::CallFailure::TimedOut);
}

TEST(AnHttpExchange, refusesABodyOverTheLimit)
{
    const auto result = server.get("/whole", std::string(5000, 'x'));
    CHECK(result.ok);
    LONGS_EQUAL(413, result.response.status);
}

TEST(AnHttpExchange, failsAsNotSentIfNoServerListens)
{
    net::ClientCall call;
    call.address = {"127.0.0.1", 1};
    const auto result = net::callAndWait(call);
    CHECK(!result.ok);
    CHECK(result.failure == net::CallFailure::NotSent);
}

/// Guards against work for callers that have left while the process was held up: their requests wait in the sockets together with the end of the connection.
TEST(AnHttpExchange, doesNotStartForAClientThatHasLeftBeforeItWasRead)
{
    server.stallDuring([&]() {
        RawClient client(server.address());
        client.send("GET /whole HTTP/1.1\r\nHost: a\r\n\r\n");
    });
    CHECK(server.get("/whole").ok);
    LONGS_EQUAL(1, server.requests());
}

/// Guards against exchanges that end without an answer and leave no trace of it.
TEST(AnHttpExchange, reportsHowItEnded)
{
    CHECK(server.get("/whole").ok);
    CHECK(server.nextEnd() == net::ExchangeEnd::Answered);
    CHECK(!server.get("/cut").ok);
    CHECK(server.nextEnd() == net::ExchangeEnd::Aborted);
    CHECK(!server.get("/silent").ok);
    CHECK(server.nextEnd() == net::ExchangeEnd::CallerLeft);
}

TEST_GROUP(AKeptConnection){/// Returns the response bodies of two requests that one client makes, one after the other.
                            std::vector<std::string> fetchTwoBodies(const net::Address &address){net::EventLoop loop;
net::HttpClient client(loop);
std::vector<std::string> bodies;
std::function<void()> startRequest = [&]() {
    net::ClientCall call;
    call.address = address;
    client.fetch(
        std::move(call),
        [&](const net::HttpResponse &response) {
            bodies.push_back(response.body);
            bodies.size() < 2 ? startRequest() : loop.stop();
        },
        [&](net::CallFailure) { loop.stop(); });
};
startRequest();
loop.run();
return bodies;
}
}
;

TEST(AKeptConnection, isNotReusedAfterBytesThatBelongToNoRequest)
{
    FixedServer server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale");
    const auto bodies = fetchTwoBodies(server.address());
    LONGS_EQUAL(2, bodies.size());
    STRCMP_EQUAL("ok", bodies[1].c_str());
    LONGS_EQUAL(2, server.connections());
}

/// An answer that states neither a length nor chunks ends with its connection.
TEST_GROUP(AnAnswerWithoutALength){static net::BlockingResult fetchFrom(FixedServer::Ending ending){
    FixedServer server("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n", ending);
net::ClientCall call;
call.address = server.address();
call.totalTimeout = std::chrono::seconds(60);
return net::callAndWait(call);
}
}
;

TEST(AnAnswerWithoutALength, isWholeIfTheServerClosesItsConnection)
{
    const auto result = fetchFrom(FixedServer::Ending::Close);
    CHECK(result.ok);
    STRCMP_EQUAL("id: 1\ndata: x\n\n", result.response.body.c_str());
}

TEST(AnAnswerWithoutALength, isBrokenIfItsConnectionIsReset)
{
    const auto result = fetchFrom(FixedServer::Ending::Reset);
    CHECK(!result.ok);
    CHECK(result.failure == net::CallFailure::Broken);
}

/// A server in trouble sends bytes that are no answer, without end. The client must not keep them, nor wait until its time is up.
TEST_GROUP(AnEndlessAnswer)
{
    static constexpr std::size_t ManyBytes = 8 * 1024 * 1024;

    static net::BlockingResult fetchFrom(const std::string &answer)
    {
        FixedServer server(answer);
        net::ClientCall call;
        call.address = server.address();
        call.request.method = "GET";
        call.request.target = "/";
        call.bodyLimit = 64 * 1024;
        call.totalTimeout = std::chrono::seconds(60);
        return net::callAndWait(call);
    }
};

TEST(AnEndlessAnswer, isBrokenOffInItsHead)
{
    const auto result = fetchFrom("HTTP/1.1 200 OK\r\nX-Endless: " + std::string(ManyBytes, 'x'));
    CHECK(!result.ok);
    CHECK(result.failure == net::CallFailure::Malformed);
}

TEST(AnEndlessAnswer, isBrokenOffInItsBody)
{
    const auto result = fetchFrom("HTTP/1.1 200 OK\r\n\r\n" + std::string(ManyBytes, 'x'));
    CHECK(!result.ok);
    CHECK(result.failure == net::CallFailure::Malformed);
}

TEST(AnEndlessAnswer, isBrokenOffIfItIsNoHttp)
{
    const auto result = fetchFrom(std::string(ManyBytes, 'x'));
    CHECK(!result.ok);
    CHECK(result.failure == net::CallFailure::Malformed);
}

TEST_GROUP(AnEventFrame){};

TEST(AnEventFrame, isReturnedOnlyWhenItIsComplete)
{
    CHECK(!net::firstEvent(""));
    CHECK(!net::firstEvent("id: 1\ndata: x\n"));
    const auto frame = net::firstEvent("id: 12\ndata: x\n\nid: 13\nda");
    CHECK(frame.has_value());
    LONGS_EQUAL(12, frame->id);
    LONGS_EQUAL(16, frame->bytes.size());
}

TEST(AnEventFrame, mayEndItsLinesWithCrLf)
{
    const auto frame = net::firstEvent("id: 4\r\ndata: x\r\n\r\nid: 5");
    CHECK(frame.has_value());
    LONGS_EQUAL(4, frame->id);
    CHECK(frame->bytes.ends_with("\r\n\r\n"));
}

/// Guards against an id that can't be read being taken for another one, after which events are dropped or sent twice.
TEST(AnEventFrame, hasNoIdIfThatIsNoNumberOrTooLarge)
{
    for (const char *id : {"18446744073709551617", "99999999999999999999999", "1x2", "-4", "1 2", ""}) {
        CHECK_TEXT(net::firstEvent("id: " + std::string(id) + "\ndata: x\n\n")->kind == net::FrameKind::Unreadable, id);
    }
    CHECK(net::firstEvent("id:18446744073709551614\r\ndata: x\r\n\r\n")->id == 18446744073709551614U);
}

TEST(AnEventFrame, isNoEventIfItIsAComment)
{
    CHECK(net::firstEvent(": comment\n\n")->kind == net::FrameKind::NoEvent);
}
