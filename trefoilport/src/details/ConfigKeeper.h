#pragma once

#include "details/Membership.h"
#include "trefoilport/Event.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trefoilport {

/// Manages the configuration in force. A new revision is staged on every member before it is accepted, and the revision in force never decreases.
///
/// The head object in the store defines the accepted revision and the members, and an epoch numbers its versions. One instance, the coordinator, writes the
/// next epoch by a conditional write. Before that, more than half of the members must hold the intent for the epoch, that is, know that the epoch may exist.
///
/// An instance takes new work only while its head is confirmed, in one of two ways:
/// - by a read of the head that was sent within confirmMs, or
/// - while the store can't be read, by more than half of its members, this instance included. Only replies to confirmation requests sent within confirmMs
///   count, and none of them may show a later epoch or the intent for one.
///
/// Two such majorities share a member, so no instance continues under a head that was replaced. A member that has stopped for good without such an intent
/// counts as confirming, since it can't adopt one any more. Members are named with their incarnation, since a restarted member has lost its intents.
class ConfigKeeper
{
public:
    /// Both arguments must outlive the keeper.
    ConfigKeeper(const KernelSettings &settings, Membership &membership);

    /// Processes a read of the head object, which also confirms the head unless it is stale. A stale read, with a lower version or epoch, neither changes nor
    /// confirms the head.
    void onHead(const HeadReceived &seen, base::Now now, Actions &actions);

    /// Records that the store can't be reached; onHead() ends this state.
    void onStoreFailed(Actions &actions);

    /// Processes a peer's head and adopts what is above this instance's own epoch or staged revision.
    void onPeerHead(const ParsedHead &head, Actions &actions);

    /// Processes a member's reply to a confirmation request. Replies to requests older than confirmMs do not count.
    void onConfirmReply(const std::string &from, std::uint64_t incarnation, const wire::ConfirmReply &reply);

    /// The reply to another instance's confirmation request.
    wire::ConfirmReply confirmReplyTo(const wire::ConfirmRequest &request) const;

    /// The reply to a peer's configuration request: this instance's head, or none if it has nothing above what the peer holds.
    std::optional<wire::ConfigReply> replyTo(const wire::ConfigRequest &request) const;

    /// Ends the coordinator's write. The result is not used: the watch shows the head.
    void onWriteDone(const StoreWriteDone &done);

    /// Fetches newer configurations from peers, requests confirmation from the members if the store has not given it recently, and performs the coordinator's
    /// duty if this instance is the coordinator. Ids of store operations are taken from nextOp.
    void tick(base::Now now, Actions &actions, StoreOpId &nextOp);

    /// True if new work may be accepted under the revision in force. False if any member is known to hold a later epoch.
    bool isConfirmed(base::Now now) const;

    /// State of this instance for gossip.
    Membership::OwnState ownState(bool leaving) const;

    /// Stops the adoption of intents for good, since the process is about to exit. From now on gossip shows this instance as gone.
    void stop()
    {
        stopped_ = true;
    }

    /// The configuration in force; null before the first one is adopted.
    const std::shared_ptr<const settings::RoutingConfig> &inForce() const
    {
        return accepted_.parsed;
    }

    /// Revision of the configuration in force; 0 before the first one.
    std::uint64_t revision() const
    {
        return accepted_.document.revision;
    }

    /// The higher of the accepted revision and, if this instance could parse it, the staged one.
    std::uint64_t stagedRevision() const;

    /// False until the first read of the head, and after a failed one until the next success.
    bool storeReachable() const
    {
        return storeReachable_;
    }

    /// Members that have not staged the pending revision; empty if none is pending.
    std::vector<std::string> waitingFor() const;

    /// True if the operation is the coordinator's write in flight.
    bool ownsOp(StoreOpId op) const
    {
        return op != 0 && op == writeOp_;
    }

private:
    /// A member's last reply to a confirmation request, with the time at which the request was sent.
    struct Confirmation {
        base::Instant requestedAt{0};
        std::uint64_t epoch = 0;
        std::uint64_t intentEpoch = 0;
    };

    void adoptHead(const ParsedHead &head, Actions &actions);
    void adoptAccepted(const ConfigVersion &version, Actions &actions);
    void adoptStaged(const std::optional<ConfigVersion> &version, Actions &actions);
    bool isConfirmedByStore(base::Now now) const;
    bool isConfirmedByMembers(base::Now now) const;
    bool isGone(const std::string &member) const;
    void requestConfirmation(base::Now now, Actions &actions);
    void adoptIntent();
    bool majorityHasIntent(std::uint64_t epoch) const;
    bool isCoordinator() const;
    /// The members for the next epoch: those of the head that aren't removable, and all live instances that aren't leaving.
    std::vector<std::string> nextMembers(base::Now now) const;
    /// True if the member has restarted, is leaving, or has been silent for longer than RemovalFactor times confirmMs. Never true for this instance itself.
    bool isRemovable(const std::string &member, base::Now now) const;
    bool headIsFresh(base::Now now, Actions &actions);
    /// Performs the coordinator's duty if this instance is the coordinator: opens the intent for the next epoch if the head must change, and writes the head
    /// once a majority of the members holds the intent.
    void coordinate(base::Now now, Actions &actions, StoreOpId &nextOp);
    /// Requests the configuration from a live member that holds a later epoch or staged revision.
    void fetchFromPeers(base::Now now, Actions &actions);
    wire::ConfigHead toHead() const;

    const KernelSettings &settings_;
    Membership &membership_;
    /// This instance as it is named in the members of the head, with its incarnation.
    std::string ownMember_;
    ConfigVersion accepted_;
    /// The pending configuration of the head, also if this instance can't parse it.
    std::optional<ConfigVersion> staged_;
    std::vector<std::string> members_;
    std::uint64_t epoch_ = 0;
    /// The highest epoch that this instance knows may have been written; above epoch_ while an intent is open.
    std::uint64_t intentEpoch_ = 0;
    /// Version of the stored head object that was read last.
    std::uint64_t headVersion_ = 0;
    /// Version of the stored head object that could not be decoded last; 0 if there was none.
    std::uint64_t damagedVersion_ = 0;
    bool headWasRead_ = false;
    /// When the last read of the head that was not stale was sent.
    base::Instant headReadAt_{0};
    /// When the store first answered; zero before that.
    base::Instant storeFirstAnsweredAt_{0};
    bool storeReachable_ = false;
    bool stopped_ = false;
    /// The coordinator's write in flight; 0 if there is none.
    StoreOpId writeOp_ = 0;
    /// Earliest times of the next write, fetch, confirmation request and read of the head.
    base::Instant nextWrite_{0};
    base::Instant nextFetch_{0};
    base::Instant nextConfirmRequest_{0};
    base::Instant nextRead_{0};
    /// Since when this instance, as coordinator, has a change of the head to write; zero if it has none.
    base::Instant changeDueSince_{0};
    /// Sequence number of the last confirmation request.
    std::uint64_t lastSequence_ = 0;
    /// When each recent confirmation request was sent, by sequence number.
    std::map<std::uint64_t, base::Instant> confirmRequestTimes_;
    /// Last replies under the current epoch, by member name.
    std::map<std::string, Confirmation> confirmations_;
};

/// Name of a member in the head object: "instance:incarnation".
std::string memberName(const std::string &id, std::uint64_t incarnation);

} // namespace trefoilport
