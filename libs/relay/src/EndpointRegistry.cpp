#include "details/EndpointRegistry.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace relay {

namespace {

/// Entries that expired during an outage of the store are listed again within this time if their endpoints live.
constexpr Ms ReturnGracePeriod{2200};
/// The interval between report requests to a silent endpoint doubles from the minimum up to the maximum.
constexpr Ms MinReportInterval{300};
constexpr Ms MaxReportInterval{1500};
/// Weights of the latest request in the smoothed latency and failure ratio.
constexpr double LatencyWeight = 0.15;
constexpr double FailureWeight = 0.3;
constexpr double FailureHalfLifeMs = 2500;

/// Returns whether the endpoint takes whole requests, in contrast to an engine that holds layers.
bool isPlain(const EndpointState &state)
{
    return state.entry.accelerator.empty();
}

} // namespace

double failureRatioAt(const EndpointState &state, Instant now)
{
    const double ageMs = std::chrono::duration<double, std::milli>(now - state.failureRatioUpdatedAt).count();
    return state.failureRatio * std::exp2(-ageMs / FailureHalfLifeMs);
}

void EndpointRegistry::beginIncarnation(EndpointState &state)
{
    state.entry.draining = false;
    state.listedAsDraining = false;
    state.silentCheckAt = Instant{0};
    state.silenceCount = 0;
    state.refusals = {};
    state.damage = {};
    state.odds = {};
    state.fullUntil = Instant{0};
    state.orderCount = 0;
}

void EndpointRegistry::update(EndpointState &state, const EndpointEntry &entry, Instant now)
{
    const bool isNewIncarnation = entry.incarnation != state.entry.incarnation;
    if (isNewIncarnation) {
        beginIncarnation(state);
    }
    const EndpointEntry known = state.entry;
    state.entry = entry;
    state.listedAsDraining = entry.draining;
    if (isNewIncarnation) {
        return;
    }
    state.entry.draining = known.draining || entry.draining;
    if (now < state.reportedAt + MaxListLag) {
        // The list is older than the endpoint's own report.
        state.entry.layers = known.layers;
        state.entry.modelVersion = known.modelVersion;
    }
}

void EndpointRegistry::onList(Instant now, const std::vector<EndpointEntry> &entries, std::uint64_t epoch, bool afterOutage)
{
    const bool mayLackEntries = afterOutage || (hasList_ && epoch != epoch_);
    hasList_ = true;
    epoch_ = epoch;
    std::unordered_set<std::string> present;
    for (const EndpointEntry &entry : entries) {
        present.insert(entry.id);
        const auto [found, isNew] = byId_.try_emplace(entry.id, size());
        if (isNew) {
            states_.emplace_back();
            states_.back().idHash = wire::endpointHash(entry.id);
            byHash_[states_.back().idHash] = found->second;
            lastNewEndpointAt_ = now;
        }
        EndpointState &state = states_[found->second];
        // An entry of an earlier incarnation is old, unless this very store has listed the later one before: then the endpoint's clock has gone back.
        if (!isNew && entry.incarnation < state.entry.incarnation && state.incarnationEpoch != epoch) {
            continue;
        }
        const bool mayComeFromCopy = !isNew && !state.listed && entry.incarnation == state.entry.incarnation && epoch > state.unlistedEpoch;
        update(state, entry, now);
        if (mayComeFromCopy) {
            hold(found->second, now, ReturnGracePeriod);
        }
        state.zone = zoneNumber(entry.zone);
        state.incarnationEpoch = epoch;
        state.listed = true;
        state.keepListedUntil = Instant{0};
    }
    for (EndpointState &state : states_) {
        if (!state.listed || present.contains(state.entry.id)) {
            continue;
        }
        if (mayLackEntries && state.keepListedUntil.count() == 0) {
            state.keepListedUntil = now + ReturnGracePeriod;
        }
        state.listed = now < state.keepListedUntil;
        state.unlistedEpoch = epoch;
    }
}

void EndpointRegistry::endGracePeriods(Instant now)
{
    for (EndpointState &state : states_) {
        const bool isMissing = state.keepListedUntil.count() != 0;
        state.listed = state.listed && (!isMissing || now < state.keepListedUntil);
    }
}

bool EndpointRegistry::setLeaving(EndpointIndex index, std::uint64_t incarnation)
{
    EndpointEntry &entry = states_[index].entry;
    if (entry.incarnation != incarnation || entry.draining) {
        return false;
    }
    entry.draining = true;
    return true;
}

void EndpointRegistry::onReport(EndpointIndex index, const EndpointReport &report, Instant now)
{
    endSilence(index);
    EndpointState &state = states_[index];
    state.slowdown = std::max(1.0, report.slowdown);
    state.loading = report.loading;
    if (report.incarnation < state.entry.incarnation) {
        return; // The report is older than the list.
    }
    if (report.incarnation > state.entry.incarnation) {
        beginIncarnation(state);
        state.incarnationEpoch.reset();
    }
    state.entry.incarnation = report.incarnation;
    state.orderCount = report.orderCount;
    state.reportedAt = now;
    state.entry.layers = report.layers;
    state.entry.modelVersion = report.modelVersion;
}

void EndpointRegistry::endSilence(EndpointIndex index)
{
    EndpointState &state = states_[index];
    state.silentCheckAt = Instant{0};
    state.silenceCount = 0;
    state.heldUntil = Instant{0};
}

void EndpointRegistry::setSilent(EndpointIndex index, Instant now)
{
    EndpointState &state = states_[index];
    const Ms interval = std::min(MaxReportInterval, MinReportInterval * (1 << std::min(state.silenceCount, 3)));
    ++state.silenceCount;
    state.silentCheckAt = now + interval;
}

void EndpointRegistry::onRefused(EndpointIndex index, Instant sentAt, Instant now, Ms minimum)
{
    EndpointState &state = states_[index];
    if (isPlain(state)) {
        return state.refusals.onRefused(sentAt, now, state.openRequests, minimum);
    }
    // Where an engine has room is predicted from its load, and its answers come late: it gets no window.
    state.refusals.onRefused(now, now, 0, minimum);
}

bool EndpointRegistry::hasRoom(EndpointIndex index, Instant now) const
{
    return states_[index].refusals.hasRoom(now, states_[index].openRequests);
}

void EndpointRegistry::backOff(EndpointIndex index, Instant now, Ms duration)
{
    EndpointState &state = states_[index];
    const Instant until = now + duration;
    state.backoffUntil = state.backoffIncarnation == state.entry.incarnation ? std::max(state.backoffUntil, until) : until;
    state.backoffFrom = now;
    state.backoffIncarnation = state.entry.incarnation;
}

Ms EndpointRegistry::backoffLeft(EndpointIndex index, Instant now) const
{
    const EndpointState &state = states_[index];
    const bool hasRestarted = state.backoffIncarnation != state.entry.incarnation && now >= state.backoffFrom + MaxListLag;
    const bool isOver = now >= state.backoffUntil || hasRestarted;
    return isOver ? Ms(0) : std::chrono::ceil<Ms>(state.backoffUntil - now);
}

std::optional<Ms> EndpointRegistry::returnsIn(EndpointIndex index, Instant now) const
{
    const EndpointState &state = states_[index];
    const Ms left = backoffLeft(index, now);
    const bool isSound = state.listed && !state.entry.draining && state.silentCheckAt.count() == 0;
    return isSound && left.count() > 0 ? std::optional(left) : std::nullopt;
}

void EndpointRegistry::confirmBackoffs(Instant now)
{
    for (EndpointState &state : states_) {
        if (now < state.backoffUntil && now < state.backoffFrom + MaxListLag) {
            state.backoffIncarnation = state.entry.incarnation;
        }
    }
}

void EndpointRegistry::hold(EndpointIndex index, Instant now, Ms duration)
{
    states_[index].heldUntil = std::max(states_[index].heldUntil, now + duration);
}

void EndpointRegistry::onAccepted(EndpointIndex index, Instant sentAt, Instant now)
{
    EndpointState &state = states_[index];
    state.refusals.onAccepted(sentAt, now, isPlain(state) ? state.openRequests : 0);
}

bool EndpointRegistry::isAvoided(EndpointIndex index, Instant now) const
{
    const EndpointState &state = states_[index];
    if (!state.damage.isAvoided(now, state.openRequests)) {
        return false;
    }
    const auto canReplace = [&](const EndpointState &other) {
        const bool isAlike = other.entry.service == state.entry.service && other.entry.layers.first == state.entry.layers.first;
        const bool isInService = other.listed && !other.entry.draining && other.silentCheckAt.count() == 0;
        return isAlike && isInService && !other.damage.isAvoided(now, other.openRequests);
    };
    return std::any_of(states_.begin(), states_.end(), canReplace);
}

void EndpointRegistry::forgetLayers(EndpointIndex index)
{
    states_[index].entry.layers = {};
}

void EndpointRegistry::onPlainAnswer(EndpointIndex index, double latencyMs, Instant now)
{
    EndpointState &state = states_[index];
    state.latencyMs = state.latencyMs == 0 ? latencyMs : state.latencyMs + LatencyWeight * (latencyMs - state.latencyMs);
    state.failureRatio = failureRatioAt(state, now) * (1 - FailureWeight);
    state.failureRatioUpdatedAt = now;
}

void EndpointRegistry::onPlainFailure(EndpointIndex index, Instant now)
{
    EndpointState &state = states_[index];
    state.failureRatio = failureRatioAt(state, now) * (1 - FailureWeight) + FailureWeight;
    state.failureRatioUpdatedAt = now;
}

bool EndpointRegistry::isUsable(EndpointIndex index, Instant now) const
{
    const EndpointState &state = states_[index];
    return state.listed && !state.entry.draining && state.silentCheckAt.count() == 0 && state.refusals.isOver(now) && now >= state.heldUntil;
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
    return zoneNumbers_.try_emplace(zone, static_cast<std::uint32_t>(zoneNumbers_.size())).first->second;
}

} // namespace relay
