#include "relayhost/RelayHost.h"

#include "base/ListenError.h"
#include "base/Time.h"
#include "relayhost/MemoryShares.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace relayhost {

namespace {

/// Period of the tick while calls are open, or the instance stops; shorter, down to the minimum, if a stream has to be checked before.
constexpr relay::Ms BusyTickPeriod{50};
constexpr relay::Ms MinTickPeriod{20};
/// Period of the tick while no call is open.
constexpr relay::Ms IdleTickPeriod{100};
/// The request to stop counts as at most this much older than the tick that finds it.
constexpr relay::Ms MaxStopNoticeDelay = 2 * IdleTickPeriod;
/// The settings file is checked for changes once in this period.
constexpr relay::Ms SettingsCheckPeriod{2000};
/// Capacity of the mesh's ring of messages to other instances; further messages wait outside it.
constexpr std::size_t MeshRingItems = 256;
constexpr std::size_t MaxOperatorHeaderBytes = 4096;
/// Time after which all callers and instances know of a new configuration.
constexpr relay::Ms ConfigNoticeTime{10000};
/// Another instance has checked the sizes of what it hands over, perhaps under a later configuration, and has added header fields. Its requests may have at
/// least these sizes, and headers that are longer by the last one than callers may send.
constexpr std::size_t MinHandOverHeaderBytes = 256 * 1024;
constexpr std::size_t MinHandOverBodyBytes = 64 * 1024 * 1024;
constexpr std::size_t MaxAddedHeaderBytes = 1024;
/// URL path of the status, and the one by which an operator ends the quarantine of the signature that follows it.
constexpr std::string_view StatusPath = "/admin/status";
constexpr std::string_view LiftPath = "/admin/quarantine/lift/";
/// One line a reason in this period: a crowd opens thousands of connections a second.
constexpr relay::Ms TurnedAwayLogPeriod{1000};
/// The process ends when its periodic work fails this many times in a row: it can't even stop in a planned way any more.
constexpr int MaxFailedTicks = 40;
constexpr int InvalidSettingsExitCode = 2;
/// An exception ended the process.
constexpr int FatalErrorExitCode = 3;
/// An address can't be listened on.
constexpr int ListenFailedExitCode = 4;

// Set by the signal handlers, polled by RelayHost::tick().
std::atomic<bool> stopRequested{false};
std::atomic<bool> reloadRequested{false};

relay::Instant now()
{
    return base::readBootTimeClock();
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

net::ServerLimits serverLimits(const relay::CallerLimits &limits)
{
    net::ServerLimits server;
    server.headerBytes = limits.headerBytes;
    server.bodyBytes = limits.bodyBytes;
    server.requestTimeout = limits.headerTimeout;
    server.idleTimeout = limits.idleTimeout;
    server.idleTimeoutNotice = ConfigNoticeTime;
    server.idleTimeoutMargin = ConfigNoticeTime;
    return server;
}

net::ServerLimits handOverLimits(const relay::CallerLimits &limits)
{
    net::ServerLimits server = serverLimits(limits);
    server.headerBytes = std::max(MinHandOverHeaderBytes, limits.headerBytes + MaxAddedHeaderBytes);
    server.bodyBytes = std::max(MinHandOverBodyBytes, limits.bodyBytes);
    return server;
}

std::uint64_t numberIn(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// Returns a name that differs for each process, so that a restarted instance doesn't mistake the planner's lease of its previous process for
/// its own.
std::string uniqueInstanceName(const std::string &node)
{
    return node + "/" + std::to_string(base::readClocks().wall) + "-" + std::to_string(::getpid());
}

} // namespace

RelayHost::RelayHost(const Dialect &dialect, const StoreFactory &makeStore, HostSettings settings, std::string settingsPath)
    : dialect_(dialect)
    , settings_(std::move(settings))
    , settingsPath_(std::move(settingsPath))
    , settingsText_(readFile(settingsPath_))
    , held_(loop_,
            heldLimitsFor(settings_.memoryBytes),
            [this](net::PeerKind peerKind, std::size_t bytes, net::HeldBound bound) { recordOverLimit(peerKind, bytes, bound); })
    , residentBound_(held_, settings_.memoryBytes)
    , endpointClient_(loop_)
    , kernel_(settings_.relay, *this)
    , store_(loop_, makeStore(loop_, held_, settings_.store), storeHandlers())
    , mesh_(base::listenBySetting(
          "mesh",
          [this]() { return mesh::Mesh(net::toString(settings_.mesh), {}, MeshRingItems, [this](const std::string &bytes) { onMeshMessage(bytes); }); }))
    , callerServer_(listen("callers", settings_.callers, callerLimits({}), callerHandlers(Origin::Caller), net::PeerKind::Caller))
    , handOverServer_(settings_.handOvers.host.empty()
                          ? nullptr
                          : listen("hand-overs", settings_.handOvers, handOverLimits({}), callerHandlers(Origin::Instance), net::PeerKind::Instance))
    , readinessServer_(
          listen("readiness", settings_.readiness, serverLimits({MaxOperatorHeaderBytes, 0}), operatorHandlers(readinessServer_), net::PeerKind::Operator))
    , metricsServer_(listen("metrics", settings_.metrics, serverLimits({MaxOperatorHeaderBytes, 0}), operatorHandlers(metricsServer_), net::PeerKind::Operator))
{
}

net::ServerLimits RelayHost::callerLimits(const relay::CallerLimits &limits) const
{
    const net::ServerLimits server = withDescriptors(serverLimits(limits), settings_.maxDescriptors);
    return settings_.isMemoryStated ? withMemory(server, settings_.memoryBytes) : server;
}

std::unique_ptr<net::HttpServer> RelayHost::listen(
    const std::string &setting, const net::Address &address, const net::ServerLimits &limits, net::HttpServer::Handlers handlers, net::PeerKind peerKind)
{
    return base::listenBySetting(setting, [&]() { return std::make_unique<net::HttpServer>(loop_, address, limits, std::move(handlers), &held_, peerKind); });
}

StoreHandlers RelayHost::storeHandlers()
{
    StoreHandlers handlers;
    handlers.onConfig = logged("store", [this](relay::Instant sentAt, const relay::FleetConfigPtr &config) {
        if (config->version >= kernel_.configVersion()) {
            callerServer_->setLimits(callerLimits(config->limits));
            if (handOverServer_) {
                handOverServer_->setLimits(handOverLimits(config->limits));
            }
        }
        kernel_.onConfig(now(), sentAt, config);
    });
    handlers.onEndpoints =
        logged("store", [this](const std::vector<relay::EndpointEntry> &entries, wire::StoreVersion version) { kernel_.onEndpoints(now(), entries, version); });
    handlers.onLease = logged("store", [this](const LeaseReadResult &lease) { kernel_.onLeaseRead(now(), lease.first, lease.second); });
    handlers.onLeaseWritten = logged("store", [this](relay::Instant sentAt, wire::StoreVersion version) { kernel_.onLeaseWritten(now(), sentAt, version); });
    handlers.onQuarantines = logged("store", [this](const std::vector<relay::QuarantineRecord> &records) { kernel_.onQuarantines(now(), records); });
    handlers.onQuarantineWritten = logged("store", [this](std::uint64_t signature, bool ok) { kernel_.onQuarantineWritten(signature, ok); });
    handlers.onQuarantineLeft = [this](std::uint64_t signature) {
        record({"quarantine_left", "", std::to_string(signature), "its record could not be removed from the store"});
    };
    handlers.onInstances = logged("store", [this](const std::vector<relay::InstanceEntry> &instances) { kernel_.onInstances(now(), instances); });
    handlers.onReachable = [this](bool reachable) {
        record({reachable ? "store_reached" : "store_lost", "", net::toString(settings_.store), ""});
    };
    handlers.onEpoch = [this](std::uint64_t before, std::uint64_t epoch) {
        record({"store_restored", "", net::toString(settings_.store), "epoch " + std::to_string(before) + " became " + std::to_string(epoch)});
    };
    handlers.onDamaged = [this](std::size_t damaged) {
        record({"endpoint_entries_damaged", "", "", std::to_string(damaged) + " malformed entries left out"});
    };
    return handlers;
}

void RelayHost::run()
{
    record({"started",
            "",
            settings_.relay.instance,
            "listening for callers on " + net::toString(settings_.callers) + ", store at " + net::toString(settings_.store)});
    setStoreBackoff();
    store_.start({settings_.node, net::toString(settings_.mesh), settings_.zone, settings_.relay.handOverAddress});
    loop_.reportExceptions([this](std::string_view text) { record({"exception", "", "event loop", std::string(text)}); });
    tick();
    meshThread_ = std::thread([this]() { mesh_.run(); });
    loop_.run();
    mesh_.stop();
    meshThread_.join();
    callerServer_->reportUntaken("the process ends");
    recordCutExchanges();
    if (failedTicks_ >= MaxFailedTicks) {
        throw std::runtime_error("the periodic work fails again and again");
    }
    record({"stopped", "", settings_.relay.instance, ""});
}

void RelayHost::requestStop()
{
    loop_.post([this]() { kernel_.onStop(now()); });
}

net::Address RelayHost::callersAddress() const
{
    return callerServer_->address();
}

net::Address RelayHost::handOversAddress() const
{
    return handOverServer_ ? handOverServer_->address() : net::Address{};
}

void RelayHost::tick()
{
    const bool isDone = runLogged("periodic work", [this]() { doPeriodicWork(); });
    failedTicks_ = isDone ? 0 : failedTicks_ + 1;
    if (failedTicks_ >= MaxFailedTicks) {
        return loop_.stop();
    }
    loop_.after(tickPeriod(), [this]() { tick(); });
}

relay::Instant RelayHost::tickPeriod() const
{
    const bool isBusy = kernel_.openCalls() > 0 || stopNotified_;
    const auto check = kernel_.nextStreamCheck();
    if (!isBusy || !check) {
        return isBusy ? BusyTickPeriod : IdleTickPeriod;
    }
    return std::clamp(*check - now(), relay::Instant(MinTickPeriod), relay::Instant(BusyTickPeriod));
}

void RelayHost::doPeriodicWork()
{
    const relay::Instant time = now();
    if (stopRequested && !stopNotified_) {
        stopNotified_ = true;
        // The signal has come since the last tick. The platform counts the grace period from then; a process that was frozen meanwhile can't know how long.
        kernel_.onStop(std::max(lastTickAt_, time - MaxStopNoticeDelay));
    }
    lastTickAt_ = time;
    if (reloadRequested.exchange(false) || now() - settingsReadAt_ >= SettingsCheckPeriod) {
        rereadSettings();
    }
    kernel_.onTick(now());
    mesh_.flush();
    recordMeshDrops();
    if (settings_.isMemoryStated) {
        residentBound_.look(now());
    }
    recordTurnedAway();
}

bool RelayHost::runLogged(std::string_view step, const std::function<void()> &run)
{
    try {
        run();
        return true;
    } catch (const std::exception &exception) {
        record({"exception", "", std::string(step), exception.what()});
        return false;
    }
}

void RelayHost::runForCall(relay::CallId call, const std::function<void()> &run)
{
    if (runLogged("endpoints", run)) {
        return;
    }
    runLogged("endpoints", [&]() { kernel_.onCallerGone(now(), call); });
    if (const auto open = calls_.find(call); open != calls_.end()) {
        open->second.response.answer(
            dialect_.encodeRejection({base::ErrorKind::Internal, "the request met an internal error", relay::Ms(0)}, open->second.requestId));
    }
}

void RelayHost::rereadSettings()
{
    settingsReadAt_ = now();
    const std::string text = readFile(settingsPath_);
    if (text == settingsText_ || text.empty()) {
        return;
    }
    const auto parsed = dialect_.parseSettings(text);
    if (!base::isOk(parsed)) {
        record({"settings_refused", "", settingsPath_, base::errorOf(parsed).detail + "; the previous settings stay in use"});
        return;
    }
    settingsText_ = text;
    relay::RelaySettings changed = base::valueOf(parsed).relay;
    changed.instance = settings_.relay.instance;
    changed.seed = settings_.relay.seed;
    settings_.relay = changed;
    settings_.store = base::valueOf(parsed).store;
    store_.setAddress(settings_.store);
    setStoreBackoff();
    kernel_.onSettings(changed);
    record({"settings_reloaded", "", settingsPath_, ""});
}

void RelayHost::setStoreBackoff()
{
    // Three of these periods are left for the change that an instance has missed when it reaches the store again: one and a half until the next read, and
    // the time limit of one that was sent before.
    constexpr int BackoffsPerBound = 3;
    store_.setBackoff(settings_.relay.maxConfigDelay / BackoffsPerBound, settings_.relay.maxRevocationDelay);
}

void RelayHost::onOperatorRequest(net::HttpServer &server, net::ExchangeId exchange, const net::HttpRequest &request)
{
    constexpr int Ok = 200;
    constexpr int Unavailable = 503;
    constexpr int NotFound = 404;
    if (request.target == dialect_.readinessPath()) {
        return server.respond(exchange, {ready_ ? Ok : Unavailable, {}, ""});
    }
    if (request.target == dialect_.metricsPath()) {
        return server.respond(exchange, {Ok, {{"Content-Type", "text/plain; version=0.0.4"}}, metricsText()});
    }
    if (request.target == StatusPath) {
        return server.respond(exchange, {Ok, {{"Content-Type", "application/json"}}, statusText()});
    }
    if (request.method == "POST" && request.target.starts_with(LiftPath)) {
        const bool isLifted = kernel_.liftQuarantine(now(), numberIn(request.target.substr(LiftPath.size())));
        return server.respond(exchange, {isLifted ? Ok : NotFound, {}, isLifted ? "" : "no such signature is quarantined"});
    }
    server.respond(exchange, {NotFound, {}, ""});
}

void RelayHost::recordTurnedAway()
{
    if (now() < turnedAwayLoggedAt_ + TurnedAwayLogPeriod || turnedAway_ == loggedTurnedAway_) {
        return;
    }
    turnedAwayLoggedAt_ = now();
    for (const auto &[reason, name] : net::TurnedAwayNames) {
        const auto index = static_cast<std::size_t>(reason);
        if (const std::uint64_t count = turnedAway_.at(index) - loggedTurnedAway_.at(index); count > 0) {
            record({"connections_turned_away", "", std::string(name), std::to_string(count) + " connections of callers closed"});
        }
    }
    loggedTurnedAway_ = turnedAway_;
}

void RelayHost::recordOverLimit(net::PeerKind peerKind, std::size_t bytes, net::HeldBound bound)
{
    const std::string limit = bound == net::HeldBound::All ? "what may be held at all" : "what may be held for its kind";
    record({"peer_over_limit", "", std::string(base::nameIn(net::PeerKindNames, peerKind)), std::to_string(bytes) + " bytes given up, past " + limit});
}

void RelayHost::record(const relay::Decision &decision)
{
    log_.write({decision.event, decision.requestId, decision.subject, decision.detail}, now());
}

int runInstance(const Dialect &dialect, const StoreFactory &makeStore, const std::string &settingsPath)
{
    // The signal handlers are installed first, so that a signal during the start doesn't kill the process.
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, [](int) { stopRequested = true; });
    std::signal(SIGINT, [](int) { stopRequested = true; });
    std::signal(SIGHUP, [](int) { reloadRequested = true; });
    if (!std::ifstream(settingsPath)) {
        std::cerr << "trefoilportd: can't read the settings file '" << settingsPath << "'\n";
        return InvalidSettingsExitCode;
    }
    auto parsed = dialect.parseSettings(readFile(settingsPath));
    if (!base::isOk(parsed)) {
        std::cerr << "trefoilportd: " << settingsPath << ": " << base::errorOf(parsed).detail << "\n";
        return InvalidSettingsExitCode;
    }
    HostSettings settings = std::get<HostSettings>(std::move(parsed));
    settings.relay.instance = uniqueInstanceName(settings.node);
    settings.relay.seed = std::hash<std::string>{}(settings.relay.instance);
    record::setUpJsonLog(settings.node, settings.zone);
    int code = 0;
    std::string failure;
    try {
        RelayHost host(dialect, makeStore, std::move(settings), settingsPath);
        host.run();
    } catch (const base::ListenError &error) {
        record::DecisionLog().write({"listen_failed", "", error.address(), error.detail()}, now());
        failure = error.what();
        code = ListenFailedExitCode;
    } catch (const std::exception &error) {
        failure = error.what();
        code = FatalErrorExitCode;
    }
    record::shutDownJsonLog();
    // The thread of the log may write until here.
    if (!failure.empty()) {
        std::cerr << "trefoilportd: " << failure << "\n";
    }
    return code;
}

} // namespace relayhost
