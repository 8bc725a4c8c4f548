#include "VirtualFleet.h"

#include <cstdlib>

#include <CppUTest/TestHarness.h>

namespace {

/// Value of an environment variable as a number, or the default if it isn't set.
std::uint64_t numberFromEnvironment(const char *variable, std::uint64_t defaultValue)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? defaultValue : std::strtoull(text, nullptr, 10);
}

} // namespace

/// Simulates five instances with eleven endpoints under overlapping faults. The environment variable TREFOIL_SCHEDULES sets the number of
/// schedules, TREFOIL_SEED the seed of the first one; each further schedule uses the next seed. TREFOIL_TRACE prints every decision of the kernels.
TEST_GROUP(AFleetUnderFaults){};

TEST(AFleetUnderFaults, keepsItsGuaranteesAndServesAgain)
{
    constexpr std::uint64_t DefaultSchedules = 40;
    const std::uint64_t first = numberFromEnvironment("TREFOIL_SEED", 1);
    const std::uint64_t schedules = numberFromEnvironment("TREFOIL_SCHEDULES", DefaultSchedules);
    VirtualFleet::Totals sum;
    std::size_t violations = 0;
    for (std::uint64_t seed = first; seed < first + schedules; ++seed) {
        VirtualFleet fleet(seed);
        fleet.runSchedule();
        for (const std::string &violation : fleet.violations()) {
            UtestShell::getCurrent()->print(("seed " + std::to_string(seed) + ", " + violation + "\n").c_str(), __FILE__, __LINE__);
        }
        violations += fleet.violations().size();
        sum.calls += fleet.totals().calls;
        sum.served += fleet.totals().served;
        sum.faults += fleet.totals().faults;
        sum.detours += fleet.totals().detours;
        sum.broken += fleet.totals().broken;
    }
    CHECK_TEXT(violations == 0, "see the violations in the lines above");
    CHECK(sum.faults > 0);
    CHECK(sum.served > sum.calls / 2);
}

TEST(AFleetUnderFaults, behavesTheSameForTheSameSeed)
{
    VirtualFleet one(7);
    VirtualFleet two(7);
    one.runSchedule();
    two.runSchedule();
    LONGS_EQUAL(one.totals().served, two.totals().served);
    LONGS_EQUAL(one.totals().rejected, two.totals().rejected);
    LONGS_EQUAL(one.totals().detours, two.totals().detours);
}

/// Guards against requests that run on more endpoints than their routes allow, since sound endpoints that are silent for a second count as ended.
TEST(AFleetUnderFaults, keepsToTheRunsOfARouteWhileSoundEndpointsFallSilent)
{
    constexpr std::uint64_t Schedules = 20;
    for (std::uint64_t seed = 1; seed <= Schedules; ++seed) {
        VirtualFleet fleet(seed);
        fleet.pauseEnginesOnly();
        fleet.runSchedule();
        for (const std::string &violation : fleet.violations()) {
            UtestShell::getCurrent()->print(("seed " + std::to_string(seed) + ", " + violation + "\n").c_str(), __FILE__, __LINE__);
        }
        CHECK(fleet.violations().empty());
        CHECK(fleet.totals().faults > 0);
        CHECK(fleet.totals().served > fleet.totals().calls / 2);
    }
}

/// Guards against streams that are broken off beside changes of the configuration since sound endpoints fall silent for a while, all at once now and then.
TEST(AFleetUnderFaults, breaksNoStreamWhileSoundEndpointsFallSilentBesideChanges)
{
    constexpr std::uint64_t DefaultSchedules = 10;
    const std::uint64_t first = numberFromEnvironment("TREFOIL_SEED", 1);
    const std::uint64_t schedules = numberFromEnvironment("TREFOIL_SCHEDULES", DefaultSchedules);
    int broken = 0;
    int calls = 0;
    for (std::uint64_t seed = first; seed < first + schedules; ++seed) {
        VirtualFleet fleet(seed);
        fleet.pauseEnginesOnly();
        fleet.changeConfigBeside(relay::Ms(1400));
        fleet.runSchedule();
        for (const std::string &violation : fleet.violations()) {
            UtestShell::getCurrent()->print(("seed " + std::to_string(seed) + ", " + violation + "\n").c_str(), __FILE__, __LINE__);
        }
        CHECK(fleet.violations().empty());
        if (fleet.totals().brokenByRouter > 0) {
            UtestShell::getCurrent()->print(
                ("seed " + std::to_string(seed) + " broke " + std::to_string(fleet.totals().brokenByRouter) + " streams\n").c_str(), __FILE__, __LINE__);
        }
        broken += fleet.totals().brokenByRouter;
        calls += fleet.totals().calls;
    }
    CHECK(calls > 0);
    LONGS_EQUAL(0, broken);
}
