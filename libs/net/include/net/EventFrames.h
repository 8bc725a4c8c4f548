#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace net {

/// One whole event of a stream, with its id and its bytes up to and with the blank line.
struct EventFrame {
    std::uint64_t id = 0;
    bool hasId = false;
    std::string_view bytes;
};

/// The first whole event in the buffer; none if it has not arrived in full.
inline std::optional<EventFrame> firstEvent(std::string_view buffer)
{
    const std::size_t end = buffer.find("\n\n");
    const std::size_t endWithReturns = buffer.find("\r\n\r\n");
    const std::size_t length = endWithReturns < end ? endWithReturns + 4 : end == std::string_view::npos ? 0 : end + 2;
    if (length == 0) {
        return std::nullopt;
    }
    EventFrame frame{0, false, buffer.substr(0, length)};
    for (std::size_t at = 0; at < length;) {
        const std::size_t lineEnd = std::min(frame.bytes.find('\n', at), length);
        std::string_view line = frame.bytes.substr(at, lineEnd - at);
        at = lineEnd + 1;
        if (!line.starts_with("id:")) {
            continue;
        }
        for (const char letter : line.substr(3)) {
            if (letter >= '0' && letter <= '9') {
                frame.id = frame.id * 10 + static_cast<std::uint64_t>(letter - '0');
                frame.hasId = true;
            }
        }
    }
    return frame;
}

} // namespace net
