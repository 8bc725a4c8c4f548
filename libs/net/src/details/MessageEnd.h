#pragma once

#include "net/Http.h"

namespace net {

/// Version number of HTTP/1.1 in the HTTP library.
inline constexpr unsigned Http11 = 11;

/// Returns whether it is clear from the header of a request or response where its body ends (RFC 9112, section 6.3): there is no transfer coding, or exactly
/// that of chunks. With another coding the body can't be told from the message that follows, or isn't the sender's body once the chunks are taken apart; such a
/// message must be refused and its connection closed. Lengths that are damaged, differ or come together with chunks are refused by the parser.
/// `isHttp11` is false for a message of HTTP/1.0, which knows no transfer codings.
bool hasClearEnd(const Headers &headers, bool isHttp11);

} // namespace net
