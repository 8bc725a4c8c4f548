#pragma once

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace net {

/// One complete event of a server-sent event stream.
struct EventFrame {
    /// The decimal number in the event's `id` field; 0 if it has none.
    std::uint64_t id = 0;
    /// The event has an `id` field with a number, and with nothing but that number.
    bool hasId = false;
    /// The event's bytes, including the blank line that ends it; a view into the buffer that was parsed.
    std::string_view bytes;
};

/// Returns the first event in the buffer, or nullopt as long as the blank line that ends it hasn't arrived. Lines may end with LF or CRLF.
inline std::optional<EventFrame> firstEvent(std::string_view buffer)
{
    const std::size_t end = buffer.find("\n\n");
    const std::size_t crlfEnd = buffer.find("\r\n\r\n");
    const std::size_t length = crlfEnd < end ? crlfEnd + 4 : end == std::string_view::npos ? 0 : end + 2;
    if (length == 0) {
        return std::nullopt;
    }
    EventFrame frame{0, false, buffer.substr(0, length)};
    for (std::size_t lineStart = 0; lineStart < length;) {
        const std::size_t lineEnd = std::min(frame.bytes.find('\n', lineStart), length);
        std::string_view line = frame.bytes.substr(lineStart, lineEnd - lineStart);
        lineStart = lineEnd + 1;
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(std::min(line.find_first_not_of(' ', 3), line.size()));
        line = line.substr(0, line.find_last_not_of('\r') + 1);
        const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), frame.id);
        frame.hasId = error == std::errc() && end == line.data() + line.size();
    }
    return frame;
}

} // namespace net
