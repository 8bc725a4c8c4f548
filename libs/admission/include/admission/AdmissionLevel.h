#pragma once

#include "admission/Flow.h"

#include <vector>

namespace admission {

/// Capacity of the scarcest part of a service, and what of it is in use, in typical requests.
struct Capacity {
    double total = 0;
    double inUse = 0;
};

/// What an admission level knows of a request.
struct Request {
    FlowKey flow;
    /// Its size, as a multiple of that of a typical request.
    double size = 1;
    /// It would get its first token later than its target.
    bool isLate = false;
    /// It was rejected before and returns after its retry time.
    bool isReturn = false;
};

/// The admission level of one priority.
struct PriorityLevel {
    int priority = 0;
    /// Part of its work that is admitted, from 0 to 1.
    double share = 1;
    FlowWork work;
};

/// Decides which requests to one service are rejected while the offered work exceeds the capacity.
///
/// Every priority keeps a minimum share of its work, relative to the share of all work that can be served. What remains of the capacity goes to the priorities
/// in strict order, and within a priority to the teams in equal parts (max-min fairness). All instances that know the same flows and the same capacity compute
/// the same shares.
class AdmissionLevel
{
public:
    /// Computes the shares from the work of the whole fleet. Shares fall at once and rise slowly, so that they don't oscillate.
    void update(const FlowMap &flows, const Capacity &capacity, Instant now);
    /// Returns the probability with which a request is to be admitted. Of equal requests, larger ones get a lower one.
    double admissionProbability(const Request &request) const;
    /// Takes the size of an offered request into the mean.
    void onOffered(double size);
    /// Returns true if any work is being rejected.
    bool isShedding() const;
    /// Returns the rank of a priority among those that offer work; 0 is the most urgent.
    std::size_t rankOf(int priority) const;
    /// Returns the levels of the priorities that offer work, the most urgent first.
    const std::vector<PriorityLevel> &priorities() const
    {
        return priorities_;
    }
    /// Returns the capacity that is expected to be usable: less than the total while admitted requests find none free.
    const Capacity &usableCapacity() const
    {
        return usable_;
    }
    /// Returns true if at least half of the total capacity is in use. With less, a request that finds no path lacks something else: a layer that no endpoint
    /// holds, or an endpoint that takes more requests.
    bool isHalfUsed() const
    {
        return isHalfUsed_;
    }
    /// Returns the offered work as a multiple of the usable capacity.
    double demandRatio() const;

private:
    void updatePriorities(const FlowMap &flows);
    void estimateCapacity(const Capacity &capacity, double elapsedSeconds);
    /// Lets a share fall to the target at once, or rise towards it.
    double moved(const FlowKey &key, double target, double maxRise) const;
    double shareOf(const FlowKey &key) const;
    double inUseRatio() const;

    std::vector<PriorityLevel> priorities_;
    std::map<FlowKey, double> shares_;
    FlowWork total_;
    Capacity usable_;
    /// Part of the capacity that is expected to be usable.
    double usablePart_ = 1;
    /// Recent peak of the part that is in use.
    double peakPart_ = 0;
    /// Admitted work finds no free capacity at present.
    bool isWaiting_ = false;
    bool isShort_ = false;
    bool isHalfUsed_ = false;
    Instant updatedAt_{0};
    /// Mean size of offered requests, weighted by their size, which is what a lost request costs in work.
    double meanSize_ = 1;
    double meanSquare_ = 1;
};

} // namespace admission
