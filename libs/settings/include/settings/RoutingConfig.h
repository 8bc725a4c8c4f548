#pragma once

#include "base/EnumNames.h"

#include <cstdint>
#include <map>
#include <string>

/// The configuration that operators apply as a folder of files: models, services, teams and limits. It is the same on every instance.
/// src/details/Tables.h defines the range of each number.
namespace settings {

/// How urgently the calls of a team are scheduled. A call may request another class for itself.
enum class CallClass {
    /// A user waits for the answer; the call is refused if it can't meet the time limit for the first token.
    Interactive,
    /// The call may wait in the queue, and may use only a part of the capacity of an engine.
    Batch,
};

/// Names of the classes in settings and requests.
inline constexpr base::EnumNames<CallClass, 2> CallClassNames = {{
    {CallClass::Interactive, "interactive"},
    {CallClass::Batch, "batch"},
}};

/// A model whose layers are spread over engines; each engine holds a range of layers.
struct ModelConfig {
    /// Number of layers of the model.
    std::int64_t layers = 1;
    /// Time limit from the arrival of an interactive call to its first token; a call that can't meet it is refused early.
    std::int64_t firstTokenMs = 5000;
    /// Maximum number of tokens that one call may request.
    std::int64_t maxTokens = 4096;
    /// Name of the policy that chooses pipelines: predicted, least_connections, round_robin or random.
    std::string policy = "predicted";
};

/// A plain HTTP service whose calls are recognized by a path prefix.
struct ServiceConfig {
    /// Path prefix of the calls; it starts with '/', and not with "/v1/".
    std::string prefix;
    /// True if calls may be run more than once. If false, calls other than GET, HEAD and OPTIONS run at most once and need an Idempotency-Key.
    bool idempotent = true;
    /// Timeout of one attempt.
    std::int64_t timeoutMs = 5000;
    /// Maximum number of attempts of an idempotent call.
    std::int64_t attempts = 3;
    /// Time after which an idempotent call without an answer is also sent to a second endpoint; 0 turns this off.
    std::int64_t hedgeMs = 0;
};

/// A customer of the fleet, recognized by its API key.
struct TeamConfig {
    /// SHA-256 of the API key in hexadecimal.
    std::string keySha256;
    /// Relative share of the capacity when teams compete for it.
    std::int64_t weight = 1;
    /// Class of the team's calls that request none.
    CallClass callClass = CallClass::Interactive;
    /// Maximum number of open calls of the team at one instance.
    std::int64_t maxCalls = 1000;
};

/// Limits that apply to all models, services and teams.
struct Limits {
    /// Maximum number of calls that wait in the queue of one instance.
    std::int64_t queueCalls = 2000;
    /// Maximum time that a batch call waits in the queue.
    std::int64_t batchWaitMs = 600000;
    /// Part of an engine's capacity that batch calls may use.
    std::int64_t batchPercent = 50;
    /// Time without progress, in addition to the expected time of the next token, after which a pipeline is replaced.
    std::int64_t stallMs = 1000;
    /// Maximum number of pipelines that one call is tried on.
    std::int64_t attempts = 6;
    /// How long a call waits for a replacement pipeline before it fails.
    std::int64_t resumeMs = 5000;
    /// Number of retries permitted per hundred first attempts.
    std::int64_t retryPercent = 20;
    /// Maximum number of unused retries that are saved up for later.
    std::int64_t retryReserve = 50;
    /// How long a call that runs at most once waits for the store to confirm its claim before it is refused.
    std::int64_t claimTimeoutMs = 2000;
    /// How long a repeated call waits for the outcome of the first call with the same idempotency key.
    std::int64_t repeatWaitMs = 2000;
    /// Age at which a claim and its outcome are removed.
    std::int64_t claimRetentionMs = 86400000;
    /// Maximum size of an answer body that is stored for repeated calls.
    std::int64_t storedAnswerBytes = 4096;
    /// Maximum number of claim writes per second of the whole fleet.
    std::int64_t claimWrites = 300;
    /// How long a request that crashed endpoints is refused.
    std::int64_t quarantineMs = 600000;
    /// Factor that multiplies a team's weight for interactive calls; the weight of batch calls is not multiplied.
    std::int64_t interactiveFactor = 8;
};

/// A complete, validated configuration. The keys of the maps are the names of the models, services and teams.
struct RoutingConfig {
    std::map<std::string, ModelConfig> models;
    std::map<std::string, ServiceConfig> services;
    std::map<std::string, TeamConfig> teams;
    Limits limits;
};

} // namespace settings
