#include "details/SumChanges.h"

#include <algorithm>
#include <cmath>

namespace relay {

namespace {

/// Tokens whose difference weighs as much as one open request. The capacity for prefill binds before that for context.
constexpr double ContextTokensPerRequest = 4096;
constexpr double PrefillTokensPerRequest = 1024;
/// Differences in tokens below this part of the load aren't sent.
constexpr double MinTokenRatio = 0.125;
/// Digests carry tokens in units of this size, so that smaller differences may not show.
constexpr double TokenUnit = 256;

bool isZero(const wire::EndpointLoad &load)
{
    return load.openRequests == 0;
}

/// Returns the weight of a difference in tokens; 0 if it isn't significant.
double weightOf(std::uint64_t before, std::uint64_t after, double tokensPerRequest)
{
    const double difference = std::abs(static_cast<double>(after) - static_cast<double>(before));
    const double threshold = std::max(TokenUnit, MinTokenRatio * static_cast<double>(std::max(before, after)));
    return difference >= threshold ? difference / tokensPerRequest : 0;
}

double weightOf(const wire::EndpointLoad &before, const wire::EndpointLoad &after)
{
    return std::abs(static_cast<double>(after.openRequests) - before.openRequests)
        + weightOf(before.contextTokens, after.contextTokens, ContextTokensPerRequest)
        + weightOf(before.pendingPrefillTokens, after.pendingPrefillTokens, PrefillTokensPerRequest)
        + weightOf(before.pendingLinkTokens, after.pendingLinkTokens, PrefillTokensPerRequest);
}

} // namespace

void SumSender::addDifference(std::vector<Difference> &differences, const wire::EndpointLoad &load) const
{
    const Slot &slot = slots_[load.slot];
    const double weight = weightOf(slot.load, load);
    if (weight > 0) {
        const auto versions = static_cast<double>(number_ - slot.changedAt);
        differences.push_back({load, weight * (1 + versions)});
    }
}

void SumSender::publish(const std::vector<wire::EndpointLoad> &loads, std::uint64_t number, std::size_t limit)
{
    firstNumber_ = firstNumber_ == 0 ? number : firstNumber_;
    number_ = number;
    if (!loads.empty() && loads.back().slot >= slots_.size()) {
        slots_.resize(loads.back().slot + 1, Slot{{}, number, 0});
    }
    std::vector<Difference> differences;
    auto next = loads.begin();
    for (std::uint32_t i = 0; i < slots_.size(); ++i) {
        if (next != loads.end() && next->slot == i) {
            addDifference(differences, *next++);
        } else if (!isZero(slots_[i].load)) {
            wire::EndpointLoad none;
            none.endpoint = slots_[i].load.endpoint;
            none.slot = i;
            addDifference(differences, none);
        }
    }
    if (differences.size() > limit) {
        const auto last = differences.begin() + static_cast<std::ptrdiff_t>(limit);
        std::nth_element(differences.begin(), last, differences.end(), [](const auto &a, const auto &b) { return a.weight > b.weight; });
        differences.erase(last, differences.end());
    }
    for (const Difference &difference : differences) {
        Slot &slot = slots_[difference.load.slot];
        // A complete sum leaves out the slots with no load, so that a receiver may not know them.
        slot.namedAt = isZero(slot.load) ? number : slot.namedAt;
        slot.load = difference.load;
        slot.changedAt = number;
    }
}

std::vector<wire::EndpointLoad> SumSender::changesSince(std::uint64_t number) const
{
    const bool isKnown = knows(number);
    std::vector<wire::EndpointLoad> changes;
    for (const Slot &slot : slots_) {
        if (isKnown ? slot.namedAt != 0 && slot.changedAt > number : !isZero(slot.load)) {
            changes.push_back(slot.load);
            changes.back().isSlotKnown = isKnown && slot.namedAt <= number;
        }
    }
    return changes;
}

std::optional<std::vector<wire::EndpointLoad>> SumReceiver::take(const wire::RelayDigest &digest, Instant now)
{
    if (digest.sumNumber == 0) {
        sums_.erase(digest.instance);
        return digest.loads;
    }
    Sum &sum = sums_[digest.instance];
    if (digest.sumBase == 0) {
        sum = Sum{digest.scope, digest.sumNumber, now, {}};
    } else if (digest.scope != sum.scope || digest.sumBase > sum.number) {
        sums_.erase(digest.instance);
        return std::nullopt;
    } else if (digest.sumNumber <= sum.number) {
        return std::nullopt;
    }
    sum.number = digest.sumNumber;
    sum.receivedAt = now;
    apply(sum, digest.loads);
    std::vector<wire::EndpointLoad> loads;
    loads.reserve(sum.loads.size());
    for (const auto &[slot, load] : sum.loads) {
        if (!isZero(load)) {
            loads.push_back(load);
        }
    }
    return loads;
}

void SumReceiver::apply(Sum &sum, const std::vector<wire::EndpointLoad> &changes)
{
    for (const wire::EndpointLoad &change : changes) {
        const auto known = sum.loads.find(change.slot);
        if (!change.isSlotKnown) {
            sum.loads[change.slot] = change;
        } else if (known != sum.loads.end()) {
            const std::uint32_t endpoint = known->second.endpoint;
            known->second = change;
            known->second.endpoint = endpoint;
        }
    }
}

void SumReceiver::forget(const std::string &sender)
{
    sums_.erase(sender);
}

void SumReceiver::forgetBefore(Instant time)
{
    std::erase_if(sums_, [&](const auto &entry) { return entry.second.receivedAt < time; });
}

std::vector<wire::ReceivedSum> SumReceiver::received() const
{
    std::vector<wire::ReceivedSum> received;
    for (const auto &[sender, sum] : sums_) {
        received.push_back({wire::endpointHash(sender), sum.number});
    }
    return received;
}

} // namespace relay
