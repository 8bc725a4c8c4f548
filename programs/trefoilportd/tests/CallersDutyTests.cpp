#include "CallersDuty.h"

#include "net/HttpClient.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <thread>

#include <sys/socket.h>
#include <sys/time.h>

#include <CppUTest/TestHarness.h>

using namespace trefoilport;
using boost::asio::ip::tcp;

/// Guards against answers that are lost because the process ends before they are written.
TEST_GROUP(TheCallersOfADaemonThatEnds)
{
    /// More than the buffers of a connection hold.
    static constexpr std::size_t LongAnswerBytes = 16 * 1024 * 1024;

    settings::DaemonSettings settings;
    DaemonRings rings{1024};
    timeline::EventLog events{16};
    std::optional<CallersDuty> duty;
    std::thread thread;
    boost::asio::io_context io;

    void setup() override
    {
        settings.listen = "127.0.0.1:0";
        duty.emplace(settings, rings, events);
        thread = std::thread([this]() { duty->run(); });
    }

    void teardown() override
    {
        end();
    }

    /// Stops the duty as the process does at its end.
    void end()
    {
        if (thread.joinable()) {
            duty->stop();
            thread.join();
            duty.reset();
        }
    }

    /// Sends a request for a plain service over a new connection.
    tcp::socket request(const std::string &text = "GET /timetable/x HTTP/1.1\r\nHost: a\r\n\r\n")
    {
        tcp::socket socket(io);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), duty->address().port});
        const timeval readTimeout{5, 0};
        ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &readTimeout, sizeof readTimeout);
        boost::asio::write(socket, boost::asio::buffer(text));
        return socket;
    }

    /// Waits for the event of a request, and returns the id of its call.
    CallId takeArrival()
    {
        Event event;
        while (!rings.fromCallers.pop(event) || !std::holds_alternative<ServiceCallArrived>(event)) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return std::get<ServiceCallArrived>(event).call;
    }

    /// Returns all bytes received until the connection ends, or nothing comes for some seconds.
    static std::string receiveAll(tcp::socket & socket)
    {
        std::string received;
        std::array<char, 65536> part{};
        for (ssize_t bytes = 1; bytes > 0;) {
            bytes = ::recv(socket.native_handle(), part.data(), part.size(), 0);
            received.append(part.data(), static_cast<std::size_t>(std::max<ssize_t>(0, bytes)));
        }
        return received;
    }
};

TEST(TheCallersOfADaemonThatEnds, getAnAnswerThatTheyReadSlowly)
{
    tcp::socket caller = request();
    AnswerService answer;
    answer.call = takeArrival();
    answer.answer.status = 200;
    answer.answer.body = std::string(LongAnswerBytes, 'x');
    rings.toCallers.push(answer);
    std::string received;
    std::thread reader([&]() {
        std::this_thread::sleep_for(std::chrono::milliseconds(600));
        received = receiveAll(caller);
    });
    end();
    reader.join();
    CHECK(received.size() > LongAnswerBytes);
}

TEST(TheCallersOfADaemonThatEnds, areToldThatTheirRequestHasNotRunIfTheKernelHasNotTakenIt)
{
    tcp::socket caller = request();
    takeArrival();
    end();
    const std::string received = receiveAll(caller);
    STRCMP_CONTAINS("503", received.c_str());
    STRCMP_CONTAINS("\"ran\":\"no\"", received.c_str());
}

/// Guards against callers that are closed on without a word, since their request is still arriving when the process ends.
TEST(TheCallersOfADaemonThatEnds, areToldThatTheirRequestHasNotRunIfItStillArrives)
{
    for (const char *begun : {"POST /timetable/x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc", "POST /timetable/x HTTP/1.1\r\nHo"}) {
        tcp::socket caller = request(begun);
        // By the answer to another request, this one has reached the duty.
        tcp::socket other = request("GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        STRCMP_CONTAINS("200", receiveAll(other).c_str());
        end();
        const std::string received = receiveAll(caller);
        STRCMP_CONTAINS("503", received.c_str());
        STRCMP_CONTAINS("\"ran\":\"no\"", received.c_str());
        setup();
    }
}

/// Guards against a process that ends, and cuts all its calls, since one answer can't be made.
TEST(TheCallersOfADaemonThatEnds, areNotCutByAnExceptionInTheAnswerToAnother)
{
    end();
    duty.emplace(settings, rings, events);
    duty->extraMetrics = []() -> std::string {
        throw std::runtime_error("no such figure");
    };
    thread = std::thread([this]() { duty->run(); });
    tcp::socket caller = request();
    const CallId call = takeArrival();
    tcp::socket failing = request("GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    Event event;
    while (!rings.fromCallers.pop(event) || !std::holds_alternative<StatusRequested>(event)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    AnswerStatus status;
    status.call = std::get<StatusRequested>(event).call;
    rings.toCallers.push(status);
    AnswerService answer;
    answer.call = call;
    answer.answer.status = 200;
    answer.answer.body = "on time";
    rings.toCallers.push(answer);
    rings.toCallers.commit();
    STRCMP_CONTAINS("HTTP/1.1 500", receiveAll(failing).c_str());
    end();
    STRCMP_CONTAINS("on time", receiveAll(caller).c_str());
}
