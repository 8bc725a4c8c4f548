#include "PlatformDuty.h"

#include "settings/Parse.h"
#include "wire/Codec.h"

using namespace trefoilport;

namespace {

/// How often events that met a full ring are moved into it.
constexpr std::chrono::milliseconds FlushPeriod{50};
/// Longest time that one watch waits for a new version of the head.
constexpr std::chrono::milliseconds WatchTimeout{1000};
/// Pause after a watch that failed, or showed a head that can't be decoded.
constexpr std::chrono::milliseconds RetryInterval{300};
const char *const HeadKey = "config/head";

/// Encodes the value of a WriteStore action; an empty value gives an empty string.
struct Encoder {
    std::string operator()(std::monostate) const
    {
        return {};
    }

    template<typename Value>
    std::string operator()(const Value &value) const
    {
        return wire::encode(value);
    }
};

ConfigVersion parseDocument(const wire::ConfigDocument &document)
{
    std::vector<settings::SettingsFile> files;
    for (const wire::ConfigFile &file : document.files) {
        files.push_back({file.name, file.text});
    }
    auto parsed = settings::parseRoutingConfig(std::move(files));
    ConfigVersion version{document, nullptr};
    if (auto *config = std::get_if<settings::RoutingConfig>(&parsed); config != nullptr && document.revision > 0) {
        version.parsed = std::make_shared<const settings::RoutingConfig>(std::move(*config));
    }
    return version;
}

} // namespace

ParsedHead parseHead(const wire::ConfigHead &head)
{
    ParsedHead parsed{head.epoch, parseDocument(head.accepted), std::nullopt, head.members};
    if (head.staged) {
        parsed.staged = parseDocument(*head.staged);
    }
    return parsed;
}

PlatformDuty::PlatformDuty(const settings::DaemonSettings &settings, DaemonRings &rings)
    : settings_(settings)
    , rings_(rings)
    , client_(loop_, net::parseAddress(settings.platform))
{
    rings_.toPlatform.wake = [this]() {
        loop_.post([this]() { handleActions(); });
    };
}

void PlatformDuty::run()
{
    flushPeriodically();
    watchHead();
    pollList();
    loop_.run();
}

void PlatformDuty::stop()
{
    loop_.stop();
}

void PlatformDuty::flushPeriodically()
{
    rings_.fromPlatform.flush();
    loop_.after(FlushPeriod, [this]() { flushPeriodically(); });
}

void PlatformDuty::handleActions()
{
    Action action;
    while (rings_.toPlatform.pop(action)) {
        if (const auto *reading = std::get_if<ReadStore>(&action)) {
            read(*reading);
        } else if (const auto *writing = std::get_if<WriteStore>(&action)) {
            write(*writing);
        } else if (std::holds_alternative<ReadHead>(action)) {
            readHead();
        }
    }
}

void PlatformDuty::read(const ReadStore &action)
{
    const StoreOpId op = action.op;
    client_.read(action.key, [this, op](const platform::ReadResult &result) {
        StoreReadDone done{op, result.status, result.version, {}};
        if (result.status == wire::StoreStatus::Ok) {
            // ReadStore is used for claim buckets only; the head object is read by watchHead() and readHead().
            auto bucket = wire::decodeClaimBucket(result.value);
            if (base::isOk(bucket)) {
                done.value = std::get<wire::ClaimBucket>(std::move(bucket));
            } else {
                done.status = wire::StoreStatus::Unavailable;
            }
        }
        rings_.fromPlatform.push(std::move(done));
    });
}

void PlatformDuty::write(const WriteStore &action)
{
    const StoreOpId op = action.op;
    client_.write(action.key, std::visit(Encoder{}, action.value), action.expectedVersion, [this, op](const platform::WriteResult &result) {
        rings_.fromPlatform.push(StoreWriteDone{op, result.status, result.version});
    });
}

bool PlatformDuty::onHead(base::Instant issuedAt, const platform::ReadResult &result)
{
    const bool isAnswer = result.status == wire::StoreStatus::Ok || result.status == wire::StoreStatus::NotFound;
    if (!isAnswer) {
        rings_.fromPlatform.push(StoreFailed{});
        return false;
    }
    HeadReceived event{issuedAt, result.version, std::nullopt};
    if (result.status == wire::StoreStatus::Ok && result.version != headVersion_) {
        const auto head = wire::decodeConfigHead(result.value);
        if (base::isOk(head)) {
            event.head = parseHead(base::valueOf(head));
            headVersion_ = result.version;
        } else {
            event.isDamaged = true;
        }
    }
    const bool isUsable = !event.isDamaged;
    rings_.fromPlatform.push(std::move(event));
    return isUsable;
}

void PlatformDuty::readHead()
{
    const base::Instant issuedAt = base::readClocks().mono;
    client_.read(HeadKey, [this, issuedAt](const platform::ReadResult &result) { onHead(issuedAt, result); });
}

void PlatformDuty::watchHead()
{
    const base::Instant issuedAt = base::readClocks().mono;
    client_.watch(HeadKey, headVersion_, WatchTimeout, [this, issuedAt](const platform::ReadResult &result) {
        // A head that can't be decoded differs from the known version, so that the next watch would return at once.
        const bool isUsable = onHead(issuedAt, result);
        loop_.after(isUsable ? std::chrono::milliseconds(0) : RetryInterval, [this]() { watchHead(); });
    });
}

void PlatformDuty::pollList()
{
    client_.list([this](std::optional<platform::Listing> listing) {
        if (listing) {
            rings_.fromPlatform.push(ListReceived{std::move(listing->endpoints), std::move(listing->instances)});
        }
    });
    loop_.after(std::chrono::milliseconds(settings_.listPollMs), [this]() { pollList(); });
}
