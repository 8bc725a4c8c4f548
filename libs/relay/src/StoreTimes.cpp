#include "details/StoreTimes.h"

#include <algorithm>

namespace relay {

namespace {

/// The readers' own knowledge is as old as one read of the configuration, or one watch of the endpoints, at most.
constexpr Ms FixedConfigAge{1800};
constexpr Ms FixedEndpointsAge{2600};
constexpr Ms FixedConclusiveAge{1800};
constexpr Ms FixedMinOutage{2700};
/// Spread per instance, and the maximum, without a stated rate of the store.
constexpr Ms FixedSpreadPerInstance{20};
constexpr Ms FixedMaxSpread{2000};
/// Knowledge that is passed on without a loss may reach these ages: the period of a reader's reads of the configuration (900 ms), or its watch of the
/// endpoints (1,700 ms), the period of freshness requests (400 ms), one tick and one answer of the store.
constexpr Ms MinConfigAge{1450};
constexpr Ms MinEndpointsAge{2200};
/// Interval between two ticks.
constexpr Ms TickPeriod{50};
/// Time for one read of the store: more than fifty times the response time that the deployments state.
constexpr Ms ReadMargin{250};
/// An endpoint may receive requests for this time beyond `maxDrainDelay`; they are under way for less than the margin.
constexpr Ms DrainAllowance{700};
constexpr Ms DeliveryMargin{50};
/// Fraction of the store's reads per second that the reads of all instances may take at once.
constexpr double MaxReadShare = 0.25;
/// A read of stale knowledge consists of one of the configuration and one of the list of endpoints.
constexpr double ReadsPerRefresh = 2;
/// The bound that the fixed times keep to; assumed for the one that the settings don't state if they state the other.
constexpr Ms DefaultBound{2000};
/// Least age at which knowledge is stale, so that a bound that is too short to be kept doesn't cause a read in every tick.
constexpr Ms MinStaleAge{500};
/// Margin of the age at which a configuration is conclusive below `maxConfigDelay`.
constexpr Ms ConclusiveMargin{200};
/// Fraction of `maxRevocationDelay` that the configuration's age may reach before the instance answers readiness checks with "not ready", so that the
/// balancer uses another one.
constexpr double ReadinessRatio = 0.6;

Ms scaled(double ratio, Ms time)
{
    return Ms(static_cast<std::int64_t>(ratio * static_cast<double>(time.count())));
}

/// Returns the time over which that many reads stay within the share of the store's rate; the maximum if the rate is so low that it would take longer.
Ms spreadOf(double reads, double readsPerSecond, Ms maximum)
{
    const double ms = 1000 * reads / (MaxReadShare * readsPerSecond);
    return ms < static_cast<double>(maximum.count()) ? Ms(static_cast<std::int64_t>(ms)) : maximum;
}

StoreTimes fixedTimes(const RelaySettings &settings, std::uint32_t instances)
{
    StoreTimes times;
    times.maxConfigAge = FixedConfigAge;
    times.maxEndpointsAge = FixedEndpointsAge;
    times.readSpread = std::min(FixedMaxSpread, FixedSpreadPerInstance * instances);
    times.maxConclusiveAge = FixedConclusiveAge;
    times.maxAgeForReadiness = scaled(ReadinessRatio, settings.maxRevocationDelay);
    times.minOutage = FixedMinOutage;
    return times;
}

} // namespace

StoreTimes storeTimesOf(const RelaySettings &settings, std::uint32_t instances)
{
    StoreTimes times = fixedTimes(settings, instances);
    times.isBounded = settings.maxConfigDelay.count() > 0 || settings.maxDrainDelay.count() > 0;
    if (!times.isBounded) {
        return times;
    }
    const Ms configDelay = settings.maxConfigDelay.count() > 0 ? settings.maxConfigDelay : DefaultBound;
    const Ms drainDelay = settings.maxDrainDelay.count() > 0 ? settings.maxDrainDelay : DefaultBound;
    const Ms configBudget = configDelay - TickPeriod - ReadMargin;
    const Ms endpointsBudget = drainDelay + DrainAllowance - DeliveryMargin - TickPeriod - ReadMargin;
    // With a low rate of the store, the bound comes before the share of the rate.
    const Ms maxSpread = std::max(Ms{0}, std::min(configBudget - MinConfigAge, endpointsBudget - MinEndpointsAge));
    times.readSpread = std::min(times.readSpread, maxSpread);
    if (settings.storeReadsPerSecond > 0) {
        times.readSpread = spreadOf(ReadsPerRefresh * instances, settings.storeReadsPerSecond, maxSpread);
        times.configReadSpread = spreadOf(instances, settings.storeReadsPerSecond, maxSpread);
    }
    times.maxConfigAge = std::clamp(configBudget - times.readSpread, MinStaleAge, FixedConfigAge);
    times.maxEndpointsAge = std::clamp(endpointsBudget - times.readSpread, MinStaleAge, FixedEndpointsAge);
    times.maxConclusiveAge = std::max(MinStaleAge, configDelay - ConclusiveMargin);
    // Without a fault of its own, an instance's knowledge never gets older than the bound.
    const Ms maxAgeForKeys = settings.maxRevocationDelay - RevocationMargin;
    times.maxAgeForReadiness = std::min(maxAgeForKeys, std::max(times.maxAgeForReadiness, configDelay));
    times.minOutage = std::max(FixedMinOutage, drainDelay + DrainAllowance);
    return times;
}

} // namespace relay
