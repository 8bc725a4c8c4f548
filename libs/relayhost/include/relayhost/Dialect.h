#pragma once

#include "net/HttpClient.h"
#include "relay/RelayKernel.h"
#include "relayhost/HostSettings.h"

#include <optional>

namespace relayhost {

/// A caller's request, decoded into the kernel's type.
struct DecodedCall {
    relay::CallArrival arrival;
    /// The request lacks an id, a host or an absolute URL path, and is answered with an error.
    bool isMalformed = false;
};

/// Whose id an answer bears.
enum class AnswerId {
    /// That of the request.
    Own,
    /// That of another request, which it answers.
    Other,
    None,
};

/// Translates between the HTTP messages of one hosting platform and the kernel's types. Makes no decisions. All members may be called only in
/// the event loop's thread.
class Dialect
{
public:
    virtual ~Dialect() = default;

    /// Parses the text of the settings file. The error says what is invalid in it.
    virtual base::Result<HostSettings> parseSettings(const std::string &text) const = 0;

    /// Decodes a caller's request that arrived as the given call.
    virtual DecodedCall decodeCall(relay::CallId call, const net::HttpRequest &request) const = 0;
    /// Returns the request to send to the endpoint for this attempt: the caller's request with the platform's header fields set by the router.
    virtual net::HttpRequest encodeDispatch(const net::HttpRequest &original, const relay::Dispatch &dispatch) const = 0;
    /// Returns the request to hand over to another instance: the caller's request, its key included, with the time and the last event of now.
    virtual net::HttpRequest encodeHandOver(const net::HttpRequest &original, const relay::HandOver &order) const = 0;
    /// Decodes the status and headers of an endpoint's answer to the request with this id.
    virtual relay::AnswerHead decodeAnswer(int status, const net::Headers &headers, const std::string &requestId) const = 0;
    /// Returns whose id an endpoint's answer to the request with this id bears. The id is empty for the router's own requests, which have none.
    virtual AnswerId answerIdOf(const net::Headers &headers, const std::string &requestId) const = 0;
    /// Returns true if the answer is a stream of server-sent events, which is forwarded event by event instead of as a whole.
    virtual bool isEventStream(int status, const net::Headers &headers) const = 0;
    /// Returns the error answer that the router gives itself. The request id is empty if it is unknown.
    virtual net::HttpResponse encodeRejection(const relay::Rejection &rejection, const std::string &requestId) const = 0;

    /// Returns the request for the report of the endpoint with this id.
    virtual net::HttpRequest encodeReportRequest(const std::string &endpoint) const = 0;
    /// Decodes an endpoint's report; none if the endpoint answered with an error or the report is malformed.
    virtual std::optional<relay::EndpointReport> decodeReport(const net::HttpResponse &response) const = 0;
    /// Returns the request for the health check, at that URL path, of the endpoint with this id.
    virtual net::HttpRequest encodeHealthRequest(const std::string &endpoint, const std::string &path) const = 0;
    /// Returns whether the answer to a health check or a report request comes from that endpoint, however healthy it is.
    virtual bool isFromEndpoint(const std::string &endpoint, const net::HttpResponse &response) const = 0;
    /// Returns the request that carries a placement order.
    virtual net::HttpRequest encodeOrder(const relay::PlacementOrder &order) const = 0;
    /// Returns the outcome of a placement order or a detour by the HTTP status of its answer.
    virtual relay::OrderOutcome decodeOrderAnswer(int status) const = 0;
    /// Returns the request that sends a detour to the first stage.
    virtual net::HttpRequest encodeDetour(const relay::Detour &detour) const = 0;
    /// Returns the address of the stage because of which a detour failed; empty if the answer names none.
    virtual std::string decodeDetourFault(const net::HttpResponse &response) const = 0;

    /// URL path of the balancer's readiness check.
    virtual std::string_view readinessPath() const = 0;
    /// URL path of the metrics.
    virtual std::string_view metricsPath() const = 0;
};

} // namespace relayhost
