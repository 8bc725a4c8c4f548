#pragma once

#include "base/Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wire {

/// Requests of one instance on one endpoint.
struct EndpointLoad {
    /// From endpointHash().
    std::uint32_t endpoint = 0;
    std::uint32_t openRequests = 0;
    /// Tokens of context of these requests in all; exact to 256.
    std::uint64_t contextTokens = 0;
};

/// An endpoint that does not answer, in one of its incarnations.
struct SilentEndpoint {
    std::uint32_t endpoint = 0;
    std::uint64_t incarnation = 0;
};

/// An endpoint that works more slowly than its profile, as it has lately said itself.
struct SlowEndpoint {
    std::uint32_t endpoint = 0;
    /// Multiple of the usual time; exact to a tenth.
    double slowness = 1;
};

/// What an instance tells the others of the requests that it relays.
struct RelayDigest {
    std::string instance;
    bool leaving = false;
    std::vector<EndpointLoad> loads;
    std::vector<SilentEndpoint> silent;
    std::vector<SlowEndpoint> slow;
    /// Fingerprints of requests, once for each endpoint that they have crashed since the last digest.
    std::vector<std::uint64_t> strikes;
    /// What a reader of the store has read last; 0 from instances that don't read it.
    std::uint64_t configVersion = 0;
    std::uint64_t endpointsHash = 0;
};

/// Asks an instance how old its knowledge of the store is.
struct FreshnessQuestion {
    std::string instance;
    std::uint64_t number = 0;
};

/// What an instance knows of the store, and how old that was when it answered.
struct FreshnessAnswer {
    std::uint64_t number = 0;
    std::uint64_t configVersion = 0;
    std::uint64_t configAgeMs = 0;
    std::uint64_t endpointsHash = 0;
    std::uint64_t endpointsAgeMs = 0;
};

/// A message between relaying instances.
using RelayMessage = std::variant<RelayDigest, FreshnessQuestion, FreshnessAnswer>;

/// Stands for an endpoint's id in a digest. Two ids may share a value; a digest only improves choices, and nothing rests on it.
std::uint32_t endpointHash(std::string_view endpointId);

std::string encode(const RelayMessage &message);
base::Result<RelayMessage> decodeRelayMessage(std::string_view bytes);

} // namespace wire
