#pragma once

#include "base/Result.h"
#include "wire/Records.h"

#include <string>
#include <string_view>

/// Encodes and decodes records as protobuf. Decoding never trusts its input: malformed bytes give BadRequest.
namespace wire {

std::string encode(const ClaimBucket &bucket);
base::Result<ClaimBucket> decodeClaimBucket(std::string_view bytes);

std::string encode(const ConfigHead &head);
base::Result<ConfigHead> decodeConfigHead(std::string_view bytes);

std::string encode(const PeerEnvelope &envelope);
base::Result<PeerEnvelope> decodePeerEnvelope(std::string_view bytes);

} // namespace wire
