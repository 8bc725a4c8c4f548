#include "details/ResponseText.h"

#include "details/Asio.h"

#include <cstdio>

namespace net {

namespace http = boost::beast::http;

std::string chunkOf(const std::string &data)
{
    char size[20];
    const int length = std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    std::string chunk(size, static_cast<std::size_t>(length));
    chunk += data;
    chunk += "\r\n";
    return chunk;
}

bool hasNoBody(int status)
{
    constexpr int FirstFinal = 200;
    constexpr int NoContent = 204;
    constexpr int NotModified = 304;
    return status < FirstFinal || status == NoContent || status == NotModified;
}

std::string headText(int status, const Headers &headers, const Framing &framing, bool keepAlive)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    text.append(reason.data(), reason.size());
    text += "\r\n";
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (framing.isChunked) {
        text += "Transfer-Encoding: chunked\r\n";
    } else if (framing.bodyBytes) {
        text += "Content-Length: " + std::to_string(*framing.bodyBytes) + "\r\n";
    }
    text += keepAlive ? "" : "Connection: close\r\n";
    text += "\r\n";
    return text;
}

} // namespace net
