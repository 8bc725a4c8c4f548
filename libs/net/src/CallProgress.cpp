#include "net/HttpClient.h"

namespace net {

std::string toText(const CallProgress &progress)
{
    const std::string connection = progress.isOnKeptConnection ? "kept connection, " : "new connection, ";
    const std::string error = progress.error.empty() ? "" : "; " + progress.error;
    switch (progress.part) {
    case ResponsePart::Nothing:
        return connection + "nothing received" + error;
    case ResponsePart::Header:
        return connection + "a part of the header received" + error;
    case ResponsePart::Body:
        break;
    }
    const std::string stated = progress.statedBytes ? " of " + std::to_string(*progress.statedBytes) : "";
    return connection + std::to_string(progress.bodyBytes) + stated + " bytes of the body received" + error;
}

} // namespace net
