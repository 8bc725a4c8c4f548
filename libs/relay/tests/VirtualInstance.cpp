#include "VirtualInstance.h"

#include <algorithm>

using relay::Instant;
using relay::Ms;

namespace {

constexpr Ms TickPeriod{50};
/// Periods at which the configuration, the endpoint list and the instance list are read.
constexpr Ms ConfigPeriod{1200};
constexpr Ms ListPeriod{700};
constexpr Ms InstancesPeriod{2500};
/// Wait after a failed read of the configuration or the endpoint list until the next one.
constexpr Ms RetryPeriod{150};

} // namespace

void VirtualFleet::startInstance(std::size_t index)
{
    Instance &instance = *instances_[index];
    if (instance.alive) {
        return;
    }
    relay::RelaySettings settings;
    settings.node = instance.node;
    settings.instance = instance.node + "/" + std::to_string(++instance.generation);
    settings.zone = instance.zone;
    settings.meshAddress = instance.node + ":7000";
    settings.seed = random_();
    instance.kernel = std::make_unique<relay::RelayKernel>(settings, *instance.driver);
    instance.alive = true;
    ++instance.starts;
    instance.ready = false;
    instance.stopping = false;
    instance.followsStore = false;
    instance.endpointReadsPaused = true;
    instance.startedAt = time_.now();
    instance.interruptedAt = time_.now();
    instance.answers.clear();
    if (!store_.down) {
        store_.instances[instance.node] = {instance.node, instance.node + ":7000", instance.zone};
    }
    readConfig(index);
    listInstances(index, instance.generation);
    tickInstance(index, instance.generation);
}

void VirtualFleet::killInstance(std::size_t index)
{
    Instance &instance = *instances_[index];
    if (!instance.alive) {
        return;
    }
    ++instance.generation;
    instance.alive = false;
    instance.kernel.reset();
    for (const auto &endpoint : endpoints_) {
        std::erase_if(endpoint->runs, [&](const auto &entry) { return entry.second.instance == index; });
    }
    for (const auto &caller : callers_) {
        caller->ended = caller->ended || caller->instance == index;
    }
    std::erase_if(openCallers_, [&](const auto &entry) { return entry.first.first == index; });
}

bool VirtualFleet::isOlder(const Instance &instance, std::size_t index) const
{
    return older_ != nullptr && (index + instance.starts) % 2 == 0;
}

void VirtualFleet::freezeInstance(std::size_t index, Ms duration)
{
    Instance &instance = *instances_[index];
    instance.frozenUntil = std::max(instance.frozenUntil, time_.now() + duration);
    instance.interruptedAt = instance.frozenUntil;
    lastFaultAt_[instance.node] = instance.frozenUntil;
}

void VirtualFleet::runInInstance(std::size_t index, std::uint64_t generation, std::function<void()> task)
{
    Instance &instance = *instances_[index];
    if (!instance.alive || instance.generation != generation) {
        return;
    }
    if (time_.now() < instance.frozenUntil) {
        const Ms wait = std::chrono::ceil<Ms>(instance.frozenUntil - time_.now());
        return time_.after(wait, [this, index, generation, task = std::move(task)]() { runInInstance(index, generation, task); });
    }
    task();
}

void VirtualFleet::tickInstance(std::size_t index, std::uint64_t generation)
{
    runInInstance(index, generation, [this, index, generation]() {
        instances_[index]->kernel->onTick(time_.now());
        checkPlanners();
        time_.after(TickPeriod, [this, index, generation]() { tickInstance(index, generation); });
    });
}

void VirtualFleet::checkPlanners()
{
    const auto holds = [this](const auto &instance) {
        return instance->alive && instance->kernel->isPlanner(time_.now());
    };
    if (std::count_if(instances_.begin(), instances_.end(), holds) > 1) {
        addViolation("two instances hold the planner's lease");
    }
}

void VirtualFleet::readConfig(std::size_t index)
{
    Instance &instance = *instances_[index];
    instance.configReadsPaused = false;
    const Instant sentAt = time_.now();
    query<relay::FleetConfigPtr>(
        index,
        "store",
        Driver::StoreTimeout,
        [this]() { return std::optional(store_.config); },
        [this, index, sentAt](const auto &config) {
            Instance &self = *instances_[index];
            if (!config) {
                const std::uint64_t generation = self.generation;
                return time_.after(RetryPeriod, [this, index, generation]() { runInInstance(index, generation, [this, index]() { readConfig(index); }); });
            }
            self.kernel->onConfig(time_.now(), sentAt, *config);
            self.configReadsPaused = !self.followsStore;
            if (self.followsStore) {
                const std::uint64_t generation = self.generation;
                time_.after(ConfigPeriod, [this, index, generation]() { runInInstance(index, generation, [this, index]() { readConfig(index); }); });
            }
        });
}

void VirtualFleet::listEndpoints(std::size_t index)
{
    using Listing = std::pair<std::vector<relay::EndpointEntry>, wire::StoreVersion>;
    Instance &instance = *instances_[index];
    instance.endpointReadsPaused = false;
    const auto serve = [this]() {
        Listing listing;
        for (const auto &[id, entry] : store_.endpoints) {
            listing.first.push_back(entry);
        }
        listing.second = {store_.epoch, store_.revision};
        return std::optional(listing);
    };
    query<Listing>(index, "store", Driver::StoreTimeout, serve, [this, index](const std::optional<Listing> &listing) {
        Instance &self = *instances_[index];
        const std::uint64_t generation = self.generation;
        if (listing) {
            self.kernel->onEndpoints(time_.now(), listing->first, listing->second);
        }
        self.endpointReadsPaused = listing && !self.followsStore;
        if (!self.endpointReadsPaused) {
            const Ms wait = listing ? ListPeriod : RetryPeriod;
            time_.after(wait, [this, index, generation]() { runInInstance(index, generation, [this, index]() { listEndpoints(index); }); });
        }
    });
}

void VirtualFleet::listInstances(std::size_t index, std::uint64_t generation)
{
    using Listing = std::vector<relay::InstanceEntry>;
    runInInstance(index, generation, [this, index, generation]() {
        const auto serve = [this]() {
            Listing listing;
            for (const auto &[id, entry] : store_.instances) {
                listing.push_back(entry);
            }
            return std::optional(listing);
        };
        query<Listing>(index, "store", Driver::StoreTimeout, serve, [this, index](const std::optional<Listing> &listing) {
            if (listing) {
                instances_[index]->kernel->onInstances(time_.now(), *listing);
            }
        });
        time_.after(InstancesPeriod, [this, index, generation]() { listInstances(index, generation); });
    });
}
