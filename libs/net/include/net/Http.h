#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace net {

/// Names and values of header fields in the order of the message. Names are case-insensitive.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field with this name, or an empty view if there is none.
std::string_view headerIn(const Headers &headers, std::string_view name);

/// Removes all header fields with that name, whatever their case.
void removeHeader(Headers &headers, std::string_view name);

/// Returns the fields that an intermediary forwards: all but those that concern the connection or the message framing (RFC 9110, section 7.6.1),
/// Host and Expect, all fields that a Connection field names, and those named in `excluded`.
Headers endToEndHeaders(const Headers &headers, const std::vector<std::string_view> &excluded);

/// Returns the time after which the sender closes the connection if it stays idle, by the Keep-Alive field; none if it states none.
std::optional<std::chrono::seconds> keepAliveTimeoutIn(const Headers &headers);

/// A complete HTTP request.
struct HttpRequest {
    std::string method = "GET";
    /// The request target: path and query.
    std::string target = "/";
    Headers headers;
    std::string body;
};

/// A complete HTTP response.
struct HttpResponse {
    int status = 200;
    Headers headers;
    std::string body;
};

/// An IP address and a TCP port.
struct Address {
    std::string host;
    std::uint16_t port = 0;
};

/// Parses an address such as "127.0.0.1:8080". Returns port 0 if the text has no colon or no valid port; the host isn't checked.
Address parseAddress(std::string_view text);

/// Returns whether the address has a port, and an IP address as its host.
bool isValid(const Address &address);

/// Returns "host:port".
std::string toString(const Address &address);

} // namespace net
