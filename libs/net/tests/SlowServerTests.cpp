#include "net/HttpClient.h"

#include "details/Asio.h"

#include <thread>

#include <CppUTest/TestHarness.h>

/// A large request to a server that lives and doesn't read for a while.
TEST_GROUP(ARequestToAServerThatPauses)
{
    static constexpr std::chrono::milliseconds ShortTimeout{50};
    static constexpr std::chrono::milliseconds Pause{600};
    static constexpr std::size_t BodyBytes = 8 * 1024 * 1024;
    static constexpr int SmallReceiveBufferBytes = 16 * 1024;
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor{io};

    void setup() override
    {
        acceptor.open(boost::asio::ip::tcp::v4());
        acceptor.set_option(boost::asio::socket_base::receive_buffer_size(SmallReceiveBufferBytes));
        acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
        acceptor.listen();
    }

    /// Accepts a connection, reads nothing for a while, then as many requests, and answers each.
    void serveAfterPause()
    {
        boost::asio::ip::tcp::socket socket = acceptor.accept();
        std::this_thread::sleep_for(Pause);
        std::string received;
        boost::system::error_code error;
        const std::size_t headerBytes = boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
        boost::asio::read(socket, boost::asio::dynamic_buffer(received), boost::asio::transfer_exactly(headerBytes + BodyBytes - received.size()), error);
        if (!error) {
            boost::asio::write(socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")), error);
        }
    }

    net::ClientCall call() const
    {
        net::ClientCall call;
        call.address = {"127.0.0.1", acceptor.local_endpoint().port()};
        call.request = {"POST", "/slow", {}, std::string(BodyBytes, 'x')};
        call.totalTimeout = std::chrono::seconds(20);
        call.unacknowledgedTimeout = ShortTimeout;
        return call;
    }
};

/// Guards against a request that is broken off on its way, and so has run or not, since its endpoint is busy.
TEST(ARequestToAServerThatPauses, goesOn)
{
    std::thread server([this]() { serveAfterPause(); });
    const net::BlockingResult result = net::callAndWait(call());
    server.join();
    CHECK(result.ok);
    STRCMP_EQUAL("whole", result.response.body.c_str());
}

/// Guards against the other error: a call that isn't ended any more, by the end of its own time either.
TEST(ARequestToAServerThatPauses, endsWithItsOwnTimeLimit)
{
    net::ClientCall limited = call();
    limited.totalTimeout = Pause / 2;
    std::thread server([this]() { serveAfterPause(); });
    const net::BlockingResult result = net::callAndWait(std::move(limited));
    server.join();
    CHECK(!result.ok);
    CHECK(result.failure == net::CallFailure::TimedOut);
}

/// Guards against a request that reaches its server long after its call has ended: what the operating system holds of it is delivered whenever the server
/// reads.
TEST(ARequestToAServerThatPauses, isNotDeliveredAfterItsCallHasEnded)
{
    constexpr std::size_t SmallBodyBytes = 100 * 1024;
    net::ClientCall limited = call();
    limited.request.body.resize(SmallBodyBytes);
    limited.totalTimeout = Pause / 2;
    std::size_t receivedBytes = 0;
    std::thread server([&]() {
        boost::asio::ip::tcp::socket socket = acceptor.accept();
        std::this_thread::sleep_for(4 * Pause);
        std::string received;
        boost::system::error_code error;
        boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
        receivedBytes = received.size();
    });
    const net::BlockingResult result = net::callAndWait(std::move(limited));
    server.join();
    CHECK(result.failure == net::CallFailure::TimedOut);
    CHECK(receivedBytes < SmallBodyBytes);
}
