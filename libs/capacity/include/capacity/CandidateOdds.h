#pragma once

#include "capacity/StreamDemand.h"

namespace capacity {

/// The streams of the whole fleet within the time by which the known loads lag behind.
struct FleetDemand {
    double startsPerSecond = 0;
    /// Streams that are known to be open.
    double openStreams = 0;
    Seconds meanDuration{0};
    /// Age of the known loads.
    Seconds loadAge{0};
};

/// The capacity of one endpoint, in requests of the mean size: what is free by the known loads, and what is in use.
struct RequestRoom {
    double free = 0;
    double used = 0;
};

/// Returns how many starts may be expected at an endpoint within the age of the known loads, so that they fit into what is free and what is released
/// meanwhile: their number and that of the departures vary as those of independent events, and a margin of a multiple of the standard deviation is left.
/// 0 if there is no room.
double safeStarts(const RequestRoom &room, double departures);

/// The probability with which an endpoint is a candidate for one stream, from [0, 1], so that the streams of all instances which choose it before their loads
/// are known to each other are expected to fit. It is 1 at an endpoint with room for all of them.
///
/// Only streams that would choose the endpoint count. Their share follows from the part of the fleet's open streams that pass through it and from the
/// probability in the last seconds; an endpoint that is new is assumed to be chosen by all.
class CandidateOdds
{
public:
    /// Returns the probability for a stream that needs `need` times as much as the mean one, and takes note of it. `openRequests` is the number of known
    /// requests on the endpoint.
    double update(Instant now, const FleetDemand &demand, const RequestRoom &room, double openRequests, double need);

    /// Returns the share of the fleet's streams that choose the endpoint while it is a candidate for them.
    double share() const
    {
        return share_;
    }

private:
    double share_ = 1;
    /// Smoothed probability for a stream of the mean size.
    double meanOdds_ = 1;
    Instant updatedAt_{0};
};

} // namespace capacity
