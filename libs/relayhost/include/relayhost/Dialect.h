#pragma once

#include "net/HttpClient.h"
#include "relay/RelayKernel.h"
#include "relayhost/HostSettings.h"

#include <optional>

namespace relayhost {

/// A caller's request in the kernel's terms.
struct DecodedCall {
    relay::CallArrival arrival;
    /// It lacks what every request must have.
    bool isMalformed = false;
};

/// The messages of one platform. Translates and decides nothing; all members may be called from the loop's thread only.
class Dialect
{
public:
    virtual ~Dialect() = default;

    /// None with the reason if the settings file can't be used.
    virtual base::Result<HostSettings> parseSettings(const std::string &text) const = 0;

    virtual DecodedCall decodeCall(relay::CallId call, const net::HttpRequest &request) const = 0;
    /// The request as it goes to an endpoint.
    virtual net::HttpRequest encodeDispatch(const net::HttpRequest &original, const relay::Dispatch &dispatch) const = 0;
    /// What an endpoint's answer says to the router.
    virtual relay::AnswerHead decodeAnswer(int status, const net::Headers &headers, const std::string &requestId) const = 0;
    /// True if the answer is a stream of events that may be passed on.
    virtual bool isEventStream(int status, const net::Headers &headers) const = 0;
    /// The router's own answer.
    virtual net::HttpResponse encodeRejection(const relay::Rejection &rejection, const std::string &requestId) const = 0;

    virtual net::HttpRequest encodeReportRequest(const std::string &endpoint) const = 0;
    virtual std::optional<relay::EndpointReport> decodeReport(const net::HttpResponse &response) const = 0;
    virtual net::HttpRequest encodeOrder(const relay::PlacementOrder &order) const = 0;
    virtual relay::OrderOutcome decodeOrderAnswer(int status) const = 0;
    virtual net::HttpRequest encodeDetour(const relay::Detour &detour) const = 0;
    /// Address of the stage that stood in a detour's way; empty if the answer names none.
    virtual std::string decodeDetourFault(const net::HttpResponse &response) const = 0;

    /// Paths of the readiness check and of the metrics.
    virtual std::string_view readinessPath() const = 0;
    virtual std::string_view metricsPath() const = 0;
};

} // namespace relayhost
