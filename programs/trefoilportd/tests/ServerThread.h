#pragma once

#include "net/HttpServer.h"

#include <functional>
#include <optional>
#include <string>
#include <thread>

/// An HTTP server on a free port of the loopback interface, in a thread of its own, that answers as the test says.
class ServerThread
{
public:
    /// Answers a request through server(); called in the thread of the server.
    using Answer = std::function<void(ServerThread &, net::ExchangeId, const net::HttpRequest &)>;

    explicit ServerThread(Answer answer)
    {
        net::HttpServer::Handlers handlers;
        handlers.onRequest = [this, answer = std::move(answer)](net::ExchangeId id, const net::HttpRequest &request) {
            answer(*this, id, request);
        };
        handlers.onAbort = [](net::ExchangeId) {
        };
        handlers.refusal = [](net::RefusalKind) {
            return net::HttpResponse{400, {}, ""};
        };
        server_.emplace(loop_, net::Address{"127.0.0.1", 0}, net::ServerLimits{}, handlers);
        address_ = net::toString(server_->address());
        thread_ = std::thread([this]() { loop_.run(); });
    }

    ~ServerThread()
    {
        loop_.stop();
        thread_.join();
    }

    ServerThread(const ServerThread &) = delete;
    ServerThread &operator=(const ServerThread &) = delete;

    const std::string &address() const
    {
        return address_;
    }
    net::HttpServer &server()
    {
        return *server_;
    }
    net::EventLoop &loop()
    {
        return loop_;
    }

private:
    net::EventLoop loop_;
    std::optional<net::HttpServer> server_;
    std::string address_;
    std::thread thread_;
};
