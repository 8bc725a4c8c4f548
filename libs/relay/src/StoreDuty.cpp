#include "details/StoreDuty.h"

#include "base/Hash.h"

#include <algorithm>

namespace relay {

namespace {

/// Interval between the freshness requests of an instance that isn't a reader.
constexpr Ms RequestPeriod{400};
/// A reader that has not replied within this time is left out: a request lost on the way must not make the requester's knowledge stale.
constexpr Ms ReplyTimeout{200};
/// A reader that was left out is asked again after this time, the lifetime of its last digest.
constexpr Ms LostReaderLifetime{2000};
/// Interval between freshness requests to other instances while no reader is left.
constexpr Ms AnyInstancePeriod{200};
/// Knowledge of a reader that reads the store without failures is younger: the period of the reads, or the longest watch, and a slow answer.
constexpr Ms MaxReaderConfigAge{1150};
constexpr Ms MaxReaderEndpointsAge{1950};
/// Minimum interval between single reads for the same reason.
constexpr Ms RereadPeriod{500};
/// The number of a process's first request is chosen between 1 and this.
constexpr std::uint64_t MaxFirstRequestNumber = 1ULL << 48;
/// Minimum interval between reads of the endpoint list, and between requests, that updates from other instances cause.
constexpr Ms RefreshPeriod{250};
/// A version of the configuration counts as held by another instance for this time, several intervals between digests.
constexpr Ms NamedVersionLifetime{3000};
/// A list that no digest names any longer isn't waited for beyond this time, several intervals between digests.
constexpr Ms NamedListLifetime{3000};
/// Changes that a digest has named and that have not arrived within this time are read from the store.
constexpr Ms UpdateTimeout{350};
/// A new instance requests the list of endpoints from others in this period. It reads the list itself if none has sent it within the timeout, since
/// a mass start would else bring as many reads as there are instances.
constexpr Ms JoinRequestPeriod{150};
constexpr Ms JoinTimeout{1000};
/// An instance that sees no other one may take the lease once this time has passed since its start.
constexpr Ms AloneTimeout{2000};

} // namespace

StoreDuty::StoreDuty(const PeerLoads &peers, RelayDriver &driver)
    : peers_(peers)
    , driver_(driver)
{
}

void StoreDuty::configure(const RelaySettings &settings)
{
    settings_ = settings;
    times_ = storeTimesOf(settings_, 1);
    limitsLists_ = settings.linkBytesPerSecond > 0;
    // A reply to an earlier process of this instance must not be taken for one to this process, so that each process begins with another number.
    nextRequestNumber_ = nextRequestNumber_ == 0 ? 1 + base::mixBits(settings.seed) % MaxFirstRequestNumber : nextRequestNumber_;
}

void StoreDuty::tick(Instant now, const Knowledge &known)
{
    startedAt_ = startedAt_.count() == 0 ? now : startedAt_;
    // An instance that loses its aggregators knows few others by their digests.
    times_ = storeTimesOf(settings_, (times_.isBounded ? peers_.mostInstances(now) : peers_.instances(now)).value_or(1));
    const bool isUnfit = isUnfitReader(now, known);
    const std::vector<std::string> readers = peers_.readers(isUnfit, now);
    const bool isChosenReader = std::find(readers.begin(), readers.end(), settings_.node) != readers.end();
    mayTakeLease_ = peers_.isPlannerCandidate(isUnfit, now) || (peers_.isAlone(now) && now >= startedAt_ + AloneTimeout);
    if (known.endpointsAt.count() == 0 && now < startedAt_ + JoinTimeout && !isChosenReader && !(readers.empty() && peers_.isAggregator(now))) {
        return join(now, known);
    }
    const bool lacksReaders = readers.empty() || isUnfit;
    // In a small fleet, whoever sees no other instance that reads the store costs it little, and needs changes of the endpoints without delay.
    const bool isOnItsOwn = readers.empty() && peers_.isFullMesh();
    const bool readsOnce = times_.isBounded && known.endpointsAt.count() != 0 && !isOnItsOwn;
    follow(isChosenReader || (lacksReaders && !readsOnce), isChosenReader, now);
    if (awaitsUpdate(now, known) && now >= updateAwaitedSince_ + UpdateTimeout) {
        updateAwaitedSince_ = now;
        refreshEndpoints(now);
    }
    if (times_.isBounded) {
        readNamedConfig(now, known);
        readStaleKnowledge(now, known);
        return requestFreshness(readers, isChosenReader, now, known);
    }
    if (isChosenReader || readers.empty() || now < nextRequest_) {
        return;
    }
    sendRequest(readers[nextRequestNumber_ % readers.size()], now, known);
}

void StoreDuty::readStaleKnowledge(Instant now, const Knowledge &known)
{
    const Ms wait = ownPartOf(times_.readSpread);
    // The driver repeats a failed read by itself, with backoff.
    const auto mayRead = [&](Instant readAt, Instant answeredAt) {
        return readAt <= answeredAt && now >= readAt + RereadPeriod;
    };
    if (now >= known.configAt + times_.maxConfigAge + wait && mayRead(staleConfigReadAt_, configReadAt_)) {
        staleConfigReadAt_ = now;
        driver_.refreshConfig();
    }
    if (now >= known.endpointsAt + times_.maxEndpointsAge + wait && mayRead(staleEndpointsReadAt_, endpointsReadAt_)) {
        staleEndpointsReadAt_ = now;
        driver_.refreshEndpoints();
    }
}

void StoreDuty::readNamedConfig(Instant now, const Knowledge &known)
{
    if (!namedReadDue_ || now < *namedReadDue_) {
        return;
    }
    namedReadDue_.reset();
    if (namedReadVersion_ > known.configVersion) {
        namedReadAt_ = now;
        driver_.refreshConfig();
    }
}

void StoreDuty::requestFreshness(const std::vector<std::string> &readers, bool isChosenReader, Instant now, const Knowledge &known)
{
    updateLostReaders(now);
    const auto age = [&](Instant at) {
        return std::chrono::duration_cast<Ms>(now - at);
    };
    if (now < nextRequest_ || (isChosenReader && !isOlderThanReaders(age(known.configAt), age(known.endpointsAt)))) {
        return;
    }
    std::vector<std::string> candidates = readers;
    std::erase_if(candidates, [&](const std::string &id) { return id == settings_.node || lostReaders_.contains(id); });
    if (!candidates.empty()) {
        awaitedReader_ = candidates[nextRequestNumber_ % candidates.size()];
        awaitedNumber_ = nextRequestNumber_;
        return sendRequest(awaitedReader_, now, known);
    }
    candidates = peers_.otherInstances();
    if (!candidates.empty()) {
        sendRequest(candidates[base::mixBits(nextRequestNumber_) % candidates.size()], now, known);
        nextRequest_ = now + AnyInstancePeriod;
    }
}

void StoreDuty::updateLostReaders(Instant now)
{
    std::erase_if(lostReaders_, [&](const auto &entry) { return now >= entry.second + LostReaderLifetime; });
    if (awaitedReader_.empty() || now < requestedAt_[awaitedNumber_ % requestedAt_.size()] + ReplyTimeout) {
        return;
    }
    lostReaders_[awaitedReader_] = now;
    awaitedReader_.clear();
    nextRequest_ = now;
}

Ms StoreDuty::ownPartOf(Ms spread) const
{
    // The names of instances often end in consecutive numbers, which the hash alone doesn't spread evenly.
    return spread.count() == 0 ? spread : Ms(base::mixBits(base::hashOf(settings_.node)) % static_cast<std::uint64_t>(spread.count()));
}

bool StoreDuty::isOlderThanReaders(Ms configAge, Ms endpointsAge)
{
    return configAge > MaxReaderConfigAge || endpointsAge > MaxReaderEndpointsAge;
}

void StoreDuty::join(Instant now, const Knowledge &known)
{
    const std::vector<std::string> candidates = peers_.joinCandidates(now);
    const bool isCandidate = std::find(candidates.begin(), candidates.end(), settings_.node) != candidates.end();
    if (isCandidate) {
        follow(true, true, now);
    } else if (!candidates.empty() && now >= nextRequest_) {
        sendRequest(candidates[nextRequestNumber_ % candidates.size()], now, known);
        // A whole list takes a while on a link: each request waits twice as long as the one before for a reply.
        joinPeriod_ = limitsLists_ && joinPeriod_.count() != 0 ? joinPeriod_ * 2 : JoinRequestPeriod;
        nextRequest_ = now + joinPeriod_;
    }
}

void StoreDuty::follow(bool shouldFollow, bool isReader, Instant now)
{
    if (shouldFollow == followsStore_) {
        return;
    }
    followsStore_ = shouldFollow;
    if (!shouldFollow) {
        return driver_.unfollowStore();
    }
    followedAt_ = now;
    driver_.followStore(isReader ? Ms(0) : times_.readSpread);
}

bool StoreDuty::isStale(Instant now, const Knowledge &known) const
{
    return now - known.configAt > times_.maxConfigAge || now - known.endpointsAt > times_.maxEndpointsAge;
}

bool StoreDuty::isUnfitReader(Instant now, const Knowledge &known) const
{
    // An instance that the store rejects may have current knowledge from others; as a reader it would keep them from the store.
    const bool readsFail = times_.isBounded && configReadAt_ < followedAt_ && now - followedAt_ > times_.maxConfigAge;
    return isStale(now, known) || readsFail;
}

void StoreDuty::onConfigRead(Instant now)
{
    configReadAt_ = now;
}

void StoreDuty::onEndpointsRead(Instant now)
{
    endpointsReadAt_ = now;
}

void StoreDuty::sendRequest(const std::string &instance, Instant now, const Knowledge &known)
{
    nextRequest_ = now + RequestPeriod;
    const std::uint64_t number = nextRequestNumber_++;
    requestedAt_[number % requestedAt_.size()] = now;
    driver_.sendFreshnessRequest(peers_.addressOf(instance), {settings_.node, number, known.endpointsVersion, settings_.meshAddress});
}

std::optional<wire::FreshnessReply> StoreDuty::replyTo(const wire::FreshnessRequest &request, Instant now, const Knowledge &known) const
{
    if (known.configVersion == 0 || known.endpointsAt.count() == 0) {
        return std::nullopt;
    }
    // Rounded up, so that knowledge doesn't look younger than it is.
    const auto ageMs = [&](Instant at) {
        return static_cast<std::uint64_t>(std::chrono::ceil<Ms>(now - at).count());
    };
    return wire::FreshnessReply{
        request.number, known.configVersion, ageMs(known.configAt), known.endpointsHash, ageMs(known.endpointsAt), known.endpointsVersion, std::nullopt};
}

bool StoreDuty::isReplyToMe(const wire::FreshnessReply &reply) const
{
    return reply.number < nextRequestNumber_ && reply.number + requestedAt_.size() >= nextRequestNumber_;
}

void StoreDuty::onReply(const wire::FreshnessReply &reply, Instant now, Knowledge &known)
{
    if (!isReplyToMe(reply)) {
        return;
    }
    if (!awaitedReader_.empty() && reply.number == awaitedNumber_) {
        if (isOlderThanReaders(Ms(reply.configAgeMs), Ms(reply.endpointsAgeMs))) {
            lostReaders_[awaitedReader_] = now;
            nextRequest_ = now;
        }
        awaitedReader_.clear();
    }
    const Instant requestedAt = requestedAt_[reply.number % requestedAt_.size()];
    if (reply.configVersion == known.configVersion) {
        known.configAt = std::max(known.configAt, requestedAt - Instant(Ms(reply.configAgeMs)));
    }
    onConfigNamed(reply.configVersion, now, known);
    const bool isSameEpoch = reply.endpointsVersion.epoch == known.endpointsVersion.epoch;
    if (isSameEpoch && reply.endpointsHash == known.endpointsHash) {
        known.endpointsAt = std::max(known.endpointsAt, requestedAt - Instant(Ms(reply.endpointsAgeMs)));
    } else if (reply.endpointsVersion >= known.endpointsVersion) {
        refreshEndpoints(now); // The reply had no changes, or they did not lead to the same list.
    }
}

void StoreDuty::onStoreUpdate(const wire::RelayDigest &digest, Instant now, const Knowledge &known)
{
    onConfigNamed(digest.configVersion, now, known);
    // A digest without a list, with the same content or without a later version is no update. The same content in another epoch is one: the history of before
    // doesn't lead on from it.
    const bool isSameList = digest.endpointsHash == known.endpointsHash && digest.endpointsVersion.epoch == known.endpointsVersion.epoch;
    if (digest.endpointsHash == 0 || isSameList || digest.endpointsVersion <= known.endpointsVersion) {
        return;
    }
    if (!awaitsUpdate(now, known)) {
        updateVersion_ = {};
        updateAwaitedSince_ = now;
    }
    if (digest.endpointsVersion >= updateVersion_) {
        updateNamedAt_ = now;
        updateVersion_ = digest.endpointsVersion;
        updateHash_ = digest.endpointsHash;
    }
    if (now >= updateRequestedAt_ + RefreshPeriod) {
        updateRequestedAt_ = now;
        sendRequest(digest.instance, now, known);
    }
}

bool StoreDuty::awaitsUpdate(Instant now, const Knowledge &known) const
{
    if (now >= updateNamedAt_ + NamedListLifetime) {
        return false;
    }
    const bool isSameList = updateHash_ == known.endpointsHash && updateVersion_.epoch == known.endpointsVersion.epoch;
    return updateVersion_ > known.endpointsVersion && !isSameList;
}

void StoreDuty::onConfigNamed(std::uint64_t version, Instant now, const Knowledge &known)
{
    if (version >= namedConfigVersion(now)) {
        namedConfigVersion_ = version;
        configNamedAt_ = now;
    }
    if (version <= known.configVersion) {
        return;
    }
    if (!times_.isBounded) {
        return driver_.refreshConfig();
    }
    const bool isUnderWay = namedReadAt_ > configReadAt_ || now < namedReadAt_ + RereadPeriod;
    if (!namedReadDue_ && (version > namedReadVersion_ || !isUnderWay)) {
        namedReadDue_ = now + ownPartOf(times_.configReadSpread);
    }
    namedReadVersion_ = std::max(namedReadVersion_, version);
    readNamedConfig(now, known);
}

std::uint64_t StoreDuty::namedConfigVersion(Instant now) const
{
    return now < configNamedAt_ + NamedVersionLifetime ? namedConfigVersion_ : 0;
}

void StoreDuty::refreshEndpoints(Instant now)
{
    if (now >= refreshedAt_ + RefreshPeriod) {
        refreshedAt_ = now;
        driver_.refreshEndpoints();
    }
}

} // namespace relay
