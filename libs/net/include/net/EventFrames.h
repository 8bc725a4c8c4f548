#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace net {

/// What a frame of a server-sent event stream is to those who count its events.
enum class FrameKind {
    /// An event with its id.
    Event,
    /// No event: comments, which some servers send to keep a connection open, or a `retry` field.
    NoEvent,
    /// An event that is damaged: none of its fields is an id, an id is no decimal number, or two ids differ. Nobody can tell where it belongs, and a stream
    /// without it isn't whole.
    Unreadable,
};

/// A complete frame of a server-sent event stream: its lines and the blank one that ends it, with further blank lines before them.
struct EventFrame {
    FrameKind kind = FrameKind::NoEvent;
    /// The decimal number in the event's `id` field; 0 if it is no event.
    std::uint64_t id = 0;
    /// The frame's bytes, including the blank line that ends it; a view into the buffer that was parsed.
    std::string_view bytes;
    /// Bytes that it takes in the buffer: those, and a byte order mark before the first frame, which belongs to the stream.
    std::size_t length = 0;
};

/// Cuts a stream into frames as its bytes arrive, and decides which of them are events. Lines may end with LF or CRLF. A line is looked at once, however many
/// parts it arrives in.
class EventScanner
{
public:
    /// Returns the next frame, or none as long as the blank line that ends it hasn't arrived. `rest` begins where the previous frame ended, and only grows
    /// until a frame is returned.
    std::optional<EventFrame> next(std::string_view rest);

    /// Returns whether the bytes after the last frame are the beginning of another one: a stream that ends there has been broken off.
    bool isWithinFrame() const
    {
        return hasLines_ || scannedBytes_ > 0;
    }

private:
    /// Takes a line of the current frame, without its end.
    void takeLine(std::string_view line);
    void takeId(std::string_view value);
    FrameKind kind() const;

    /// Where the frame, and its first line that was not yet taken, begin in the buffer.
    std::size_t frameStart_ = 0;
    std::size_t lineStart_ = 0;
    /// Bytes of that line that have no line end.
    std::size_t scannedBytes_ = 0;
    bool isFirstFrame_ = true;
    std::optional<std::uint64_t> id_;
    /// The frame has a line that isn't blank, and a field besides `retry`.
    bool hasLines_ = false;
    bool hasFields_ = false;
    /// An id is no number, or another one than before in the frame.
    bool isIdDamaged_ = false;
};

/// Returns the first frame in the buffer, or none as long as the blank line that ends it hasn't arrived.
std::optional<EventFrame> firstEvent(std::string_view buffer);

} // namespace net
