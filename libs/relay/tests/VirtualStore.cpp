#include "VirtualFleet.h"

using relay::Instant;
using relay::Ms;

namespace {

/// Period between two copies of the store, and for how long a copy is kept.
constexpr Ms CopyPeriod{500};
constexpr Ms CopyLifetime{10000};
/// A restored store has a copy that is at least MinCopyAge old, and up to CopyAgeRangeMs older.
constexpr Ms MinCopyAge{1000};
constexpr std::uint64_t CopyAgeRangeMs = 7000;
/// The operator writes the newest configuration again within this time after a restore.
constexpr std::uint64_t RewriteRangeMs = 1500;
constexpr Ms RewriteRetryPeriod{200};

} // namespace

void VirtualFleet::keepCopies()
{
    if (!store_.down) {
        copies_.emplace_back(time_.now(), store_);
    }
    while (copies_.size() > 1 && copies_.front().first < time_.now() - CopyLifetime) {
        copies_.pop_front();
    }
    time_.after(CopyPeriod, [this]() { keepCopies(); });
}

void VirtualFleet::restoreStore(Ms away)
{
    const Instant copiedBefore = time_.now() - MinCopyAge - Ms(draw(CopyAgeRangeMs));
    store_.down = true;
    store_.downUntil = std::max(store_.downUntil, time_.now() + away);
    time_.after(away, [this, copiedBefore]() {
        auto copy = copies_.begin();
        for (auto it = copies_.begin(); it != copies_.end() && it->first <= copiedBefore; ++it) {
            copy = it;
        }
        Store restored = copy->second;
        restored.epoch = store_.epoch + 1;
        restored.downUntil = store_.downUntil;
        restored.down = time_.now() < store_.downUntil;
        // How instances register again is up to the host, which this simulation has not.
        restored.instances = store_.instances;
        store_ = restored;
        copies_.clear();
        copies_.emplace_back(time_.now(), store_);
        // The operator writes a lost revocation again before the store serves: until then no instance can know of it.
        if (store_.config->teamOfKey.size() != makeConfig()->teamOfKey.size()) {
            store_.config = makeConfig();
            ++store_.revision;
        } else {
            time_.after(Ms(draw(RewriteRangeMs)), [this]() { rewriteConfig(); });
        }
    });
}

void VirtualFleet::rewriteConfig()
{
    if (store_.down) {
        return time_.after(RewriteRetryPeriod, [this]() { rewriteConfig(); });
    }
    store_.config = makeConfig();
    ++store_.revision;
}

relay::FleetConfigPtr VirtualFleet::makeConfig() const
{
    auto config = std::make_shared<relay::FleetConfig>();
    placement::EngineProfile engine;
    engine.layers = 80;
    engine.layerMb = 1000;
    engine.kvTokenBytes = 80000;
    engine.stepMs = 1;
    engine.prefillTokensPerMs = 100;
    engine.loadSeconds = 4;
    engine.maxConcurrentLoads = 4;
    engine.typicalPromptTokens = 500;
    engine.typicalAnswerTokens = 100;
    engine.kinds = {{"gpu", 50000, 1, 1}};
    config->version = configVersion_;
    config->hasTeams = true;
    for (const char *key : {"key-a", "key-b", "key-c"}) {
        if (!revokedKeys_.contains(key)) {
            config->teamOfKey[key] = {std::string("team of ") + key, std::nullopt};
        }
    }
    config->services = {{"model", "/health", 100, engine}, {"desk", "/health", 100, std::nullopt}};
    const auto route = [&](const char *name, const char *prefix, relay::RequestKind kind, Ms timeout, std::uint32_t attempts, const char *service) {
        relay::Route entry;
        entry.name = name;
        entry.host = "api.example";
        entry.pathPrefix = prefix;
        entry.kind = kind;
        entry.timeout = timeout;
        entry.targetLatency = Ms(150);
        entry.maxAttempts = attempts;
        entry.isResumable = kind == relay::RequestKind::Stream;
        entry.services = {{service, 1}};
        config->routes.push_back(entry);
    };
    route("stream", "/stream/", relay::RequestKind::Stream, Ms(10000), 2, "model");
    route("once", "/once/", relay::RequestKind::Stream, Ms(10000), 2, "model");
    config->routes.back().isResumable = false;
    route("book", "/book/", relay::RequestKind::AtMostOnce, Ms(1200), 1, "desk");
    route("read", "/read/", relay::RequestKind::Idempotent, Ms(1200), 2, "desk");
    if (changesConfig_ && time_.now() < faultsUntil_) {
        varyConfig(*config);
    }
    return config;
}

void VirtualFleet::varyConfig(relay::FleetConfig &config) const
{
    switch (config.version % 8) {
    case 0:
        config.routes.erase(config.routes.begin()); // The route of the streams is dropped.
        return;
    case 1:
        config.routes.front().services = {{"desk", 1}};
        return;
    case 2:
        config.services.front().engine->prefillTokensPerMs = 10;
        config.services.front().engine->slots = 1;
        return;
    case 3:
        config.services.front().engine->stepMs = 3;
        config.services.front().engine->kinds = {{"gpu", 50000, 2, 2}};
        return;
    case 4:
        config.services.pop_back();
        return;
    case 5:
        config.teamOfKey.clear();
        return;
    case 6:
        for (relay::Route &route : config.routes) {
            route.timeout = route.timeout * 3 / 4;
            route.maxAttempts = 1;
            route.isResumable = false;
        }
        return;
    default:
        return;
    }
}
