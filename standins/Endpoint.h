#pragma once

#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "platform/PlatformClient.h"

#include <csignal>
#include <iostream>
#include <string>

namespace standin {

/// Serves an endpoint until the process is killed. Listens on the address `listen`, registers the endpoint with the platform unless `platformAddress` is
/// empty, and prints "listening ADDRESS". A failed registration is ignored.
///
/// Endpoint is a class with these members:
/// - `server` (net::HttpServer *) is set here.
/// - `info` (wire::EndpointInfo) must be set before, except its address and incarnation, which are set here.
/// - handle(ExchangeId, HttpRequest) is called for each request.
/// - abort(ExchangeId) is called when a client closes its connection before the response has ended.
template<typename Endpoint>
void serve(net::EventLoop &loop, Endpoint &endpoint, const std::string &listen, const std::string &platformAddress)
{
    std::signal(SIGPIPE, SIG_IGN);
    net::HttpServer::Handlers handlers;
    handlers.onRequest = [&](net::ExchangeId id, net::HttpRequest request) {
        endpoint.handle(id, std::move(request));
    };
    handlers.onAbort = [&](net::ExchangeId id) {
        endpoint.abort(id);
    };
    handlers.refusal = [](net::RefusalKind) {
        return net::HttpResponse{400, {}, "refused"};
    };
    net::HttpServer server(loop, net::parseAddress(listen), {}, handlers);
    endpoint.server = &server;
    endpoint.info.address = net::toString(server.address());
    endpoint.info.incarnation = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
    if (!platformAddress.empty()) {
        net::ClientCall call;
        call.address = net::parseAddress(platformAddress);
        call.request = {"POST", "/register", {}, platform::toJson(endpoint.info)};
        net::callAndWait(call);
    }
    std::cout << "listening " << endpoint.info.address << std::endl;
    loop.run();
}

} // namespace standin
