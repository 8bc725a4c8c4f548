#include "TestFleetState.h"

namespace {

/// SHA-256 of the API key of the team "school", which makes all calls.
const std::string TeamKeySha256(64, 'a');

} // namespace

TestFleet::TestFleet(std::uint64_t seed, std::size_t instances)
    : state_(std::make_shared<State>(seed, instances))
{
    state_->fleet = this;
    state_->fleetFaults = &faults;
}

void TestFleet::start()
{
    stage(60000);
    for (std::size_t i = 0; i < state_->instances.size(); ++i) {
        state_->startInstance(*this, i);
    }
    const auto allReady = [this]() {
        return std::all_of(state_->instances.begin(), state_->instances.end(), [](const Instance &instance) { return instance.ready; });
    };
    if (!runUntil(allReady, 20000)) {
        state_->violations.emplace_back("the fleet did not become ready within 20 s");
    }
    run(1000);
}

void TestFleet::run(std::int64_t ms)
{
    const std::int64_t end = state_->nowMs + ms;
    while (!state_->tasks.empty() && state_->tasks.top().time <= end) {
        const State::Task task = state_->tasks.top();
        state_->tasks.pop();
        state_->nowMs = task.time;
        task.run();
    }
    state_->nowMs = end;
}

bool TestFleet::runUntil(const std::function<bool()> &condition, std::int64_t timeoutMs)
{
    for (std::int64_t waited = 0; waited < timeoutMs; waited += 10) {
        if (condition()) {
            return true;
        }
        run(10);
    }
    return condition();
}

void TestFleet::crash(std::size_t instance)
{
    state_->instances[instance].alive = false;
    state_->instances[instance].ready = false;
    state_->instances[instance].incarnation = 0;
}

void TestFleet::restart(std::size_t instance)
{
    state_->startInstance(*this, instance);
}

void TestFleet::pause(std::size_t instance)
{
    state_->instances[instance].paused = true;
}

void TestFleet::resume(std::size_t instance)
{
    Instance &resumed = state_->instances[instance];
    resumed.paused = false;
    std::vector<Event> pendingEvents;
    pendingEvents.swap(resumed.pendingEvents);
    for (const Event &event : pendingEvents) {
        state_->deliver(instance, event);
    }
}

void TestFleet::requestStop(std::size_t instance)
{
    state_->deliver(instance, StopRequested{});
}

void TestFleet::cut(std::size_t from, std::size_t to, bool isCut)
{
    if (isCut) {
        state_->cuts.insert({from, to});
    } else {
        state_->cuts.erase({from, to});
    }
}

void TestFleet::cutFromStore(std::size_t instance, bool isCut)
{
    state_->instances[instance].cutFromStore = isCut;
}

std::uint64_t TestFleet::stage(std::int64_t firstTokenMs)
{
    if (faults.storeDown) {
        return 0;
    }
    auto config = std::make_shared<settings::RoutingConfig>();
    config->models["tutor"].layers = Layers;
    config->models["tutor"].firstTokenMs = firstTokenMs;
    config->services["booking"].prefix = "/booking";
    config->services["booking"].idempotent = false;
    config->services["timetable"].prefix = "/timetable";
    config->teams["school"].keySha256 = TeamKeySha256;
    const Object &object = state_->store["config/head"];
    wire::ConfigHead head;
    if (const auto *current = std::get_if<wire::ConfigHead>(&object.value)) {
        head = *current;
    }
    const std::uint64_t pending = head.staged ? head.staged->revision : 0;
    const std::uint64_t revision = std::max(head.accepted.revision, pending) + 1;
    state_->configs[revision] = config;
    head.staged = wire::ConfigDocument{revision, {}};
    std::uint64_t version = 0;
    state_->applyWrite("config/head", head, object.version, version);
    return revision;
}

std::uint64_t TestFleet::acceptedRevision() const
{
    return state_->accepted;
}

std::uint64_t TestFleet::revisionAt(std::size_t instance) const
{
    return state_->instances[instance].revision;
}

bool TestFleet::isReady(std::size_t instance) const
{
    return state_->instances[instance].ready;
}

bool TestFleet::hasExited(std::size_t instance) const
{
    return state_->instances[instance].exited;
}

void TestFleet::addEngine(const std::string &id, std::uint32_t firstLayer, std::uint32_t endLayer, std::uint32_t capacity)
{
    Endpoint &endpoint = state_->endpoints[id];
    endpoint = Endpoint{};
    endpoint.info = {id, EndpointKind::Engine, id, "zone-0", 1 + ++state_->sequence, false, "tutor", firstLayer, endLayer, 1000, capacity};
}

void TestFleet::addPipeline(const std::string &suffix)
{
    constexpr std::uint32_t EngineCapacity = 64;
    addEngine("front-" + suffix, 0, 4, EngineCapacity);
    addEngine("back-" + suffix, 4, 12, EngineCapacity);
}

void TestFleet::addService(const std::string &id)
{
    Endpoint &endpoint = state_->endpoints[id];
    endpoint = Endpoint{};
    const std::string serves = id.substr(0, id.find('-'));
    endpoint.info = {id, EndpointKind::Service, id, "zone-0", 1 + ++state_->sequence, false, serves, 0, 0, 1000, 1000};
}

void TestFleet::killEndpoint(const std::string &id)
{
    state_->endpoints.at(id).dead = true;
}

void TestFleet::freezeEndpoint(const std::string &id, bool frozen)
{
    state_->endpoints.at(id).frozen = frozen;
}

void TestFleet::slowEndpoint(const std::string &id, std::int64_t tokenIntervalMs)
{
    state_->endpoints.at(id).tokenIntervalMs = tokenIntervalMs;
}

void TestFleet::drainEndpoint(const std::string &id, bool listed)
{
    state_->endpoints.at(id).draining = true;
    state_->endpoints.at(id).info.leaving = listed;
}

void TestFleet::listAsLeaving(const std::string &id)
{
    state_->endpoints.at(id).info.leaving = true;
}

std::uint64_t TestFleet::sendCompletion(std::size_t instance, const std::string &prompt, std::uint32_t tokens)
{
    const std::uint64_t call = ++state_->lastCall;
    state_->answers[call];
    CompletionRequest request;
    request.model = "tutor";
    request.prompt = prompt;
    request.maxTokens = tokens;
    state_->deliver(instance, CompletionArrived{call, TeamKeySha256, request});
    return call;
}

std::uint64_t TestFleet::sendBooking(std::size_t instance, const std::string &key, const std::string &body)
{
    const std::uint64_t call = ++state_->lastCall;
    state_->answers[call];
    state_->deliver(instance, ServiceCallArrived{call, TeamKeySha256, {"POST", "/booking/seats", "text/plain", key, body}});
    return call;
}

std::uint64_t TestFleet::sendLookup(std::size_t instance)
{
    const std::uint64_t call = ++state_->lastCall;
    state_->answers[call];
    state_->deliver(instance, ServiceCallArrived{call, TeamKeySha256, {"GET", "/timetable/monday", "", "", ""}});
    return call;
}

void TestFleet::disconnectCaller(std::size_t instance, std::uint64_t call)
{
    state_->deliver(instance, CallerGone{call});
}

const TestFleet::Answer &TestFleet::answer(std::uint64_t call) const
{
    return state_->answers.at(call);
}

int TestFleet::executions(const std::string &key) const
{
    const auto found = state_->executions.find(key);
    return found == state_->executions.end() ? 0 : found->second;
}

std::size_t TestFleet::endpointsCrashedByPoison() const
{
    return state_->crashedByPoison.size();
}

std::int64_t TestFleet::lastWorkAt(const std::string &endpoint) const
{
    return state_->endpoints.at(endpoint).lastWorkAt;
}

std::int64_t TestFleet::nowMs() const
{
    return state_->nowMs;
}

const Counters &TestFleet::counters(std::size_t instance) const
{
    return state_->instances[instance].kernel->counters();
}

std::uint64_t TestFleet::storeWrites() const
{
    return state_->storeWrites;
}

std::size_t TestFleet::liveCountSeenBy(std::size_t instance)
{
    state_->deliver(instance, StatusRequested{0});
    const auto &status = state_->instances[instance].status;
    const auto isAlive = [](const InstanceStatus &other) {
        return other.state == "alive";
    };
    return status ? static_cast<std::size_t>(std::count_if(status->instances.begin(), status->instances.end(), isAlive)) : 0;
}

const std::vector<std::string> &TestFleet::violations() const
{
    return state_->violations;
}

std::vector<std::string> TestFleet::expectedTokens(std::uint32_t tokens)
{
    std::vector<std::string> out;
    for (std::uint32_t i = 0; i < tokens; ++i) {
        out.push_back("t" + std::to_string(i));
    }
    return out;
}
