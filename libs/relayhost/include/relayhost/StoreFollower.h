#pragma once

#include "net/EventLoop.h"
#include "relayhost/StoreClient.h"

#include <map>

namespace relayhost {

/// What a follower reports; all are called in the loop's thread.
struct StoreHandlers {
    /// The configuration is as of the time at which the read was sent; null if it is the one reported last.
    std::function<void(relay::Instant sentAt, relay::FleetConfigPtr)> onConfig;
    /// The whole list, with all changes up to the revision.
    std::function<void(std::vector<relay::EndpointEntry>, std::uint64_t revision)> onEndpoints;
    std::function<void(const LeaseRead &)> onLease;
    /// Revision 0: not written, or unknown.
    std::function<void(relay::Instant sentAt, std::uint64_t revision)> onLeaseWritten;
    std::function<void(std::vector<relay::InstanceEntry>)> onInstances;
    /// True when the store answers again, false when it has stopped to.
    std::function<void(bool reachable)> onReachable;
    std::function<void(std::size_t damaged)> onDamaged;
};

/// Decides when the store is called, so that the kernel's view of it stays current.
///
/// The configuration is read again and again, since an empty watch proves nothing. Endpoints are listed once and then watched, and listed
/// anew after any gap. While it doesn't follow, it reads only on demand.
class StoreFollower
{
public:
    StoreFollower(net::EventLoop &loop, std::unique_ptr<StoreClient> client, StoreHandlers handlers);

    /// Enters this instance in the list of instances, and starts to follow.
    void start(const relay::InstanceEntry &own);
    void setAddress(const net::Address &address);

    /// Whether to read continuously.
    void follow(bool follow);
    /// Reads once and now, also while it doesn't follow.
    void refreshConfig();
    void refreshEndpoints();

    void readLease();
    void writeLease(const relay::LeaseRecord &record, std::uint64_t expectedRevision);

private:
    void markReachable(bool reachable);
    /// Runs the task at that time, or at once if it has passed.
    void at(relay::Instant due, std::function<void()> task);

    void readConfig();
    void onConfig(relay::Instant sentAt, const ConfigRead &read);
    void listEndpoints();
    void onListing(const std::optional<EndpointListing> &listing);
    void watchEndpoints();
    void onChanges(relay::Instant sentAt, const std::optional<EndpointChanges> &changes);
    void reportEndpoints();
    void registerInstance();
    void listInstances();

    net::EventLoop &loop_;
    std::unique_ptr<StoreClient> client_;
    StoreHandlers handlers_;
    relay::InstanceEntry own_;
    std::map<std::string, relay::EndpointEntry> endpoints_;
    /// Revision up to which the list of endpoints is known.
    std::uint64_t revision_ = 0;
    relay::Instant listedAt_{0};
    std::size_t damaged_ = 0;
    int instancesReads_ = 0;
    bool reachable_ = false;
    bool follows_ = true;
    /// Nothing is under way or planned for the configuration, or for the endpoints.
    bool configRests_ = false;
    bool endpointsRest_ = false;
};

} // namespace relayhost
