#pragma once

#include "placement/EngineProfile.h"

#include <optional>

namespace placement {

/// An endpoint that can hold layers, as the planner sees it.
struct PlannerEndpoint {
    /// Index into EngineProfile::kinds.
    std::uint32_t kind = 0;
    /// Number of its availability zone: any value that all endpoints of the zone share and no other zone has.
    std::uint32_t zone = 0;
    /// Layers that it holds, is loading or has been ordered to load; empty if none.
    LayerRange held;
    /// Number of requests that pass through it.
    double openRequests = 0;
    /// False if planMove() must leave it where it is.
    bool mayMove = true;
    /// Time that its work takes, as a multiple of the time that its profile predicts; 1 is as expected.
    double slowdown = 1;
};

/// A range that an endpoint should load.
struct Assignment {
    /// Index of the endpoint in the argument of planLayers() or planMove().
    std::uint32_t endpoint = 0;
    LayerRange range;
};

/// Returns the number of layers in a block. All ranges begin and end at multiples of it, so that holders of the same block can replace each
/// other. 0 if no kind has memory for a typical request beside the smallest possible block.
std::uint32_t layersPerBlock(const EngineProfile &profile);

/// Returns how many layers an endpoint of the given kind should hold, a multiple of layersPerBlock(); 0 if it can't hold one block.
std::uint32_t layersPerRange(const EngineProfile &profile, std::uint32_t kind);

/// Assigns ranges to the endpoints that hold no layers. Endpoints that hold layers keep them.
///
/// Endpoints of the fastest kinds are assigned first. Each gets the range that adds most capacity relative to what is there: mainly in its own
/// zone, so that a request need not leave the zone, and with less weight in the whole fleet, so that the layers of a lost endpoint are still
/// held elsewhere.
std::vector<Assignment> planLayers(const EngineProfile &profile, const std::vector<PlannerEndpoint> &endpoints);

/// Returns the move of one endpoint to other layers that gains most capacity, or nothing if no move gains enough. A move pays off after a loss
/// that leaves some layers with few holders while others have many. Endpoints without requests are preferred, since an endpoint can't release
/// its range before the requests that pass through it have ended.
std::optional<Assignment> planMove(const EngineProfile &profile, const std::vector<PlannerEndpoint> &endpoints);

/// Returns the first layer of the block on which the fleet can serve the fewest requests at the same time, if it is scarce: other layers have far more
/// capacity, so that their holders are partly idle while requests are rejected for want of this one.
std::optional<std::uint32_t> scarcestLayer(const EngineProfile &profile, const std::vector<PlannerEndpoint> &endpoints);

/// Returns whether that layer is scarce in the same sense, also if it isn't the scarcest one.
bool isScarce(const EngineProfile &profile, const std::vector<PlannerEndpoint> &endpoints, std::uint32_t layer);

/// Returns the best move of one endpoint to layers that include a scarce one, or nothing if each would make others as scarce. In contrast to planMove(), any
/// gain is enough, since one endpoint of many never gains much, and requests that pass through an endpoint only make others preferable to it. Moves of both
/// kinds raise the same measure, so that none undoes another one.
std::optional<Assignment> planRelief(const EngineProfile &profile, const std::vector<PlannerEndpoint> &endpoints, std::uint32_t layer);

/// Estimates how many typical requests a holder of the given number of layers serves at the same time; the lower one of the limits by memory
/// and by speed. 0 for an unknown kind or no layers.
double concurrentRequests(const EngineProfile &profile, std::uint32_t kind, std::uint32_t layers);

} // namespace placement
