#include "relayhost/StoreFollower.h"

#include "base/Time.h"

#include <algorithm>

namespace relayhost {

namespace {

/// From one read of the configuration to the next; a change is seen within this time and one answer.
constexpr relay::Ms ConfigPeriod{1200};
/// A watch of the endpoints ends after this time even if nothing has changed: its answer shows that the store still reaches this instance.
constexpr relay::Ms WatchTime{1900};
/// From one watch to the next; changes that come together are taken together.
constexpr relay::Ms LeastWatchPeriod{250};
/// The whole list is read again after this time, whatever the watches have shown.
constexpr relay::Ms WholeListPeriod{10000};
constexpr relay::Ms RetryPeriod{150};
constexpr relay::Ms EnterPeriod{1000};
constexpr relay::Ms InstancesPeriod{2500};
/// The same while instances that start together enter themselves.
constexpr relay::Ms FirstInstancesPeriod{500};
constexpr int FirstInstancesReads = 3;

} // namespace

StoreFollower::StoreFollower(net::EventLoop &loop, std::unique_ptr<StoreClient> client, StoreHandlers handlers)
    : loop_(loop)
    , client_(std::move(client))
    , handlers_(std::move(handlers))
{
}

void StoreFollower::start(const relay::InstanceEntry &own)
{
    own_ = own;
    registerInstance();
    listInstances();
    readConfig();
    listEndpoints();
}

void StoreFollower::setAddress(const net::Address &address)
{
    client_->setAddress(address);
}

void StoreFollower::follow(bool follow)
{
    follows_ = follow;
    if (follow) {
        refreshConfig();
        refreshEndpoints();
    }
}

void StoreFollower::refreshConfig()
{
    if (configRests_) {
        readConfig();
    }
}

void StoreFollower::refreshEndpoints()
{
    if (endpointsRest_) {
        listEndpoints();
    }
}

void StoreFollower::markReachable(bool reachable)
{
    if (reachable != reachable_) {
        reachable_ = reachable;
        handlers_.onReachable(reachable);
    }
}

void StoreFollower::at(relay::Instant due, std::function<void()> task)
{
    loop_.after(std::max(relay::Instant(0), due - base::readSuspendClock()), std::move(task));
}

void StoreFollower::readConfig()
{
    configRests_ = false;
    const relay::Instant sentAt = base::readSuspendClock();
    client_->readConfig([this, sentAt](const ConfigRead &read) { onConfig(sentAt, read); });
}

void StoreFollower::onConfig(relay::Instant sentAt, const ConfigRead &read)
{
    markReachable(read.ok);
    if (!read.ok) {
        return at(base::readSuspendClock() + RetryPeriod, [this]() { readConfig(); });
    }
    handlers_.onConfig(sentAt, read.config);
    if (follows_) {
        return at(sentAt + ConfigPeriod, [this]() { readConfig(); });
    }
    configRests_ = true;
}

void StoreFollower::listEndpoints()
{
    endpointsRest_ = false;
    listedAt_ = base::readSuspendClock();
    client_->listEndpoints([this](const std::optional<EndpointListing> &listing) { onListing(listing); });
}

void StoreFollower::onListing(const std::optional<EndpointListing> &listing)
{
    markReachable(listing.has_value());
    if (!listing) {
        return at(base::readSuspendClock() + RetryPeriod, [this]() { listEndpoints(); });
    }
    if (listing->damaged != damaged_) {
        damaged_ = listing->damaged;
        handlers_.onDamaged(damaged_);
    }
    endpoints_.clear();
    for (const relay::EndpointEntry &entry : listing->entries) {
        endpoints_[entry.id] = entry;
    }
    revision_ = listing->revision;
    reportEndpoints();
    watchEndpoints();
}

void StoreFollower::reportEndpoints()
{
    std::vector<relay::EndpointEntry> entries;
    entries.reserve(endpoints_.size());
    for (const auto &[id, entry] : endpoints_) {
        entries.push_back(entry);
    }
    handlers_.onEndpoints(std::move(entries), revision_);
}

void StoreFollower::watchEndpoints()
{
    if (!follows_) {
        endpointsRest_ = true;
        return;
    }
    const relay::Instant sentAt = base::readSuspendClock();
    if (sentAt - listedAt_ >= WholeListPeriod) {
        return listEndpoints();
    }
    client_->watchEndpoints(revision_, WatchTime, [this, sentAt](const std::optional<EndpointChanges> &changes) { onChanges(sentAt, changes); });
}

void StoreFollower::onChanges(relay::Instant sentAt, const std::optional<EndpointChanges> &changes)
{
    if (!changes) {
        return listEndpoints(); // The history is gone, the watch was cut off, or the store is away: the list tells.
    }
    for (const EndpointChange &change : changes->changes) {
        if (change.entry) {
            endpoints_[change.id] = *change.entry;
        } else {
            endpoints_.erase(change.id);
        }
    }
    revision_ = changes->revision;
    reportEndpoints();
    at(sentAt + LeastWatchPeriod, [this]() { watchEndpoints(); });
}

void StoreFollower::registerInstance()
{
    client_->registerInstance(own_, [this](bool entered) {
        if (!entered) {
            at(base::readSuspendClock() + EnterPeriod, [this]() { registerInstance(); });
        }
    });
}

void StoreFollower::listInstances()
{
    client_->listInstances([this](const std::optional<std::vector<relay::InstanceEntry>> &instances) {
        if (instances) {
            handlers_.onInstances(*instances);
        }
    });
    ++instancesReads_;
    const relay::Ms period = instancesReads_ <= FirstInstancesReads ? FirstInstancesPeriod : InstancesPeriod;
    at(base::readSuspendClock() + period, [this]() { listInstances(); });
}

void StoreFollower::readLease()
{
    client_->readLease([this](const std::optional<LeaseRead> &lease) {
        markReachable(lease.has_value());
        if (lease) {
            handlers_.onLease(*lease);
        }
    });
}

void StoreFollower::writeLease(const relay::LeaseRecord &record, std::uint64_t expectedRevision)
{
    const relay::Instant sentAt = base::readSuspendClock();
    client_->writeLease(record, expectedRevision, [this, sentAt](std::uint64_t revision) { handlers_.onLeaseWritten(sentAt, revision); });
}

} // namespace relayhost
