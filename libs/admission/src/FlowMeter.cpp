#include "admission/FlowMeter.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace admission {

namespace {

/// Time constant of the decay, in seconds. A change of the offered work shows by two thirds after it; the few requests a second of one instance are averaged
/// over it.
constexpr double DecaySeconds = 2;
/// Shortest time over which the work is averaged after the start. Less would take the first few requests for a high rate.
constexpr double MinMeasuredSeconds = 0.5;
/// Work below this is as good as none.
constexpr double NoWork = 0.001;
/// How often flows without work are forgotten.
constexpr Ms ForgetPeriod{1000};

} // namespace

double FlowMeter::startFactor(Instant now) const
{
    const double age = std::max(MinMeasuredSeconds, std::chrono::duration<double>(now - firstAt_.value_or(now)).count());
    return 1 / (1 - std::exp(-age / DecaySeconds));
}

FlowWork FlowMeter::decayed(const Sum &sum, Instant now)
{
    const double factor = std::exp(-std::chrono::duration<double>(now - sum.at).count() / DecaySeconds);
    return {sum.work.offered * factor, sum.work.admitted * factor, sum.work.congested * factor};
}

void FlowMeter::count(const FlowKey &key, const FlowWork &work, Instant now)
{
    forgetIdle(now);
    firstAt_ = firstAt_.value_or(now);
    Sum &sum = sums_[key];
    sum.work = decayed(sum, now);
    sum.at = now;
    add(sum.work, work, 1 / DecaySeconds);
}

void FlowMeter::forgetIdle(Instant now)
{
    if (now < forgottenAt_ + ForgetPeriod) {
        return;
    }
    forgottenAt_ = now;
    std::erase_if(sums_, [&](const auto &entry) { return decayed(entry.second, now).offered < NoWork; });
}

FlowMap FlowMeter::flows(Instant now, std::size_t limit) const
{
    std::vector<std::pair<FlowKey, FlowWork>> all;
    for (const auto &[key, sum] : sums_) {
        if (const FlowWork work = decayed(sum, now); work.offered >= NoWork) {
            all.emplace_back(key, work);
        }
    }
    std::stable_sort(all.begin(), all.end(), [](const auto &a, const auto &b) { return a.second.offered > b.second.offered; });
    FlowMap flows;
    for (std::size_t i = 0; i < all.size(); ++i) {
        FlowKey key = all[i].first;
        key.team = i < limit ? key.team : 0;
        add(flows[key], all[i].second, startFactor(now));
    }
    return flows;
}

} // namespace admission
