#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace net {

/// Header fields in the order of the message; names compare without regard to case.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// The first field of that name, or an empty view.
std::string_view headerIn(const Headers &headers, std::string_view name);

/// The fields that an intermediary passes on: those that are not of the connection or the framing (RFC 9110, section 7.6.1), nor among
/// the names in `without`.
Headers endToEndHeaders(const Headers &headers, const std::vector<std::string_view> &without);

/// A whole HTTP request.
struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    Headers headers;
    std::string body;
};

/// A whole HTTP response.
struct HttpResponse {
    int status = 200;
    Headers headers;
    std::string body;
};

/// A TCP address: IP number and port.
struct Address {
    std::string host;
    std::uint16_t port = 0;
};

/// Parses "127.0.0.1:8080"; a port of 0 means that the text is malformed.
Address parseAddress(std::string_view text);

/// "host:port".
std::string toString(const Address &address);

} // namespace net
