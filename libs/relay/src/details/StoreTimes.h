#pragma once

#include "relay/RelayKernel.h"

namespace relay {

/// API keys are accepted until the age of the configuration is this far below `maxRevocationDelay`.
inline constexpr Ms RevocationMargin{500};

/// The times that decide when an instance's knowledge of the store is stale and when the instance reads the store itself.
///
/// If the settings state the bounds, the times follow from them and from the number of instances: knowledge that becomes stale, the spread of the reads
/// that follow, one read and one tick together take no longer than the bound. Each time is at most the fixed one, which holds without bounds.
struct StoreTimes {
    /// The settings state the bounds.
    bool isBounded = false;
    /// Older knowledge of the configuration, or of the endpoints, is stale.
    Ms maxConfigAge{0};
    Ms maxEndpointsAge{0};
    /// Instances whose knowledge becomes stale at the same time spread their reads of the store over this time.
    Ms readSpread{0};
    /// Instances that learn of a newer configuration at the same time spread their reads of it over this time.
    Ms configReadSpread{0};
    /// A configuration of at most this age proves that a key or a route doesn't exist.
    Ms maxConclusiveAge{0};
    /// Age of the configuration from which on the instance is not ready.
    Ms maxAgeForReadiness{0};
    /// If the list of endpoints was not confirmed for longer than this, the next one counts as read after an outage of the store.
    Ms minOutage{0};
};

/// Returns the times for a fleet of that many instances.
StoreTimes storeTimesOf(const RelaySettings &settings, std::uint32_t instances);

} // namespace relay
