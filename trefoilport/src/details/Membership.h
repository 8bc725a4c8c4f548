#pragma once

#include "base/Hash.h"
#include "trefoilport/Action.h"
#include "trefoilport/Kernel.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace trefoilport {

/// Knows which instances are alive, by gossip of heartbeat counters.
///
/// Every member raises a counter of its own and passes a bounded sample of the counters that it knows to a few peers each round. A member
/// whose counter does not advance within suspectMs counts as gone. One-way cuts are bridged by any third member. The cost of a round does
/// not depend on the size of the fleet: peers and entries are bounded; only the spreading time grows, with its logarithm.
class Membership
{
public:
    explicit Membership(const KernelSettings &settings);

    /// What this instance says of itself in the next round.
    struct OwnState {
        std::uint64_t stagedRevision = 0;
        std::uint64_t acceptedRevision = 0;
        std::uint64_t epoch = 0;
        std::uint64_t intentEpoch = 0;
        bool storeReachable = false;
        bool leaving = false;
        bool gone = false;
        bool operator==(const OwnState &) const = default;
    };

    /// A change starts the next round at once.
    void setOwn(const OwnState &own);

    /// Takes addresses from the instance list; they are only hints where to gossip to.
    void learnAddresses(const std::vector<InstanceInfo> &instances);

    /// Merges a peer's entries; newly seen members are recorded.
    void merge(const std::vector<wire::MemberState> &entries, base::Now now, Actions &actions);

    /// Marks members that fell silent. A gap in this process's own ticks is not held against them.
    void tick(base::Now now, Actions &actions);

    /// True once per gossip round.
    bool roundIsDue(base::Now now) const;

    /// Starts the next round: raises the own counter and returns the addresses to send to and the entries to send.
    struct Round {
        std::vector<std::string> addresses;
        std::vector<wire::MemberState> entries;
    };
    Round nextRound(base::Now now);

    /// Sends one round at once, for example on leaving; returns every known live address.
    std::vector<std::string> liveAddresses() const;

    /// True if the member counts as alive. The instance itself always does.
    bool isAlive(const std::string &id) const;

    /// True if exactly that incarnation of the member counts as alive.
    bool isAlive(const std::string &id, std::uint64_t incarnation) const;

    /// Since when the member is silent; time in which this process itself was paused does not count. Zero if it was never heard.
    base::Instant silentSince(const std::string &id) const;

    /// Live members with this instance, in the order of ids; those that are leaving are left out.
    std::vector<std::string> liveMembers() const;

    /// The member's last word, or null.
    const wire::MemberState *find(const std::string &id) const;

    /// Mesh address of a member, or empty.
    std::string addressOf(const std::string &id) const;

    /// The highest epoch that any member holds, and the highest that any knows may have been written.
    std::pair<std::uint64_t, std::uint64_t> highestEpochs() const;

    /// A live member that holds a later epoch, or else a later staged revision; empty if there is none.
    std::string holderAbove(std::uint64_t epoch, std::uint64_t stagedRevision) const;

    std::vector<InstanceStatus> describe(base::Now now) const;

    const std::string &ownId() const
    {
        return own_.id;
    }

private:
    struct Member {
        wire::MemberState state;
        base::Instant lastSeen{0};
        /// heardAt, moved forward by gaps of this process.
        base::Instant suspectFrom{0};
        base::Instant firstSeen{0};
        bool alive = true;
    };

    bool takeEntry(const wire::MemberState &entry, base::Now now, Actions &actions);
    std::vector<std::string> candidateAddresses() const;

    const KernelSettings &settings_;
    base::Random random_;
    wire::MemberState own_;
    OwnState published_;
    std::map<std::string, Member> members_;
    std::map<std::string, std::string> listedAddresses_;
    std::map<std::string, std::string> listedZones_;
    base::Instant lastTick_{0};
    base::Instant nextRound_{0};
    bool urgent_ = false;
};

} // namespace trefoilport
