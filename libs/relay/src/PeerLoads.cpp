#include "details/PeerLoads.h"

#include "base/Hash.h"

#include <algorithm>

namespace relay {

namespace {

constexpr Ms DigestPeriod{600};
/// A digest older than this says nothing any more.
constexpr Ms DigestLife{2000};
/// An instance that has been silent for longer takes no part any more.
constexpr Ms MemberLife{8000};
/// Slowness that is worth telling, and for how long after the endpoint's own word.
constexpr double LeastSlowness = 1.3;
constexpr Ms SlownessLife{1200};
/// Assumed until the list of instances has been read.
constexpr std::uint32_t AssumedInstances = 9;

} // namespace

PeerLoads::PeerLoads(EndpointRegistry &endpoints)
    : endpoints_(endpoints)
{
}

void PeerLoads::onInstances(const std::vector<InstanceEntry> &instances, const std::string &own)
{
    listed_ = static_cast<std::uint32_t>(instances.size());
    addresses_.clear();
    addressById_.clear();
    for (const InstanceEntry &instance : instances) {
        if (instance.id != own) {
            addresses_.push_back(instance.meshAddress);
            addressById_[instance.id] = instance.meshAddress;
        }
    }
}

void PeerLoads::onDigest(const wire::RelayDigest &digest, Instant now)
{
    if (digest.leaving) {
        peers_.erase(digest.instance);
        return;
    }
    peers_[digest.instance] = {digest, now};
}

bool PeerLoads::isFresh(const Peer &peer, Instant now) const
{
    return now < peer.lastSeen + DigestLife;
}

void PeerLoads::expedite()
{
    sentAt_ = Instant{0};
}

std::optional<wire::RelayDigest> PeerLoads::dueDigest(Instant now, const std::string &own, bool leaving)
{
    if (now < sentAt_ + DigestPeriod || addresses_.empty()) {
        return std::nullopt;
    }
    sentAt_ = now;
    std::erase_if(peers_, [&](const auto &entry) { return now >= entry.second.lastSeen + MemberLife; });
    wire::RelayDigest digest{own, leaving, {}, {}, {}, {}, 0, 0};
    for (EndpointIndex i = 0; i < endpoints_.size(); ++i) {
        const EndpointState &state = endpoints_.at(i);
        if (state.listed && state.suspectUntil.count() != 0) {
            digest.silent.push_back({wire::endpointHash(state.entry.id), state.entry.incarnation});
        } else if (state.listed && state.slowdown >= LeastSlowness && now < state.reportedAt + SlownessLife) {
            digest.slow.push_back({wire::endpointHash(state.entry.id), state.slowdown});
        }
        if (state.openRequests > 0) {
            digest.loads.push_back({wire::endpointHash(state.entry.id), state.openRequests, static_cast<std::uint64_t>(std::max(0.0, state.contextTokens))});
        }
    }
    return digest;
}

LoadEstimate PeerLoads::loadOn(EndpointIndex index, Instant now) const
{
    const EndpointState &state = endpoints_.at(index);
    const std::uint32_t hash = wire::endpointHash(state.entry.id);
    LoadEstimate sum{static_cast<double>(state.openRequests), state.contextTokens};
    std::uint32_t heard = 1;
    for (const auto &[id, peer] : peers_) {
        if (!isFresh(peer, now)) {
            continue;
        }
        ++heard;
        const auto load = std::find_if(peer.digest.loads.begin(), peer.digest.loads.end(), [&](const auto &entry) { return entry.endpoint == hash; });
        if (load != peer.digest.loads.end()) {
            sum.openRequests += load->openRequests;
            sum.contextTokens += static_cast<double>(load->contextTokens);
        }
    }
    const double unheard = static_cast<double>(std::max(heard, instances())) / heard;
    return {sum.openRequests * unheard, sum.contextTokens * unheard};
}

std::vector<std::string> PeerLoads::firstInstances(const std::string &own, bool isStale, std::size_t count, Instant now) const
{
    std::vector<std::string> live;
    for (const auto &[id, peer] : peers_) {
        if (isFresh(peer, now) && !peer.digest.isStale && addressById_.contains(id)) {
            live.push_back(id);
        }
    }
    if (live.empty()) {
        return live;
    }
    if (!isStale) {
        live.push_back(own);
    }
    // By hash, so that the first ones are not all of one zone.
    std::sort(live.begin(), live.end(), [](const auto &a, const auto &b) { return base::mixBits(base::hashOf(a)) < base::mixBits(base::hashOf(b)); });
    live.resize(std::min(count, live.size()));
    return live;
}

bool PeerLoads::isAlone(Instant now) const
{
    return std::none_of(peers_.begin(), peers_.end(), [&](const auto &entry) { return isFresh(entry.second, now); });
}

std::string PeerLoads::addressOf(const std::string &instance) const
{
    const auto found = addressById_.find(instance);
    return found == addressById_.end() ? "" : found->second;
}

std::uint32_t PeerLoads::instances() const
{
    if (!peers_.empty()) {
        return static_cast<std::uint32_t>(peers_.size()) + 1;
    }
    return std::max(1U, listed_ > 0 ? listed_ : AssumedInstances);
}

} // namespace relay
