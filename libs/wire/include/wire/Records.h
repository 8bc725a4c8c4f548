#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The records that outlive a process or cross between instances, as plain aggregates.
namespace wire {

/// How far a non-repeatable call has come. Released claims are removed, so they have no state.
enum class ClaimState {
    /// Its claimant may dispatch it, or has.
    Claimed,
    /// It ran; the outcome is stored.
    Done,
    /// It was dispatched and its outcome was lost.
    Unknown,
};

/// The claim on one idempotency key.
struct Claim {
    /// Team, route and caller's key.
    std::string key;
    /// Names the one call that holds the claim: instance, incarnation and call number.
    std::string nonce;
    ClaimState state = ClaimState::Claimed;
    /// Hash of method, target and body: a repeat must match it.
    std::uint64_t requestHash = 0;
    /// Unix time in milliseconds, for retention only.
    std::int64_t claimedAtMs = 0;
    /// The stored outcome, valid in state Done.
    int status = 0;
    std::string contentType;
    std::string body;
    /// False if the body was over the stored limit; a repeat then hears status and "body not kept".
    bool bodyKept = true;
};

/// One bucket object: the claims whose keys hash to it.
struct ClaimBucket {
    std::vector<Claim> claims;
};

/// One settings file of an applied folder.
struct ConfigFile {
    std::string name;
    std::string text;
};

/// A whole configuration: the folder's files in name order under one revision.
struct ConfigDocument {
    std::uint64_t revision = 0;
    std::vector<ConfigFile> files;
};

/// The head object: what is in force, what is proposed, and whose staging an acceptance needs.
struct ConfigHead {
    /// Grows with each acceptance and each change of the members, not with staging.
    std::uint64_t epoch = 0;
    ConfigDocument accepted;
    /// Present while a change is pending; its revision is the accepted one plus one.
    std::optional<ConfigDocument> staged;
    /// "instance:incarnation", ordered.
    std::vector<std::string> members;
};

/// What one instance says of itself; spread by gossip, the highest (incarnation, counter) wins.
struct MemberState {
    std::string id;
    /// Grows with each start of the process.
    std::uint64_t incarnation = 0;
    /// Grows with each gossip round of the member.
    std::uint64_t counter = 0;
    std::uint64_t stagedRevision = 0;
    std::uint64_t acceptedRevision = 0;
    /// Epoch of the head that the member holds.
    std::uint64_t epoch = 0;
    /// The highest epoch that the member knows may have been written; above epoch while that is open.
    std::uint64_t intentEpoch = 0;
    bool storeReachable = false;
    /// The member is shutting down and takes no new work.
    bool leaving = false;
    /// The member's last word: this incarnation has stopped for good and will take over no further intent.
    bool gone = false;
    /// Mesh address and availability zone, both empty when the receiver is expected to know them.
    std::string address;
    std::string zone;
};

/// An endpoint was seen to be leaving; holds for that incarnation of it.
struct LeavingNotice {
    std::string endpoint;
    std::uint64_t incarnation = 0;
};

/// Crashes that one instance has seen a request cause.
struct CrashNotice {
    std::uint64_t fingerprint = 0;
    std::string observer;
    std::uint32_t crashCount = 0;
    /// Milliseconds that the mark still lasts at the time of sending.
    std::uint32_t remainingMs = 0;
};

/// The periodic message between instances.
struct Gossip {
    /// The sender's own state comes first.
    std::vector<MemberState> members;
    std::vector<LeavingNotice> leaving;
    std::vector<CrashNotice> crashNotices;
};

/// Asks a peer for its configuration, if that is above what the sender holds.
struct ConfigRequest {
    std::uint64_t epoch = 0;
    std::uint64_t stagedRevision = 0;
};

/// Answers ConfigRequest.
struct ConfigReply {
    ConfigHead head;
};

/// Asks a member of the head whether a newer head may exist. Used only while the store can't be read.
struct ConfirmRequest {
    std::uint64_t sequence = 0;
};

/// Answers ConfirmRequest.
struct ConfirmReply {
    std::uint64_t sequence = 0;
    std::uint64_t epoch = 0;
    std::uint64_t intentEpoch = 0;
};

/// What instances send each other.
using PeerMessage = std::variant<Gossip, ConfigRequest, ConfigReply, ConfirmRequest, ConfirmReply>;

/// The envelope of a peer message: who sent it.
struct PeerEnvelope {
    std::string from;
    std::uint64_t incarnation = 0;
    PeerMessage message;
    /// Hybrid logical time of the sending, set by the driver.
    std::uint64_t stamp = 0;
};

} // namespace wire
