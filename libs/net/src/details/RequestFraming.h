#pragma once

#include "net/Http.h"

namespace net {

/// Returns whether it is clear from a request's header where its body ends (RFC 9112, section 6.3): there is no body, a length, or chunks. A request with
/// another transfer coding, whose body can't be told from the request that follows, must be refused and its connection closed. Lengths that are damaged, differ
/// or come together with chunks are refused by the parser.
/// `isHttp11` is false for a request of HTTP/1.0, which knows no transfer codings.
bool hasClearEnd(const Headers &headers, bool isHttp11);

} // namespace net
