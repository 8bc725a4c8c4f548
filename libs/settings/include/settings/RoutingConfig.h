#pragma once

#include "base/EnumNames.h"

#include <cstdint>
#include <map>
#include <string>

/// What operators apply as a folder: models, routes, teams and limits, the same on every instance.
namespace settings {

/// How urgently a team's calls are scheduled unless a call says otherwise.
enum class CallClass {
    Interactive,
    Batch,
};

inline constexpr base::EnumNames<CallClass, 2> CallClassNames = {{
    {CallClass::Interactive, "interactive"},
    {CallClass::Batch, "batch"},
}};

/// A model that is served in layer ranges.
struct ModelConfig {
    std::int64_t layers = 1;
    /// From arrival to the first token; a call that can't make it is refused early.
    std::int64_t firstTokenMs = 5000;
    std::int64_t maxTokens = 4096;
    /// Name of the pipeline choice policy.
    std::string policy = "predicted";
};

/// A plain service under a path prefix.
struct ServiceConfig {
    std::string prefix;
    /// False: calls other than GET, HEAD and OPTIONS run at most once and need an Idempotency-Key.
    bool idempotent = true;
    std::int64_t timeoutMs = 5000;
    std::int64_t attempts = 3;
    /// A repeatable call without an answer after this time is sent to a second endpoint; 0 turns that off.
    std::int64_t hedgeMs = 0;
};

/// A paying customer of the fleet.
struct TeamConfig {
    /// SHA-256 of the API key in hexadecimal.
    std::string keySha256;
    std::int64_t weight = 1;
    CallClass callClass = CallClass::Interactive;
    std::int64_t maxCalls = 1000;
};

/// Fleet-wide limits; the table in RoutingLimits.cpp gives unit and range of each.
struct Limits {
    std::int64_t queueCalls = 2000;
    std::int64_t batchWaitMs = 600000;
    std::int64_t batchPercent = 50;
    std::int64_t stallMs = 1000;
    std::int64_t attempts = 6;
    std::int64_t resumeMs = 5000;
    std::int64_t retryPercent = 20;
    std::int64_t retryReserve = 50;
    std::int64_t claimTimeoutMs = 2000;
    std::int64_t repeatWaitMs = 2000;
    std::int64_t claimRetentionMs = 86400000;
    std::int64_t storedAnswerBytes = 4096;
    std::int64_t claimWrites = 300;
    std::int64_t quarantineMs = 600000;
    std::int64_t interactiveFactor = 8;
};

/// A whole, validated configuration.
struct RoutingConfig {
    std::map<std::string, ModelConfig> models;
    std::map<std::string, ServiceConfig> services;
    std::map<std::string, TeamConfig> teams;
    Limits limits;
};

} // namespace settings
