#pragma once

#include "base/Result.h"

#include <cstdint>
#include <optional>
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
    double slowdown = 1;
};

/// A request that has crashed an endpoint.
struct CrashReport {
    std::uint64_t fingerprint = 0;
    /// Stands for the endpoint and its incarnation: the same for all who saw the crash.
    std::uint64_t crash = 0;

    friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

/// What an instance tells the others of the requests that it relays.
struct RelayDigest {
    std::string instance;
    bool leaving = false;
    std::vector<EndpointLoad> loads;
    std::vector<SilentEndpoint> silent;
    std::vector<SlowEndpoint> slow;
    /// Since the last digest.
    std::vector<CrashReport> crashReports;
    /// What a reader of the store has read last; 0 from instances that don't read it.
    std::uint64_t configVersion = 0;
    std::uint64_t endpointsHash = 0;
    /// Revision of the store up to which it knows the list of endpoints.
    std::uint64_t endpointsRevision = 0;
    /// What it knows of the store is old, so that others don't rely on it.
    bool isStale = false;
};

/// An endpoint as the store lists it.
struct EndpointRecord {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::uint64_t incarnation = 0;
    bool draining = false;
    std::uint32_t slots = 1;
    std::string accelerator;
    std::uint32_t firstLayer = 0;
    std::uint32_t endLayer = 0;
    std::uint64_t modelVersion = 0;

    friend bool operator==(const EndpointRecord &, const EndpointRecord &) = default;
};

/// What has changed in the list of endpoints: the entries as they are now, and the ids of those that are gone.
struct EndpointListChanges {
    std::vector<EndpointRecord> changed;
    std::vector<std::string> removed;

    friend bool operator==(const EndpointListChanges &, const EndpointListChanges &) = default;
};

/// Asks an instance how old its knowledge of the store is, and what has changed in the list of endpoints since a revision.
struct FreshnessRequest {
    std::string instance;
    std::uint64_t number = 0;
    std::uint64_t endpointsRevision = 0;
};

/// What an instance knows of the store, and how old that was when it answered.
struct FreshnessReply {
    std::uint64_t number = 0;
    std::uint64_t configVersion = 0;
    std::uint64_t configAgeMs = 0;
    std::uint64_t endpointsHash = 0;
    std::uint64_t endpointsAgeMs = 0;
    std::uint64_t endpointsRevision = 0;
    /// Since the asker's revision; none if that is too long ago to tell.
    std::optional<EndpointListChanges> changes = std::nullopt;
};

/// A message between relaying instances.
using RelayMessage = std::variant<RelayDigest, FreshnessRequest, FreshnessReply>;

/// Stands for an endpoint's id in a digest. Two ids may share a value; a digest only improves choices, and nothing rests on it.
std::uint32_t endpointHash(std::string_view endpointId);

std::string encode(const RelayMessage &message);
base::Result<RelayMessage> decodeRelayMessage(std::string_view bytes);

} // namespace wire
