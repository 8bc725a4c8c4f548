#pragma once

#include "details/Asio.h"
#include "net/Http.h"

#include <iterator>

namespace net {

/// Converts header fields of the HTTP library into the type of the public headers.
inline Headers headersOf(const boost::beast::http::fields &fields)
{
    Headers headers;
    // Exactly as many as there are: callers may send thousands of small ones.
    headers.reserve(static_cast<std::size_t>(std::distance(fields.begin(), fields.end())));
    for (const auto &field : fields) {
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

} // namespace net
