#include "details/LoadAdmission.h"

#include "base/Time.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>

namespace relay {

namespace {

/// How often the levels are computed. Loads of others are newer at least as often.
constexpr Ms UpdatePeriod{200};
/// Flows of one instance that its digests contain; smaller ones are added up.
constexpr std::size_t MaxFlows = 64;
/// A new stream finds no free capacity in time if it would wait for others longer than this part of its target latency.
constexpr double MaxWaitRatio = 0.5;
/// Weight of the latest stream in the mean duration.
constexpr double DurationWeight = 0.05;
/// Rejected callers stay away at least this long, which digests with their announced return take to arrive everywhere, and longer by the second time for
/// each more urgent priority.
constexpr Ms MinAway{750};
constexpr Ms AwayPerRank{700};
/// The level is written to the log if a share has changed by this much, or is full again, but no more often than once in the period.
constexpr double MinLoggedChange = 0.1;
constexpr Ms LogPeriod{1000};

/// Returns the priorities that requests to the service may have.
std::set<int> prioritiesOf(const FleetConfig &config, const std::string &service)
{
    std::set<int> priorities;
    for (const Route &route : config.routes) {
        const auto leadsThere = [&](const WeightedService &entry) {
            return entry.service == service;
        };
        if (route.kind != RequestKind::Stream || std::none_of(route.services.begin(), route.services.end(), leadsThere)) {
            continue;
        }
        if (!config.hasTeams || route.isPublic) {
            priorities.insert(route.priority);
            continue;
        }
        for (const auto &[key, team] : config.teamOfKey) {
            priorities.insert(team.priority.value_or(route.priority));
        }
    }
    return priorities;
}

/// Tokens of context that a typical request reserves.
double typicalTokens(const placement::EngineProfile &engine)
{
    return std::max(1.0, engine.typicalPromptTokens + engine.typicalAnswerTokens);
}

/// Context tokens that fit into the memory of all holders of a layer, and those in use there.
struct LayerTokens {
    double capacity = 0;
    double inUse = 0;
};

std::uint32_t requestHash(const Call &call)
{
    const std::uint64_t fingerprint = call.signatures.empty() ? 0 : call.signatures.front();
    constexpr unsigned HalfBits = 32;
    return static_cast<std::uint32_t>(fingerprint ^ (fingerprint >> HalfBits));
}

std::string percent(double ratio)
{
    return std::to_string(std::lround(ratio * 100)) + " %";
}

} // namespace

LoadAdmission::LoadAdmission(EndpointRegistry &endpoints, PeerLoads &peers)
    : endpoints_(endpoints)
    , peers_(peers)
{
}

void LoadAdmission::onConfig(const FleetConfigPtr &config)
{
    std::map<std::string, ServiceState> services;
    for (const Service &service : config->services) {
        if (!service.engine || prioritiesOf(*config, service.name).size() < 2) {
            continue;
        }
        const auto known = services_.find(service.name);
        ServiceState &state = services[service.name];
        state = known != services_.end() ? std::move(known->second) : ServiceState{};
        state.hash = wire::endpointHash(service.name);
        state.engine = *service.engine;
    }
    services_ = std::move(services);
}

admission::Capacity LoadAdmission::capacityOf(const std::string &service, const placement::EngineProfile &engine, Instant now) const
{
    // What changes from one layer to the next; summed up below.
    std::vector<LayerTokens> changes(engine.layers + 1);
    for (EndpointIndex i = 0; i < endpoints_.size(); ++i) {
        const EndpointState &state = endpoints_.at(i);
        // One that pauses after refusals still holds the requests that it has, and has room again when they end.
        const bool isInService = state.listed && !state.entry.draining && state.silentCheckAt.count() == 0;
        const std::uint32_t kind = placement::kindIndex(engine, state.entry.accelerator);
        if (state.entry.service != service || !isInService || state.entry.layers.empty() || state.entry.layers.end > engine.layers
            || kind >= engine.kinds.size()) {
            continue;
        }
        const double capacity = placement::kvCapacityTokens(engine, engine.kinds[kind], state.entry.layers.size());
        const double inUse = std::min(capacity, peers_.loadOn(i, now).contextTokens);
        changes[state.entry.layers.first].capacity += capacity;
        changes[state.entry.layers.first].inUse += inUse;
        changes[state.entry.layers.end].capacity -= capacity;
        changes[state.entry.layers.end].inUse -= inUse;
    }
    LayerTokens layer;
    LayerTokens scarcest;
    for (std::uint32_t i = 0; i < engine.layers; ++i) {
        layer.capacity += changes[i].capacity;
        layer.inUse += changes[i].inUse;
        scarcest = i == 0 || layer.capacity < scarcest.capacity ? layer : scarcest;
    }
    return {scarcest.capacity / typicalTokens(engine), scarcest.inUse / typicalTokens(engine)};
}

std::vector<std::string> LoadAdmission::tick(Instant now)
{
    std::vector<std::string> changes;
    if (services_.empty() || now < updatedAt_ + UpdatePeriod) {
        return changes;
    }
    updatedAt_ = now;
    peers_.setOwnFlows(meter_.flows(now, MaxFlows));
    const admission::FlowMap all = peers_.flows(now);
    for (auto &[name, state] : services_) {
        admission::FlowMap flows;
        for (const auto &[key, work] : all) {
            if (key.service == state.hash) {
                flows[key] = work;
            }
        }
        state.level.update(flows, capacityOf(name, state.engine, now), now);
        if (auto change = changeOf(name, state, now)) {
            changes.push_back(std::move(*change));
        }
    }
    return changes;
}

std::optional<std::string> LoadAdmission::changeOf(const std::string &service, ServiceState &state, Instant now)
{
    const auto &priorities = state.level.priorities();
    std::vector<double> shares;
    std::ostringstream text;
    text << service;
    for (const admission::PriorityLevel &level : priorities) {
        shares.push_back(level.share);
        text << ", priority " << level.priority << " admitted to " << percent(level.share) << " of " << std::lround(level.work.offered);
    }
    const bool wasShedding = std::any_of(state.loggedShares.begin(), state.loggedShares.end(), [](double share) { return share < 1; });
    bool hasChanged = wasShedding && !state.level.isShedding();
    for (std::size_t i = 0; i < shares.size(); ++i) {
        const double logged = i < state.loggedShares.size() ? state.loggedShares[i] : 1;
        hasChanged = hasChanged || std::abs(shares[i] - logged) >= MinLoggedChange;
    }
    if (!hasChanged || now < state.loggedAt + LogPeriod) {
        return std::nullopt;
    }
    state.loggedShares = state.level.isShedding() ? std::move(shares) : std::vector<double>{};
    state.loggedAt = now;
    const admission::Capacity &capacity = state.level.usableCapacity();
    text << ", usable capacity " << std::lround(capacity.total) << " typical requests, in use " << std::lround(capacity.inUse);
    return text.str();
}

LoadAdmission::Verdict LoadAdmission::judge(const Call &call, const Prediction &prediction, const std::function<double()> &draw, Instant now)
{
    ServiceState &state = services_.at(call.service->name);
    const double tokens = std::max(1.0, static_cast<double>(call.answerTokens));
    if (state.msPerAnswerToken <= 0 && prediction.hasPath) {
        state.msPerAnswerToken = (prediction.firstTokenMs + prediction.tokenMs * tokens) / tokens;
    }
    admission::Request request;
    request.flow = {state.hash, call.team.empty() ? 0 : wire::endpointHash(call.team), call.priority};
    request.size = (call.promptTokens + tokens) / typicalTokens(state.engine);
    request.isReturn = returns_.takeReturn(requestHash(call), now);
    const double targetMs = static_cast<double>(call.route->targetLatency.count());
    request.isLate = prediction.hasPath && targetMs > 0 && prediction.firstTokenMs > targetMs;
    state.level.onOffered(request.size);

    const double probability = state.level.admissionProbability(request);
    const bool isAdmitted = probability >= 1 || draw() < probability;
    const bool waits = prediction.hasPath && targetMs > 0 && prediction.waitMs > MaxWaitRatio * targetMs;
    const bool isCongested = waits || (!prediction.hasPath && state.level.isHalfUsed());
    const double work = request.size * state.msPerAnswerToken * tokens / 1000;
    // A return was counted as offered when it was rejected; only what it takes if it is admitted comes in addition.
    const double offered = request.isReturn && !isAdmitted ? 0 : work;
    meter_.count(request.flow, {offered, isAdmitted ? work : 0, isAdmitted && isCongested ? work : 0}, now);
    if (isAdmitted) {
        return {true, request.isReturn, Ms(0), {}};
    }
    ++state.rejected[call.priority];
    const Ms rankDelay = AwayPerRank * static_cast<int>(state.level.rankOf(call.priority));
    return {false, request.isReturn, MinAway + rankDelay, textOf(state, request, probability)};
}

std::string LoadAdmission::textOf(const ServiceState &state, const admission::Request &request, double probability)
{
    std::ostringstream text;
    text << "admission level of priority " << request.flow.priority << ": " << percent(probability) << " for a request of " << percent(request.size)
         << " of the typical size" << (request.isLate ? " that would be late" : "") << (request.isReturn ? " that returns" : "") << "; offered is "
         << percent(state.level.demandRatio()) << " of the usable capacity, in favour of priorities";
    const auto &priorities = state.level.priorities();
    for (const admission::PriorityLevel &level : priorities) {
        if (level.priority <= request.flow.priority) {
            text << " " << level.priority << " (" << percent(level.share) << ")";
        }
    }
    return text.str();
}

void LoadAdmission::onEnded(const Call &call)
{
    const auto found = services_.find(call.service->name);
    if (found == services_.end() || call.answerTokens == 0) {
        return;
    }
    const double durationMs = std::chrono::duration<double, std::milli>(call.lastDeliveredAt - call.arrivedAt).count();
    double &mean = found->second.msPerAnswerToken;
    mean += DurationWeight * (durationMs / call.answerTokens - mean);
}

void LoadAdmission::onRejected(const Call &call, Ms retryAfter, Instant now)
{
    if (isActive(call.service->name) && call.route->kind == RequestKind::Stream && retryAfter.count() > 0) {
        returns_.onRejected(requestHash(call), retryAfter, now);
    }
}

std::vector<AdmissionView> LoadAdmission::views() const
{
    std::vector<AdmissionView> views;
    for (const auto &[name, state] : services_) {
        std::map<int, AdmissionView> byPriority;
        for (const admission::PriorityLevel &level : state.level.priorities()) {
            byPriority[level.priority] = {name, level.priority, level.share, level.work.offered, level.work.admitted, 0};
        }
        for (const auto &[priority, rejected] : state.rejected) {
            AdmissionView &view = byPriority.try_emplace(priority, AdmissionView{name, priority, 1, 0, 0, 0}).first->second;
            view.rejected = rejected;
        }
        for (const auto &[priority, view] : byPriority) {
            views.push_back(view);
        }
    }
    return views;
}

} // namespace relay
