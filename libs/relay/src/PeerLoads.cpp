#include "details/PeerLoads.h"

#include "base/Hash.h"

#include <algorithm>

namespace relay {

namespace {

constexpr Ms DigestPeriod{600};
/// An older digest no longer counts as recent: its loads and its sender's knowledge are not relied on.
constexpr Ms DigestLifetime{2000};
/// An instance that was last seen longer ago is forgotten and no longer counts among those that share limits.
constexpr Ms PeerLifetime{8000};
/// Slowdown from which on a digest names an endpoint as slow.
constexpr double MinReportedSlowdown = 1.3;
/// How long after an endpoint's report a digest repeats its slowdown.
constexpr Ms SlowdownLifetime{1200};
/// Number of instances that is assumed until their list has been read.
constexpr std::uint32_t AssumedInstances = 9;

} // namespace

PeerLoads::PeerLoads(EndpointRegistry &endpoints)
    : endpoints_(endpoints)
{
}

void PeerLoads::onInstances(const std::vector<InstanceEntry> &instances, const std::string &ownId)
{
    listedInstances_ = static_cast<std::uint32_t>(instances.size());
    addresses_.clear();
    addressById_.clear();
    for (const InstanceEntry &instance : instances) {
        if (instance.id != ownId) {
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
    return now < peer.lastSeen + DigestLifetime;
}

void PeerLoads::expedite()
{
    digestSentAt_ = Instant{0};
}

std::optional<wire::RelayDigest> PeerLoads::dueDigest(Instant now, const std::string &ownId, bool leaving)
{
    if (now < digestSentAt_ + DigestPeriod || addresses_.empty()) {
        return std::nullopt;
    }
    digestSentAt_ = now;
    std::erase_if(peers_, [&](const auto &entry) { return now >= entry.second.lastSeen + PeerLifetime; });
    wire::RelayDigest digest{ownId, leaving, {}, {}, {}, {}, 0, 0};
    for (EndpointIndex i = 0; i < endpoints_.size(); ++i) {
        const EndpointState &state = endpoints_.at(i);
        if (state.listed && state.silentCheckAt.count() != 0) {
            digest.silent.push_back({wire::endpointHash(state.entry.id), state.entry.incarnation});
        } else if (state.listed && state.slowdown >= MinReportedSlowdown && now < state.reportedAt + SlowdownLifetime) {
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
    std::uint32_t countedInstances = 1;
    for (const auto &[id, peer] : peers_) {
        if (!isFresh(peer, now)) {
            continue;
        }
        ++countedInstances;
        const auto load = std::find_if(peer.digest.loads.begin(), peer.digest.loads.end(), [&](const auto &entry) { return entry.endpoint == hash; });
        if (load != peer.digest.loads.end()) {
            sum.openRequests += load->openRequests;
            sum.contextTokens += static_cast<double>(load->contextTokens);
        }
    }
    const double scaleFactor = static_cast<double>(std::max(countedInstances, instances())) / countedInstances;
    return {sum.openRequests * scaleFactor, sum.contextTokens * scaleFactor};
}

std::vector<std::string> PeerLoads::firstInstances(const std::string &ownId, bool isStale, std::size_t count, Instant now) const
{
    std::vector<std::string> candidates;
    for (const auto &[id, peer] : peers_) {
        if (isFresh(peer, now) && !peer.digest.isStale && addressById_.contains(id)) {
            candidates.push_back(id);
        }
    }
    if (candidates.empty()) {
        return candidates;
    }
    if (!isStale) {
        candidates.push_back(ownId);
    }
    // Ordered by hash, so that the first instances are not all of one zone.
    std::sort(
        candidates.begin(), candidates.end(), [](const auto &a, const auto &b) { return base::mixBits(base::hashOf(a)) < base::mixBits(base::hashOf(b)); });
    candidates.resize(std::min(count, candidates.size()));
    return candidates;
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
    return std::max(1U, listedInstances_ > 0 ? listedInstances_ : AssumedInstances);
}

} // namespace relay
