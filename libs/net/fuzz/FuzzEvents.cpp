// A stream of events, cut into events that must follow each other and stay within the stream.

#include "net/EventFrames.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

// The name is the one that the fuzzer calls. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view stream(reinterpret_cast<const char *>(data), size);
    std::size_t consumed = 0;
    while (const auto frame = net::firstEvent(stream.substr(consumed))) {
        consumed += frame->length;
        const bool follows = frame->bytes.data() + frame->bytes.size() == stream.data() + consumed && !frame->bytes.empty();
        if (!follows || consumed > size) {
            std::abort();
        }
    }
    return 0;
}
