#pragma once

#include "placement/EngineProfile.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// The routing core for requests that are forwarded unchanged to an endpoint. It makes every decision about them, and uses no sockets, threads
/// or clocks of its own.
namespace relay {

using Ms = std::chrono::milliseconds;

/// How often a request may run, and what its answer looks like.
enum class RequestKind {
    /// May run several times without harm, so it may be retried at any time.
    Idempotent,
    /// Must not run more than once: it is retried only if no attempt can have run.
    AtMostOnce,
    /// Answered by a stream of events whose ids ascend.
    Stream,
};

/// A service that a route sends its requests to, with its part of the traffic.
struct WeightedService {
    std::string service;
    /// Relative to the sum of the weights of the route's services.
    std::uint32_t weight = 1;
};

/// Rules for the requests to one host whose URL paths begin with a prefix.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::AtMostOnce;
    /// Timeout for the whole answer; zero means that only the caller's own time limit applies.
    Ms timeout{0};
    /// Time to the whole answer, or to the first event of a stream, that callers expect. Endpoint choice and hedging are scaled by it.
    Ms targetLatency{0};
    /// Longest interval between two events of a stream that callers expect.
    Ms targetEventInterval{0};
    /// Time without an event after which callers abandon a stream, also before its first event.
    Ms callerPatience{2000};
    /// Priority of its requests unless the team has one; 0 is the highest.
    int priority = 0;
    /// Maximum number of attempts of one request that may run. Attempts that certainly didn't run, and those whose first stage is known to have ended since,
    /// are not counted.
    std::uint32_t maxAttempts = 1;
    /// Requests need no API key.
    bool isPublic = false;
    /// A broken stream may be resumed by another attempt after the last event that the caller has received.
    bool isResumable = false;
    /// Services among which the requests are divided by weight; each request is sent to one of them.
    std::vector<WeightedService> services;
};

/// A group of endpoints that are interchangeable, or that hold layers of the same model.
struct Service {
    std::string name;
    /// URL path of the endpoints' health check.
    std::string healthPath;
    /// Connections that one endpoint accepts from all instances together.
    std::uint32_t maxConnections = 0;
    /// Present only for services whose endpoints hold layers of a model; their requests pass through pipelines.
    std::optional<placement::EngineProfile> engine;
};

/// The team that an API key belongs to.
struct Team {
    std::string name;
    /// Overrides the priority of the route; 0 is the highest.
    std::optional<int> priority;
};

/// Limits on the size and timing of callers' requests.
struct CallerLimits {
    /// Maximum size of the request line and headers.
    std::size_t headerBytes = 16 * 1024;
    /// Maximum size of a request body.
    std::size_t bodyBytes = 4 * 1024 * 1024;
    /// Time from the first byte of a request until its headers and body must be complete.
    Ms headerTimeout{3000};
    /// A connection is closed after this time without a request.
    Ms idleTimeout{15000};
};

/// A complete, validated configuration.
struct FleetConfig {
    /// Grows with each published configuration.
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    /// Teams are configured, so that requests on routes that aren't public need an API key.
    bool hasTeams = false;
    /// Teams by the SHA-256 of their API keys.
    std::unordered_map<std::string, Team> teamOfKey;
    CallerLimits limits;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

} // namespace relay
