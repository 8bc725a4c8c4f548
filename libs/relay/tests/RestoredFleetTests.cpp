#include "FakeDriver.h"

#include <map>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace relay;

/// Instances in three availability zones that exchange all their messages. Only those that their kernels want to follow the store, or to read it once, are
/// given its list.
TEST_GROUP(AFleetWhoseStoreIsRestored)
{
    static constexpr Ms Step{50};
    /// Period in which those that follow the store get its list.
    static constexpr Ms ListPeriod{250};

    struct Instance {
        FakeDriver driver;
        std::unique_ptr<RelayKernel> kernel;
        std::string address;
        std::size_t digests = 0;
        std::size_t requests = 0;
        std::size_t replies = 0;
        int refreshes = 0;
        bool followed = false;
    };

    std::vector<std::unique_ptr<Instance>> instances;
    std::map<std::string, Instance *> byAddress;
    std::vector<EndpointEntry> entries = RelayTestBed().entries;
    wire::StoreVersion store{1, 900};
    Instant now{std::chrono::seconds(100)};
    /// Reads of the list that the kernels have started: single ones, and the first one of those that begin to follow the store.
    std::size_t reads = 0;

    void start(std::size_t count)
    {
        std::vector<InstanceEntry> listed;
        for (std::size_t i = 0; i < count; ++i) {
            listed.push_back({"instance-" + std::to_string(i), "10.1." + std::to_string(i) + ".1:7000", "zone-" + std::to_string(i % 3)});
        }
        for (std::size_t i = 0; i < count; ++i) {
            RelaySettings settings = RelayTestBed::settings();
            settings.node = listed[i].id;
            settings.instance = listed[i].id + "/1";
            settings.zone = listed[i].zone;
            settings.meshAddress = listed[i].meshAddress;
            settings.seed = i + 1;
            instances.push_back(std::make_unique<Instance>());
            instances.back()->kernel = std::make_unique<RelayKernel>(settings, instances.back()->driver);
            instances.back()->address = listed[i].meshAddress;
            byAddress[listed[i].meshAddress] = instances.back().get();
        }
        for (const auto &instance : instances) {
            instance->kernel->onConfig(now, now, RelayTestBed::config(1));
            instance->kernel->onInstances(now, listed);
        }
        advance(Ms(6000));
    }

    void deliver(const std::string &address, const wire::RelayMessage &message)
    {
        const auto decoded = wire::decodeRelayMessage(wire::encode(message));
        if (const auto found = byAddress.find(address); found != byAddress.end()) {
            found->second->kernel->onPeerMessage(now, std::get<wire::RelayMessage>(decoded));
        }
    }

    void deliverMessagesOf(Instance & from)
    {
        for (; from.digests < from.driver.digests.size(); ++from.digests) {
            for (const std::string &address : std::vector<std::string>(from.driver.digestReceivers[from.digests])) {
                deliver(address, from.driver.digests[from.digests]);
            }
        }
        for (; from.requests < from.driver.freshnessRequests.size(); ++from.requests) {
            const auto request = from.driver.freshnessRequests[from.requests];
            deliver(request.first, request.second);
        }
        for (; from.replies < from.driver.freshnessReplies.size(); ++from.replies) {
            const auto reply = from.driver.freshnessReplies[from.replies];
            deliver(reply.first, reply.second);
        }
    }

    void advance(Ms duration)
    {
        for (Ms elapsed{0}; elapsed < duration; elapsed += Step) {
            now += Step;
            ++store.revision;
            for (const auto &instance : instances) {
                instance->kernel->onConfig(now, now, nullptr);
                const bool isRead = instance->driver.endpointRefreshes > instance->refreshes;
                const bool begins = instance->driver.followsStore && !instance->followed;
                reads += isRead || begins ? 1 : 0;
                if (isRead || begins || (instance->driver.followsStore && now.count() % Instant(ListPeriod).count() == 0)) {
                    instance->kernel->onEndpoints(now, entries, store);
                }
                instance->refreshes = instance->driver.endpointRefreshes;
                instance->followed = instance->driver.followsStore;
                instance->kernel->onTick(now);
            }
            for (const auto &instance : instances) {
                deliverMessagesOf(*instance);
            }
        }
    }

    /// Number of instances that take the endpoint for a draining one.
    std::size_t countDraining(const std::string &id) const
    {
        return static_cast<std::size_t>(std::count_if(instances.begin(), instances.end(), [&](const auto &instance) {
            const auto views = instance->kernel->endpoints();
            return std::any_of(views.begin(), views.end(), [&](const EndpointView &view) { return view.id == id && view.state == "draining"; });
        }));
    }

    /// Restores the store, lets an endpoint leave after it, and requires that all instances learn it in time, at the price of few reads.
    void restoreAndDrain(std::size_t count, std::size_t maxReads)
    {
        start(count);
        reads = 0;
        store = {2, 500};
        advance(Ms(1000));
        entries.front().draining = true;
        advance(Ms(1000));
        LONGS_EQUAL(count, countDraining(entries.front().id));
        CHECK(reads <= maxReads);
    }
};

/// Instances of a large fleet that don't read the store go on with the list of before, or all read it at once.
TEST(AFleetWhoseStoreIsRestored, learnsOfALeavingEndpointAtThreeInstances)
{
    restoreAndDrain(3, 3);
}

TEST(AFleetWhoseStoreIsRestored, learnsOfALeavingEndpointAt69Instances)
{
    restoreAndDrain(69, 9);
}

TEST(AFleetWhoseStoreIsRestored, learnsOfALeavingEndpointAt195Instances)
{
    restoreAndDrain(195, 9);
}
