#pragma once

#include "net/HttpClient.h"
#include "relay/RelayKernel.h"

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace relayhost {

/// The result of reading the configuration.
struct ConfigRead {
    /// The store answered.
    bool ok = false;
    /// Null if there is none yet, or if it is the one that was read last.
    relay::FleetConfigPtr config;
};

/// The whole list of endpoints.
struct EndpointListing {
    std::vector<relay::EndpointEntry> entries;
    /// Changes after this revision may be missing from the list.
    std::uint64_t revision = 0;
    /// Entries that name no endpoint to use, since they are damaged.
    std::size_t damaged = 0;
};

/// One change of the list: the entry as it is now, or none if it is gone or damaged.
struct EndpointChange {
    std::string id;
    std::optional<relay::EndpointEntry> entry;
};

/// The changes after some revision, up to another.
struct EndpointChanges {
    std::vector<EndpointChange> changes;
    std::uint64_t revision = 0;
};

/// The planner's lease and its revision; revision 0 if there is none.
using LeaseRead = std::pair<std::uint64_t, relay::LeaseRecord>;

/// One call each to the platform's store. Makes a call when it is told to and decides nothing. Results come in the loop's thread, later.
class StoreClient
{
public:
    virtual ~StoreClient() = default;

    virtual void setAddress(const net::Address &address) = 0;
    virtual void readConfig(std::function<void(ConfigRead)> done) = 0;
    /// None if the store doesn't answer, here and below.
    virtual void listEndpoints(std::function<void(std::optional<EndpointListing>)> done) = 0;
    /// Waits for changes after the revision; none also if the store has forgotten them.
    virtual void watchEndpoints(std::uint64_t revision, relay::Ms wait, std::function<void(std::optional<EndpointChanges>)> done) = 0;
    /// True if the entry is there afterwards.
    virtual void registerInstance(const relay::InstanceEntry &instance, std::function<void(bool)> done) = 0;
    /// May be seconds old.
    virtual void listInstances(std::function<void(std::optional<std::vector<relay::InstanceEntry>>)> done) = 0;
    /// May be seconds old.
    virtual void readLease(std::function<void(std::optional<LeaseRead>)> done) = 0;
    /// Gives the new revision, or 0 if the lease was not written or nobody knows.
    virtual void writeLease(const relay::LeaseRecord &record, std::uint64_t expectedRevision, std::function<void(std::uint64_t)> done) = 0;
};

/// Makes the store's client on the host's loop.
using StoreFactory = std::function<std::unique_ptr<StoreClient>(net::EventLoop &loop, const net::Address &address)>;

} // namespace relayhost
