#pragma once

#include "details/Asio.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace net {

/// Bytes that are always permitted besides the header and the body of a message: chunk headers with their extensions, and the trailer. A trailer, or the
/// header of one chunk, may have no more than that in any case.
inline constexpr std::size_t FramingBytes = 16 * 1024;
/// Further such bytes that are permitted for each byte of the body: chunks may be small.
inline constexpr std::uint64_t FramingBytesPerBodyByte = 16;
/// Room in a read buffer beyond the longest part of a message that is parsed as a whole, so that its limit is noticed before the buffer is full.
inline constexpr std::size_t SpareBufferBytes = 512;

/// Returns the most that the read buffer of a connection may hold.
inline std::size_t readBufferLimit(std::size_t headerBytes)
{
    return std::max(headerBytes, FramingBytes) + SpareBufferBytes;
}

/// Returns whether a message has more bytes besides its header and its body than it may have.
inline bool hasTooMuchFraming(std::uint64_t bytesBehindHeader, std::uint64_t bodyBytes)
{
    return bytesBehindHeader > bodyBytes && bytesBehindHeader - bodyBytes > FramingBytes + FramingBytesPerBodyByte * bodyBytes;
}

/// What one step of reading has done.
struct ReadStep {
    boost::beast::error_code error;
    /// Bytes that were parsed.
    std::size_t parsedBytes = 0;
};

/// Parses what the buffer holds; if that isn't enough for the parser to go on, reads once, and leaves the bytes to the next step. Never reads more than the
/// buffer's maximum size has room for: a parser that needs more fails with buffer_overflow. Reads nothing and fails as aborted once `isOver` is true: a socket
/// that always has something to read may have no pending operation that can be cancelled. The end of the stream ends a message as in the HTTP library.
template<typename Parser>
boost::asio::awaitable<ReadStep> readStep(boost::asio::ip::tcp::socket &socket, boost::beast::flat_buffer &buffer, Parser &parser, const bool &isOver)
{
    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    ReadStep step;
    if (buffer.size() > 0) {
        step.parsedBytes = parser.put(buffer.data(), step.error);
        buffer.consume(step.parsedBytes);
        if (step.error != http::error::need_more) {
            co_return step;
        }
        step.error = {};
    }
    if (isOver) {
        step.error = asio::error::operation_aborted;
        co_return step;
    }
    const std::size_t room = boost::beast::read_size(buffer, buffer.max_size());
    if (room == 0) {
        step.error = http::error::buffer_overflow;
        co_return step;
    }
    const std::size_t readBytes = co_await socket.async_read_some(buffer.prepare(room), asio::redirect_error(asio::use_awaitable, step.error));
    buffer.commit(readBytes);
    if (step.error != asio::error::eof) {
        co_return step;
    }
    step.error = http::error::end_of_stream;
    if (parser.got_some()) {
        step.error = {};
        parser.put_eof(step.error);
    }
    co_return step;
}

} // namespace net
