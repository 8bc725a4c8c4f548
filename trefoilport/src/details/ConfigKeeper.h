#pragma once

#include "details/Membership.h"
#include "trefoilport/Event.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace trefoilport {

/// Keeps the configuration in force: staged on every member before it is accepted, moving only upwards.
///
/// The head object fixes the accepted revision and the members under an epoch. Before a coordinator writes the next epoch, more than half
/// of the members must hold the intent for it, that is, know that it may exist. An instance takes new work only while its head is
/// confirmed: by a read that was sent within confirmMs, or, while the store can't be read, by answers of more than half of its members to
/// a question of that age, none of which knows of a later epoch or of the intent for one. Two such majorities share a member, so nobody
/// goes on under a head that was replaced. A member that has stopped for good counts as agreeing: it can take over no intent any more. Members are named with
/// their incarnation, since a restarted one has forgotten its intents.
class ConfigKeeper
{
public:
    ConfigKeeper(const KernelSettings &settings, Membership &membership);

    /// The head was read, or confirmed to be unchanged.
    void onHead(const HeadReceived &seen, base::Now now, Actions &actions);

    /// The store could not be reached.
    void onStoreFailed(Actions &actions);

    /// A peer sent its configuration.
    void onPeerHead(const ParsedHead &head, Actions &actions);

    /// A member answered the question for confirmation.
    void onConfirmReply(const std::string &from, std::uint64_t incarnation, const wire::ConfirmReply &reply);

    /// The answer to another instance's question.
    wire::ConfirmReply confirmReplyTo(const wire::ConfirmRequest &request) const;

    /// A peer asks for what is above its own revisions; empty if there is nothing.
    std::optional<wire::ConfigReply> replyTo(const wire::ConfigRequest &request) const;

    /// The coordinator's write ended.
    void onWriteDone(const StoreWriteDone &done);

    /// Fetches from peers what they have above this instance, asks for confirmation where the store can't give it, and does the
    /// coordinator's duty if it falls to this instance.
    void tick(base::Now now, Actions &actions, StoreOpId &nextOp);

    /// True if new work may be taken under the revision in force.
    bool isConfirmed(base::Now now) const;

    /// What this instance says of itself in gossip.
    Membership::OwnState ownState(bool leaving) const;

    /// From now on this instance takes over no intent; it is about to exit.
    void stop()
    {
        stopped_ = true;
    }

    /// The configuration in force; null before the first one.
    const std::shared_ptr<const settings::RoutingConfig> &inForce() const
    {
        return accepted_.parsed;
    }

    std::uint64_t revision() const
    {
        return accepted_.document.revision;
    }

    std::uint64_t stagedRevision() const;

    bool storeReachable() const
    {
        return storeReachable_;
    }

    /// Members that have not staged the pending change.
    std::vector<std::string> waitingFor() const;

    bool ownsOp(StoreOpId op) const
    {
        return op != 0 && op == writeOp_;
    }

private:
    /// A member's last answer, with the time at which the question was sent.
    struct Confirmation {
        base::Instant requestedAt{0};
        std::uint64_t epoch = 0;
        std::uint64_t intentEpoch = 0;
    };

    void takeHead(const ParsedHead &head, Actions &actions);
    void takeAccepted(const ConfigVersion &version, Actions &actions);
    void takeStaged(const std::optional<ConfigVersion> &version, Actions &actions);
    bool isConfirmedByStore(base::Now now) const;
    bool isConfirmedByMembers(base::Now now) const;
    bool isGone(const std::string &member) const;
    void askMembers(base::Now now, Actions &actions);
    void followIntents();
    bool majorityHasIntent(std::uint64_t epoch) const;
    bool isCoordinator() const;
    std::vector<std::string> nextMembers(base::Now now) const;
    bool isRemovable(const std::string &member, base::Now now) const;
    bool headIsFresh(base::Now now, Actions &actions);
    void coordinate(base::Now now, Actions &actions, StoreOpId &nextOp);
    void fetchFromPeers(base::Now now, Actions &actions);
    wire::ConfigHead toHead() const;

    const KernelSettings &settings_;
    Membership &membership_;
    /// Own name with incarnation, as in the members of the head.
    std::string ownMember_;
    ConfigVersion accepted_;
    std::optional<ConfigVersion> staged_;
    std::vector<std::string> members_;
    std::uint64_t epoch_ = 0;
    std::uint64_t intentEpoch_ = 0;
    /// Version of the stored head object that was read last.
    std::uint64_t headVersion_ = 0;
    bool headWasRead_ = false;
    base::Instant headReadAt_{0};
    base::Instant startedAt_{0};
    bool storeReachable_ = false;
    bool stopped_ = false;
    StoreOpId writeOp_ = 0;
    base::Instant nextWrite_{0};
    base::Instant nextFetch_{0};
    base::Instant nextRequest_{0};
    base::Instant nextRead_{0};
    /// Since when this instance sees a change of the head to be due; zero if none is.
    base::Instant dueSince_{0};
    std::uint64_t lastSequence_ = 0;
    std::map<std::uint64_t, base::Instant> requestTimes_;
    std::map<std::string, Confirmation> confirmations_;
};

/// "instance:incarnation".
std::string memberName(const std::string &id, std::uint64_t incarnation);

} // namespace trefoilport
