#include "relayhost/StoreFollower.h"

#include "base/Time.h"

#include <algorithm>

namespace relayhost {

namespace {

/// Period between reads of the configuration. A change is seen after this period and the time of one answer at the latest.
constexpr relay::Ms ConfigPeriod{900};
/// Without changes, a watch of the endpoints ends after this time: its empty answer shows that the connection to the store still works.
constexpr relay::Ms WatchTimeout{1700};
/// Minimum period between the starts of two watches, so that changes in quick succession are handled together, and between two full lists after failed
/// watches.
constexpr relay::Ms MinWatchPeriod{250};
/// The full list of endpoints is read again after this period, even if no watch has failed.
constexpr relay::Ms FullListPeriod{10000};
/// Minimum mean delay before a failed read of the configuration or of the list of endpoints is repeated.
constexpr relay::Ms RetryPeriod{150};
/// Interval between reads of the list of instances until this instance is registered.
constexpr relay::Ms RegisterRetryPeriod{1000};
/// Interval between the first two reads of the list of instances, during which instances that were started together register themselves. Each further
/// interval is twice as long, up to the maximum: instances learn of later ones from their digests.
constexpr relay::Ms MinInstancesPeriod{500};
constexpr relay::Ms MaxInstancesPeriod{16000};

} // namespace

StoreFollower::StoreFollower(net::EventLoop &loop, std::unique_ptr<StoreClient> client, StoreHandlers handlers)
    : loop_(loop)
    , client_(std::move(client))
    , handlers_(std::move(handlers))
    , instancesPeriod_(MinInstancesPeriod)
    , random_(std::random_device{}())
{
}

void StoreFollower::start(const relay::InstanceEntry &own)
{
    own_ = own;
    listInstances();
    readConfig();
}

void StoreFollower::setAddress(const net::Address &address)
{
    client_->setAddress(address);
}

void StoreFollower::setBackoff(relay::Ms maxPeriod, relay::Ms longOutage)
{
    maxBackoff_ = maxPeriod;
    longOutage_ = longOutage;
}

void StoreFollower::follow(relay::Ms spread)
{
    follows_ = true;
    spread_ = spread;
    const auto start = [this]() {
        if (follows_) {
            refreshConfig();
            refreshEndpoints();
        }
    };
    if (spread.count() == 0) {
        return start();
    }
    runAt(base::readBootTimeClock() + relay::Ms(random_() % static_cast<std::uint64_t>(spread.count())), start);
}

void StoreFollower::unfollow()
{
    follows_ = false;
}

relay::Instant StoreFollower::retryTime()
{
    const relay::Ms half = (maxBackoff_.count() > 0 ? backoffPeriod() : std::max(RetryPeriod, spread_)) / 2;
    return base::readBootTimeClock() + half + relay::Ms(random_() % static_cast<std::uint64_t>(2 * half.count()));
}

relay::Ms StoreFollower::backoffPeriod() const
{
    // The keys of callers are rejected by then, so that only the time until they are accepted again depends on the next read.
    constexpr int LongOutageFactor = 8;
    constexpr std::uint32_t MaxDoublings = 10;
    const bool isLongOutage = failures_ > 0 && base::readBootTimeClock() - failedSince_ >= longOutage_;
    const relay::Ms maximum = std::max(RetryPeriod, isLongOutage ? LongOutageFactor * maxBackoff_ : maxBackoff_);
    const std::uint32_t doublings = std::min(MaxDoublings, failures_ > 0 ? failures_ - 1 : 0);
    return std::min(maximum, RetryPeriod * (1U << doublings));
}

void StoreFollower::retryConfig()
{
    failedSince_ = failures_ == 0 ? base::readBootTimeClock() : failedSince_;
    ++failures_;
    isRetryWaiting_ = true;
    const std::uint64_t number = ++retryNumber_;
    runAt(retryTime(), [this, number]() {
        if (number == retryNumber_ && isRetryWaiting_) {
            readConfig();
        }
    });
}

void StoreFollower::refreshConfig()
{
    const bool cutsBackoffShort = maxBackoff_.count() > 0 && isRetryWaiting_;
    failures_ = cutsBackoffShort ? 0 : failures_;
    if (configIdle_ || cutsBackoffShort) {
        readConfig();
    }
}

void StoreFollower::refreshEndpoints()
{
    if (endpointsIdle_) {
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

bool StoreFollower::noteEpoch(std::uint64_t epoch)
{
    const std::uint64_t before = epoch_.value_or(epoch);
    epoch_ = std::max(before, epoch);
    if (epoch <= before) {
        return false;
    }
    handlers_.onEpoch(before, epoch);
    return true;
}

void StoreFollower::takeEpoch(std::uint64_t epoch)
{
    if (noteEpoch(epoch) && !endpointsIdle_) {
        listEndpoints();
    }
}

void StoreFollower::runAt(relay::Instant due, std::function<void()> task)
{
    loop_.after(std::max(relay::Instant(0), due - base::readBootTimeClock()), std::move(task));
}

void StoreFollower::continueAt(relay::Instant due, void (StoreFollower::*step)())
{
    const std::uint64_t number = endpointsRead_;
    runAt(due, [this, number, step]() {
        if (number == endpointsRead_) {
            (this->*step)();
        }
    });
}

void StoreFollower::readConfig()
{
    configIdle_ = false;
    isRetryWaiting_ = false;
    const relay::Instant sentAt = base::readBootTimeClock();
    client_->readConfig([this, sentAt](const ConfigReadResult &read) { onConfig(sentAt, read); });
}

void StoreFollower::onConfig(relay::Instant sentAt, const ConfigReadResult &read)
{
    markReachable(read.ok);
    if (!read.ok) {
        return retryConfig();
    }
    failures_ = 0;
    takeEpoch(read.epoch);
    if (endpointsWait_) {
        endpointsWait_ = false;
        refreshEndpoints();
    }
    if (read.config) {
        handlers_.onConfig(sentAt, read.config);
    }
    if (follows_) {
        return runAt(sentAt + ConfigPeriod, [this]() { readConfig(); });
    }
    configIdle_ = true;
}

void StoreFollower::listEndpoints()
{
    endpointsIdle_ = false;
    listedAt_ = base::readBootTimeClock();
    const std::uint64_t number = ++endpointsRead_;
    client_->listEndpoints([this, number](const std::optional<EndpointListing> &listing) {
        if (number == endpointsRead_) {
            onListing(listing);
        }
    });
}

void StoreFollower::onListing(const std::optional<EndpointListing> &listing)
{
    markReachable(listing.has_value());
    const bool isOutdated = listing && epoch_ && listing->version.epoch < *epoch_;
    if (!listing && maxBackoff_.count() > 0 && failures_ > 0) {
        // One read that fails is enough to find out when the store answers again.
        endpointsIdle_ = true;
        endpointsWait_ = true;
        return;
    }
    if (!listing || isOutdated) {
        return continueAt(retryTime(), &StoreFollower::listEndpoints);
    }
    noteEpoch(listing->version.epoch);
    if (listing->damaged != damaged_) {
        damaged_ = listing->damaged;
        handlers_.onDamaged(damaged_);
    }
    endpoints_.clear();
    for (const relay::EndpointEntry &entry : listing->entries) {
        endpoints_[entry.id] = entry;
    }
    version_ = listing->version;
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
    handlers_.onEndpoints(std::move(entries), version_);
}

void StoreFollower::watchEndpoints()
{
    if (!follows_) {
        endpointsIdle_ = true;
        return;
    }
    const relay::Instant sentAt = base::readBootTimeClock();
    if (sentAt - listedAt_ >= FullListPeriod) {
        return listEndpoints();
    }
    const std::uint64_t number = ++endpointsRead_;
    client_->watchEndpoints(version_.revision, WatchTimeout, [this, number, sentAt](const std::optional<EndpointChanges> &changes) {
        if (number == endpointsRead_) {
            onChanges(sentAt, changes);
        }
    });
}

void StoreFollower::onChanges(relay::Instant sentAt, const std::optional<EndpointChanges> &changes)
{
    if (!changes || changes->version.epoch != version_.epoch) {
        // The history was discarded, the watch was cut off, a change can't be read, or the store is unreachable or was restored: only the full list is current.
        const relay::Instant due = listedAfterGapAt_ + MinWatchPeriod;
        listedAfterGapAt_ = std::max(due, base::readBootTimeClock());
        if (listedAfterGapAt_ > due) {
            return listEndpoints();
        }
        return continueAt(due, &StoreFollower::listEndpoints);
    }
    for (const EndpointChange &change : changes->changes) {
        if (change.entry) {
            endpoints_[change.id] = *change.entry;
        } else {
            endpoints_.erase(change.id);
        }
    }
    version_ = changes->version;
    reportEndpoints();
    continueAt(sentAt + MinWatchPeriod, &StoreFollower::watchEndpoints);
}

void StoreFollower::listInstances()
{
    client_->listInstances([this](const std::optional<InstanceListing> &instances) { onInstances(instances); });
}

void StoreFollower::onInstances(const std::optional<InstanceListing> &instances)
{
    if (instances) {
        takeEpoch(instances->epoch);
        registerInstance(*instances);
        handlers_.onInstances(instances->entries);
    }
    const bool isFirst = instancesPeriod_ == MinInstancesPeriod;
    const relay::Ms period = isRegistered_ || isFirst ? instancesPeriod_ : RegisterRetryPeriod;
    runAt(base::readBootTimeClock() + period, [this]() { listInstances(); });
    instancesPeriod_ = std::min(2 * instancesPeriod_, MaxInstancesPeriod);
}

void StoreFollower::registerInstance(const InstanceListing &listing)
{
    if (listing.epoch < registeredEpoch_) {
        return; // A late list from before a restore.
    }
    const bool isListed = std::any_of(listing.entries.begin(), listing.entries.end(), [&](const relay::InstanceEntry &entry) {
        return entry.id == own_.id && entry.meshAddress == own_.meshAddress && entry.zone == own_.zone && entry.handOverAddress == own_.handOverAddress;
    });
    isRegistered_ = isListed || (isRegistered_ && listing.epoch == registeredEpoch_);
    registeredEpoch_ = listing.epoch;
    if (!isRegistered_) {
        client_->registerInstance(own_, [this](bool registered) { isRegistered_ = registered; });
    }
}

void StoreFollower::readLease()
{
    client_->readLease([this](const std::optional<LeaseReadResult> &lease) {
        markReachable(lease.has_value());
        if (lease) {
            takeEpoch(lease->first.epoch);
            handlers_.onLease(*lease);
        }
    });
}

void StoreFollower::writeLease(const relay::LeaseRecord &record, std::uint64_t expectedRevision)
{
    const relay::Instant sentAt = base::readBootTimeClock();
    client_->writeLease(record, expectedRevision, [this, sentAt](wire::StoreVersion version) {
        takeEpoch(version.epoch);
        handlers_.onLeaseWritten(sentAt, version);
    });
}

void StoreFollower::readQuarantines()
{
    client_->readQuarantines([this](const std::optional<std::vector<relay::QuarantineRecord>> &records) {
        if (records) {
            handlers_.onQuarantines(*records);
        }
    });
}

void StoreFollower::writeQuarantine(const relay::QuarantineRecord &record)
{
    client_->writeQuarantine(record, [this, signature = record.signature](bool ok) { handlers_.onQuarantineWritten(signature, ok); });
}

void StoreFollower::removeQuarantine(std::uint64_t signature)
{
    client_->removeQuarantine(signature, [this, signature](bool ok) {
        if (!ok) {
            handlers_.onQuarantineLeft(signature);
        }
    });
}

} // namespace relayhost
