#include "capacity/CandidateOdds.h"

#include <algorithm>
#include <cmath>

namespace capacity {

namespace {

/// Standard deviations of arrivals and departures that are left free. Sizes vary as well, by about as much as their mean, so that the margin is smaller than
/// it seems.
constexpr double MarginDeviations = 3;
/// Part of the expected departures that counts. Streams that have started together, when the endpoint looked best to all, end together.
constexpr double CountedDepartures = 0.5;
/// Exponent of the mean share, which is too low for the times at which the endpoint looks best and nearly all choose it.
constexpr double ShareExponent = 0.25;
/// Time constant of the share and of the mean probability; that of the open streams, which the share is computed from, is the mean duration of a stream.
constexpr Seconds ShareTimeConstant{2};
/// The lowest share that is assumed: one that was hardly chosen may become the best one by the loss of others.
constexpr double MinShare = 0.02;
constexpr double MinMeanOdds = 0.02;

} // namespace

double safeStarts(const RequestRoom &room, double departures)
{
    // Solves starts + MarginDeviations * sqrt(starts + departures) = free + departures.
    const double total = room.free + 2 * departures;
    if (total <= 0) {
        return 0;
    }
    const double root = std::sqrt(MarginDeviations * MarginDeviations / 4 + total) - MarginDeviations / 2;
    return std::max(0.0, root * root - departures);
}

double CandidateOdds::update(Instant now, const FleetDemand &demand, const RequestRoom &room, double openRequests, double need)
{
    const double weight = updatedAt_.count() == 0 ? 0 : 1 - std::exp(-std::max(0.0, Seconds(now - updatedAt_) / ShareTimeConstant));
    updatedAt_ = now;
    if (demand.openStreams > 0) {
        const double openShare = openRequests / demand.openStreams;
        const double chosenShare = std::clamp(openShare / std::max(MinMeanOdds, meanOdds_), MinShare, 1.0);
        share_ += weight * (chosenShare - share_);
    }
    const double released = demand.meanDuration.count() > 0 ? std::min(1.0, demand.loadAge / demand.meanDuration) : 0;
    const double departures = CountedDepartures * room.used * released;
    const double expected = demand.startsPerSecond * demand.loadAge.count() * std::pow(share_, ShareExponent);
    const double starts = safeStarts(room, departures);
    const double odds = expected > starts ? starts / expected : 1;
    meanOdds_ += weight * (odds - meanOdds_);
    return std::min(1.0, odds / std::max(1.0, need));
}

} // namespace capacity
