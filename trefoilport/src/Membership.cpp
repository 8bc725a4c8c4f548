#include "details/Membership.h"

#include <algorithm>

namespace trefoilport {

namespace {

/// If the time between two ticks is longer than this, the process is considered to have been paused.
constexpr std::chrono::milliseconds PauseThreshold{200};
/// For how long gossip entries of a new or restarted member contain its address and zone.
constexpr std::chrono::seconds AddressGossipPeriod{10};
/// Minimum number of peers in a round that sends a change of the own state.
constexpr std::int64_t ImmediateGossipPeers = 8;
/// A member that is gone is removed when it was last seen longer ago than this.
constexpr std::chrono::seconds SilentMemberLifetime{120};

bool isNewer(const wire::MemberState &left, const wire::MemberState &right)
{
    if (left.incarnation != right.incarnation) {
        return left.incarnation > right.incarnation;
    }
    return left.counter > right.counter;
}

} // namespace

Membership::Membership(const KernelSettings &settings)
    : settings_(settings)
    , random_(settings.seed ^ base::hashOf(settings.id))
{
    own_.id = settings.id;
    own_.zone = settings.zone;
    own_.address = settings.meshAddress;
    own_.incarnation = settings.incarnation;
}

void Membership::setOwn(const OwnState &own)
{
    if (own == published_) {
        return;
    }
    published_ = own;
    own_.stagedRevision = own.stagedRevision;
    own_.acceptedRevision = own.acceptedRevision;
    own_.epoch = own.epoch;
    own_.intentEpoch = own.intentEpoch;
    own_.storeReachable = own.storeReachable;
    own_.leaving = own.leaving;
    own_.gone = own.gone;
    nextRound_ = base::Instant{0};
    urgent_ = true;
}

void Membership::learnAddresses(const std::vector<InstanceInfo> &instances)
{
    listedAddresses_.clear();
    for (const InstanceInfo &instance : instances) {
        if (instance.id != own_.id && !instance.leaving && !instance.mesh.empty()) {
            listedAddresses_[instance.id] = instance.mesh;
            listedZones_[instance.id] = instance.zone;
        }
    }
}

void Membership::merge(const std::vector<wire::MemberState> &entries, base::Now now, Actions &actions)
{
    for (const wire::MemberState &entry : entries) {
        mergeEntry(entry, now, actions);
    }
}

bool Membership::mergeEntry(const wire::MemberState &entry, base::Now now, Actions &actions)
{
    if (entry.id == own_.id || entry.id.empty()) {
        return false;
    }
    const auto [found, isNew] = members_.try_emplace(entry.id);
    Member &member = found->second;
    if (!isNew && !isNewer(entry, member.state)) {
        return false;
    }
    const std::string knownAddress = member.state.address;
    const std::string knownZone = member.state.zone;
    const bool restarted = entry.incarnation != member.state.incarnation;
    member.state = entry;
    if (member.state.address.empty() && !restarted) {
        member.state.address = knownAddress;
        member.state.zone = knownZone;
    }
    if (isNew || restarted) {
        // Restarts AddressGossipPeriod, so that the address is sent to peers again.
        member.firstSeen = now.mono;
    }
    if (isNew || restarted || !member.alive) {
        actions.push_back(Record{TimelineKind::MemberJoined, 0, entry.id, "incarnation " + std::to_string(entry.incarnation)});
    }
    member.lastSeen = now.mono;
    member.suspectFrom = now.mono;
    member.alive = true;
    return true;
}

void Membership::tick(base::Now now, Actions &actions)
{
    const base::Instant gap = lastTick_.count() == 0 ? base::Instant{0} : now.mono - lastTick_;
    lastTick_ = now.mono;
    const bool wasPaused = gap > PauseThreshold;
    for (auto it = members_.begin(); it != members_.end();) {
        Member &member = it->second;
        if (wasPaused) {
            member.suspectFrom = std::min(now.mono, member.suspectFrom + gap);
        }
        const bool silent = now.mono - member.suspectFrom > std::chrono::milliseconds(settings_.suspectMs);
        if (member.alive && silent) {
            member.alive = false;
            actions.push_back(Record{TimelineKind::MemberGone, 0, it->first, "silent for " + std::to_string(base::toMs(now.mono - member.lastSeen)) + " ms"});
        }
        const bool expired = !member.alive && now.mono - member.lastSeen > SilentMemberLifetime;
        it = expired ? members_.erase(it) : std::next(it);
    }
}

bool Membership::roundIsDue(base::Now now) const
{
    return now.mono >= nextRound_;
}

std::vector<std::string> Membership::candidateAddresses() const
{
    std::vector<std::string> addresses;
    const auto add = [&](const std::string &address) {
        if (!address.empty() && address != own_.address && std::find(addresses.begin(), addresses.end(), address) == addresses.end()) {
            addresses.push_back(address);
        }
    };
    for (const auto &[id, member] : members_) {
        if (member.alive) {
            add(addressOf(id));
        }
    }
    // Listed instances that are unknown or gone get gossip as well. This is how the two sides of a network partition find each other when it ends.
    for (const auto &[id, address] : listedAddresses_) {
        add(address);
    }
    for (const std::string &seed : settings_.seeds) {
        add(seed);
    }
    return addresses;
}

Membership::Round Membership::nextRound(base::Now now)
{
    nextRound_ = now.mono + std::chrono::milliseconds(settings_.gossipMs);
    ++own_.counter;
    Round round;
    std::vector<std::string> candidates = candidateAddresses();
    const std::int64_t peers = urgent_ ? std::max(settings_.gossipPeers, ImmediateGossipPeers) : settings_.gossipPeers;
    urgent_ = false;
    for (std::int64_t i = 0; i < peers && !candidates.empty(); ++i) {
        const std::size_t pick = random_.nextBelow(candidates.size());
        round.addresses.push_back(candidates[pick]);
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(pick));
    }
    round.entries.push_back(own_);
    std::vector<const Member *> known;
    for (const auto &[id, member] : members_) {
        if (member.alive) {
            known.push_back(&member);
        }
    }
    const std::size_t limit = std::min(known.size(), static_cast<std::size_t>(settings_.gossipEntries));
    for (std::size_t i = 0; i < limit; ++i) {
        const std::size_t pick = i + random_.nextBelow(known.size() - i);
        std::swap(known[i], known[pick]);
        wire::MemberState entry = known[i]->state;
        if (now.mono - known[i]->firstSeen > AddressGossipPeriod) {
            entry.address.clear();
            entry.zone.clear();
        }
        round.entries.push_back(std::move(entry));
    }
    return round;
}

std::vector<std::string> Membership::liveAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &[id, member] : members_) {
        const std::string address = addressOf(id);
        if (member.alive && !address.empty()) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

bool Membership::isAlive(const std::string &id) const
{
    if (id == own_.id) {
        return true;
    }
    const auto found = members_.find(id);
    return found != members_.end() && found->second.alive;
}

bool Membership::isAlive(const std::string &id, std::uint64_t incarnation) const
{
    if (id == own_.id) {
        return incarnation == own_.incarnation;
    }
    const wire::MemberState *state = find(id);
    return isAlive(id) && state->incarnation == incarnation;
}

base::Instant Membership::silentSince(const std::string &id) const
{
    const auto found = members_.find(id);
    return found == members_.end() ? base::Instant{0} : found->second.suspectFrom;
}

std::vector<std::string> Membership::liveMembers() const
{
    std::vector<std::string> ids;
    if (!own_.leaving) {
        ids.push_back(own_.id);
    }
    for (const auto &[id, member] : members_) {
        if (member.alive && !member.state.leaving) {
            ids.push_back(id);
        }
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

const wire::MemberState *Membership::find(const std::string &id) const
{
    if (id == own_.id) {
        return &own_;
    }
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second.state;
}

std::string Membership::addressOf(const std::string &id) const
{
    const auto member = members_.find(id);
    if (member != members_.end() && !member->second.state.address.empty()) {
        return member->second.state.address;
    }
    const auto listed = listedAddresses_.find(id);
    return listed == listedAddresses_.end() ? std::string() : listed->second;
}

std::pair<std::uint64_t, std::uint64_t> Membership::highestEpochs() const
{
    std::pair<std::uint64_t, std::uint64_t> highest{own_.epoch, own_.intentEpoch};
    for (const auto &[id, member] : members_) {
        highest.first = std::max(highest.first, member.state.epoch);
        highest.second = std::max(highest.second, member.state.intentEpoch);
    }
    return highest;
}

std::string Membership::memberAhead(std::uint64_t epoch, std::uint64_t stagedRevision) const
{
    std::string memberAheadByRevision;
    for (const auto &[id, member] : members_) {
        if (member.alive && member.state.epoch > epoch) {
            return id;
        }
        if (member.alive && member.state.stagedRevision > stagedRevision) {
            memberAheadByRevision = id;
        }
    }
    return memberAheadByRevision;
}

std::vector<InstanceStatus> Membership::describe(base::Now now) const
{
    std::vector<InstanceStatus> out;
    out.push_back({own_.id, own_.zone, own_.leaving ? "leaving" : "alive", own_.acceptedRevision, own_.stagedRevision, own_.storeReachable, 0});
    for (const auto &[id, member] : members_) {
        std::string state = member.alive ? "alive" : "gone";
        if (member.alive && member.state.leaving) {
            state = "leaving";
        }
        out.push_back({id,
                       member.state.zone,
                       state,
                       member.state.acceptedRevision,
                       member.state.stagedRevision,
                       member.state.storeReachable,
                       base::toMs(now.mono - member.lastSeen)});
    }
    return out;
}

} // namespace trefoilport
