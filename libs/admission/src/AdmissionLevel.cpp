#include "admission/AdmissionLevel.h"

#include "admission/Shares.h"

#include <algorithm>
#include <cmath>

namespace admission {

namespace {

/// Shares are computed so that this part of the usable capacity is in use. The rest is for returning requests and for the variation of arrivals.
constexpr double TargetUse = 0.9;
/// Work is rejected from this ratio of offered work to capacity on, until it is below the second one.
constexpr double StartRatio = 0.95;
constexpr double StopRatio = 0.85;
/// No request is rejected while a smaller part of the capacity than this is in use; from the second one on, as many as the shares say.
constexpr double MinUse = 0.5;
constexpr double FullUse = 0.65;
/// The same of the most urgent work, which is rejected only for others as urgent: predicted durations may be wrong, and show in what is in use.
constexpr double MinUrgentUse = 0.85;
constexpr double FullUrgentUse = 0.95;
/// Returning requests are admitted while a smaller part of the capacity than this is in use: those of the most urgent priority, and others, which mustn't take
/// the last space from more urgent ones.
constexpr double MaxUseForUrgentReturns = 0.97;
constexpr double MaxUseForReturns = 0.8;
/// The usable part of the capacity falls at the full rate if this part of the admitted work finds none free, and rises if half of that does.
constexpr double FullCongestion = 0.05;
/// Rates by which the usable part falls and rises per second.
constexpr double UsableFallPerSecond = 0.1;
constexpr double UsableRisePerSecond = 0.05;
/// The usable part doesn't fall below the peak of what was in use, which is forgotten at this rate per second. Without that bound, or with what is in use now
/// in its place, both fell in turns: what is rejected is no longer in use.
constexpr double PeakFallPerSecond = 0.02;
/// A share rises by this much per second at most. A full recovery takes as long as an answer, after which the released capacity is visible.
constexpr double MaxRisePerSecond = 0.25;
/// Sizes above this multiple of the mean are rejected as often as those of this multiple, so that large requests keep a guaranteed share.
constexpr double MaxSizeRatio = 1.6;
/// Weight of the latest request in the mean size.
constexpr double SizeWeight = 0.02;
/// A share above this counts as a full one.
constexpr double FullShare = 0.999;

} // namespace

void AdmissionLevel::onOffered(double size)
{
    meanSize_ += SizeWeight * (size - meanSize_);
    meanSquare_ += SizeWeight * (size * size - meanSquare_);
}

double AdmissionLevel::inUseRatio() const
{
    return usable_.total > 0 ? usable_.inUse / usable_.total : 0;
}

double AdmissionLevel::demandRatio() const
{
    return usable_.total > 0 ? total_.offered / usable_.total : 0;
}

void AdmissionLevel::estimateCapacity(const Capacity &capacity, double elapsedSeconds)
{
    isHalfUsed_ = capacity.inUse >= MinUse * capacity.total;
    const double congestion = total_.admitted > 0 ? total_.congested / total_.admitted : 0;
    const double weight = std::min(congestion / FullCongestion, 1.0);
    constexpr double RisingWeight = 0.5;
    const double change = weight > RisingWeight ? -UsableFallPerSecond * weight : UsableRisePerSecond;
    const double inUsePart = capacity.total > 0 ? std::min(1.0, capacity.inUse / capacity.total) : 0;
    peakPart_ = std::max(inUsePart, peakPart_ - PeakFallPerSecond * elapsedSeconds);
    usablePart_ = std::clamp(usablePart_ + change * elapsedSeconds, peakPart_, 1.0);
    isWaiting_ = weight > RisingWeight;
    usable_ = {capacity.total * usablePart_, capacity.inUse};
}

void AdmissionLevel::updatePriorities(const FlowMap &flows)
{
    std::map<int, PriorityLevel> levels;
    std::map<int, double> admissible;
    for (const auto &[key, work] : flows) {
        levels[key.priority].priority = key.priority;
        add(levels[key.priority].work, work);
        admissible[key.priority] += work.offered * shareOf(key);
    }
    priorities_.clear();
    for (auto &[priority, level] : levels) {
        level.share = level.work.offered > 0 ? admissible[priority] / level.work.offered : 1;
        priorities_.push_back(level);
    }
}

double AdmissionLevel::moved(const FlowKey &key, double target, double maxRise) const
{
    const auto known = shares_.find(key);
    return known == shares_.end() ? target : std::min(target, known->second + maxRise);
}

void AdmissionLevel::update(const FlowMap &flows, const Capacity &capacity, Instant now)
{
    total_ = {};
    for (const auto &[key, work] : flows) {
        add(total_, work);
    }
    const double elapsedSeconds = updatedAt_.count() > 0 ? std::chrono::duration<double>(now - updatedAt_).count() : 0;
    estimateCapacity(capacity, elapsedSeconds);
    isShort_ = usable_.total > 0 && demandRatio() > (isShort_ ? StopRatio : StartRatio);
    const double budget = TargetUse * usable_.total / std::max(1.0, inUseRatio());
    const double maxRise = MaxRisePerSecond * elapsedSeconds;
    updatedAt_ = now;
    int mostUrgent = flows.empty() ? 0 : flows.begin()->first.priority;
    for (const auto &[key, work] : flows) {
        mostUrgent = std::min(mostUrgent, key.priority);
    }
    std::map<FlowKey, double> shares;
    for (const auto &[key, share] : divide(flows, budget)) {
        const bool isMostUrgent = key.priority == mostUrgent;
        const double minUse = isMostUrgent ? MinUrgentUse : MinUse;
        const double fullUse = isMostUrgent ? FullUrgentUse : FullUse;
        const double weight = isShort_ ? std::clamp((inUseRatio() - minUse) / (fullUse - minUse), 0.0, 1.0) : 0;
        shares[key] = moved(key, 1 - weight * (1 - share), maxRise);
    }
    shares_ = !isHalfUsed_ && !isWaiting_ ? std::map<FlowKey, double>{} : std::move(shares);
    updatePriorities(flows);
}

double AdmissionLevel::shareOf(const FlowKey &key) const
{
    if (const auto found = shares_.find(key); found != shares_.end()) {
        return found->second;
    }
    // A team without known work gets the share of its priority.
    const auto level = std::find_if(priorities_.begin(), priorities_.end(), [&](const PriorityLevel &entry) { return entry.priority == key.priority; });
    return level == priorities_.end() || shares_.empty() ? 1 : level->share;
}

bool AdmissionLevel::isShedding() const
{
    return std::any_of(shares_.begin(), shares_.end(), [](const auto &entry) { return entry.second < FullShare; });
}

double AdmissionLevel::admissionProbability(const Request &request) const
{
    double share = shareOf(request.flow);
    if (request.isLate && !request.isReturn && !priorities_.empty()) {
        // It is worth little more than a request that is rejected, so that it yields like one of the least urgent priority.
        share = std::min(share, priorities_.back().share);
    }
    if (share >= FullShare) {
        return 1;
    }
    if (request.isReturn) {
        // Its response is late in most cases, so that the work that is admitted of its priority is left to the others if there is no space beside it.
        const double maxUse = rankOf(request.flow.priority) == 0 ? MaxUseForUrgentReturns : MaxUseForReturns;
        return inUseRatio() < maxUse ? 1 : share * share;
    }
    const double mean = meanSize_ > 0 ? meanSquare_ / meanSize_ : 1;
    const double sizeRatio = mean > 0 ? std::min(request.size / mean, MaxSizeRatio) : 1;
    // The weight of the size is the share itself: while little is admitted, preferring small requests would admit hardly any large one.
    const double rejected = (1 - share) * (1 + share * (sizeRatio - 1));
    return std::clamp(1 - rejected, 0.0, 1.0);
}

std::size_t AdmissionLevel::rankOf(int priority) const
{
    const auto isMoreUrgent = [&](const PriorityLevel &level) {
        return level.priority < priority;
    };
    return static_cast<std::size_t>(std::count_if(priorities_.begin(), priorities_.end(), isMoreUrgent));
}

} // namespace admission
