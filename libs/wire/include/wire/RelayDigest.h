#pragma once

#include "base/Result.h"
#include "wire/StoreVersion.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wire {

/// The open requests that one instance has on one endpoint.
struct EndpointLoad {
    /// endpointHash() of the endpoint's id.
    std::uint32_t endpoint = 0;
    std::uint32_t openRequests = 0;
    /// Sum of the context tokens of these requests; encoding rounds it to the nearest multiple of 256.
    std::uint64_t contextTokens = 0;
    /// Prompt tokens of those whose prefill isn't known to have ended; rounded likewise.
    std::uint64_t pendingPrefillTokens = 0;
    /// Prompt tokens that are under way to the endpoint over the link between two availability zones; rounded likewise.
    std::uint64_t pendingLinkTokens = 0;
    /// Number that the sender of a sum gives the endpoint; used only if RelayDigest::sumNumber isn't 0.
    std::uint32_t slot = 0;
    /// The receiver knows from an earlier sum which endpoint has the slot, so that `endpoint` is left out. Used only in sums, too.
    bool isSlotKnown = false;
};

/// An endpoint that is marked as silent, in one of its incarnations.
struct SilentEndpoint {
    /// endpointHash() of the endpoint's id.
    std::uint32_t endpoint = 0;
    std::uint64_t incarnation = 0;
};

/// An endpoint that leaves, in one of its incarnations.
struct LeavingEndpoint {
    /// endpointHash() of the endpoint's id.
    std::uint32_t endpoint = 0;
    std::uint64_t incarnation = 0;
};

/// An endpoint that recently reported that it works more slowly than its performance profile.
struct SlowEndpoint {
    /// endpointHash() of the endpoint's id.
    std::uint32_t endpoint = 0;
    /// Multiple of the expected time; encoding truncates it to a tenth.
    double slowdown = 1;
};

/// Recent answers of an endpoint some of which were failures.
struct FailingEndpoint {
    /// endpointHash() of the endpoint's id.
    std::uint32_t endpoint = 0;
    /// Decayed numbers of answers and of failures among them; encoding rounds them to the nearest eighth.
    double answers = 0;
    double failures = 0;
};

/// Value of CrashReport::inference if the sender is of a version that doesn't state whether the crash is certain.
inline constexpr std::uint64_t UnstatedInference = 1;

/// Reports that requests with a signature may have crashed an endpoint.
struct CrashReport {
    /// Hash of what such requests have in common: the content of the whole request, or a part of its prompt.
    std::uint64_t signature = 0;
    /// Identifies the crash by the endpoint and its incarnation, so all instances that saw the same crash report the same number.
    std::uint64_t crash = 0;
    /// Time since the crash when the report was sent; encoding rounds it down to a tenth of a second. Zero if the sender doesn't state it.
    std::chrono::milliseconds age{0};
    /// Identifies the inference by which one instance takes the endpoint for crashed, so that it can be taken back alone: the same incarnation may crash later.
    /// Zero if the crash is certain.
    std::uint64_t inference = 0;

    friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

/// States that requests with a signature have not caused a crash, or that it was inferred wrongly.
struct CrashRefutation {
    std::uint64_t signature = 0;
    std::uint64_t crash = 0;
    /// The inference that was wrong; zero if the requests are innocent of the crash, however it is known.
    std::uint64_t inference = 0;

    friend bool operator==(const CrashRefutation &, const CrashRefutation &) = default;
};

/// What an endpoint has said about the requests that it takes from all instances together.
struct EndpointLimit {
    /// endpointHash() of the endpoint's id.
    std::uint32_t endpoint = 0;
    /// Requests a second; 0 if it takes any number again. Encoding rounds it to the nearest hundredth, but not to 0.
    double perSecond = 0;
    /// Time since it said so when the digest was sent; encoding rounds it down to a hundredth of a second.
    std::chrono::milliseconds age{0};
};

/// Recent work of one team's requests to one service with one priority (admission::FlowWork), in typical requests that are open at the same time. Encoding
/// rounds it to the nearest hundredth.
struct WorkFlow {
    /// endpointHash() of the names of the service and the team; 0 for requests without a team.
    std::uint32_t service = 0;
    std::uint32_t team = 0;
    std::uint32_t priority = 0;
    double offered = 0;
    double admitted = 0;
    double congested = 0;
};

/// An instance that sums the digests of its availability zone.
struct Aggregator {
    /// Id of the instance, and IP:port at which it receives messages.
    std::string instance;
    std::string meshAddress;
};

/// The latest sum that an instance has from an aggregator.
struct ReceivedSum {
    /// endpointHash() of the aggregator's id.
    std::uint32_t sender = 0;
    /// RelayDigest::sumNumber of that sum.
    std::uint64_t number = 0;
};

/// Whose requests the loads of a digest count.
enum class DigestScope : std::uint8_t {
    /// Those of the sending instance.
    Instance,
    /// Those of all instances in the sender's availability zone.
    Zone,
    /// Those of all instances.
    Fleet,
};

/// The message in which an instance periodically reports to others the requests that it or a group of instances relays, and the state of endpoints.
struct RelayDigest {
    /// Id of the sending instance.
    std::string instance;
    /// The sending instance is shutting down.
    bool leaving = false;
    /// Endpoints on which the instances within the scope have open requests.
    std::vector<EndpointLoad> loads;
    /// Endpoints that the sender has marked as silent.
    std::vector<SilentEndpoint> silent;
    /// Endpoints that recently reported a slowdown.
    std::vector<SlowEndpoint> slow;
    /// Crash reports since the last digest. Those that convict a signature are repeated from time to time.
    std::vector<CrashReport> crashReports;
    /// Version of the configuration that the sender knows; 0 if it knows none.
    std::uint64_t configVersion = 0;
    /// Hash of the list of endpoints that the sender knows; 0 if its knowledge is too old to be reported.
    std::uint64_t endpointsHash = 0;
    /// Version of the store up to which the sender knows the list of endpoints.
    StoreVersion endpointsVersion = {};
    /// The sender's knowledge of the store is stale; other instances don't rely on it.
    bool isStale = false;
    /// IP:port at which the sender receives messages, and its availability zone; empty if the sender is of a version that doesn't state them.
    std::string meshAddress = {};
    std::string zone = {};
    DigestScope scope = DigestScope::Instance;
    /// Number of instances whose loads are counted, and number of instances that have lately been seen within the scope. The first is lower while digests are
    /// missing.
    std::uint32_t countedInstances = 1;
    std::uint32_t knownInstances = 1;
    /// The sender uses the receiver as an aggregator, and whether it asks for digests with the loads of the whole fleet.
    bool toAggregator = false;
    bool requestsFleetLoads = false;
    /// Other aggregators of the sender's zone that the sender uses. Instances that were there before them learn of them in this way.
    std::vector<Aggregator> aggregators = {};
    /// Endpoints that have lately failed requests of the instances within the scope.
    std::vector<FailingEndpoint> failing = {};
    /// Refutations of crash reports since the last digest.
    std::vector<CrashRefutation> crashRefutations = {};
    /// Convicted signatures of which a probe was sent since the last digest.
    std::vector<std::uint64_t> crashProbes = {};
    /// What endpoints have lately said to the instances within the scope about the requests that they take.
    std::vector<EndpointLimit> limits = {};
    /// Endpoints that are known to leave although the list of endpoints doesn't show it.
    std::vector<LeavingEndpoint> leavingEndpoints = {};
    /// IP:port at which the sender takes requests from other instances; stated along with `meshAddress`, empty if the sender is of a version that takes none.
    std::string handOverAddress = {};
    /// The sender reaches no endpoint at present, and hands its requests over to others.
    bool reachesNoEndpoint = false;
    /// Number of the sum in this digest; 0 if it isn't numbered. A numbered sum may consist of the loads that have changed since an earlier sum, whose number
    /// is `sumBase`; it is complete if that is 0.
    std::uint64_t sumNumber = 0;
    std::uint64_t sumBase = 0;
    /// The sender accepts such changes, and the latest sums that it has.
    bool acceptsChanges = false;
    std::vector<ReceivedSum> receivedSums = {};
    /// The loads of the sender are left out, since the receiver knows them from a sum. Only sent to those that accept changes.
    bool omitsLoads = false;
    /// Recent work of the instances within the scope; empty unless admission by priority is active for a service.
    std::vector<WorkFlow> flows = {};
    /// Hashes of the requests that instances have rejected with a retry time since the last digest.
    std::vector<std::uint32_t> returning = {};
};

/// An entry of the store's list of endpoints.
struct EndpointRecord {
    std::string id;
    /// Name of the service that the endpoint belongs to.
    std::string service;
    /// IP:port at which the endpoint accepts requests.
    std::string address;
    std::string zone;
    /// Start time of the endpoint's process in milliseconds since the Unix epoch; increases with each restart.
    std::uint64_t incarnation = 0;
    /// The endpoint gets no new requests.
    bool draining = false;
    /// Number of requests that the endpoint processes at the same time.
    std::uint32_t slots = 1;
    /// Kind of the endpoint's accelerator; empty for endpoints that hold no model layers.
    std::string accelerator;
    /// The range of layers [firstLayer, endLayer) that the endpoint holds.
    std::uint32_t firstLayer = 0;
    std::uint32_t endLayer = 0;
    /// Version of the model that these layers belong to.
    std::uint64_t modelVersion = 0;

    friend bool operator==(const EndpointRecord &, const EndpointRecord &) = default;
};

/// The changes of the list of endpoints between two versions of the store, or the whole list.
struct EndpointListChanges {
    /// New and changed entries, in their present form.
    std::vector<EndpointRecord> changed;
    /// Ids of the entries that were removed.
    std::vector<std::string> removed;
    /// `changed` is the whole list: what it doesn't name isn't listed.
    bool isComplete = false;

    friend bool operator==(const EndpointListChanges &, const EndpointListChanges &) = default;
};

/// Requests from an instance the age of its knowledge of the store, and the changes of the list of endpoints since a version of the store.
struct FreshnessRequest {
    /// Id of the requesting instance.
    std::string instance;
    /// Number that the reply returns.
    std::uint64_t number = 0;
    /// Version of the store up to which the requesting instance knows the list of endpoints.
    StoreVersion endpointsVersion = {};
    /// IP:port at which the requesting instance receives the reply; empty if it is of a version that doesn't state it.
    std::string meshAddress = {};
};

/// Reply to FreshnessRequest: what an instance knows of the store, and how old this knowledge was when it replied. Ages are in milliseconds, rounded up.
struct FreshnessReply {
    /// Number of the request.
    std::uint64_t number = 0;
    /// Version of the configuration that the instance knows.
    std::uint64_t configVersion = 0;
    std::uint64_t configAgeMs = 0;
    /// Hash of the list of endpoints that the instance knows.
    std::uint64_t endpointsHash = 0;
    std::uint64_t endpointsAgeMs = 0;
    /// Version of the store up to which the instance knows the list of endpoints.
    StoreVersion endpointsVersion = {};
    /// Changes since the version in the request, or the whole list if the replying instance doesn't know all of them. None if it knows no list, or only one
    /// of an earlier epoch than that of the request.
    std::optional<EndpointListChanges> changes = std::nullopt;
};

/// Any message between instances that run the relay kernel (libs/relay).
using RelayMessage = std::variant<RelayDigest, FreshnessRequest, FreshnessReply>;

/// Returns the hash that replaces an endpoint's id in a digest, to keep digests small. Two ids may have the same hash. This is harmless because a digest only
/// improves the choice of endpoints; correctness does not depend on it.
std::uint32_t endpointHash(std::string_view endpointId);

/// Encodes a message as protobuf (src/Records.proto).
std::string encode(const RelayMessage &message);

/// Decodes a message; returns a BadRequest error for malformed bytes, a missing sender, or a digest whose parallel lists differ in length.
base::Result<RelayMessage> decodeRelayMessage(std::string_view bytes);

} // namespace wire
