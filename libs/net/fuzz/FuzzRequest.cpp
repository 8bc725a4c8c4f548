// A request, read as the server reads it: in one piece and a byte at a time. Both must come to the same end.

#include "details/HeaderFields.h"
#include "details/MessageEnd.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t HeaderBytes = 4096;
constexpr std::uint64_t BodyBytes = 4096;

struct Outcome {
    bool isWhole = false;
    std::size_t bytes = 0;
    std::string body;
};

Outcome read(const char *data, std::size_t size, std::size_t step)
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(HeaderBytes);
    parser.body_limit(BodyBytes);
    parser.eager(true);
    boost::beast::flat_buffer buffer;
    Outcome outcome;
    boost::beast::error_code error;
    std::size_t given = 0;
    while (!parser.is_done()) {
        error = {};
        const std::size_t taken = buffer.size() == 0 ? 0 : parser.put(buffer.data(), error);
        buffer.consume(taken);
        outcome.bytes += taken;
        if (error && error != http::error::need_more) {
            return {};
        }
        if (parser.is_header_done() && !net::hasClearEnd(net::headersOf(parser.get()), parser.get().version() >= net::Http11)) {
            return {};
        }
        if (taken > 0 && !error) {
            continue;
        }
        if (given == size) {
            return {};
        }
        const std::size_t part = std::min(step, size - given);
        std::memcpy(buffer.prepare(part).data(), data + given, part);
        buffer.commit(part);
        given += part;
    }
    outcome.isWhole = true;
    outcome.body = parser.get().body();
    return outcome;
}

} // namespace

// The name is the one that the fuzzer calls. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const char *const text = reinterpret_cast<const char *>(data);
    const Outcome atOnce = read(text, size, size);
    const Outcome byteByByte = read(text, size, 1);
    if (atOnce.isWhole != byteByByte.isWhole || atOnce.body != byteByByte.body || atOnce.bytes != byteByByte.bytes) {
        std::abort();
    }
    return 0;
}
