#pragma once

#include "details/Asio.h"
#include "net/Http.h"

namespace net {

/// Converts header fields of the HTTP library into the type of the public headers.
inline Headers headersOf(const boost::beast::http::fields &fields)
{
    Headers headers;
    for (const auto &field : fields) {
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

} // namespace net
