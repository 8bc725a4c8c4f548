#pragma once

#include "details/EndpointRegistry.h"
#include "wire/RelayDigest.h"

#include <map>

namespace relay {

/// Requests on an endpoint and their tokens of context.
struct LoadEstimate {
    double openRequests = 0;
    double contextTokens = 0;
};

/// The other instances and what they have on the endpoints.
///
/// Digests may be lost: an instance that has not been heard of lately is assumed to have the mean load of those that have.
class PeerLoads
{
public:
    explicit PeerLoads(EndpointRegistry &endpoints);

    /// The platform's list of instances, this one included.
    void onInstances(const std::vector<InstanceEntry> &instances, const std::string &own);
    void onDigest(const wire::RelayDigest &digest, Instant now);

    /// This instance's digest, if one is due.
    std::optional<wire::RelayDigest> dueDigest(Instant now, const std::string &own, bool leaving);
    /// Makes the next digest due at once, for news that others should not wait for.
    void expedite();
    /// Mesh addresses of the others.
    const std::vector<std::string> &addresses() const
    {
        return addresses_;
    }

    /// Load of all instances on an endpoint.
    LoadEstimate loadOn(EndpointIndex index, Instant now) const;

    /// Of the instances whose knowledge isn't old, those that come first in an order that all agree on. This one is among them unless it is
    /// behind. Empty if no other has been heard of lately.
    std::vector<std::string> firstInstances(const std::string &own, bool isStale, std::size_t count, Instant now) const;

    /// No other instance has been heard of lately.
    bool isAlone(Instant now) const;

    /// Mesh address of an instance; empty if it isn't listed.
    std::string addressOf(const std::string &instance) const;

    /// Instances that share limits, at least 1.
    std::uint32_t instances() const;

private:
    struct Peer {
        wire::RelayDigest digest;
        Instant lastSeen{0};
    };

    bool isFresh(const Peer &peer, Instant now) const;

    EndpointRegistry &endpoints_;
    std::vector<std::string> addresses_;
    std::map<std::string, std::string> addressById_;
    std::map<std::string, Peer> peers_;
    std::uint32_t listed_ = 0;
    Instant sentAt_{0};
};

} // namespace relay
