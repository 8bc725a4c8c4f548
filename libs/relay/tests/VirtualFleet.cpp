#include "VirtualFleet.h"

#include "VirtualInstance.h"

#include <algorithm>

using relay::Instant;
using relay::Ms;

namespace {

constexpr std::size_t InstanceCount = 5;
constexpr std::size_t EngineCount = 8;
constexpr std::size_t DeskCount = 3;
/// Engines that may be lost for good; the remaining 5 can hold the model twice.
constexpr std::size_t MaxEnginesLost = 3;
/// Periods of the schedule, in this order: no calls and no faults, calls with faults, calls while the fleet recovers, calls that must be served.
constexpr Ms FaultFreeStart{8000};
constexpr Ms FaultPeriod{20000};
constexpr Ms RecoveryPeriod{17000};
constexpr Ms FinalCallPeriod{4000};
/// Period after the last call in which open calls must end.
constexpr Ms FinalAnswerPeriod{12000};
/// A schedule has MinFaults faults and up to FaultCountRange - 1 more.
constexpr std::uint64_t MinFaults = 3;
constexpr std::uint64_t FaultCountRange = 8;
/// Duration of the partition from the store that keeps an instance from reading a revocation.
constexpr Ms RevocationCutPeriod{9500};
constexpr Ms HeartbeatPeriod{1200};
/// An endpoint's entry in the store expires after so many heartbeat periods without a heartbeat.
constexpr int EntryLifetimeHeartbeats = 3;
/// Ratio of the calls after recovery that must be served.
constexpr double MinServedRatio = 0.95;

} // namespace

VirtualFleet::VirtualFleet(std::uint64_t seed)
    : random_(seed)
{
    store_.config = makeConfig();
    const auto addEndpoint = [this](const std::string &id, const std::string &service, std::size_t number) {
        auto endpoint = std::make_unique<Endpoint>();
        endpoint->entry.id = id;
        endpoint->entry.service = service;
        endpoint->entry.address = id + ":1";
        endpoint->entry.zone = number % 2 == 0 ? "zone-a" : "zone-b";
        endpoint->entry.incarnation = 1;
        endpoint->entry.slots = service == "desk" ? 6 : 100;
        endpoint->entry.accelerator = service == "desk" ? "" : "gpu";
        endpoints_.push_back(std::move(endpoint));
        heartbeat(endpoints_.size() - 1);
    };
    for (std::size_t i = 0; i < EngineCount; ++i) {
        addEndpoint("engine-" + std::to_string(i), "model", i);
    }
    for (std::size_t i = 0; i < DeskCount; ++i) {
        addEndpoint("desk-" + std::to_string(i), "desk", i);
    }
    for (std::size_t i = 0; i < InstanceCount; ++i) {
        instances_.push_back(std::make_unique<Instance>());
        instances_.back()->node = "instance-" + std::to_string(i);
        instances_.back()->zone = i % 2 == 0 ? "zone-a" : "zone-b";
        instances_.back()->driver = std::make_unique<Driver>(*this, i);
        time_.after(Ms(draw(300)), [this, i]() { startInstance(i); });
    }
}

VirtualFleet::~VirtualFleet() = default;

void VirtualFleet::runSchedule()
{
    const Instant start = time_.now();
    faultsUntil_ = start + FaultFreeStart + FaultPeriod;
    recoveryDeadline_ = start + FaultFreeStart + FaultPeriod + RecoveryPeriod;
    keepCopies();
    time_.after(FaultFreeStart, [this]() {
        sendCall();
        scheduleFaults();
    });
    if (older_ != nullptr) {
        time_.after(FaultFreeStart, [this]() { replaceInstances(0); });
    }
    time_.after(FaultFreeStart + FaultPeriod, [this]() { endFaults(); });
    time_.runUntil(recoveryDeadline_ + FinalCallPeriod + FinalAnswerPeriod);
    checkEnd();
}

void VirtualFleet::scheduleFaults()
{
    if (pausesEnginesOnly_) {
        constexpr Ms PausePeriod{600};
        constexpr Ms ChangePeriod{500};
        for (Ms at{0}; at < FaultPeriod; at += PausePeriod) {
            time_.after(at, [this]() { pauseEngines(); });
        }
        for (Ms at{0}; changesConfig_ && at < FaultPeriod; at += ChangePeriod) {
            time_.after(at, [this]() { changeConfig(false); });
        }
        return;
    }
    const std::uint64_t faults = MinFaults + draw(FaultCountRange);
    for (std::uint64_t i = 0; i < faults; ++i) {
        time_.after(Ms(draw(static_cast<std::uint64_t>(FaultPeriod.count()))), [this]() { injectFault(); });
    }
}

void VirtualFleet::injectFault()
{
    ++totals_.faults;
    const std::size_t instance = draw(InstanceCount);
    Endpoint &engine = *endpoints_[draw(EngineCount)];
    Endpoint &desk = *endpoints_[EngineCount + draw(DeskCount)];
    const Ms duration(500 + draw(9000));
    switch (draw(15)) {
    case 0:
        return crash(engine, draw(2) == 0);
    case 1:
        return crash(desk, draw(2) == 0);
    case 2:
        return drain(engine);
    case 3:
        return drain(desk);
    case 4:
        return addEngine();
    case 5:
        killInstance(instance);
        return time_.after(Ms(200 + draw(1500)), [this, instance]() { startInstance(instance); });
    case 6:
        return freezeInstance(instance, duration);
    case 7:
        return cut(instances_[instance]->node, duration, true);
    case 8:
        return cut(instances_[instance]->node, duration, false);
    case 9:
        store_.down = true;
        store_.downUntil = std::max(store_.downUntil, time_.now() + duration);
        return time_.after(duration, [this]() { store_.down = time_.now() < store_.downUntil; });
    case 10:
        return changeConfig(draw(2) == 0);
    case 11:
        // A key is revoked while one instance can't read the configuration.
        cut(instances_[instance]->node, RevocationCutPeriod, true);
        return changeConfig(true);
    case 12:
        engine.delaysOrders = true;
        return time_.after(duration, [&engine]() { engine.delaysOrders = false; });
    case 13:
        return restoreStore(Ms(500 + draw(3500)));
    default:
        desk.losesAnswers = true;
        return time_.after(duration, [&desk]() { desk.losesAnswers = false; });
    }
}

void VirtualFleet::replaceInstances(std::size_t index)
{
    constexpr Ms ReplacePeriod{1500};
    if (time_.now() > recoveryDeadline_ - RecoveryPeriod) {
        return;
    }
    if (instances_[index]->alive && !instances_[index]->stopping) {
        ++totals_.replacements;
        instances_[index]->stopping = true;
        instances_[index]->kernel->onStop(time_.now());
    }
    time_.after(ReplacePeriod, [this, index]() { replaceInstances((index + 1) % instances_.size()); });
}

void VirtualFleet::pauseEngines()
{
    constexpr std::uint64_t EnginesAtOnce = 3;
    constexpr Ms ShortestPause{400};
    const auto drawPause = [&]() {
        return ShortestPause + Ms(draw(static_cast<std::uint64_t>((longestPause_ - ShortestPause).count())));
    };
    const bool areAll = changesConfig_ && draw(6) == 0;
    const Ms pauseOfAll = areAll ? drawPause() : Ms(0);
    for (std::uint64_t i = 0; i < (areAll ? EngineCount : EnginesAtOnce); ++i) {
        ++totals_.faults;
        Endpoint &engine = *endpoints_[areAll ? i : draw(EngineCount)];
        engine.pausedUntil = std::max(engine.pausedUntil, time_.now() + (areAll ? pauseOfAll : drawPause()));
    }
}

bool VirtualFleet::isResponsive(const Endpoint &endpoint) const
{
    return endpoint.alive && time_.now() >= endpoint.pausedUntil;
}

void VirtualFleet::crash(Endpoint &endpoint, bool silent)
{
    if (!endpoint.alive) {
        return;
    }
    endpoint.alive = false;
    endpoint.silent = silent;
    lastFaultAt_[endpoint.entry.id] = time_.now();
    for (const auto &entry : endpoint.runs) {
        const Run run = entry.second;
        if (!silent) {
            time_.after(Ms(0), [this, run]() {
                runInInstance(run.instance, run.generation, [this, run]() {
                    instances_[run.instance]->kernel->onFailure(time_.now(), run.attempt, relay::AttemptFailure::Broken);
                });
            });
        }
    }
    endpoint.runs.clear();
    const bool isEngine = !endpoint.entry.accelerator.empty();
    if (isEngine && enginesLost_ < MaxEnginesLost && draw(3) == 0) {
        ++enginesLost_;
        return;
    }
    time_.after(Ms(800 + draw(4000)), [this, &endpoint]() { restart(endpoint); });
}

void VirtualFleet::restart(Endpoint &endpoint)
{
    endpoint.alive = true;
    endpoint.silent = false;
    endpoint.loading = false;
    endpoint.delaysOrders = false;
    endpoint.losesAnswers = false;
    endpoint.fence = 0;
    endpoint.orderCount = 0;
    ++endpoint.entry.incarnation;
    endpoint.entry.draining = false;
    endpoint.drainingSince = Instant{0};
    endpoint.entry.layers = {};
    lastFaultAt_[endpoint.entry.id] = time_.now();
}

void VirtualFleet::drain(Endpoint &endpoint)
{
    if (!endpoint.alive || endpoint.entry.draining || store_.down) {
        return;
    }
    endpoint.entry.draining = true;
    endpoint.drainingSince = time_.now();
    store_.endpoints[endpoint.entry.id] = endpoint.entry;
    ++store_.revision;
    const std::uint64_t incarnation = endpoint.entry.incarnation;
    time_.after(Ms(3500), [this, &endpoint, incarnation]() {
        if (endpoint.alive && endpoint.entry.incarnation == incarnation) {
            crash(endpoint, false);
        }
    });
}

void VirtualFleet::addEngine()
{
    auto endpoint = std::make_unique<Endpoint>();
    endpoint->entry = endpoints_.front()->entry;
    endpoint->entry.id = "added-" + std::to_string(enginesAdded_++);
    endpoint->entry.address = endpoint->entry.id + ":1";
    endpoint->entry.incarnation = 1;
    endpoint->entry.draining = false;
    endpoint->entry.layers = {};
    endpoints_.push_back(std::move(endpoint));
    heartbeat(endpoints_.size() - 1);
}

void VirtualFleet::changeConfig(bool revokesKey)
{
    if (store_.down) {
        return;
    }
    configVersion_ += 1 + draw(3);
    if (revokesKey) {
        revokedKeys_.try_emplace("key-c", time_.now());
    }
    store_.config = makeConfig();
    ++store_.revision;
}

void VirtualFleet::endFaults()
{
    store_.down = false;
    if (changesConfig_) {
        changeConfig(false);
    }
    cutOff_.clear();
    cutFromStore_.clear();
    for (const auto &endpoint : endpoints_) {
        endpoint->delaysOrders = false;
        endpoint->losesAnswers = false;
    }
}

bool VirtualFleet::reaches(const std::string &a, const std::string &b) const
{
    const bool isStoreCut = (a == "store" && cutFromStore_.contains(b)) || (b == "store" && cutFromStore_.contains(a));
    const bool isStoreDown = store_.down && (a == "store" || b == "store");
    return !isStoreCut && !isStoreDown && !cutOff_.contains(a) && !cutOff_.contains(b);
}

void VirtualFleet::cut(const std::string &node, Ms duration, bool onlyFromStore)
{
    std::set<std::string> &nodes = onlyFromStore ? cutFromStore_ : cutOff_;
    nodes.insert(node);
    lastFaultAt_[node] = time_.now() + duration;
    time_.after(duration, [&nodes, node]() { nodes.erase(node); });
}

bool VirtualFleet::hadFaultSince(const std::string &node, Instant since) const
{
    const auto found = lastFaultAt_.find(node);
    return found != lastFaultAt_.end() && found->second >= since;
}

Ms VirtualFleet::delay()
{
    return Ms(1 + draw(3));
}

void VirtualFleet::heartbeat(std::size_t index)
{
    Endpoint &endpoint = *endpoints_[index];
    if (endpoint.alive && !store_.down) {
        const auto found = store_.endpoints.find(endpoint.entry.id);
        const bool isSame = found != store_.endpoints.end() && found->second.incarnation == endpoint.entry.incarnation
            && found->second.draining == endpoint.entry.draining && found->second.layers == endpoint.entry.layers;
        if (!isSame) {
            store_.endpoints[endpoint.entry.id] = endpoint.entry;
            ++store_.revision;
        }
        endpoint.listedUntil = time_.now() + HeartbeatPeriod * EntryLifetimeHeartbeats;
    } else if (time_.now() > endpoint.listedUntil && store_.endpoints.erase(endpoint.entry.id) > 0) {
        ++store_.revision;
    }
    time_.after(HeartbeatPeriod, [this, index]() { heartbeat(index); });
}

void VirtualFleet::checkEnd()
{
    for (const auto &caller : callers_) {
        checkCaller(*caller);
    }
    checkRetries();
    for (const auto &instance : instances_) {
        if (!instance->alive) {
            addViolation(instance->node + " is not running after all faults");
            continue;
        }
        if (instance->kernel->openCalls() > 0) {
            addViolation(instance->node + " holds " + std::to_string(instance->kernel->openCalls()) + " calls that have ended");
        }
        for (const relay::EndpointView &view : instance->kernel->endpoints()) {
            if (view.openRequests != 0 || view.contextTokens > 0.5 || view.contextTokens < -0.5) {
                addViolation(instance->node + " counts " + std::to_string(view.openRequests) + " requests on " + view.id + " that have ended");
            }
        }
    }
    if (totals_.servedAfterRecovery < MinServedRatio * totals_.callsAfterRecovery) {
        addViolation("served " + std::to_string(totals_.servedAfterRecovery) + " of " + std::to_string(totals_.callsAfterRecovery) + " calls after all faults");
    }
}

void VirtualFleet::addViolation(const std::string &text)
{
    violations_.push_back(std::to_string(time_.now() / Ms(1)) + " ms: " + text);
}

std::uint64_t VirtualFleet::draw(std::uint64_t below)
{
    return random_() % below;
}
