#pragma once

#include "details/Fields.h"

#include <array>

/// The tables that define all integer and text settings. Parsing, validation and the descriptions in `trefoilctl settings` use them.
namespace settings {

inline constexpr std::array ModelIntSettings = {
    IntSetting<ModelConfig>{"layers", &ModelConfig::layers, 1, 1000, "layers", "number of layers that each token passes through"},
    IntSetting<ModelConfig>{"first_token_ms",
                            &ModelConfig::firstTokenMs,
                            50,
                            600000,
                            "ms",
                            "time limit from arrival to the first token; interactive calls that can't meet it are refused"},
    IntSetting<ModelConfig>{"max_tokens", &ModelConfig::maxTokens, 1, 1000000, "tokens", "maximum number of tokens that one call may request"},
};

inline constexpr std::array ModelTextSettings = {
    TextSetting<ModelConfig>{"policy", &ModelConfig::policy, false, "policy for the choice of a pipeline: predicted, least_connections, round_robin or random"},
};

inline constexpr std::array ServiceIntSettings = {
    IntSetting<ServiceConfig>{"timeout_ms", &ServiceConfig::timeoutMs, 10, 600000, "ms", "timeout of one attempt"},
    IntSetting<ServiceConfig>{"attempts", &ServiceConfig::attempts, 1, 10, "attempts", "maximum number of attempts of a repeatable call"},
    IntSetting<ServiceConfig>{"hedge_ms",
                              &ServiceConfig::hedgeMs,
                              0,
                              60000,
                              "ms",
                              "time without an answer after which a repeatable call is also sent to a second endpoint; 0 turns this off"},
};

inline constexpr std::array ServiceTextSettings = {
    TextSetting<ServiceConfig>{"prefix", &ServiceConfig::prefix, true, "path prefix of the calls for this service"},
};

inline constexpr std::array TeamIntSettings = {
    IntSetting<TeamConfig>{"weight", &TeamConfig::weight, 1, 10000, "", "relative share of the capacity when teams compete"},
    IntSetting<TeamConfig>{"max_calls", &TeamConfig::maxCalls, 1, 1000000, "calls", "maximum number of open calls at one instance"},
};

inline constexpr std::array TeamTextSettings = {
    TextSetting<TeamConfig>{"key_sha256", &TeamConfig::keySha256, true, "SHA-256 of the API key, 64 hexadecimal digits"},
};

inline constexpr std::array LimitSettings = {
    IntSetting<Limits>{"queue_calls", &Limits::queueCalls, 1, 1000000, "calls", "maximum number of calls that wait in the queue of one instance"},
    IntSetting<Limits>{"batch_wait_ms", &Limits::batchWaitMs, 1000, 86400000, "ms", "maximum time that a batch call waits in the queue"},
    IntSetting<Limits>{"batch_percent", &Limits::batchPercent, 1, 100, "%", "part of an engine's capacity that batch calls may use"},
    IntSetting<Limits>{"stall_ms", &Limits::stallMs, 100, 60000, "ms", "time without progress, beyond the expected time, after which a pipeline is replaced"},
    IntSetting<Limits>{"attempts", &Limits::attempts, 1, 20, "attempts", "maximum number of pipelines that one call is tried on"},
    IntSetting<Limits>{"resume_ms", &Limits::resumeMs, 100, 600000, "ms", "how long a call waits for a replacement pipeline before it fails"},
    IntSetting<Limits>{"retry_percent", &Limits::retryPercent, 0, 100, "%", "permitted retries as a share of first attempts"},
    IntSetting<Limits>{"retry_reserve", &Limits::retryReserve, 0, 100000, "retries", "maximum number of unused retries that are saved up for later"},
    IntSetting<Limits>{"claim_timeout_ms",
                       &Limits::claimTimeoutMs,
                       50,
                       60000,
                       "ms",
                       "how long a call that runs at most once waits for the store to confirm its claim before it is refused"},
    IntSetting<Limits>{"repeat_wait_ms", &Limits::repeatWaitMs, 0, 60000, "ms", "how long a repeated call waits for the outcome of the first call"},
    IntSetting<Limits>{"claim_retention_ms", &Limits::claimRetentionMs, 60000, 2592000000, "ms", "how long an idempotency key and its outcome are kept"},
    IntSetting<Limits>{"stored_answer_bytes", &Limits::storedAnswerBytes, 0, 65536, "bytes", "maximum size of an answer body that is kept for repeated calls"},
    IntSetting<Limits>{"claim_writes", &Limits::claimWrites, 1, 100000, "writes/s", "maximum rate of claim writes of the whole fleet"},
    IntSetting<Limits>{"quarantine_ms", &Limits::quarantineMs, 1000, 86400000, "ms", "how long a request that crashed endpoints is refused"},
    IntSetting<Limits>{"interactive_factor", &Limits::interactiveFactor, 1, 1000, "", "weight of interactive calls relative to batch calls"},
};

inline constexpr std::array DaemonTextSettings = {
    TextSetting<DaemonSettings>{"id", &DaemonSettings::id, true, "name of the instance, unique in the fleet"},
    TextSetting<DaemonSettings>{"zone", &DaemonSettings::zone, true, "availability zone of the instance"},
    TextSetting<DaemonSettings>{"listen", &DaemonSettings::listen, false, "IP:port at which callers and operators connect; port 0 takes a free one"},
    TextSetting<DaemonSettings>{"mesh", &DaemonSettings::mesh, false, "IP:port at which other instances connect"},
    TextSetting<DaemonSettings>{"platform", &DaemonSettings::platform, true, "IP:port of the platform's object API and instance list"},
    TextSetting<DaemonSettings>{
        "mesh_public_key", &DaemonSettings::meshPublicKey, false, "CURVE public key of the fleet in Z85; empty for a mesh without encryption"},
    TextSetting<DaemonSettings>{
        "mesh_secret_key", &DaemonSettings::meshSecretKey, false, "CURVE secret key of the fleet in Z85; empty for a mesh without encryption"},
    TextSetting<DaemonSettings>{"operator_key_sha256",
                                &DaemonSettings::operatorKeySha256,
                                false,
                                "SHA-256 of the operators' key, 64 hexadecimal digits; if empty, operator requests are refused"},
};

inline constexpr std::array DaemonIntSettings = {
    IntSetting<DaemonSettings>{"body_bytes", &DaemonSettings::bodyBytes, 1024, 104857600, "bytes", "maximum size of a request body"},
    IntSetting<DaemonSettings>{"header_bytes", &DaemonSettings::headerBytes, 1024, 1048576, "bytes", "maximum size of a request header"},
    IntSetting<DaemonSettings>{"connections", &DaemonSettings::connections, 1, 100000, "connections", "maximum number of open caller connections"},
    IntSetting<DaemonSettings>{"memory_mb", &DaemonSettings::memoryMb, 64, 1048576, "MB", "memory that the process may use; bounds what callers make it hold"},
    IntSetting<DaemonSettings>{"request_ms", &DaemonSettings::requestMs, 100, 600000, "ms", "time in which a caller must send a whole request"},
    IntSetting<DaemonSettings>{"gossip_ms", &DaemonSettings::gossipMs, 20, 10000, "ms", "time between gossip rounds"},
    IntSetting<DaemonSettings>{"gossip_peers", &DaemonSettings::gossipPeers, 1, 16, "peers", "number of peers that each gossip round is sent to"},
    IntSetting<DaemonSettings>{
        "gossip_entries", &DaemonSettings::gossipEntries, 4, 4096, "entries", "maximum number of other members' entries in one gossip message"},
    IntSetting<DaemonSettings>{"suspect_ms", &DaemonSettings::suspectMs, 200, 60000, "ms", "silence after which an instance counts as gone"},
    IntSetting<DaemonSettings>{
        "confirm_ms", &DaemonSettings::confirmMs, 500, 60000, "ms", "how long a revision stays confirmed without a new confirmation by the store or by peers"},
    IntSetting<DaemonSettings>{"observers", &DaemonSettings::observers, 1, 100, "instances", "number of instances that poll the load of each endpoint"},
    IntSetting<DaemonSettings>{"load_poll_ms", &DaemonSettings::loadPollMs, 50, 60000, "ms", "time between load polls of the endpoints"},
    IntSetting<DaemonSettings>{"list_poll_ms", &DaemonSettings::listPollMs, 50, 60000, "ms", "time between reads of the instance list"},
    IntSetting<DaemonSettings>{"claim_buckets",
                               &DaemonSettings::claimBuckets,
                               1,
                               4096,
                               "objects",
                               "number of store objects that the claims are spread over; must be the same on every instance"},
    IntSetting<DaemonSettings>{"shutdown_ms", &DaemonSettings::shutdownMs, 100, 3600000, "ms", "how long open calls may still run after a stop request"},
    IntSetting<DaemonSettings>{"ring_items", &DaemonSettings::ringItems, 16, 1048576, "items", "capacity of each ring buffer between threads"},
    IntSetting<DaemonSettings>{"timeline_events", &DaemonSettings::timelineEvents, 100, 10000000, "events", "number of events kept for the time line"},
};

} // namespace settings
