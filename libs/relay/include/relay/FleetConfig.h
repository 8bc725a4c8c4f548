#pragma once

#include "placement/EngineProfile.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// Requests that are passed on unchanged to an endpoint: every decision about them, free of sockets, threads and clocks.
namespace relay {

using Ms = std::chrono::milliseconds;

/// What may be done again with a request.
enum class RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    AtMostOnce,
    /// Answered by a stream of events with ascending ids.
    Stream,
};

/// One of the services that a route sends its requests to.
struct WeightedService {
    std::string service;
    std::uint32_t weight = 1;
};

/// Requests of one host whose paths begin with a prefix.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::AtMostOnce;
    /// Longest time that a request is kept waiting; zero means no bound.
    Ms timeout{0};
    /// Time to the whole answer, or to the first event of a stream, that callers expect.
    Ms targetLatency{0};
    /// Longest pause between events that callers expect.
    Ms targetEventInterval{0};
    /// 0 is the highest.
    int priority = 0;
    std::uint32_t maxAttempts = 1;
    /// No API key is needed.
    bool isPublic = false;
    /// A broken stream may go on at another endpoint after the last event.
    bool isResumable = false;
    std::vector<WeightedService> services;
};

/// A group of endpoints that serve the same.
struct Service {
    std::string name;
    std::string healthPath;
    /// Connections that one endpoint accepts from all instances.
    std::uint32_t maxConnections = 0;
    /// Only of services whose endpoints hold layers of a model.
    std::optional<placement::EngineProfile> engine;
};

struct Team {
    std::string name;
    std::optional<int> priority;
};

/// Bounds on what callers may send.
struct CallerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    Ms headerTimeout{3000};
    Ms idleTimeout{15000};
};

/// A whole, validated configuration.
struct FleetConfig {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    /// Requests on routes that aren't public need a key.
    bool hasTeams = false;
    /// By the SHA-256 of the API key.
    std::unordered_map<std::string, Team> teamOfKey;
    CallerLimits limits;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

} // namespace relay
