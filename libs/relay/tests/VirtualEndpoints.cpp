#include "VirtualInstance.h"

#include <algorithm>

using relay::Instant;
using relay::Ms;

namespace {

constexpr std::uint32_t ModelLayers = 80;
constexpr Ms EventPeriod{45};
constexpr Ms FirstEventDelay{30};
/// An engine gives up a request after this time if a stage of its pipeline is down.
constexpr Ms StallTimeout{3000};
constexpr Ms LoadDuration{1500};
constexpr Ms DeskAnswerDelay{25};
/// No stable instance may send new work to an endpoint that has been listed as draining for longer than this.
constexpr Ms MaxDrainDelay{3000};
/// Calls made longer than this after the revocation of their key must be rejected by every instance.
constexpr Ms MaxRevocationDelay{5000};
/// An instance is stable, and must keep to MaxDrainDelay, after this time without a restart, freeze, partition or outage of the store.
constexpr Ms StablePeriod{4000};
/// The last event of each so many attempts can't be read.
constexpr relay::AttemptId DamagedAttemptPeriod = 16;
constexpr int Ok = 200;
constexpr int Misdirected = 421;
constexpr int Unavailable = 503;

} // namespace

VirtualFleet::Endpoint *VirtualFleet::endpointAt(const std::string &address)
{
    const auto found = std::find_if(endpoints_.begin(), endpoints_.end(), [&](const auto &endpoint) { return endpoint->entry.address == address; });
    return found == endpoints_.end() ? nullptr : found->get();
}

VirtualFleet::Endpoint *VirtualFleet::endpointNamed(const std::string &id)
{
    const auto found = std::find_if(endpoints_.begin(), endpoints_.end(), [&](const auto &endpoint) { return endpoint->entry.id == id; });
    return found == endpoints_.end() ? nullptr : found->get();
}

void VirtualFleet::deliver(std::size_t instance, const relay::Dispatch &dispatch)
{
    const Caller *caller = callerOf(instance, dispatch.call);
    if (caller == nullptr) {
        return addViolation("an attempt was sent for a call that is not open");
    }
    const std::string requestId = caller->requestId;
    const std::uint64_t generation = instances_[instance]->generation;
    const std::string from = instances_[instance]->node;
    const auto fail = [this, instance, generation, dispatch](relay::AttemptFailure failure) {
        runInInstance(
            instance, generation, [this, instance, dispatch, failure]() { instances_[instance]->kernel->onFailure(time_.now(), dispatch.attempt, failure); });
    };
    time_.after(delay(), [this, instance, generation, from, dispatch, requestId, fail]() {
        Endpoint *endpoint = endpointNamed(dispatch.endpoint);
        if (!reaches(from, dispatch.endpoint) || (!endpoint->alive && endpoint->silent)) {
            return time_.after(Ms(400), [fail]() { fail(relay::AttemptFailure::NotSent); });
        }
        if (!endpoint->alive) {
            return fail(relay::AttemptFailure::NotSent);
        }
        const Caller *open = callerOf(instance, dispatch.call);
        if (open != nullptr && instances_[instance]->generation == generation) {
            recordArrival(instance, dispatch, *open);
        }
        if (endpoint->entry.accelerator.empty()) {
            deliverToDesk(instance, generation, dispatch, requestId);
        } else {
            deliverToEngine(instance, generation, dispatch, requestId);
        }
    });
}

void VirtualFleet::recordArrival(std::size_t instance, const relay::Dispatch &dispatch, const Caller &caller)
{
    const Endpoint &endpoint = *endpointNamed(dispatch.endpoint);
    std::vector<Instant> &times = ++arrivals_[caller.requestId] == 1 ? firstArrivals_[endpoint.entry.service] : retries_[endpoint.entry.service];
    times.push_back(time_.now());
    const Instance &from = *instances_[instance];
    const Instant stableSince = time_.now() - StablePeriod;
    const bool isStable = from.interruptedAt < stableSince && !hadFaultSince(from.node, stableSince) && store_.downUntil < stableSince;
    const bool isLate = endpoint.drainingSince.count() != 0 && time_.now() > endpoint.drainingSince + MaxDrainDelay;
    if (isStable && isLate) {
        addViolation(caller.requestId + " was sent to " + endpoint.entry.id + " long after it was listed as leaving");
    }
    const auto revoked = revokedKeys_.find(caller.key);
    if (revoked != revokedKeys_.end() && caller.sentAt > revoked->second + MaxRevocationDelay) {
        addViolation(caller.requestId + " was passed on to an endpoint although its key had been revoked");
    }
}

void VirtualFleet::checkPipeline(const std::vector<relay::Hop> &hops, const std::string &requestId)
{
    std::uint32_t layer = 0;
    std::set<std::string> addresses;
    for (const relay::Hop &hop : hops) {
        if (hop.layers.first != layer || hop.layers.empty() || !addresses.insert(hop.address).second) {
            return addViolation(requestId + " has a path of stages with a gap, a layer twice or an endpoint twice");
        }
        layer = hop.layers.end;
    }
    if (layer != ModelLayers) {
        addViolation(requestId + " has a path of stages that ends at layer " + std::to_string(layer));
    }
}

void VirtualFleet::deliverToEngine(std::size_t instance, std::uint64_t generation, const relay::Dispatch &dispatch, const std::string &requestId)
{
    checkPipeline(dispatch.hops, requestId);
    const std::string from = instances_[instance]->node;
    const auto refuse = [this, instance, generation, from, dispatch](int status, const std::string &fault, Ms wait) {
        time_.after(wait + delay(), [this, instance, generation, from, dispatch, status, fault]() {
            if (reaches(from, dispatch.endpoint)) {
                runInInstance(instance, generation, [this, instance, dispatch, status, fault]() {
                    instances_[instance]->kernel->onAnswer(time_.now(), dispatch.attempt, {status, true, false, fault});
                });
            }
        });
    };
    for (const relay::Hop &hop : dispatch.hops) {
        const Endpoint *stage = endpointAt(hop.address);
        if (!stage->alive) {
            return refuse(Unavailable, hop.address, StallTimeout);
        }
        if (stage->entry.draining) {
            return refuse(Unavailable, hop.address, Ms(0));
        }
        if (stage->entry.layers.first > hop.layers.first || stage->entry.layers.end < hop.layers.end) {
            return refuse(Misdirected, hop.address, Ms(0));
        }
    }
    Endpoint &endpoint = *endpointNamed(dispatch.endpoint);
    const Caller *caller = callerOf(instance, dispatch.call);
    if (caller == nullptr) {
        return;
    }
    const std::uint64_t number = ++lastRun_;
    const std::uint64_t resumeAfter = std::strtoull(dispatch.lastEventId.c_str(), nullptr, 10);
    endpoint.runs[number] = {instance, generation, dispatch.attempt, requestId, dispatch.hops, resumeAfter + 1, caller->events, false, Instant{0}, ""};
    const std::string id = endpoint.entry.id;
    const std::uint64_t incarnation = endpoint.entry.incarnation;
    time_.after(FirstEventDelay, [this, id, incarnation, number]() { advanceRun(id, incarnation, number); });
}

void VirtualFleet::advanceRun(const std::string &id, std::uint64_t incarnation, std::uint64_t number)
{
    Endpoint &endpoint = *endpointNamed(id);
    const auto found = endpoint.runs.find(number);
    if (!endpoint.alive || endpoint.entry.incarnation != incarnation || found == endpoint.runs.end()) {
        return;
    }
    if (!isResponsive(endpoint)) {
        return time_.after(std::chrono::ceil<Ms>(endpoint.pausedUntil - time_.now()),
                           [this, id, incarnation, number]() { advanceRun(id, incarnation, number); });
    }
    Run &run = found->second;
    run.stalledOn = stalledStageOf(run);
    if (!run.stalledOn.empty()) {
        run.stalledSince = run.stalledSince.count() == 0 ? time_.now() : run.stalledSince;
        if (time_.now() - run.stalledSince > StallTimeout) {
            breakRun(run, id);
            endpoint.runs.erase(found);
            return;
        }
        return time_.after(EventPeriod, [this, id, incarnation, number]() { advanceRun(id, incarnation, number); });
    }
    run.stalledSince = Instant{0};
    if (!reaches(instances_[run.instance]->node, id)) {
        // The endpoint notices the broken connection and ends the run; events that are still in the connection are lost.
        endpoint.runs.erase(found);
        return;
    }
    const std::uint64_t event = run.nextEvent++;
    if (!run.hasBegun) {
        run.hasBegun = true;
        recordRun(endpoint, run.requestId);
    }
    sendEvent(run, id, event);
    if (event >= run.lastEvent) {
        endpoint.runs.erase(found);
        return;
    }
    time_.after(EventPeriod, [this, id, incarnation, number]() { advanceRun(id, incarnation, number); });
}

std::string VirtualFleet::stalledStageOf(const Run &run)
{
    std::string stalledOn;
    for (const relay::Hop &hop : run.pipeline) {
        if (!isResponsive(*endpointAt(hop.address))) {
            stalledOn = hop.address;
        }
    }
    return stalledOn;
}

VirtualFleet::Caller &VirtualFleet::callerOf(const Run &run)
{
    return **std::find_if(callers_.rbegin(), callers_.rend(), [&](const auto &entry) { return entry->requestId == run.requestId; });
}

void VirtualFleet::notifyInstance(const Run &run, const std::string &endpoint, const std::function<void(relay::RelayKernel &)> &event)
{
    const std::string node = instances_[run.instance]->node;
    time_.after(delay(), [this, run, endpoint, node, event]() {
        if (reaches(node, endpoint)) {
            runInInstance(run.instance, run.generation, [this, run, event]() { event(*instances_[run.instance]->kernel); });
        }
    });
}

void VirtualFleet::breakRun(const Run &run, const std::string &endpoint)
{
    notifyInstance(run, endpoint, [this, run](relay::RelayKernel &kernel) {
        callerOf(run).wasBrokenByEndpoint = true;
        kernel.onFailure(time_.now(), run.attempt, relay::AttemptFailure::Broken);
    });
}

void VirtualFleet::sendEvent(const Run &run, const std::string &endpoint, std::uint64_t event)
{
    notifyInstance(run, endpoint, [this, run, event](relay::RelayKernel &kernel) {
        if (event >= run.lastEvent && run.attempt % DamagedAttemptPeriod == 0) {
            callerOf(run).wasBrokenByEndpoint = true;
            return kernel.onFailure(time_.now(), run.attempt, relay::AttemptFailure::Malformed);
        }
        if (kernel.onEvent(time_.now(), run.attempt, event)) {
            Caller &caller = callerOf(run);
            if (event != caller.delivered + 1) {
                addViolation(run.requestId + " got event " + std::to_string(event) + " after " + std::to_string(caller.delivered));
            }
            caller.delivered = event;
            caller.deliveredAt = time_.now();
        }
        if (event >= run.lastEvent) {
            kernel.onStreamEnd(time_.now(), run.attempt);
        }
    });
}

void VirtualFleet::deliverToDesk(std::size_t instance, std::uint64_t generation, const relay::Dispatch &dispatch, const std::string &requestId)
{
    Endpoint &endpoint = *endpointNamed(dispatch.endpoint);
    const std::string from = instances_[instance]->node;
    const auto answer = [this, instance, generation, from, dispatch, requestId](int status, bool notRun) {
        if (!reaches(from, dispatch.endpoint)) {
            return;
        }
        runInInstance(instance, generation, [this, instance, dispatch, requestId, status, notRun]() {
            instances_[instance]->answers[dispatch.attempt] = {requestId, status};
            instances_[instance]->kernel->onAnswer(time_.now(), dispatch.attempt, {status, notRun, !notRun, ""});
        });
    };
    if (endpoint.entry.draining && draw(2) == 0) {
        return time_.after(delay(), [answer]() { answer(Unavailable, true); });
    }
    recordRun(endpoint, requestId);
    const bool isLost = endpoint.losesAnswers && draw(2) == 0;
    time_.after(DeskAnswerDelay + delay(), [this, &endpoint, answer, isLost, instance, generation, dispatch]() {
        if (isLost || !endpoint.alive) {
            return runInInstance(instance, generation, [this, instance, dispatch]() {
                instances_[instance]->kernel->onFailure(time_.now(), dispatch.attempt, relay::AttemptFailure::Broken);
            });
        }
        answer(Ok, false);
    });
}

void VirtualFleet::recordRun(const Endpoint &endpoint, const std::string &requestId)
{
    runs_[requestId].push_back({endpoint.entry.id, endpoint.entry.incarnation, time_.now()});
}

relay::OrderOutcome VirtualFleet::handleOrder(const relay::PlacementOrder &order)
{
    Endpoint &endpoint = *endpointNamed(order.endpoint);
    if (!endpoint.alive || order.expectedOrderCount != endpoint.orderCount || endpoint.loading || endpoint.entry.draining) {
        return relay::OrderOutcome::Refused;
    }
    if (order.fence < endpoint.fence) {
        return relay::OrderOutcome::Fenced;
    }
    endpoint.fence = order.fence;
    if (endpoint.entry.layers == order.layers) {
        return relay::OrderOutcome::Accepted;
    }
    const placement::EngineProfile &profile = *store_.config->services.front().engine;
    if (order.layers.size() * profile.layerMb > profile.kinds.front().memoryMb) {
        addViolation(order.endpoint + " was ordered to hold more layers than fit into its memory");
    }
    ++endpoint.orderCount;
    endpoint.loading = true;
    endpoint.entry.layers = {};
    const std::uint64_t incarnation = endpoint.entry.incarnation;
    time_.after(LoadDuration, [&endpoint, incarnation, order]() {
        if (endpoint.entry.incarnation == incarnation) {
            endpoint.loading = false;
            endpoint.entry.layers = order.layers;
        }
    });
    return relay::OrderOutcome::Accepted;
}

relay::OrderOutcome VirtualFleet::handleDetour(const relay::Detour &detour, std::string &faultAddress)
{
    Endpoint &endpoint = *endpointNamed(detour.endpoint);
    const auto found = std::find_if(endpoint.runs.begin(), endpoint.runs.end(), [&](const auto &entry) { return entry.second.requestId == detour.requestId; });
    if (found == endpoint.runs.end()) {
        return relay::OrderOutcome::UnknownRequest;
    }
    checkPipeline(detour.hops, detour.requestId);
    for (const relay::Hop &hop : detour.hops) {
        const Endpoint *stage = endpointAt(hop.address);
        const std::vector<relay::Hop> &before = found->second.pipeline;
        const bool wasStage = std::any_of(before.begin(), before.end(), [&](const relay::Hop &old) { return old.address == hop.address; });
        const bool holds = stage->entry.layers.first <= hop.layers.first && stage->entry.layers.end >= hop.layers.end;
        if (!stage->alive || (!wasStage && (!holds || stage->entry.draining))) {
            faultAddress = hop.address;
            return relay::OrderOutcome::Refused;
        }
    }
    found->second.pipeline = detour.hops;
    return relay::OrderOutcome::Accepted;
}

std::optional<relay::EndpointReport> VirtualFleet::reportOf(const std::string &id)
{
    const Endpoint &endpoint = *endpointNamed(id);
    if (!isResponsive(endpoint)) {
        return std::nullopt;
    }
    relay::EndpointReport report;
    report.incarnation = endpoint.entry.incarnation;
    report.orderCount = endpoint.orderCount;
    report.loading = endpoint.loading;
    report.layers = endpoint.entry.layers;
    for (const auto &[number, run] : endpoint.runs) {
        if (!run.stalledOn.empty()) {
            report.stalled.push_back({run.requestId, run.stalledOn});
        }
    }
    return report;
}
