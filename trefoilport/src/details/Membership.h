#pragma once

#include "base/Hash.h"
#include "trefoilport/Action.h"
#include "trefoilport/Kernel.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace trefoilport {

/// Detects which instances are alive, by gossip of heartbeat counters.
///
/// In each round, a member increments its own counter and sends it to a few peers, with a random sample of the counters that it knows of other members. A
/// member whose counter does not advance for suspectMs counts as gone. If messages between two members get lost in one direction, third members pass the
/// counters on. The cost of a round does not depend on the size of the fleet, since the numbers of peers and entries are limited; only the propagation delay
/// grows, with the logarithm of the size.
class Membership
{
public:
    /// The settings must outlive this object.
    explicit Membership(const KernelSettings &settings);

    /// State of this instance that is sent with its counter; the fields are those of wire::MemberState.
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

    /// Sets the state of this instance. If it changed, the next round is due at once and goes to more peers.
    void setOwn(const OwnState &own);

    /// Applies the instance list. Its addresses are only used as targets for gossip: an instance does not count as alive for being listed.
    void learnAddresses(const std::vector<InstanceInfo> &instances);

    /// Merges the entries of a peer's message. Writes a MemberJoined event for a member that is new, restarted or alive again.
    void merge(const std::vector<wire::MemberState> &entries, base::Now now, Actions &actions);

    /// Marks members that were silent for suspectMs as gone, and removes members that have been gone for long. Time in which this process did not run is not
    /// counted as silence.
    void tick(base::Now now, Actions &actions);

    /// True if the next gossip round is due.
    bool roundIsDue(base::Now now) const;

    /// One gossip round: the addresses to send to and the entries to send.
    struct Round {
        std::vector<std::string> addresses;
        std::vector<wire::MemberState> entries;
    };
    /// Starts the next round and increments the own counter.
    Round nextRound(base::Now now);

    /// Addresses of all live members, for messages that must reach every peer at once.
    std::vector<std::string> liveAddresses() const;

    /// True if the member counts as alive. This instance itself always does.
    bool isAlive(const std::string &id) const;

    /// True if exactly that incarnation of the member counts as alive.
    bool isAlive(const std::string &id, std::uint64_t incarnation) const;

    /// Since when the member is silent, moved forward by the time in which this process did not run. Zero if the member is unknown.
    base::Instant silentSince(const std::string &id) const;

    /// Ids of the live members, this instance included, in ascending order. Members that are leaving are left out.
    std::vector<std::string> liveMembers() const;

    /// The last state received from the member, or this instance's own state; null if the member is unknown.
    const wire::MemberState *find(const std::string &id) const;

    /// Mesh address of a member, from gossip or else from the instance list; empty if unknown.
    std::string addressOf(const std::string &id) const;

    /// The highest epoch and the highest intent epoch of all known members, this instance included.
    std::pair<std::uint64_t, std::uint64_t> highestEpochs() const;

    /// Id of a live member that holds a later epoch than the given one, or else a later staged revision; empty if there is none.
    std::string memberAhead(std::uint64_t epoch, std::uint64_t stagedRevision) const;

    /// State of this instance and of all known members, for the status report.
    std::vector<InstanceStatus> describe(base::Now now) const;

    const std::string &ownId() const
    {
        return own_.id;
    }

private:
    struct Member {
        wire::MemberState state;
        /// When its counter last advanced.
        base::Instant lastSeen{0};
        /// lastSeen, moved forward by the time in which this process did not run.
        base::Instant suspectFrom{0};
        /// When the member's current incarnation was first seen.
        base::Instant firstSeen{0};
        bool alive = true;
    };

    /// Merges one entry; returns true if it was newer than what was known of the member.
    bool mergeEntry(const wire::MemberState &entry, base::Now now, Actions &actions);
    /// Addresses that gossip may be sent to: those of live members, listed instances and seeds, each once and without the own one.
    std::vector<std::string> candidateAddresses() const;

    const KernelSettings &settings_;
    base::Random random_;
    wire::MemberState own_;
    /// The state last set by setOwn().
    OwnState published_;
    std::map<std::string, Member> members_;
    /// Mesh addresses and zones from the instance list, by instance id.
    std::map<std::string, std::string> listedAddresses_;
    std::map<std::string, std::string> listedZones_;
    base::Instant lastTick_{0};
    base::Instant nextRound_{0};
    /// The own state has changed since the last round.
    bool urgent_ = false;
};

} // namespace trefoilport
