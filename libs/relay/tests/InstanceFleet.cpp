#include "InstanceFleet.h"

#include <algorithm>

using namespace relay;

namespace {

/// Endpoints that hold each half of the layers.
constexpr int HoldersPerHalf = 8;

std::string nameOf(std::size_t instance)
{
    return "instance-" + std::to_string(instance);
}

std::string addressOf(std::size_t instance)
{
    return nameOf(instance) + ":1";
}

std::string handOverAddressOf(std::size_t instance)
{
    return nameOf(instance) + ":2";
}

} // namespace

InstanceFleet::InstanceFleet(std::size_t instanceCount, LandingOf landingOf)
    : landingOf_(std::move(landingOf))
{
    for (int i = 0; i < HoldersPerHalf; ++i) {
        endpoints.push_back({RelayTestBed::engineEntry("low-" + std::to_string(i), "zone-a", {0, RelayTestBed::HalfLayers})});
        endpoints.push_back({RelayTestBed::engineEntry("high-" + std::to_string(i), "zone-a", {RelayTestBed::HalfLayers, 2 * RelayTestBed::HalfLayers})});
    }
    for (std::size_t i = 0; i < instanceCount; ++i) {
        addInstance();
    }
}

std::size_t InstanceFleet::addInstance()
{
    instances.push_back(std::make_unique<Instance>());
    instances.back()->landing = landingOf_(instances.size() - 1);
    join(*instances.back(), instances.size() - 1);
    return instances.size() - 1;
}

void InstanceFleet::restart(std::size_t instance)
{
    replace(instance, landingOf_(instance));
}

void InstanceFleet::replace(std::size_t instance, const OlderSchema *landing)
{
    std::erase_if(runs_, [&](const Run &run) { return run.instance == instance; });
    instances[instance] = std::make_unique<Instance>();
    instances[instance]->landing = landing;
    join(*instances[instance], instance);
}

void InstanceFleet::takeDown(std::size_t instance)
{
    std::erase_if(runs_, [&](const Run &run) { return run.instance == instance; });
    instances[instance]->isDown = true;
}

void InstanceFleet::join(Instance &instance, std::size_t number)
{
    RelaySettings settings = RelayTestBed::settings();
    settings.node = nameOf(number);
    settings.instance = nameOf(number) + "/" + std::to_string(++storeRevision_);
    settings.meshAddress = addressOf(number);
    settings.handOverAddress = handsOver(instance) ? handOverAddressOf(number) : "";
    numberOfAddress_[settings.meshAddress] = number;
    numberOfAddress_[handOverAddressOf(number)] = number;
    if (handsOver(instance)) {
        listedHandOvers_[number] = settings.handOverAddress;
    }
    settings.seed = number + 1;
    instance.kernel = std::make_unique<RelayKernel>(settings, instance.driver);
    instance.kernel->onConfig(now, now, config_);
    instance.kernel->onEndpoints(now, listedEntries(), {0, ++storeRevision_});
    listInstances();
}

void InstanceFleet::listInstances()
{
    // One list for each kind of landing, since large fleets would make very many.
    std::vector<InstanceEntry> entries;
    std::vector<InstanceEntry> entriesWithoutHandOvers;
    for (std::size_t i = 0; i < instances.size(); ++i) {
        entriesWithoutHandOvers.push_back({nameOf(i), addressOf(i), "zone-a", ""});
        entries.push_back({nameOf(i), addressOf(i), "zone-a", listedHandOvers_[i]});
    }
    for (const auto &instance : instances) {
        if (instance->kernel) {
            instance->kernel->onInstances(now, handsOver(*instance) ? entries : entriesWithoutHandOvers);
        }
    }
}

bool InstanceFleet::handsOver(const Instance &instance)
{
    return instance.landing == nullptr || instance.landing->handsOver();
}

std::vector<EndpointEntry> InstanceFleet::listedEntries() const
{
    std::vector<EndpointEntry> entries;
    for (const Endpoint &endpoint : endpoints) {
        entries.push_back(endpoint.entry);
    }
    return entries;
}

void InstanceFleet::step()
{
    now += Step;
    for (Endpoint &endpoint : endpoints) {
        if (endpoint.downUntil.count() != 0 && now >= endpoint.downUntil) {
            endpoint.downUntil = Instant{0};
            ++endpoint.entry.incarnation;
        }
    }
    deliverDigests();
    answerReports();
    answerChecks();
    cutRuns();
    beginRuns();
    processDispatches();
    ++storeRevision_;
    for (const auto &instance : instances) {
        if (instance->isDown) {
            continue;
        }
        instance->kernel->onConfig(now, now, now < instance->readsConfigFrom ? nullptr : config_);
        instance->kernel->onEndpoints(now, listedEntries(), {0, storeRevision_});
        instance->kernel->onTick(now);
    }
    deliverHandOvers();
    serveQuarantines();
    processDispatches();
    collectRejections();
    collectBegunStreams();
}
