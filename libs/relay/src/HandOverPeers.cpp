#include "details/HandOverPeers.h"

#include "base/Hash.h"

#include <algorithm>

namespace relay {

namespace {

/// An instance that has failed or refused a request gets none for this time.
constexpr Ms AvoidTime{2000};
/// One that has not read the configuration yet does so within some milliseconds, as the request that it refuses names the version.
constexpr Ms BehindAvoidTime{250};
/// What an instance says of itself holds for this time; it repeats it well before.
constexpr Ms DigestLifetime{2000};
/// Instances that are drawn, of which the one with fewest open requests is chosen.
constexpr int DrawnPeers = 2;

} // namespace

void HandOverPeers::configure(const RelaySettings &settings)
{
    ownId_ = settings.node;
    ownZone_ = settings.zone;
    seed_ = settings.seed;
}

void HandOverPeers::onInstances(const std::vector<InstanceEntry> &instances)
{
    for (auto &[id, peer] : peers_) {
        peer.isListed = false;
    }
    for (const InstanceEntry &entry : instances) {
        if (entry.id == ownId_ || entry.handOverAddress.empty() || takeNone_.contains(entry.id)) {
            continue;
        }
        Peer &peer = peers_[entry.id];
        peer.address = entry.handOverAddress;
        peer.zone = entry.zone;
        peer.isListed = true;
    }
    std::erase_if(takeNone_, [&](const std::string &id) {
        return std::none_of(instances.begin(), instances.end(), [&](const InstanceEntry &entry) { return entry.id == id; });
    });
    std::erase_if(peers_, [](const auto &entry) { return !entry.second.isListed && entry.second.openRequests == 0; });
}

void HandOverPeers::onDigest(const wire::RelayDigest &digest, Instant now)
{
    if (!digest.handOverAddress.empty() && digest.instance != ownId_) {
        Peer &peer = peers_[digest.instance];
        peer.address = digest.handOverAddress;
        peer.zone = digest.zone;
        takeNone_.erase(digest.instance);
    }
    const auto found = peers_.find(digest.instance);
    if (!digest.meshAddress.empty() && digest.handOverAddress.empty()) {
        takeNone_.insert(digest.instance);
        if (found != peers_.end()) {
            found->second.address.clear();
        }
    }
    if (found != peers_.end()) {
        found->second.receivedAt = now;
        found->second.isUnfit = digest.leaving || digest.reachesNoEndpoint;
        found->second.configVersion = digest.configVersion;
    }
}

void HandOverPeers::avoid(const std::string &instance, Instant now)
{
    if (const auto found = peers_.find(instance); found != peers_.end()) {
        found->second.avoidedUntil = now + AvoidTime;
    }
}

void HandOverPeers::avoidWhileBehind(const std::string &instance, Instant now)
{
    if (const auto found = peers_.find(instance); found != peers_.end()) {
        found->second.avoidedUntil = std::max(found->second.avoidedUntil, now + BehindAvoidTime);
    }
}

void HandOverPeers::onBegun(const std::string &instance)
{
    ++peers_[instance].openRequests;
}

void HandOverPeers::onEnded(const std::string &instance)
{
    --peers_[instance].openRequests;
}

bool HandOverPeers::isFit(const Peer &peer, Instant now) const
{
    const bool isKnownAsUnfit = peer.isUnfit && now < peer.receivedAt + DigestLifetime;
    return !peer.address.empty() && !isKnownAsUnfit && now >= peer.avoidedUntil;
}

bool HandOverPeers::isBehind(const Peer &peer, std::uint64_t configVersion, Instant now) const
{
    return now < peer.receivedAt + DigestLifetime && peer.configVersion < configVersion;
}

std::optional<std::string> HandOverPeers::choose(std::span<const std::string> excluded, std::uint64_t configVersion, Instant now)
{
    std::vector<std::map<std::string, Peer>::const_iterator> fit;
    for (auto peer = peers_.cbegin(); peer != peers_.cend(); ++peer) {
        const bool mayServe = isFit(peer->second, now) && !isBehind(peer->second, configVersion, now);
        if (mayServe && std::find(excluded.begin(), excluded.end(), peer->first) == excluded.end()) {
            fit.push_back(peer);
        }
    }
    if (fit.empty()) {
        return std::nullopt;
    }
    auto best = fit.front();
    for (int drawn = 0; drawn < DrawnPeers; ++drawn) {
        const auto candidate = fit[base::mixBits(seed_ + ++draws_) % fit.size()];
        const auto rank = [&](const auto &peer) {
            return std::pair(peer->second.openRequests, peer->second.zone != ownZone_);
        };
        best = drawn == 0 || rank(candidate) < rank(best) ? candidate : best;
    }
    return best->first;
}

bool HandOverPeers::hasAny(Instant now) const
{
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto &entry) { return isFit(entry.second, now); });
}

std::string HandOverPeers::addressOf(const std::string &instance) const
{
    const auto found = peers_.find(instance);
    return found == peers_.end() ? "" : found->second.address;
}

} // namespace relay
