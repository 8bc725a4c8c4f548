#pragma once

#include "net/HttpClient.h"
#include "relay/RelayKernel.h"

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace relayhost {

/// An answer of the store that is larger than this counts as none. Pages of lists and objects have about a megabyte at most.
inline constexpr std::size_t MaxStoreAnswerBytes = 4UL * 1024 * 1024;

/// The result of reading the configuration.
struct ConfigReadResult {
    /// The store answered with a valid configuration, or that there is none.
    bool ok = false;
    /// Epoch of the store that answered; 0 if none did.
    std::uint64_t epoch = 0;
    /// Null if there is none. Versions may go back: the store may have been restored from a copy.
    relay::FleetConfigPtr config;
};

/// The full list of endpoints.
struct EndpointListing {
    std::vector<relay::EndpointEntry> entries;
    /// The list contains all changes up to this version of the store; later ones may be missing.
    wire::StoreVersion version;
    /// Number of entries that were left out because they are malformed.
    std::size_t damaged = 0;
};

/// One change of the list of endpoints.
struct EndpointChange {
    std::string id;
    /// The new state of the entry; none if it was removed or is malformed.
    std::optional<relay::EndpointEntry> entry;
};

/// The changes of the list of endpoints after the version that was watched.
struct EndpointChanges {
    std::vector<EndpointChange> changes;
    /// All changes up to this version are contained.
    wire::StoreVersion version;
};

/// The list of instances.
struct InstanceListing {
    std::vector<relay::InstanceEntry> entries;
    /// Epoch of the store that the list was read from.
    std::uint64_t epoch = 0;
};

/// The version of the planner's lease and the lease; revision 0 if there is none.
using LeaseReadResult = std::pair<wire::StoreVersion, relay::LeaseRecord>;

/// A client of the platform's store. Each member starts one operation; timing and retries are up to StoreFollower. The result is passed to
/// `done` later, in the event loop's thread.
class StoreClient
{
public:
    virtual ~StoreClient() = default;

    /// Sets the address of the store for later operations.
    virtual void setAddress(const net::Address &address) = 0;
    /// Reads the configuration.
    virtual void readConfig(std::function<void(ConfigReadResult)> done) = 0;
    /// Reads the full list of endpoints. Here and in the members below, none means that the store gave no valid answer in time.
    virtual void listEndpoints(std::function<void(std::optional<EndpointListing>)> done) = 0;
    /// Waits for changes of the list of endpoints after the revision. Without changes, the result is empty after `wait`. None also if the store
    /// has discarded its history after the revision.
    virtual void watchEndpoints(std::uint64_t revision, relay::Ms wait, std::function<void(std::optional<EndpointChanges>)> done) = 0;
    /// Adds the instance to the list of instances. The result is true if the list contains an entry for it afterwards.
    virtual void registerInstance(const relay::InstanceEntry &instance, std::function<void(bool)> done) = 0;
    /// Reads the list of instances, which may be seconds old.
    virtual void listInstances(std::function<void(std::optional<InstanceListing>)> done) = 0;
    /// Reads the planner's lease, which may be seconds old.
    virtual void readLease(std::function<void(std::optional<LeaseReadResult>)> done) = 0;
    /// Writes the lease if it still has the expected revision; 0 means that it must not exist. The result is the new version, with revision 0
    /// if the lease was not written or if that is unknown.
    virtual void writeLease(const relay::LeaseRecord &record, std::uint64_t expectedRevision, std::function<void(wire::StoreVersion)> done) = 0;
    /// Reads the records of quarantines.
    virtual void readQuarantines(std::function<void(std::optional<std::vector<relay::QuarantineRecord>>)> done) = 0;
    /// Writes the record of a quarantine in place of an earlier one. The result is true if the store has it afterwards.
    virtual void writeQuarantine(const relay::QuarantineRecord &record, std::function<void(bool)> done) = 0;
    /// Removes the record of a quarantine, if there is one. The result is true if the store has none afterwards.
    virtual void removeQuarantine(std::uint64_t signature, std::function<void(bool)> done) = 0;
};

/// Creates the client for the store at an address, on the host's event loop. What it holds of the store's answers counts in `held`, which outlives it.
using StoreFactory = std::function<std::unique_ptr<StoreClient>(net::EventLoop &loop, net::HeldBytes &held, const net::Address &address)>;

} // namespace relayhost
