#include "details/StoreDuty.h"

#include <algorithm>

namespace relay {

namespace {

/// Instances that read the store for all.
constexpr std::size_t Readers = 3;
constexpr Ms QuestionPeriod{400};
/// An instance whose knowledge is older reads by itself. The readers' own knowledge is up to one read of the configuration, or one watch of
/// the endpoints, old.
constexpr Ms OldestConfig{1800};
constexpr Ms OldestEndpoints{2600};
/// Readings and questions on the word of others are this far apart at least.
constexpr Ms RefreshPeriod{250};
/// Changes that another instance has named and not told after this time are read from the store.
constexpr Ms NewsTime{350};
/// An instance that has heard of no other is taken to be alone after this time.
constexpr Ms LonelyTime{2000};

} // namespace

StoreDuty::StoreDuty(const PeerLoads &peers, RelayDriver &driver)
    : peers_(peers)
    , driver_(driver)
{
}

void StoreDuty::tick(Instant now, const std::string &own, const Knowledge &known)
{
    startedAt_ = startedAt_.count() == 0 ? now : startedAt_;
    const bool isOld = isStale(now, known);
    const std::vector<std::string> readers = peers_.firstInstances(own, isOld, Readers, now);
    const bool isFirst = std::find(readers.begin(), readers.end(), own) != readers.end();
    isReader_ = isFirst || (peers_.isAlone(now) && now >= startedAt_ + LonelyTime);
    const bool shouldFollow = isFirst || readers.empty() || isOld;
    if (shouldFollow != follows_) {
        follows_ = shouldFollow;
        driver_.followStore(follows_);
    }
    if (updateRevision_ > known.endpointsRevision && now >= updateAt_ + NewsTime) {
        updateAt_ = now;
        refreshEndpoints(now);
    }
    if (isFirst || readers.empty() || now < nextRequest_) {
        return;
    }
    ask(readers[nextNumber_ % readers.size()], own, now, known);
}

bool StoreDuty::isStale(Instant now, const Knowledge &known)
{
    return now - known.configAt > OldestConfig || now - known.endpointsAt > OldestEndpoints;
}

void StoreDuty::ask(const std::string &instance, const std::string &own, Instant now, const Knowledge &known)
{
    nextRequest_ = now + QuestionPeriod;
    const std::uint64_t number = nextNumber_++;
    requestedAt_[number % requestedAt_.size()] = now;
    driver_.sendFreshnessRequest(peers_.addressOf(instance), {own, number, known.endpointsRevision});
}

std::optional<wire::FreshnessReply> StoreDuty::answerTo(const wire::FreshnessRequest &question, Instant now, const Knowledge &known) const
{
    if (known.configVersion == 0 || known.endpointsAt.count() == 0) {
        return std::nullopt;
    }
    // Rounded up: knowledge must not look younger than it is.
    const auto ageMs = [&](Instant at) {
        return static_cast<std::uint64_t>(std::chrono::ceil<Ms>(now - at).count());
    };
    return wire::FreshnessReply{
        question.number, known.configVersion, ageMs(known.configAt), known.endpointsHash, ageMs(known.endpointsAt), known.endpointsRevision, std::nullopt};
}

bool StoreDuty::isAnswerToMe(const wire::FreshnessReply &answer) const
{
    return answer.number < nextNumber_ && answer.number + requestedAt_.size() >= nextNumber_;
}

void StoreDuty::onAnswer(const wire::FreshnessReply &answer, Instant now, Knowledge &known)
{
    if (!isAnswerToMe(answer)) {
        return;
    }
    const Instant requestedAt = requestedAt_[answer.number % requestedAt_.size()];
    if (answer.configVersion == known.configVersion) {
        known.configAt = std::max(known.configAt, requestedAt - Instant(Ms(answer.configAgeMs)));
    }
    if (answer.configVersion > known.configVersion) {
        driver_.refreshConfig();
    }
    if (answer.endpointsHash == known.endpointsHash) {
        known.endpointsAt = std::max(known.endpointsAt, requestedAt - Instant(Ms(answer.endpointsAgeMs)));
    } else if (answer.endpointsRevision >= known.endpointsRevision) {
        refreshEndpoints(now); // The changes did not lead to the same list, or were not told.
    }
}

void StoreDuty::onStoreUpdate(const wire::RelayDigest &digest, const std::string &own, Instant now, const Knowledge &known)
{
    if (digest.configVersion > known.configVersion) {
        driver_.refreshConfig();
    }
    // A revision that names no other content is no news.
    if (digest.endpointsHash == 0 || digest.endpointsHash == known.endpointsHash || digest.endpointsRevision <= known.endpointsRevision) {
        return;
    }
    if (updateRevision_ <= known.endpointsRevision) {
        updateAt_ = now;
    }
    updateRevision_ = std::max(updateRevision_, digest.endpointsRevision);
    if (now >= askedForNewsAt_ + RefreshPeriod) {
        askedForNewsAt_ = now;
        ask(digest.instance, own, now, known);
    }
}

void StoreDuty::refreshEndpoints(Instant now)
{
    if (now >= refreshedAt_ + RefreshPeriod) {
        refreshedAt_ = now;
        driver_.refreshEndpoints();
    }
}

} // namespace relay
