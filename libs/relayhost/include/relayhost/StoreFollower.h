#pragma once

#include "net/EventLoop.h"
#include "relayhost/StoreClient.h"

#include <map>
#include <random>

namespace relayhost {

/// Results that a StoreFollower reports. All handlers are called in the event loop's thread.
struct StoreHandlers {
    /// The configuration was read; `sentAt` is the time at which the read was sent. It may be older than one reported before.
    std::function<void(relay::Instant sentAt, relay::FleetConfigPtr)> onConfig;
    /// The full list of endpoints, with all changes up to the version.
    std::function<void(std::vector<relay::EndpointEntry>, wire::StoreVersion)> onEndpoints;
    /// The planner's lease was read.
    std::function<void(const LeaseReadResult &)> onLease;
    /// A write of the lease that was sent at `sentAt` ended. Revision 0 means that the lease was not written, or that this is unknown.
    std::function<void(relay::Instant sentAt, wire::StoreVersion)> onLeaseWritten;
    /// The records of quarantines were read, and one of them was written or not.
    std::function<void(const std::vector<relay::QuarantineRecord> &)> onQuarantines;
    std::function<void(std::uint64_t signature, bool ok)> onQuarantineWritten;
    /// The record of a quarantine that has ended could not be removed: whoever starts within its lifetime takes it for valid.
    std::function<void(std::uint64_t signature)> onQuarantineLeft;
    /// The list of instances was read.
    std::function<void(std::vector<relay::InstanceEntry>)> onInstances;
    /// The store answers for the first time or again (true), or has stopped answering (false).
    std::function<void(bool reachable)> onReachable;
    /// The store was restored from a copy: its epoch has changed.
    std::function<void(std::uint64_t before, std::uint64_t epoch)> onEpoch;
    /// The number of malformed entries in the list of endpoints has changed.
    std::function<void(std::size_t damaged)> onDamaged;
};

/// Schedules the operations on the store, so that the kernel's view of it stays current.
///
/// The configuration is polled, because a watch without events doesn't prove that the configuration is unchanged. The list of endpoints is read
/// in full and then watched; it is read in full again after any gap in the watch, and periodically. While following is off, both are
/// read only on demand.
class StoreFollower
{
public:
    StoreFollower(net::EventLoop &loop, std::unique_ptr<StoreClient> client, StoreHandlers handlers);

    /// Registers this instance in the list of instances and reads the list and the configuration. Call it once.
    void start(const relay::InstanceEntry &own);
    /// Sets the address of the store for later operations.
    void setAddress(const net::Address &address);

    /// Makes each failed read of a row wait twice as long as the one before, up to a mean of `maxPeriod`, and eight times that once reads have failed for
    /// `longOutage`. Zero, as at first, turns this off.
    void setBackoff(relay::Ms maxPeriod, relay::Ms longOutage);

    /// Turns continuous reading on; it is off at first. The configuration and the list of endpoints are read at a random time within `spread`, so that
    /// instances which lose their readers together don't all call the store at once. Failed reads are repeated in a period of the same order.
    void follow(relay::Ms spread);
    /// Turns continuous reading off.
    void unfollow();
    /// Reads the configuration at once if no read of it is in progress or scheduled. With backoff, a read that waits for its repetition starts at once.
    void refreshConfig();
    /// Reads the full list of endpoints at once if no read or watch of it is in progress or scheduled.
    void refreshEndpoints();

    /// Reads the planner's lease; the result goes to `onLease`, unless the store doesn't answer.
    void readLease();
    /// Writes the planner's lease; the result goes to `onLeaseWritten`.
    void writeLease(const relay::LeaseRecord &record, std::uint64_t expectedRevision);

    /// Reads the records of quarantines; they go to `onQuarantines`, unless the store doesn't answer.
    void readQuarantines();
    /// Writes such a record; the result goes to `onQuarantineWritten`.
    void writeQuarantine(const relay::QuarantineRecord &record);
    /// Removes such a record; reports to `onQuarantineLeft` if that fails.
    void removeQuarantine(std::uint64_t signature);

private:
    /// Reports a change of the store's reachability.
    void markReachable(bool reachable);
    /// Runs the task in the event loop at that time, or as soon as possible if it has passed.
    void runAt(relay::Instant due, std::function<void()> task);
    /// Runs the next step of following the endpoints at that time, unless a read or watch has been started meanwhile.
    void continueAt(relay::Instant due, void (StoreFollower::*step)());

    /// Starts a read of the configuration.
    void readConfig();
    /// Reports a configuration that was read, and schedules the next read while the store is followed.
    void onConfig(relay::Instant sentAt, const ConfigReadResult &read);
    /// Starts a read of the full list of endpoints.
    void listEndpoints();
    /// Reports a full list and watches it for changes; repeats the read later if it has failed or the list is of an earlier epoch than known.
    void onListing(const std::optional<EndpointListing> &listing);
    /// Starts a watch for the changes after the known version, or a read of the full list if that is due; does nothing unless the store is followed.
    void watchEndpoints();
    /// Applies and reports changes, and schedules the next watch; reads the full list instead if the changes don't continue the known one.
    void onChanges(relay::Instant sentAt, const std::optional<EndpointChanges> &changes);
    /// Returns when a failed read is repeated.
    relay::Instant retryTime();
    /// Returns the mean time until a failed read is repeated under backoff.
    relay::Ms backoffPeriod() const;
    /// Repeats the failed read of the configuration later.
    void retryConfig();
    /// Reports all known endpoints and their version.
    void reportEndpoints();
    /// Adds this instance to the list of instances, unless its entry is there or was written in the list's epoch: the list may be seconds old.
    void registerInstance(const InstanceListing &listing);
    /// Starts a read of the list of instances.
    void listInstances();
    /// Reports the list of instances, registers this one if necessary, and schedules the next read.
    void onInstances(const std::optional<InstanceListing> &instances);
    /// Takes the epoch of the store that an answer names; returns true and reports it if it is later than known.
    bool noteEpoch(std::uint64_t epoch);
    /// Takes the epoch that an answer about something other than the endpoints names. If it is later than known, the full list is read again in place of the
    /// present read or watch: a watch from a revision of an earlier epoch proves nothing.
    void takeEpoch(std::uint64_t epoch);

    net::EventLoop &loop_;
    std::unique_ptr<StoreClient> client_;
    StoreHandlers handlers_;
    relay::InstanceEntry own_;
    std::map<std::string, relay::EndpointEntry> endpoints_;
    /// Version of the store up to which `endpoints_` contains all changes.
    wire::StoreVersion version_;
    /// The latest epoch of the store that an answer has named; none before the first answer.
    std::optional<std::uint64_t> epoch_;
    /// Time at which the last full list of endpoints was requested.
    relay::Instant listedAt_{0};
    /// Time at which the last full list after a failed watch was requested, or is going to be.
    relay::Instant listedAfterGapAt_{0};
    /// Number of malformed entries in the last full list.
    std::size_t damaged_ = 0;
    /// Interval to the next read of the list of instances.
    relay::Ms instancesPeriod_;
    /// The store has an entry of this instance with its present address, and the epoch in which it was seen or written last.
    bool isRegistered_ = false;
    std::uint64_t registeredEpoch_ = 0;
    /// Period in which failed reads are repeated, and the time over which the first reads are spread.
    relay::Ms spread_{0};
    /// Limits of the backoff; zero without it.
    relay::Ms maxBackoff_{0};
    relay::Ms longOutage_{0};
    /// Number of reads of the configuration that have failed in a row, and when the first of them did.
    std::uint32_t failures_ = 0;
    relay::Instant failedSince_{0};
    /// Number of the scheduled repetition of a read of the configuration; earlier ones are ignored. Whether one waits.
    std::uint64_t retryNumber_ = 0;
    bool isRetryWaiting_ = false;
    /// A read of the endpoints has failed, and is repeated once the configuration was read.
    bool endpointsWait_ = false;
    std::minstd_rand random_;
    bool reachable_ = false;
    bool follows_ = false;
    /// No read of the configuration is in progress or scheduled.
    bool configIdle_ = false;
    /// Number of the latest read or watch of the endpoints; what earlier ones bring is ignored.
    std::uint64_t endpointsRead_ = 0;
    /// No read or watch of the endpoints is in progress or scheduled.
    bool endpointsIdle_ = true;
};

} // namespace relayhost
