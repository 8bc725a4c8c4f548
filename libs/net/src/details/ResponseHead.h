#pragma once

#include "net/Http.h"

namespace net {

/// Returns whether a head that the HTTP library has parsed is that of an HTTP response (RFC 9110, sections 5 and 15): its status is one from 100 to 599, the
/// names of its fields are tokens, and their values have no control bytes but tabs. The library takes any three digits for a status. What isn't a response
/// must not be forwarded: it would be sent on with a status and framing that mean nothing, or something else, to its reader.
bool isHttpResponse(int status, const Headers &headers);

} // namespace net
