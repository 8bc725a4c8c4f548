#include "details/EndpointReach.h"

#include "base/Hash.h"

#include <algorithm>

namespace relay {

namespace {

/// Endpoints that must fail before the instance counts as cut off; all, if there are fewer.
constexpr std::size_t FailuresNeeded = 3;
/// A single endpoint that fails shows nothing about the network.
constexpr std::size_t MinEndpoints = 2;
/// Failures at the same moment, as of a rack that is lost, are not yet a cut.
constexpr Ms MinDoubt{100};
/// Failures that no other one joins are forgotten after this time.
constexpr Ms FailureLifetime{3000};
/// An endpoint is checked if a request waits and nothing has been received from any endpoint for this time, but no more often than that.
constexpr Ms MaxSilence{250};
constexpr Ms SilenceCheckPeriod{1000};
/// A check whose result isn't there after this time was not made, or has been lost.
constexpr Ms CheckTimeout{600};
/// An instance that is cut off checks this many endpoints in each period.
constexpr std::size_t ChecksWhileCutOff = 2;
constexpr Ms CutOffCheckPeriod{300};

} // namespace

std::optional<std::size_t> EndpointReach::failuresNeeded(std::size_t endpoints)
{
    return endpoints < MinEndpoints ? std::nullopt : std::optional(std::min(endpoints, FailuresNeeded));
}

void EndpointReach::onReached(Instant now)
{
    reachedAt_ = now;
    receivedAt_ = now;
    failedAt_.clear();
    pendingChecks_.clear();
    isSilent_ = false;
    reachesAgain_ = reachesAgain_ || isCutOff_;
    isCutOff_ = false;
}

void EndpointReach::onFailed(EndpointIndex endpoint, Instant now)
{
    if (failedAt_.empty()) {
        doubtSince_ = now;
    }
    failedAt_[endpoint] = now;
    pendingChecks_.erase(endpoint);
    isSilent_ = false;
}

void EndpointReach::onWaiting(Instant since, Instant now)
{
    const Instant quietSince = std::max(since, receivedAt_);
    if (now >= quietSince + MaxSilence && now >= silentAt_ + SilenceCheckPeriod) {
        silentAt_ = now;
        isSilent_ = true;
    }
}

EndpointReach::Change EndpointReach::tick(const std::vector<EndpointIndex> &endpoints, Instant now)
{
    if (reachesAgain_) {
        reachesAgain_ = false;
        return Change::ReachesAgain;
    }
    if (isCutOff_) {
        return Change::None;
    }
    std::erase_if(failedAt_, [&](const auto &entry) { return now >= entry.second + FailureLifetime; });
    const auto needed = failuresNeeded(endpoints.size());
    isCutOff_ = needed && failedAt_.size() >= *needed && now >= doubtSince_ + MinDoubt;
    return isCutOff_ ? Change::CutOff : Change::None;
}

std::vector<EndpointIndex> EndpointReach::dueChecks(const std::vector<EndpointIndex> &endpoints, Instant now)
{
    std::erase_if(pendingChecks_, [&](const auto &entry) { return now >= entry.second + CheckTimeout; });
    std::size_t count = std::min(failedAt_.size(), FailuresNeeded) + (isSilent_ ? 1 : 0);
    if (isCutOff_) {
        count = now >= checkedAt_ + CutOffCheckPeriod ? ChecksWhileCutOff : 0;
    }
    if (count <= pendingChecks_.size()) {
        return {};
    }
    count -= pendingChecks_.size();
    checkedAt_ = now;
    isSilent_ = false;
    std::vector<EndpointIndex> others;
    std::copy_if(endpoints.begin(), endpoints.end(), std::back_inserter(others), [&](EndpointIndex each) {
        return !pendingChecks_.contains(each) && (isCutOff_ || !failedAt_.contains(each));
    });
    std::vector<EndpointIndex> chosen;
    while (chosen.size() < count && !others.empty()) {
        const std::size_t at = base::mixBits(seed_ + ++draws_) % others.size();
        chosen.push_back(others[at]);
        pendingChecks_[others[at]] = now;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(at));
    }
    return chosen;
}

} // namespace relay
