#include "net/Http.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

#include <arpa/inet.h>

namespace net {

namespace {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    const auto same = [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), same);
}

/// Returns the names in all Connection headers. They are views into the headers.
std::vector<std::string_view> namesInConnectionHeaders(const Headers &headers)
{
    constexpr std::string_view Blanks = " \t";
    std::vector<std::string_view> names;
    for (const auto &[header, value] : headers) {
        if (!equalsIgnoringCase(header, "Connection")) {
            continue;
        }
        for (std::string_view rest = value; !rest.empty();) {
            const std::size_t comma = rest.find(',');
            std::string_view name = rest.substr(0, comma);
            name.remove_prefix(std::min(name.find_first_not_of(Blanks), name.size()));
            name = name.substr(0, name.find_last_not_of(Blanks) + 1);
            names.push_back(name);
            rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
        }
    }
    std::erase(names, "");
    return names;
}

} // namespace

std::string_view headerIn(const Headers &headers, std::string_view name)
{
    for (const auto &[field, value] : headers) {
        if (equalsIgnoringCase(field, name)) {
            return value;
        }
    }
    return {};
}

void removeHeader(Headers &headers, std::string_view name)
{
    std::erase_if(headers, [&](const auto &field) { return equalsIgnoringCase(field.first, name); });
}

Headers endToEndHeaders(const Headers &headers, const std::vector<std::string_view> &excluded)
{
    constexpr std::array<std::string_view, 10> HopByHop = {
        "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "TE", "Trailer", "Upgrade", "Host", "Expect"};
    const std::vector<std::string_view> namedByConnection = namesInConnectionHeaders(headers);
    Headers passed;
    for (const auto &[name, value] : headers) {
        const auto isName = [&name = name](std::string_view other) {
            return equalsIgnoringCase(name, other);
        };
        const bool isHopByHop =
            std::any_of(HopByHop.begin(), HopByHop.end(), isName) || std::any_of(namedByConnection.begin(), namedByConnection.end(), isName);
        if (!isHopByHop && std::none_of(excluded.begin(), excluded.end(), isName)) {
            passed.emplace_back(name, value);
        }
    }
    return passed;
}

std::optional<std::chrono::seconds> keepAliveTimeoutIn(const Headers &headers)
{
    constexpr std::string_view Timeout = "timeout=";
    const std::string_view field = headerIn(headers, "Keep-Alive");
    const std::size_t start = field.find(Timeout);
    std::uint32_t seconds = 0;
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    const char *const digits = field.data() + start + Timeout.size();
    const bool isNumber = std::from_chars(digits, field.data() + field.size(), seconds).ec == std::errc();
    return isNumber ? std::optional(std::chrono::seconds(seconds)) : std::nullopt;
}

Address parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return {};
    }
    Address address{std::string(text.substr(0, colon)), 0};
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (error != std::errc() || end != port.data() + port.size()) {
        address.port = 0;
    }
    return address;
}

bool isValid(const Address &address)
{
    in6_addr bytes{};
    const char *const host = address.host.c_str();
    const bool hasWholeHost = address.host.size() == std::char_traits<char>::length(host);
    return address.port != 0 && hasWholeHost && (::inet_pton(AF_INET, host, &bytes) == 1 || ::inet_pton(AF_INET6, host, &bytes) == 1);
}

std::string toString(const Address &address)
{
    return address.host + ":" + std::to_string(address.port);
}

} // namespace net
