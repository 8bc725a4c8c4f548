#pragma once

#include "base/Result.h"
#include "wire/Records.h"

#include <string>
#include <string_view>

/// Encodes and decodes records as protobuf (src/Records.proto). Decoding accepts any input and returns a BadRequest error for malformed bytes.
namespace wire {

/// Encodes a bucket object of the store.
std::string encode(const ClaimBucket &bucket);
/// Decodes a bucket object. A claim whose state this release does not know gets ClaimState::Unknown.
base::Result<ClaimBucket> decodeClaimBucket(std::string_view bytes);

/// Encodes the head object of the configuration.
std::string encode(const ConfigHead &head);
/// Decodes the head object of the configuration.
base::Result<ConfigHead> decodeConfigHead(std::string_view bytes);

/// Encodes a message to another instance.
std::string encode(const PeerEnvelope &envelope);
/// Decodes a message from another instance. An envelope without a message is malformed.
base::Result<PeerEnvelope> decodePeerEnvelope(std::string_view bytes);

} // namespace wire
