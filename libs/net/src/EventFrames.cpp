#include "net/EventFrames.h"

#include <algorithm>
#include <charconv>

namespace net {

namespace {

constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";

} // namespace

std::optional<EventFrame> EventScanner::next(std::string_view rest)
{
    if (isFirstFrame_ && lineStart_ == 0 && rest.starts_with(ByteOrderMark)) {
        frameStart_ = lineStart_ = ByteOrderMark.size();
        scannedBytes_ = 0;
    }
    for (std::size_t end = 0; (end = rest.find('\n', lineStart_ + scannedBytes_)) != std::string_view::npos;) {
        std::string_view line = rest.substr(lineStart_, end - lineStart_);
        line.remove_suffix(line.ends_with('\r') ? 1 : 0);
        lineStart_ = end + 1;
        scannedBytes_ = 0;
        if (!line.empty()) {
            takeLine(line);
        }
        // Blank lines before the first other one are part of the frame.
        if (!line.empty() || !hasLines_) {
            continue;
        }
        const EventFrame frame{kind(), id_.value_or(0), rest.substr(frameStart_, lineStart_ - frameStart_), lineStart_};
        *this = {};
        isFirstFrame_ = false;
        return frame;
    }
    scannedBytes_ = rest.size() - std::min(lineStart_, rest.size());
    return std::nullopt;
}

void EventScanner::takeLine(std::string_view line)
{
    hasLines_ = true;
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::string_view name = line.substr(0, colon);
    const bool isComment = name.empty();
    if (isComment || name == "retry") {
        return;
    }
    hasFields_ = true;
    if (name == "id") {
        std::string_view value = line.substr(std::min(colon + 1, line.size()));
        value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
        takeId(value);
    }
}

void EventScanner::takeId(std::string_view value)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    const bool isNumber = error == std::errc() && end == value.data() + value.size();
    isIdDamaged_ = isIdDamaged_ || !isNumber || number != id_.value_or(number);
    if (isNumber) {
        id_ = number;
    }
}

FrameKind EventScanner::kind() const
{
    if (!hasFields_) {
        return FrameKind::NoEvent;
    }
    return id_ && !isIdDamaged_ ? FrameKind::Event : FrameKind::Unreadable;
}

std::optional<EventFrame> firstEvent(std::string_view buffer)
{
    return EventScanner().next(buffer);
}

} // namespace net
