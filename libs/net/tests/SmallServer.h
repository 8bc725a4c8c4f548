#pragma once

#include "RawClient.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"

#include "details/Asio.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <thread>

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
inline constexpr std::size_t LargeBytes = 16 * 1024 * 1024;
/// Size of the response to /buffered, in bytes; the buffers of a socket hold it.
inline constexpr std::size_t BufferedBytes = 1024 * 1024;

/// The limits of the server in the tests.
inline net::ServerLimits smallLimits()
{
    net::ServerLimits limits;
    limits.bodyBytes = 1000;
    return limits;
}

/// A server that answers /whole with a complete response, /fields with the header fields, /large with a long response and /stream with three chunks, closes the
/// connection in the middle of the response to /cut, begins streams of many bytes for /begun-large and /begun-buffered, and never answers /silent.
class SmallServer
{
public:
    explicit SmallServer(const net::ServerLimits &limits = smallLimits(), const net::HeldLimits &heldLimits = {})
        : held_(loop_, heldLimits)
    {
        net::HttpServer::Handlers handlers;
        handlers.onRequest = [this](net::ExchangeId id, const net::HttpRequest &request) {
            answer(id, request);
        };
        handlers.onAbort = [this](net::ExchangeId) {
            ++aborts_;
            if (throwsOnAbort_) {
                throw std::runtime_error("the seat can't be given back");
            }
        };
        handlers.onException = [this](std::string_view text) {
            exceptions_.push(std::string(text));
        };
        handlers.refusal = [](net::RefusalKind kind) {
            static const std::map<net::RefusalKind, int> statuses = {{net::RefusalKind::HandlerFailed, 500},
                                                                     {net::RefusalKind::HeaderTooLarge, 431},
                                                                     {net::RefusalKind::TooMuchHeld, 503},
                                                                     {net::RefusalKind::BodyTooLarge, 413},
                                                                     {net::RefusalKind::RequestTooSlow, 408},
                                                                     {net::RefusalKind::Stopping, 503},
                                                                     {net::RefusalKind::CallerLeft, 502}};
            const auto found = statuses.find(kind);
            return net::HttpResponse{found == statuses.end() ? 400 : found->second, {}, "refused"};
        };
        handlers.onEnded = [this](net::ExchangeId, net::ExchangeEnd end) {
            ends_.push(end);
        };
        handlers.onDeliveryFailed = [this](const net::DeliveryFailure &failure) {
            deliveryFailures_.push(failure);
        };
        handlers.onDiscarded = [this](const std::string &requestId, std::size_t bytes) {
            discarded_.push({requestId, bytes});
        };
        server_.emplace(loop_, net::Address{"127.0.0.1", 0}, limits, handlers, &held_);
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

    void refuseArriving()
    {
        runInLoop([&]() { server_->refuseArriving(); });
    }

    /// Calls the server's refuseArriving() when the event loop has done what it has to do already.
    void refuseArrivingLater()
    {
        loop_.post([this]() { server_->refuseArriving(); });
    }

    std::size_t unfinishedConnections()
    {
        std::size_t count = 0;
        runInLoop([&]() { count = server_->unfinishedConnections(); });
        return count;
    }

    /// Ends the event loop at the first moment at which no exchange is unfinished, as the process does.
    void stopWhenFinished()
    {
        bool isFinished = false;
        while (!isFinished) {
            runInLoop([&]() {
                isFinished = server_->unfinishedConnections() == 0;
                if (isFinished) {
                    loop_.stop();
                }
            });
        }
    }

    /// Counts the unfinished connections after the event loop has found out twice what there is to do.
    void countUnfinishedTwoTurnsLater(std::promise<std::size_t> &count)
    {
        loop_.post([this, &count]() { loop_.post([this, &count]() { count.set_value(server_->unfinishedConnections()); }); });
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

    /// Runs a task in the thread of the event loop after that many of its turns.
    void runAfterTurns(int turns, std::function<void()> task)
    {
        loop_.post([this, turns, task = std::move(task)]() { turns > 0 ? runAfterTurns(turns - 1, task) : task(); });
    }

    /// Calls the server's abort() for the stream that was begun last.
    void abortBegun()
    {
        runInLoop([this]() { server_->abort(begun_); });
    }

    /// Calls the server's writeChunk() for the stream that was begun last.
    void writeToBegun(const std::string &data)
    {
        runInLoop([&]() { server_->writeChunk(begun_, data); });
    }

    /// Calls the server's endStream() for the stream that was begun last.
    void endBegun()
    {
        runInLoop([this]() { server_->endStream(begun_); });
    }

    /// Calls the server's reportUntaken().
    void reportUntaken(const std::string &reason)
    {
        runInLoop([&]() { server_->reportUntaken(reason); });
    }

    /// The time that clients give their requests from now on.
    void setTimeLimit(std::chrono::milliseconds timeLimit)
    {
        runInLoop([&]() { timeLimit_ = timeLimit; });
    }

    /// From now on, the handler of exchanges that fail throws an exception.
    void throwOnAbort()
    {
        throwsOnAbort_ = true;
    }

    /// Waits until that many requests were passed to the handler.
    void waitForRequests(int count) const
    {
        while (requests_ < count) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    /// The most that the connections have held at once, in bytes.
    std::size_t mostHeld()
    {
        std::size_t bytes = 0;
        runInLoop([&]() { bytes = held_.mostBytes(net::PeerKind::Caller); });
        return bytes;
    }

    /// What the connections hold, in bytes.
    std::size_t heldNow()
    {
        std::size_t bytes = 0;
        runInLoop([&]() { bytes = held_.bytes(); });
        return bytes;
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

    /// Waits until a connection has failed with an answer that its client hasn't taken; none within 10 s.
    std::optional<net::DeliveryFailure> nextDeliveryFailure()
    {
        return deliveryFailures_.pop();
    }

    /// Waits until bytes behind a last request were discarded, and returns the id of that request and their number; none within 10 s.
    std::optional<std::pair<std::string, std::size_t>> nextDiscarded()
    {
        return discarded_.pop();
    }

private:
    void answer(net::ExchangeId id, const net::HttpRequest &request)
    {
        ++requests_;
        server_->describe(id, {request.target, timeLimit_});
        if (request.target == "/silent") {
            return;
        }
        if (request.target.starts_with("/begun-")) {
            begun_ = id;
            server_->beginStream(id, 200, {});
            return server_->writeChunk(id, std::string(request.target == "/begun-large" ? LargeBytes : BufferedBytes, 'x'));
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
        if (request.target == "/fields") {
            std::string text;
            for (const auto &[name, value] : request.headers) {
                text.append(name).append("=").append(value).append(";");
            }
            server_->respond(id, {200, {}, text});
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
    std::atomic<bool> throwsOnAbort_{false};
    net::ExchangeId begun_ = 0;
    std::chrono::milliseconds timeLimit_{0};
    WaitingQueue<std::string> exceptions_;
    WaitingQueue<net::ExchangeEnd> ends_;
    WaitingQueue<net::DeliveryFailure> deliveryFailures_;
    WaitingQueue<std::pair<std::string, std::size_t>> discarded_;
    net::EventLoop loop_;
    net::HeldBytes held_;
    std::optional<net::HttpServer> server_;
    net::Address address_;
    std::thread thread_;
};
