#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The records that are kept in the platform's store or sent between instances, as plain aggregates.
namespace wire {

/// Progress of a call that runs at most once. A released claim is removed from its bucket, so there is no state for it.
enum class ClaimState {
    /// The call that holds the claim may dispatch its request or has dispatched it.
    Claimed,
    /// The request was run and its outcome is stored.
    Done,
    /// The request was dispatched but its outcome was lost, so it may or may not have run.
    Unknown,
};

/// The exclusive right of one call to dispatch the request of an idempotency key, and the outcome of that call.
struct Claim {
    /// Identifies the idempotency key: team, route and the key that the caller chose.
    std::string key;
    /// "instance:incarnation:call" of the one call that holds the claim.
    std::string nonce;
    ClaimState state = ClaimState::Claimed;
    /// Hash of method, target and body. A later call with the same key must have the same hash.
    std::uint64_t requestHash = 0;
    /// Time of the claim in milliseconds since the Unix epoch; used only to remove old claims.
    std::int64_t claimedAtMs = 0;
    /// HTTP status of the stored outcome. It, contentType, body and bodyKept are only valid in state Done.
    int status = 0;
    std::string contentType;
    std::string body;
    /// False if the body was longer than the stored_answer_bytes limit and was not stored; a repeated call then gets the status with an
    /// empty body.
    bool bodyKept = true;
};

/// One bucket object of the store. It holds all claims whose keys hash to this bucket.
struct ClaimBucket {
    std::vector<Claim> claims;
};

/// One settings file of a configuration.
struct ConfigFile {
    std::string name;
    /// Content of the file in YAML.
    std::string text;
};

/// A whole configuration: the files of the settings folder that an operator applied, ordered by name, under one revision.
struct ConfigDocument {
    std::uint64_t revision = 0;
    std::vector<ConfigFile> files;
};

/// The head object of the store: the accepted configuration, a proposed change, and the instances that must have staged the change before it is accepted.
struct ConfigHead {
    /// Increases with each acceptance and each change of the members, but not with staging.
    std::uint64_t epoch = 0;
    /// The configuration in force.
    ConfigDocument accepted;
    /// Present while a change is pending; its revision is the accepted revision plus one.
    std::optional<ConfigDocument> staged;
    /// "instance:incarnation" of each member, sorted.
    std::vector<std::string> members;
};

/// The state that one instance publishes about itself by gossip. Receivers keep the state with the highest (incarnation, counter).
struct MemberState {
    /// Id of the instance.
    std::string id;
    /// Increases with each start of the process.
    std::uint64_t incarnation = 0;
    /// Increases with each gossip round of the member.
    std::uint64_t counter = 0;
    /// Revision of the proposed configuration that the member has staged.
    std::uint64_t stagedRevision = 0;
    /// Revision of the accepted configuration that the member holds.
    std::uint64_t acceptedRevision = 0;
    /// Epoch of the head that the member holds.
    std::uint64_t epoch = 0;
    /// The highest epoch that may have been written, as far as the member knows. Greater than epoch until it is known whether that write took effect.
    std::uint64_t intentEpoch = 0;
    /// The member can reach the store.
    bool storeReachable = false;
    /// The member is shutting down and takes no new work.
    bool leaving = false;
    /// Set in the final state of an incarnation: the process has stopped for good and will not adopt the intent of another member.
    bool gone = false;
    /// Mesh address and availability zone of the member. Both are empty if the sender assumes that the receiver already knows them.
    std::string address;
    std::string zone;
};

/// Reports that an endpoint was seen to be leaving. The notice is valid only for the given incarnation of the endpoint.
struct LeavingNotice {
    /// Id of the endpoint.
    std::string endpoint;
    std::uint64_t incarnation = 0;
};

/// The number of endpoint crashes that one instance has attributed to a request.
struct CrashNotice {
    /// Hash that identifies the content of the request.
    std::uint64_t fingerprint = 0;
    /// Id of the instance that observed the crashes.
    std::string observer;
    std::uint32_t crashCount = 0;
    /// Remaining lifetime of the crash count in milliseconds, at the time of sending.
    std::uint32_t remainingMs = 0;
};

/// The message that each instance periodically sends to some of the others.
struct Gossip {
    /// The first entry is the sender's own state.
    std::vector<MemberState> members;
    std::vector<LeavingNotice> leaving;
    std::vector<CrashNotice> crashNotices;
};

/// Requests a peer's configuration head if it is newer than that of the sender.
struct ConfigRequest {
    /// Epoch of the head that the sender holds.
    std::uint64_t epoch = 0;
    /// Staged revision that the sender holds.
    std::uint64_t stagedRevision = 0;
};

/// Reply to ConfigRequest.
struct ConfigReply {
    ConfigHead head;
};

/// Requests the epochs of a member of the head, to find out whether a newer head may exist. Sent only while the sender's last read of the head from the store
/// is not recent, for example because the store can't be read.
struct ConfirmRequest {
    /// Number that the reply returns.
    std::uint64_t sequence = 0;
};

/// Reply to ConfirmRequest; epoch and intentEpoch are those of the member's state.
struct ConfirmReply {
    /// Sequence of the request.
    std::uint64_t sequence = 0;
    std::uint64_t epoch = 0;
    std::uint64_t intentEpoch = 0;
};

/// Any message between instances.
using PeerMessage = std::variant<Gossip, ConfigRequest, ConfigReply, ConfirmRequest, ConfirmReply>;

/// A message between instances with its sender.
struct PeerEnvelope {
    /// Id of the sending instance.
    std::string from;
    /// Incarnation of the sending instance.
    std::uint64_t incarnation = 0;
    PeerMessage message;
    /// Hybrid logical time at which the message was sent (timeline::Stamp). The driver sets it, not the kernel.
    std::uint64_t stamp = 0;
};

} // namespace wire
