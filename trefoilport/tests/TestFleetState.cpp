#include "TestFleetState.h"

void TestFleet::State::checkNewWork(std::size_t i, const std::string &what)
{
    const auto current = acceptedAt.find(accepted);
    if (current != acceptedAt.end() && instances[i].revision < accepted && nowMs > current->second + MaxActivationDelayMs) {
        violations.push_back("at " + std::to_string(nowMs) + " ms, " + instances[i].id + " started " + what + " under revision "
                             + std::to_string(instances[i].revision) + " long after " + std::to_string(accepted) + " was accepted");
    }
}

StoreStatus TestFleet::State::applyWrite(const std::string &key, const StoreValue &value, std::uint64_t expected, std::uint64_t &version)
{
    ++storeWrites;
    const auto found = store.find(key);
    const std::uint64_t current = found == store.end() ? 0 : found->second.version;
    if (current != expected) {
        return StoreStatus::Conflict;
    }
    Object &object = store[key];
    object.oldVersion = object.version;
    object.oldValue = object.value;
    object.version = ++lastVersion;
    object.value = value;
    version = object.version;
    if (const auto *head = std::get_if<wire::ConfigHead>(&value)) {
        if (head->accepted.revision < accepted) {
            violations.push_back("the accepted revision decreased to " + std::to_string(head->accepted.revision));
        }
        if (head->accepted.revision > accepted) {
            accepted = head->accepted.revision;
            acceptedAt[accepted] = nowMs;
        }
    }
    return StoreStatus::Ok;
}

ParsedHead TestFleet::State::parse(const wire::ConfigHead &head) const
{
    const auto configOf = [this](const wire::ConfigDocument &document) {
        const auto found = configs.find(document.revision);
        return ConfigVersion{document, found == configs.end() ? nullptr : found->second};
    };
    ParsedHead parsed{head.epoch, configOf(head.accepted), std::nullopt, head.members};
    if (head.staged) {
        parsed.staged = configOf(*head.staged);
    }
    return parsed;
}

std::size_t TestFleet::State::indexOf(const std::string &mesh) const
{
    std::size_t i = 0;
    while (i < instances.size() && instances[i].mesh != mesh) {
        ++i;
    }
    return i;
}

void TestFleet::State::startInstance(TestFleet &owner, std::size_t i)
{
    Instance &instance = instances[i];
    instance = Instance{};
    instance.id = "entry-" + std::to_string(i);
    instance.mesh = "mesh-" + std::to_string(i);
    instance.incarnation = 1 + ++sequence;
    instance.alive = true;
    KernelSettings settings;
    settings.id = instance.id;
    settings.zone = "zone-" + std::to_string(i);
    settings.meshAddress = instance.mesh;
    settings.incarnation = instance.incarnation;
    settings.gossipMs = owner.gossipMs;
    settings.claimBuckets = owner.claimBuckets;
    settings.confirmMs = 2000;
    settings.suspectMs = 1500;
    settings.shutdownMs = 5000;
    settings.seed = random.next();
    instance.kernel = std::make_unique<Kernel>(settings);
    tick(i, instance.incarnation);
    pollList(i, instance.incarnation);
    pollHead(i, instance.incarnation);
}

void TestFleet::State::tick(std::size_t i, std::uint64_t incarnation)
{
    if (!instances[i].alive || instances[i].incarnation != incarnation) {
        return;
    }
    if (!instances[i].paused) {
        deliver(i, Tick{});
    }
    at(TickPeriod.count(), [this, i, incarnation]() { tick(i, incarnation); });
}

void TestFleet::State::readHead(std::size_t i, std::uint64_t incarnation)
{
    if (storeFails(i)) {
        at(1, [this, i, incarnation]() {
            if (instances[i].incarnation == incarnation) {
                deliver(i, StoreFailed{});
            }
        });
        return;
    }
    HeadReceived seen{nowAt(nowMs).mono, 0, std::nullopt};
    const auto found = store.find("config/head");
    if (found != store.end()) {
        const bool stale = found->second.oldVersion > 0 && chance(fleetFaults->staleRead);
        seen.version = stale ? found->second.oldVersion : found->second.version;
        const StoreValue &value = stale ? found->second.oldValue : found->second.value;
        seen.head = parse(std::get<wire::ConfigHead>(value));
    }
    at(randomBetween(1, 5), [this, i, incarnation, seen]() {
        if (instances[i].incarnation == incarnation) {
            deliver(i, seen);
        }
    });
}

void TestFleet::State::pollHead(std::size_t i, std::uint64_t incarnation)
{
    const Instance &instance = instances[i];
    if (!instance.alive || instance.incarnation != incarnation) {
        return;
    }
    if (!instance.paused) {
        readHead(i, incarnation);
    }
    at(HeadPollIntervalMs, [this, i, incarnation]() { pollHead(i, incarnation); });
}

void TestFleet::State::pollList(std::size_t i, std::uint64_t incarnation)
{
    Instance &instance = instances[i];
    if (!instance.alive || instance.incarnation != incarnation) {
        return;
    }
    if (!instance.paused && !storeFails(i)) {
        ListReceived list;
        for (const auto &[id, endpoint] : endpoints) {
            list.endpoints.push_back(endpoint.info);
        }
        for (const Instance &other : instances) {
            list.instances.push_back({other.id, other.mesh, "zone", false, ""});
        }
        deliver(i, list);
    }
    at(ListPollIntervalMs, [this, i, incarnation]() { pollList(i, incarnation); });
}

void TestFleet::State::failAttempt(std::size_t i, AttemptId attempt, AttemptFailure failure, const std::string &endpoint, std::int64_t delayMs)
{
    const std::uint64_t incarnation = instances[i].incarnation;
    at(delayMs, [this, i, incarnation, attempt, failure, endpoint]() {
        if (instances[i].incarnation == incarnation) {
            deliver(i, AttemptFailed{attempt, failure, endpoint});
        }
    });
}

void TestFleet::State::releaseEndpoints(const std::vector<PlanStage> &plan)
{
    for (const PlanStage &stage : plan) {
        Endpoint &endpoint = endpoints.at(stage.endpoint);
        endpoint.inFlight -= endpoint.inFlight > 0 ? 1 : 0;
    }
}

void TestFleet::State::emitToken(std::size_t i, std::uint64_t incarnation, const StartPipeline &start, std::uint32_t position)
{
    if (instances[i].incarnation != incarnation || instances[i].cancelled.count(start.attempt) > 0) {
        releaseEndpoints(start.order.plan);
        return;
    }
    std::int64_t slowestIntervalMs = TokenIntervalMs;
    for (std::size_t stage = 0; stage < start.order.plan.size(); ++stage) {
        const Endpoint &endpoint = endpoints.at(start.order.plan[stage].endpoint);
        if (endpoint.dead) {
            releaseEndpoints(start.order.plan);
            failAttempt(i, start.attempt, stage == 0 ? AttemptFailure::Broken : AttemptFailure::StageBroken, stage == 0 ? "" : endpoint.info.id, 1);
            return;
        }
        if (endpoint.frozen) {
            at(TokenIntervalMs, [this, i, incarnation, start, position]() { emitToken(i, incarnation, start, position); });
            return;
        }
        slowestIntervalMs = std::max(slowestIntervalMs, endpoint.tokenIntervalMs);
    }
    if (position == start.order.maxTokens || chance(fleetFaults->earlyEnd)) {
        releaseEndpoints(start.order.plan);
        deliver(i, AttemptEnded{start.attempt, position});
        return;
    }
    TokenArrived token{start.attempt, position, "t" + std::to_string(position), {}};
    for (const PlanStage &stage : start.order.plan) {
        token.stages.push_back({stage.endpoint, stage.incarnation, stage.firstLayer, stage.endLayer});
    }
    if (chance(fleetFaults->misroutedFrame) && start.attempt > 1) {
        TokenArrived misrouted = token;
        misrouted.attempt = start.attempt - 1;
        misrouted.text = "of another caller";
        misrouted.position += static_cast<std::uint32_t>(random.nextBelow(2));
        misrouted.stages.pop_back();
        deliver(i, misrouted);
    }
    deliver(i, token);
    if (chance(fleetFaults->duplicateFrame)) {
        at(randomBetween(0, 500), [this, i, incarnation, token]() {
            if (instances[i].incarnation == incarnation) {
                deliver(i, token);
            }
        });
    }
    at(slowestIntervalMs, [this, i, incarnation, start, position]() { emitToken(i, incarnation, start, position + 1); });
}
