#include "net/EventFrames.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"

#include "details/Asio.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <future>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <thread>

#include <CppUTest/TestHarness.h>

namespace {

/// Passes items from one thread to another, which waits for them.
template<typename Item>
class WaitingQueue
{
public:
    void push(Item item)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        items_.push_back(std::move(item));
        changed_.notify_all();
    }

    /// Waits for an item; returns none if there is none within 10 s.
    std::optional<Item> pop()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        if (!changed_.wait_for(lock, std::chrono::seconds(10), [&]() { return !items_.empty(); })) {
            return std::nullopt;
        }
        Item item = std::move(items_.front());
        items_.pop_front();
        return item;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Item> items_;
};

/// Size of the response to /large, in bytes; more than the buffers of a socket hold.
constexpr std::size_t LargeBytes = 16 * 1024 * 1024;
/// Size of the response to /buffered, in bytes; the buffers of a socket hold it.
constexpr std::size_t BufferedBytes = 1024 * 1024;

/// The limits of the server in the tests.
net::ServerLimits smallLimits()
{
    net::ServerLimits limits;
    limits.bodyBytes = 1000;
    return limits;
}

/// A server that answers /whole with a complete response, /large with a long one and /stream with three chunks, closes the connection in the middle of the
/// response to /cut, and never answers /silent.
class SmallServer
{
public:
    explicit SmallServer(const net::ServerLimits &limits = smallLimits())
    {
        net::HttpServer::Handlers handlers;
        handlers.onRequest = [this](net::ExchangeId id, const net::HttpRequest &request) {
            answer(id, request);
        };
        handlers.onAbort = [this](net::ExchangeId) {
            ++aborts_;
        };
        handlers.onException = [this](std::string_view text) {
            exceptions_.push(std::string(text));
        };
        handlers.refusal = [](net::RefusalKind kind) {
            const int status = kind == net::RefusalKind::HandlerFailed ? 500 : kind == net::RefusalKind::BodyTooLarge ? 413 : 400;
            return net::HttpResponse{status, {}, "refused"};
        };
        handlers.onEnded = [this](net::ExchangeId, net::ExchangeEnd end) {
            ends_.push(end);
        };
        server_.emplace(loop_, net::Address{"127.0.0.1", 0}, limits, handlers);
        address_ = server_->address();
        thread_ = std::thread([this]() { loop_.run(); });
    }

    ~SmallServer()
    {
        loop_.stop();
        thread_.join();
    }

    net::BlockingResult get(const std::string &target, const std::string &body = {})
    {
        net::ClientCall call;
        call.address = address_;
        call.request.method = body.empty() ? "GET" : "POST";
        call.request.target = target;
        call.request.body = body;
        call.totalTimeout = target == "/silent" ? std::chrono::milliseconds(300) : std::chrono::milliseconds(30000);
        return net::callAndWait(call);
    }

    const net::Address &address() const
    {
        return address_;
    }

    /// Runs a task in the thread of the server's event loop, and waits until that is done.
    void runInLoop(const std::function<void()> &task)
    {
        std::promise<void> done;
        loop_.post([&]() {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }

    /// Calls the server's closeConnections().
    void closeConnections()
    {
        runInLoop([&]() { server_->closeConnections(); });
    }

    /// Calls the server's closeConnections() when the event loop has done what it has to do already.
    void closeConnectionsLater()
    {
        loop_.post([this]() { server_->closeConnections(); });
    }

    void setLimits(const net::ServerLimits &limits)
    {
        runInLoop([&]() { server_->setLimits(limits); });
    }

    std::size_t unfinishedConnections()
    {
        std::size_t count = 0;
        runInLoop([&]() { count = server_->unfinishedConnections(); });
        return count;
    }

    /// Waits until all exchanges are finished. Returns false if that takes longer than 10 s.
    bool waitUntilFinished()
    {
        for (int i = 0; i < 1000 && unfinishedConnections() > 0; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return unfinishedConnections() == 0;
    }

    /// Holds the thread of the event loop up while `task` runs in the calling thread.
    void stallDuring(const std::function<void()> &task)
    {
        // Shared, since the loop's thread may still use them when this function returns.
        const auto stalled = std::make_shared<std::promise<void>>();
        const auto goOn = std::make_shared<std::promise<void>>();
        const std::shared_future<void> mayGoOn = goOn->get_future().share();
        loop_.post([stalled, goOn, mayGoOn]() {
            stalled->set_value();
            mayGoOn.wait();
        });
        stalled->get_future().wait();
        task();
        goOn->set_value();
    }

    /// Holds the thread of the event loop up for that long when it has done what it has to do already.
    void stallLater(std::chrono::milliseconds duration)
    {
        loop_.post([duration]() { std::this_thread::sleep_for(duration); });
    }

    /// Number of requests that were passed to the handler.
    int requests() const
    {
        return requests_;
    }

    /// Number of exchanges that were reported by onAbort.
    int aborts() const
    {
        return aborts_;
    }

    /// Waits for the report of an exception, and returns its text; none if there is none within 10 s.
    std::optional<std::string> nextException()
    {
        return exceptions_.pop();
    }

    /// Waits until an exchange has ended, and returns how; each end is returned once. None if no exchange ends within 10 s.
    std::optional<net::ExchangeEnd> nextEnd()
    {
        return ends_.pop();
    }

private:
    void answer(net::ExchangeId id, const net::HttpRequest &request)
    {
        ++requests_;
        if (request.target == "/silent") {
            return;
        }
        if (request.target == "/whole") {
            server_->respond(id, {200, {}, "whole " + request.body});
            return;
        }
        if (request.target == "/large") {
            server_->respond(id, {200, {}, std::string(LargeBytes, 'x')});
            return;
        }
        if (request.target == "/buffered") {
            server_->respond(id, {200, {}, std::string(BufferedBytes, 'x')});
            return;
        }
        if (request.target == "/throw") {
            throw std::runtime_error("no such seat");
        }
        if (request.target == "/empty") {
            server_->respond(id, {204, {}, "body"});
            return;
        }
        if (request.target == "/end") {
            server_->endStream(id);
            return;
        }
        server_->beginStream(id, 200, {});
        if (request.target == "/twice") {
            server_->writeChunk(id, "begun");
            server_->respond(id, {500, {}, "error text"});
            return;
        }
        for (const char *part : {"a", "b", "c"}) {
            server_->writeChunk(id, part);
        }
        if (request.target == "/cut") {
            server_->abort(id);
        } else {
            server_->endStream(id);
        }
    }

    std::atomic<int> requests_{0};
    std::atomic<int> aborts_{0};
    WaitingQueue<std::string> exceptions_;
    WaitingQueue<net::ExchangeEnd> ends_;
    net::EventLoop loop_;
    std::optional<net::HttpServer> server_;
    net::Address address_;
    std::thread thread_;
};

/// A client that sends and receives arbitrary bytes over one connection, without an HTTP implementation.
class RawClient
{
public:
    static constexpr int SmallReceiveBufferBytes = 16 * 1024;

    /// The size of the receive buffer is left to the operating system if it is 0.
    explicit RawClient(const net::Address &address, int receiveBufferBytes = 0)
        : socket_(io_)
    {
        socket_.open(boost::asio::ip::tcp::v4());
        if (receiveBufferBytes > 0) {
            socket_.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
        }
        socket_.connect({boost::asio::ip::make_address(address.host), address.port});
    }

    void send(const std::string &bytes)
    {
        boost::asio::write(socket_, boost::asio::buffer(bytes));
    }

    /// Returns all bytes received until the connection ends.
    std::string receiveAll()
    {
        std::string received;
        boost::system::error_code error;
        boost::asio::read(socket_, boost::asio::dynamic_buffer(received), error);
        return received;
    }

    void close()
    {
        socket_.close();
    }

    /// Returns that many received bytes, or fewer if the connection ends before.
    std::string receive(std::size_t bytes)
    {
        std::string received;
        boost::system::error_code error;
        boost::asio::read(socket_, boost::asio::dynamic_buffer(received), boost::asio::transfer_exactly(bytes), error);
        return received;
    }

    /// Returns the bytes received until they contain the text; some that follow it may be included.
    std::string receiveUntil(const std::string &text)
    {
        std::string received;
        boost::system::error_code error;
        boost::asio::read_until(socket_, boost::asio::dynamic_buffer(received), text, error);
        return received;
    }

private:
    boost::asio::io_context io_;
    boost::asio::ip::tcp::socket socket_;
};

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
    LONGS_EQUAL(1, server.aborts());
}

/// Guards against an error answer in the middle of a stream that has begun.
TEST(AnExchangeThatGoesWrong, isCutVisiblyInsteadOfGettingASecondHead)
{
    const std::string answer = answerTo("/twice");
    CHECK(answer.find("500") == std::string::npos);
    CHECK(answer.find("0\r\n\r\n") == std::string::npos);
    CHECK(server.nextEnd() == net::ExchangeEnd::Misused);
    LONGS_EQUAL(1, server.aborts());
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

/// Guards against a process that ends while a request is half read.
TEST(AConnectionOfAServerThatStops, isUnfinishedWhileARequestIsRead)
{
    RawClient client(server.address());
    client.send("GET /whole HT");
    CHECK(server.get("/whole").ok);
    server.closeConnections();
    LONGS_EQUAL(1, server.unfinishedConnections());
    client.send("TP/1.1\r\nHost: a\r\n\r\n");
    STRCMP_CONTAINS("Connection: close", client.receiveAll().c_str());
    client.close();
    CHECK(server.waitUntilFinished());
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
    CHECK(result.failure == net::CallFailure::Broken);
}

TEST(AnEndlessAnswer, isBrokenOffInItsBody)
{
    const auto result = fetchFrom("HTTP/1.1 200 OK\r\n\r\n" + std::string(ManyBytes, 'x'));
    CHECK(!result.ok);
    CHECK(result.failure == net::CallFailure::Broken);
}

TEST(AnEndlessAnswer, isBrokenOffIfItIsNoHttp)
{
    const auto result = fetchFrom(std::string(ManyBytes, 'x'));
    CHECK(!result.ok);
    CHECK(result.failure == net::CallFailure::Broken);
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
        CHECK_TEXT(!net::firstEvent("id: " + std::string(id) + "\ndata: x\n\n")->hasId, id);
    }
    CHECK(net::firstEvent("id:18446744073709551614\r\ndata: x\r\n\r\n")->id == 18446744073709551614U);
}

TEST(AnEventFrame, mayLackAnId)
{
    CHECK(!net::firstEvent(": comment\n\n")->hasId);
}
