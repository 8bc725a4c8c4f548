#include "details/MessageEnd.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace net {

bool hasClearEnd(const Headers &headers, bool isHttp11)
{
    using boost::beast::iequals;
    const auto isCodings = [](const auto &field) {
        return iequals(field.first, "Transfer-Encoding");
    };
    const auto count = std::count_if(headers.begin(), headers.end(), isCodings);
    if (count == 0) {
        return true;
    }
    return count == 1 && isHttp11 && iequals(headerIn(headers, "Transfer-Encoding"), "chunked");
}

} // namespace net
