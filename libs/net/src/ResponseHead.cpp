#include "details/ResponseHead.h"

#include <algorithm>

namespace net {

namespace {

constexpr int FirstStatus = 100;
constexpr int LastStatus = 599;

bool isTokenByte(unsigned char byte)
{
    constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~";
    const bool isDigit = byte >= '0' && byte <= '9';
    const bool isLetter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    return isDigit || isLetter || Punctuation.find(static_cast<char>(byte)) != std::string_view::npos;
}

bool isValueByte(unsigned char byte)
{
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char Delete = 0x7f;
    return byte == '\t' || (byte >= FirstPrintable && byte != Delete);
}

bool isField(const std::pair<std::string, std::string> &field)
{
    const auto &[name, value] = field;
    return !name.empty() && std::all_of(name.begin(), name.end(), isTokenByte) && std::all_of(value.begin(), value.end(), isValueByte);
}

} // namespace

bool isHttpResponse(int status, const Headers &headers)
{
    return status >= FirstStatus && status <= LastStatus && std::all_of(headers.begin(), headers.end(), isField);
}

} // namespace net
