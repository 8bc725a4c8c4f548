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
/// Readings on the word of others are this far apart at least.
constexpr Ms RefreshPeriod{250};

} // namespace

StoreDuty::StoreDuty(const PeerLoads &peers, RelayDriver &driver)
    : peers_(peers)
    , driver_(driver)
{
}

void StoreDuty::tick(Instant now, const std::string &own, const Knowledge &known)
{
    const std::vector<std::string> readers = peers_.firstInstances(own, Readers, now);
    const bool isReader = readers.empty() || std::find(readers.begin(), readers.end(), own) != readers.end();
    const bool isOld = now - known.configAt > OldestConfig || now - known.endpointsAt > OldestEndpoints;
    const bool shouldFollow = isReader || isOld;
    if (shouldFollow != follows_) {
        follows_ = shouldFollow;
        driver_.followStore(follows_);
    }
    if (isReader || now < nextQuestion_) {
        return;
    }
    nextQuestion_ = now + QuestionPeriod;
    const std::uint64_t number = nextNumber_++;
    askedAt_[number % askedAt_.size()] = now;
    driver_.sendQuestion(peers_.addressOf(readers[number % readers.size()]), {own, number});
}

std::optional<wire::FreshnessAnswer> StoreDuty::answerTo(const wire::FreshnessQuestion &question, Instant now, const Knowledge &known) const
{
    if (known.configVersion == 0 || known.endpointsAt.count() == 0) {
        return std::nullopt;
    }
    // Rounded up: knowledge must not look younger than it is.
    const auto ageMs = [&](Instant at) {
        return static_cast<std::uint64_t>(std::chrono::ceil<Ms>(now - at).count());
    };
    return wire::FreshnessAnswer{question.number, known.configVersion, ageMs(known.configAt), known.endpointsHash, ageMs(known.endpointsAt)};
}

void StoreDuty::onAnswer(const wire::FreshnessAnswer &answer, Instant now, Knowledge &known)
{
    const bool isKnown = answer.number < nextNumber_ && answer.number + askedAt_.size() >= nextNumber_;
    if (!isKnown) {
        return;
    }
    const Instant askedAt = askedAt_[answer.number % askedAt_.size()];
    if (answer.configVersion == known.configVersion) {
        known.configAt = std::max(known.configAt, askedAt - Instant(Ms(answer.configAgeMs)));
    }
    if (answer.endpointsHash == known.endpointsHash) {
        known.endpointsAt = std::max(known.endpointsAt, askedAt - Instant(Ms(answer.endpointsAgeMs)));
    }
    refresh(answer.configVersion > known.configVersion, answer.endpointsHash != known.endpointsHash, now);
}

void StoreDuty::onNews(std::uint64_t configVersion, std::uint64_t endpointsHash, Instant now, const Knowledge &known)
{
    refresh(configVersion > known.configVersion, endpointsHash != 0 && endpointsHash != known.endpointsHash, now);
}

void StoreDuty::refresh(bool config, bool endpoints, Instant now)
{
    if (config) {
        driver_.refreshConfig();
    }
    if (endpoints && now >= refreshedAt_ + RefreshPeriod) {
        refreshedAt_ = now;
        driver_.refreshEndpoints();
    }
}

} // namespace relay
