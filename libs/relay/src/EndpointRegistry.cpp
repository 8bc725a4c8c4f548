#include "details/EndpointRegistry.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace relay {

namespace {

/// Entries that lapsed during an outage of the store are back after this time, if their endpoints live.
constexpr Ms ReturnTime{2200};
/// Between the questions to a silent endpoint.
constexpr Ms FirstSuspicion{300};
constexpr Ms LongestSuspicion{1500};
/// Between a change at an endpoint and the list that shows it: a heartbeat, the store's lag and one reading of the list.
constexpr Ms ListLag{2700};
constexpr Ms QuestionTime{350};
constexpr Ms AvoidTime{75};
constexpr int MostRefusals = 5;
constexpr double LatencyWeight = 0.15;
constexpr double FailureWeight = 0.3;
constexpr double FailureHalfLifeMs = 2500;

} // namespace

double failureShareAt(const EndpointState &state, Instant now)
{
    const double ageMs = std::chrono::duration<double, std::milli>(now - state.failureAt).count();
    return state.failureShare * std::exp2(-ageMs / FailureHalfLifeMs);
}

void EndpointRegistry::update(EndpointState &state, const EndpointEntry &entry, Instant now)
{
    const EndpointEntry known = state.entry;
    state.entry = entry;
    if (entry.incarnation > known.incarnation) {
        state.suspectUntil = Instant{0};
        state.avoidUntil = Instant{0};
        state.refusals = 0;
        state.failedReports = 0;
        state.orderCount = 0;
    } else if (entry.incarnation < known.incarnation || now < state.reportedAt + ListLag) {
        // The list lags behind what the endpoint said itself.
        state.entry.incarnation = known.incarnation;
        state.entry.layers = known.layers;
        state.entry.modelVersion = known.modelVersion;
    }
}

void EndpointRegistry::onList(Instant now, const std::vector<EndpointEntry> &entries, bool afterOutage)
{
    hasList_ = true;
    std::unordered_set<std::string> present;
    for (const EndpointEntry &entry : entries) {
        present.insert(entry.id);
        const auto [found, isNew] = byId_.try_emplace(entry.id, size());
        if (isNew) {
            states_.emplace_back();
            byHash_[wire::endpointHash(entry.id)] = found->second;
            lastArrival_ = now;
        }
        EndpointState &state = states_[found->second];
        update(state, entry, now);
        state.zone = zoneNumber(entry.zone);
        state.listed = true;
        state.missingUntil = Instant{0};
    }
    for (EndpointState &state : states_) {
        if (!state.listed || present.contains(state.entry.id)) {
            continue;
        }
        if (afterOutage && state.missingUntil.count() == 0) {
            state.missingUntil = now + ReturnTime;
        }
        state.listed = now < state.missingUntil;
    }
}

void EndpointRegistry::onReport(EndpointIndex index, const EndpointReport &report, Instant now)
{
    EndpointState &state = states_[index];
    state.suspectUntil = Instant{0};
    state.failedReports = 0;
    state.avoidUntil = state.refusals == 0 ? Instant{0} : state.avoidUntil;
    state.slowdown = std::max(1.0, report.slowdown);
    state.loading = report.loading;
    if (report.incarnation < state.entry.incarnation) {
        return; // The report is older than the list.
    }
    state.entry.incarnation = report.incarnation;
    state.orderCount = report.orderCount;
    state.reportedAt = now;
    state.entry.layers = report.layers;
    state.entry.modelVersion = report.modelVersion;
}

void EndpointRegistry::suspect(EndpointIndex index, Instant now)
{
    EndpointState &state = states_[index];
    const Ms time = std::min(LongestSuspicion, FirstSuspicion * (1 << std::min(state.failedReports, 3)));
    ++state.failedReports;
    state.suspectUntil = now + time;
}

void EndpointRegistry::avoid(EndpointIndex index, Instant now)
{
    EndpointState &state = states_[index];
    // Attempts that were under way together count as one refusal.
    if (now >= state.avoidUntil) {
        state.refusals = std::min(state.refusals + 1, MostRefusals);
    }
    state.avoidUntil = now + AvoidTime * (1 << state.refusals);
}

void EndpointRegistry::pause(EndpointIndex index, Instant now)
{
    states_[index].avoidUntil = std::max(states_[index].avoidUntil, now + QuestionTime);
}

void EndpointRegistry::onAccepted(EndpointIndex index)
{
    states_[index].refusals = 0;
}

void EndpointRegistry::forgetLayers(EndpointIndex index)
{
    states_[index].entry.layers = {};
}

void EndpointRegistry::onPlainAnswer(EndpointIndex index, double latencyMs, Instant now)
{
    EndpointState &state = states_[index];
    state.latencyMs = state.latencyMs == 0 ? latencyMs : state.latencyMs + LatencyWeight * (latencyMs - state.latencyMs);
    state.failureShare = failureShareAt(state, now) * (1 - FailureWeight);
    state.failureAt = now;
}

void EndpointRegistry::onPlainFailure(EndpointIndex index, Instant now)
{
    EndpointState &state = states_[index];
    state.failureShare = failureShareAt(state, now) * (1 - FailureWeight) + FailureWeight;
    state.failureAt = now;
}

bool EndpointRegistry::isUsable(EndpointIndex index, Instant now) const
{
    const EndpointState &state = states_[index];
    return state.listed && !state.entry.draining && state.suspectUntil.count() == 0 && now >= state.avoidUntil;
}

std::optional<EndpointIndex> EndpointRegistry::find(const std::string &id) const
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<EndpointIndex> EndpointRegistry::findHash(std::uint32_t hash) const
{
    const auto found = byHash_.find(hash);
    return found == byHash_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<EndpointIndex> EndpointRegistry::findAddress(const std::string &address) const
{
    std::optional<EndpointIndex> match;
    for (EndpointIndex i = 0; i < size(); ++i) {
        const bool isBetter = !match || (states_[i].listed && states_[i].entry.incarnation >= states_[*match].entry.incarnation);
        if (states_[i].entry.address == address && isBetter) {
            match = i;
        }
    }
    return match;
}

std::uint32_t EndpointRegistry::zoneNumber(const std::string &zone)
{
    return zones_.try_emplace(zone, static_cast<std::uint32_t>(zones_.size())).first->second;
}

} // namespace relay
