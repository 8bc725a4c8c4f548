#pragma once

#include "details/EndpointRegistry.h"
#include "wire/RelayDigest.h"

#include <map>

namespace relay {

/// Estimated load of an endpoint: its open requests and the total of their tokens of context.
struct LoadEstimate {
    double openRequests = 0;
    double contextTokens = 0;
};

/// The other instances and the load that they put on the endpoints, as known from their digests.
///
/// Digests may be lost: an instance without a recent digest is assumed to put the mean load of this instance and those with a recent digest on each
/// endpoint.
class PeerLoads
{
public:
    explicit PeerLoads(EndpointRegistry &endpoints);

    /// Takes the platform's list of instances, which includes this one.
    void onInstances(const std::vector<InstanceEntry> &instances, const std::string &ownId);
    /// Takes a digest of another instance; one that is leaving is forgotten.
    void onDigest(const wire::RelayDigest &digest, Instant now);

    /// Returns this instance's digest if one is due and there are others to send it to. The fields about crashes and the store are left to the
    /// caller. Also forgets instances whose digests have been missing for long.
    std::optional<wire::RelayDigest> dueDigest(Instant now, const std::string &ownId, bool leaving);
    /// Makes the next digest due at once, for an update that the others need without delay.
    void expedite();
    /// Returns the mesh addresses of the other instances.
    const std::vector<std::string> &addresses() const
    {
        return addresses_;
    }

    /// Estimates the load that all instances together put on an endpoint.
    LoadEstimate loadOn(EndpointIndex index, Instant now) const;

    /// Returns the first `count` ids of instances that are not stale, in an order that all instances agree on. This instance is considered unless
    /// it is stale itself. Empty if no other instance that is not stale has been seen lately.
    std::vector<std::string> firstInstances(const std::string &ownId, bool isStale, std::size_t count, Instant now) const;

    /// Returns true if no other instance has been seen lately.
    bool isAlone(Instant now) const;

    /// Returns the mesh address of another instance; empty if it isn't listed.
    std::string addressOf(const std::string &instance) const;

    /// Returns the number of instances that share fleet-wide limits, this one included: those known by digests, else the listed ones, else an
    /// assumed number. At least 1.
    std::uint32_t instances() const;

private:
    /// Another instance with its last digest.
    struct Peer {
        wire::RelayDigest digest;
        Instant lastSeen{0};
    };

    /// Returns true if the peer's digest is recent enough to rely on.
    bool isFresh(const Peer &peer, Instant now) const;

    EndpointRegistry &endpoints_;
    std::vector<std::string> addresses_;
    std::map<std::string, std::string> addressById_;
    std::map<std::string, Peer> peers_;
    /// Number of listed instances; 0 before the first list.
    std::uint32_t listedInstances_ = 0;
    Instant digestSentAt_{0};
};

} // namespace relay
