#pragma once

#include "net/Http.h"

#include <cstddef>
#include <optional>
#include <string>

namespace net {

/// Returns data in the framing of the chunked transfer coding.
std::string chunkOf(const std::string &data);

/// How a client recognizes the end of a response.
struct Framing {
    /// The body is sent in chunks.
    bool isChunked = false;
    /// The response states this length; none if it states no length and isn't chunked.
    std::optional<std::size_t> bodyBytes;
};

/// Returns true if responses with this status have no body, whatever the request.
bool hasNoBody(int status);

/// Returns the status line and the header of a response, with the fields for its framing.
std::string headText(int status, const Headers &headers, const Framing &framing, bool keepAlive);

} // namespace net
