#pragma once

#include "placement/EngineProfile.h"

#include <optional>

namespace placement {

/// An endpoint that can hold layers.
struct PlannerEndpoint {
    /// Index into EngineProfile::kinds.
    std::uint32_t kind = 0;
    /// Any number that is the same for all endpoints of an availability zone.
    std::uint32_t zone = 0;
    /// Layers that it holds or is loading; empty if none.
    LayerRange held;
    /// Requests that pass through it.
    double openRequests = 0;
    bool mayMove = true;
    /// How much slower than its profile it works; 1 is as expected.
    double slowdown = 1;
};

/// A range that an empty endpoint should load; the index is that of the host in the call.
struct Assignment {
    std::uint32_t host = 0;
    LayerRange range;
};

/// Layers in the unit that ranges are made of: all ranges begin and end at its multiples, so that any holder of a range can stand in for
/// another. 0 if no kind can hold any layer.
std::uint32_t blockLayers(const EngineProfile &profile);

/// The range size of an endpoint of that kind, a multiple of the block; 0 if it can't hold one block.
std::uint32_t rangeLayers(const EngineProfile &profile, std::uint32_t kind);

/// Ranges for the endpoints that hold nothing. What is held stays where it is.
///
/// Fast kinds choose first. Each takes the range that adds most where least is available: layers missing in its own zone first, so that
/// a request need not leave the zone, then layers that are thin in the whole fleet, so that one loss is covered elsewhere.
std::vector<Assignment> planLayers(const EngineProfile &profile, const std::vector<PlannerEndpoint> &hosts);

/// The one endpoint whose move to other layers helps most, if any move helps enough: after a loss, when layers have become thin that others
/// hold in plenty. Endpoints without work move first, since what passes through a range holds up its release.
std::optional<Assignment> planMove(const EngineProfile &profile, const std::vector<PlannerEndpoint> &hosts);

/// Requests that a holder of so many layers serves at the same time, by memory and by speed.
double concurrentRequests(const EngineProfile &profile, std::uint32_t kind, std::uint32_t layers);

} // namespace placement
