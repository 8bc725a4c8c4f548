#include "net/HttpClient.h"

#include "details/Asio.h"

#include <atomic>
#include <stdexcept>
#include <thread>

#include <CppUTest/TestHarness.h>

namespace {

/// A server that answers the requests in the order in which they come, all connections together, with the given bytes, one connection after the other. It
/// closes the last connection after the last answer.
class ScriptedServer
{
public:
    explicit ScriptedServer(std::vector<std::string> answers)
        : acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , thread_([this, answers = std::move(answers)]() { serve(answers); })
    {
    }

    ~ScriptedServer()
    {
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
    void serve(const std::vector<std::string> &answers)
    {
        for (auto answer = answers.begin(); answer != answers.end();) {
            auto socket = acceptor_.accept();
            ++connections_;
            std::string received;
            boost::system::error_code error;
            while (answer != answers.end()) {
                const std::size_t size = boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
                if (error) {
                    break;
                }
                received.erase(0, size);
                boost::asio::write(socket, boost::asio::buffer(*answer++), error);
            }
        }
    }

    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<int> connections_{0};
    std::thread thread_;
};

/// Calls with the ids 1, 2, ... that one client makes one after the other.
struct CallsInTurn {
    std::vector<std::string> ids;
    std::vector<std::string> bodies;
    std::vector<net::CallFailure> failures;

    /// Makes calls with the ids 1, 2, ... one after the other, until `count` have ended or one has failed.
    void make(const net::Address &address, int count)
    {
        net::EventLoop loop;
        net::HttpClient client(loop);
        std::function<void(int)> startCall = [&](int number) {
            net::ClientCall call;
            call.address = address;
            call.bodyLimit = 64 * 1024;
            call.totalTimeout = std::chrono::seconds(60);
            call.isStray = [number](const net::Headers &headers) {
                return net::headerIn(headers, "X-Id") != std::to_string(number);
            };
            client.fetch(
                std::move(call),
                [&, number](const net::HttpResponse &answer) {
                    ids.emplace_back(net::headerIn(answer.headers, "X-Id"));
                    bodies.push_back(answer.body);
                    number < count ? startCall(number + 1) : loop.stop();
                },
                [&](net::CallFailure failure) {
                    failures.push_back(failure);
                    loop.stop();
                });
        };
        startCall(1);
        loop.run();
    }
};

/// Makes calls until one fails, and returns how far that one came.
std::string progressOver(std::vector<std::string> answers)
{
    ScriptedServer server(std::move(answers));
    net::EventLoop loop;
    net::HttpClient client(loop);
    std::string text;
    std::function<void()> startCall = [&]() {
        net::ClientCall call{server.address(), {}};
        call.totalTimeout = std::chrono::seconds(60);
        net::ClientHandlers handlers;
        handlers.onHead = [](int, const net::Headers &) {
        };
        handlers.onData = [](const std::string &) {
        };
        handlers.onEnd = startCall;
        handlers.onFailure = [&](net::CallFailure, const net::CallProgress &progress) {
            text = net::toText(progress);
            loop.stop();
        };
        client.start(call, handlers);
    };
    startCall();
    loop.run();
    return text;
}

} // namespace

/// Guards against a driver that is called back before it knows the call, and against calls whose state is never freed.
TEST_GROUP(ACallThatCannotBeSent)
{
    std::vector<net::CallFailure> failures;

    void makeCall(net::ClientCall call)
    {
        net::EventLoop loop;
        net::HttpClient client(loop);
        bool hasStarted = false;
        call.totalTimeout = std::chrono::seconds(60);
        // As in a program, the call is started by a handler within the loop's thread.
        loop.post([&]() {
            client.fetch(
                call,
                [&](const net::HttpResponse &) { loop.stop(); },
                [&](net::CallFailure failure) {
                    CHECK(hasStarted);
                    failures.push_back(failure);
                    loop.stop();
                });
            hasStarted = true;
        });
        loop.run();
    }
};

TEST(ACallThatCannotBeSent, failsOnlyAfterItWasStarted)
{
    for (const char *host : {"300.1.2.3", "host", "", "10.0.0.1\r\nX: 1", "[::1]"}) {
        makeCall({{host, 80}, {}});
        CHECK(failures.back() == net::CallFailure::NotSent);
    }
    LONGS_EQUAL(5, failures.size());
}

TEST(ACallThatCannotBeSent, failsIfTheLibraryRejectsItsMessage)
{
    ScriptedServer server({"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"});
    net::ClientCall trace{server.address(), {"TRACE", "/", {}, "a body"}};
    net::ClientCall longHeader{server.address(), {"GET", "/", {{"X-Long", std::string(100000, 'x')}}, ""}};
    for (const net::ClientCall &call : {trace, longHeader}) {
        makeCall(call);
        CHECK(!failures.empty());
        CHECK(failures.back() == net::CallFailure::NotSent);
    }
    // The server listens, and has seen neither of them.
    LONGS_EQUAL(0, server.connections());
    makeCall({server.address(), {}});
    LONGS_EQUAL(2, failures.size());
    LONGS_EQUAL(1, server.connections());
}

/// Guards against the end of one call's handler taking the rest of the process with it, or leaving the call without an end.
TEST(ACallThatCannotBeSent, endsAsBrokenIfItsHandlerThrows)
{
    ScriptedServer server({"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"});
    net::EventLoop loop;
    net::ClientHandlers handlers;
    handlers.onHead = [](int, const net::Headers &) {
        throw std::length_error("too long");
    };
    handlers.onData = [](const std::string &) {
    };
    handlers.onEnd = [&]() {
        loop.stop();
    };
    handlers.onFailure = [&](net::CallFailure failure, const net::CallProgress &) {
        failures.push_back(failure);
        loop.stop();
    };
    net::ClientCall call{server.address(), {}};
    call.totalTimeout = std::chrono::seconds(60);
    net::HttpClient client(loop);
    client.start(call, handlers);
    loop.run();
    LONGS_EQUAL(1, failures.size());
    CHECK(failures.back() == net::CallFailure::Broken);
}

TEST_GROUP(AnIdleConnection)
{
    CallsInTurn calls;
};

/// Guards against requests on connections that the server is just closing.
TEST(AnIdleConnection, isNotReusedAfterTheTimeThatTheServerStates)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok";
    ScriptedServer server({answer, answer});
    calls.make(server.address(), 2);
    LONGS_EQUAL(2, calls.bodies.size());
    LONGS_EQUAL(2, server.connections());
}

/// Guards against a response that a faulty server sends once more, where the next one is expected, being taken for that one.
TEST_GROUP(AResponseToAnEarlierRequest)
{
    CallsInTurn calls;

    static std::string response(const std::string &id, const std::string &body)
    {
        return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
};

TEST(AResponseToAnEarlierRequest, isSkippedAndEndsTheUseOfItsConnection)
{
    const std::string chunked = "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n";
    ScriptedServer server({response("1", "first"), response("1", "first") + chunked + response("2", "second"), response("3", "third")});
    calls.make(server.address(), 3);
    LONGS_EQUAL(0, calls.failures.size());
    STRCMP_EQUAL("second", calls.bodies.at(1).c_str());
    STRCMP_EQUAL("3", calls.ids.at(2).c_str());
    LONGS_EQUAL(2, server.connections());
}

/// Guards against the other error: a first response with a damaged id is one, and must reach the caller at once.
TEST(AResponseToAnEarlierRequest, cannotBeTheFirstOneOfAConnection)
{
    ScriptedServer server({response("x", "damaged")});
    calls.make(server.address(), 1);
    STRCMP_EQUAL("damaged", calls.bodies.at(0).c_str());
}

TEST(AResponseToAnEarlierRequest, breaksTheCallIfItComesWithoutEnd)
{
    std::string many;
    for (int i = 0; i < 1000; ++i) {
        many += response("1", "old");
    }
    ScriptedServer server({response("1", "first"), many + response("2", "second")});
    calls.make(server.address(), 2);
    LONGS_EQUAL(1, calls.failures.size());
    CHECK(calls.failures.at(0) == net::CallFailure::Broken);
}

TEST(AResponseToAnEarlierRequest, breaksTheCallIfItsBodyIsTooLarge)
{
    ScriptedServer server({response("1", "first"), response("1", std::string(200000, 'x')) + response("2", "second")});
    calls.make(server.address(), 2);
    LONGS_EQUAL(1, calls.failures.size());
    CHECK(calls.failures.at(0) == net::CallFailure::Malformed);
}

TEST(AResponseToAnEarlierRequest, leavesTheCallWithoutAnAnswerIfNoneFollows)
{
    ScriptedServer server({response("1", "first"), response("1", "first")});
    calls.make(server.address(), 2);
    LONGS_EQUAL(1, calls.failures.size());
    CHECK(calls.failures.at(0) == net::CallFailure::Broken);
}

/// Guards against a failed call of which nobody can tell later where its answer broke off, and on what connection.
TEST_GROUP(ACallThatFails){};

TEST(ACallThatFails, saysHowFarItCame)
{
    STRCMP_EQUAL("new connection, nothing received", progressOver({""}).c_str());
    STRCMP_EQUAL("new connection, a part of the header received", progressOver({"HTTP/1.1 200 OK\r\nX-"}).c_str());
    STRCMP_EQUAL("new connection, 3 of 8 bytes of the body received", progressOver({"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabc"}).c_str());
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const std::string cut = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
    STRCMP_EQUAL("kept connection, 3 bytes of the body received", progressOver({whole, cut}).c_str());
}

/// Guards against an interim header (status 100 to 199) that is taken for the whole response: the caller got an error, and the connection was used again while
/// the response was still to come.
TEST_GROUP(AnInterimHeader)
{
    CallsInTurn calls;
};

TEST(AnInterimHeader, isSkipped)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    ScriptedServer server(
        {interim + "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\n"});
    calls.make(server.address(), 2);
    LONGS_EQUAL(0, calls.failures.size());
    STRCMP_EQUAL("whole", calls.bodies.at(0).c_str());
    STRCMP_EQUAL("2", calls.ids.at(1).c_str());
}

TEST(AnInterimHeader, isNoResponseIfNothingFollowsIt)
{
    std::string many;
    for (int i = 0; i < 1000; ++i) {
        many += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    const std::pair<std::string, net::CallFailure> answers[] = {{"HTTP/1.1 100 Continue\r\n\r\n", net::CallFailure::Broken},
                                                                {many, net::CallFailure::Malformed},
                                                                {"HTTP/1.1 101 Switching Protocols\r\n\r\n", net::CallFailure::Malformed}};
    for (const auto &[answer, failure] : answers) {
        ScriptedServer server({answer});
        calls.make(server.address(), 1);
        CHECK(calls.bodies.empty());
        CHECK(calls.failures.back() == failure);
    }
}
