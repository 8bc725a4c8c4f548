#pragma once

#include "relay/RelayKernel.h"

#include <map>
#include <optional>
#include <set>
#include <span>

namespace relay {

/// The other instances to which this one may hand requests over while it reaches no endpoint itself.
///
/// An instance is chosen out of two that are drawn at random, by the requests of this instance that are open there. Those that are known to be cut off as
/// well, that leave, that know only an older configuration, or that have lately refused or failed a request are left out.
class HandOverPeers
{
public:
    /// Takes the name of this instance, its zone, and the seed of the draws.
    void configure(const RelaySettings &settings);

    /// Takes the platform's list of instances. Those that state no address for hand-overs are of a version that takes none.
    void onInstances(const std::vector<InstanceEntry> &instances);
    /// Takes what the sender of a digest says of itself.
    void onDigest(const wire::RelayDigest &digest, Instant now);
    /// Takes that an instance could not be reached, or has failed or refused a request: it gets none for a while.
    void avoid(const std::string &instance, Instant now);
    /// Takes that an instance has refused a request since it had not read the configuration yet: it gets none for a moment.
    void avoidWhileBehind(const std::string &instance, Instant now);
    /// Counts the requests that are open at an instance.
    void onBegun(const std::string &instance);
    void onEnded(const std::string &instance);

    /// Returns the instance to hand a request over to that was admitted under that version of the configuration, other than the excluded ones; none if there
    /// is none.
    std::optional<std::string> choose(std::span<const std::string> excluded, std::uint64_t configVersion, Instant now);
    /// Returns whether there is an instance that may take requests.
    bool hasAny(Instant now) const;
    /// Returns the address for hand-overs of an instance; empty if it is unknown.
    std::string addressOf(const std::string &instance) const;

private:
    struct Peer {
        std::string address;
        std::string zone;
        /// It reaches no endpoint either, or leaves, as its last digest says; and when that came.
        bool isUnfit = false;
        Instant receivedAt{0};
        /// Version of the configuration that it names there.
        std::uint64_t configVersion = 0;
        Instant avoidedUntil{0};
        std::uint32_t openRequests = 0;
        bool isListed = false;
    };

    bool isFit(const Peer &peer, Instant now) const;
    /// Returns whether the last digest of an instance says that it knows only an older configuration.
    bool isBehind(const Peer &peer, std::uint64_t configVersion, Instant now) const;

    std::string ownId_;
    std::string ownZone_;
    std::uint64_t seed_ = 0;
    std::uint64_t draws_ = 0;
    std::map<std::string, Peer> peers_;
    /// Instances that have stated to take no requests. One that was rolled back leaves the entry of its newer process in the list, which still names an
    /// address.
    std::set<std::string> takeNone_;
};

} // namespace relay
