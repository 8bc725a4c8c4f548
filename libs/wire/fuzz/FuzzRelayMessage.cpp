// A message between instances: it is decoded or refused.

#include "wire/RelayDigest.h"

#include <cstddef>
#include <cstdint>
#include <string>

// The name is the one that the fuzzer calls. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto message = wire::decodeRelayMessage(std::string(reinterpret_cast<const char *>(data), size));
    (void)message;
    return 0;
}
