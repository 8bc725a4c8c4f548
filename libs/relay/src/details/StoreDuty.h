#pragma once

#include "details/PeerLoads.h"
#include "details/StoreTimes.h"

#include <array>
#include <map>

namespace relay {

/// Decides whether this instance reads the store itself or relies on instances that do, so that the number of calls to the store doesn't grow with
/// the fleet.
///
/// A few instances, the readers, read the store; in a large fleet they are the aggregators of PeerLoads. The others regularly send a freshness request to one
/// of them, and the reply states the age of the reader's knowledge. The age is counted from the time at which the request was sent, so that no delay makes
/// knowledge look younger than it is. An instance whose knowledge becomes stale without a usable reply reads the store itself.
///
/// If the settings state the bounds of StoreTimes, a reader that doesn't reply in time, or whose knowledge is old, is left out for a while, and another one is
/// asked. Without any, all other instances are asked in random order, and knowledge that becomes stale nevertheless is read from the store once. Only
/// readers read the store continuously.
class StoreDuty
{
public:
    StoreDuty(const PeerLoads &peers, RelayDriver &driver);

    /// Takes the settings. Called at the start and whenever they change.
    void configure(const RelaySettings &settings);

    /// What this instance knows of the store, and the times at which that was current.
    struct Knowledge {
        /// Version of the configuration; 0 before the first one.
        std::uint64_t configVersion = 0;
        Instant configAt{0};
        /// EndpointList::hash() and EndpointList::version() of the known list of endpoints.
        std::uint64_t endpointsHash = 0;
        wire::StoreVersion endpointsVersion;
        Instant endpointsAt{0};
    };

    /// Starts or stops the reads of the store and sends the freshness request that is due.
    void tick(Instant now, const Knowledge &known);

    /// Returns the reply to another instance's request, without the changes of the endpoint list; nothing if this instance has no configuration or
    /// no list yet.
    std::optional<wire::FreshnessReply> replyTo(const wire::FreshnessRequest &request, Instant now, const Knowledge &known) const;

    /// Takes a reply to this instance's request. Where the other instance's knowledge is the same, the times in `known` advance to those of the reply; where
    /// it is newer, the store is read.
    void onReply(const wire::FreshnessReply &reply, Instant now, Knowledge &known);

    /// Returns true if the reply's number is that of one of the latest requests of this instance.
    bool isReplyToMe(const wire::FreshnessReply &reply) const;

    /// Returns true if the knowledge is too old to rely on.
    bool isStale(Instant now, const Knowledge &known) const;
    /// Returns true if other instances should not choose this one as a reader: its knowledge is stale, or its reads of the store fail.
    bool isUnfitReader(Instant now, const Knowledge &known) const;
    /// Takes the answer of the store to a read of the configuration, or of the endpoints, by this instance itself.
    void onConfigRead(Instant now);
    void onEndpointsRead(Instant now);
    /// Returns the times that follow from the settings and the number of instances.
    const StoreTimes &times() const
    {
        return times_;
    }

    /// Compares the knowledge that another instance's digest names with `known`, and requests what is newer.
    void onStoreUpdate(const wire::RelayDigest &digest, Instant now, const Knowledge &known);

    /// Takes a version of the configuration that another instance holds, and reads the store if it is newer than the own one.
    void onConfigNamed(std::uint64_t version, Instant now, const Knowledge &known);

    /// Returns the highest version of the configuration that other instances have lately named; 0 if none has.
    std::uint64_t namedConfigVersion(Instant now) const;

    /// Returns true if this instance is one of the few that may take the planner's lease, as far as it can tell.
    bool mayTakeLease() const
    {
        return mayTakeLease_;
    }

private:
    /// Requests the list of endpoints from other instances, or starts to read the store if the others will request it from this one.
    void join(Instant now, const Knowledge &known);
    /// Starts or stops the reads of the store. They start at once if this instance is a reader.
    void follow(bool shouldFollow, bool isReader, Instant now);
    /// Reads once what has been stale for this instance's part of the spread.
    void readStaleKnowledge(Instant now, const Knowledge &known);
    /// Reads the newer configuration that other instances have named, if its time has come.
    void readNamedConfig(Instant now, const Knowledge &known);
    /// Sends the freshness request that is due under bounds, to a reader or, if none is left, to any other instance.
    void requestFreshness(const std::vector<std::string> &readers, bool isChosenReader, Instant now, const Knowledge &known);
    /// Leaves out the reader whose reply is overdue, and forgets those that were left out for long enough.
    void updateLostReaders(Instant now);
    /// Returns this instance's part of a time over which all instances spread something.
    Ms ownPartOf(Ms spread) const;
    /// Returns true if the knowledge is older than that of a reader which reads the store without failures.
    static bool isOlderThanReaders(Ms configAge, Ms endpointsAge);
    /// Sends a freshness request to an instance.
    void sendRequest(const std::string &instance, Instant now, const Knowledge &known);
    /// Returns true if a digest has named a list that this instance lacks. A list of a lower version in the same epoch may have the same content.
    bool awaitsUpdate(Instant now, const Knowledge &known) const;
    /// Reads the list of endpoints from the store, unless it was read moments ago.
    void refreshEndpoints(Instant now);

    const PeerLoads &peers_;
    RelayDriver &driver_;
    RelaySettings settings_;
    StoreTimes times_;
    /// This instance reads the store continuously.
    bool followsStore_ = false;
    bool mayTakeLease_ = false;
    Instant startedAt_{0};
    /// When it last started to read the store continuously, and when the store last answered its reads of the configuration and of the endpoints.
    Instant followedAt_{0};
    Instant configReadAt_{0};
    Instant endpointsReadAt_{0};
    /// When it last read stale knowledge of the configuration and of the endpoints.
    Instant staleConfigReadAt_{0};
    Instant staleEndpointsReadAt_{0};
    /// When the named configuration is read; nothing if no read is scheduled. The version that was last read for being named, and when.
    std::optional<Instant> namedReadDue_;
    std::uint64_t namedReadVersion_ = 0;
    Instant namedReadAt_{0};
    /// The reader whose reply is awaited, and the number of the request; empty if none is.
    std::string awaitedReader_;
    std::uint64_t awaitedNumber_ = 0;
    /// When readers were left out.
    std::map<std::string, Instant> lostReaders_;
    /// The highest version of the configuration that other instances have named, and when one last did.
    std::uint64_t namedConfigVersion_ = 0;
    Instant configNamedAt_{0};
    /// The latest version of the endpoint list that a digest has named, when one last did, and since when it is awaited.
    wire::StoreVersion updateVersion_;
    Instant updateNamedAt_{0};
    /// EndpointList::hash() of that list.
    std::uint64_t updateHash_ = 0;
    Instant updateAwaitedSince_{0};
    /// When changes that a digest has named were last requested from its sender.
    Instant updateRequestedAt_{0};
    /// Earliest time of the next regular freshness request.
    Instant nextRequest_{0};
    /// When refreshEndpoints() last read the list of endpoints.
    Instant refreshedAt_{0};
    /// The instances limit the whole lists that they send, since the bytes that a link carries are stated; and the interval after the last request for one.
    bool limitsLists_ = false;
    Ms joinPeriod_{0};
    /// 0 before the settings are known.
    std::uint64_t nextRequestNumber_ = 0;
    /// When the latest requests were sent, by request number modulo the size.
    std::array<Instant, 16> requestedAt_{};
};

} // namespace relay
