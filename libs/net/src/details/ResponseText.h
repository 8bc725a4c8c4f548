#pragma once

#include "net/Http.h"

#include <cstddef>
#include <string>

namespace net {

/// Returns data in the framing of the chunked transfer coding.
std::string chunkOf(const std::string &data);

/// Returns the status line and the header of a response, with the fields for its framing.
std::string headText(int status, const Headers &headers, bool chunked, std::size_t bodyBytes, bool keepAlive);

} // namespace net
