#include "VirtualFleet.h"

#include <cstdlib>

#include <CppUTest/TestHarness.h>

namespace {

std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

} // namespace

/// Five instances with eleven endpoints, under faults that overlap. TREFOIL_SCHEDULES plays more of them, from TREFOIL_SEED on;
/// TREFOIL_TRACE prints every decision.
TEST_GROUP(AFleetUnderFaults){};

TEST(AFleetUnderFaults, keepsItsPromisesAndServesAgain)
{
    constexpr std::uint64_t Schedules = 40;
    const std::uint64_t first = numberFrom("TREFOIL_SEED", 1);
    const std::uint64_t schedules = numberFrom("TREFOIL_SCHEDULES", Schedules);
    VirtualFleet::Totals sum;
    std::size_t violations = 0;
    for (std::uint64_t seed = first; seed < first + schedules; ++seed) {
        VirtualFleet fleet(seed);
        fleet.play();
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
    CHECK_TEXT(violations == 0, "see the lines above");
    CHECK(sum.faults > 0);
    CHECK(sum.served > sum.calls / 2);
}

TEST(AFleetUnderFaults, doesTheSameForTheSameSeed)
{
    VirtualFleet one(7);
    VirtualFleet two(7);
    one.play();
    two.play();
    LONGS_EQUAL(one.totals().served, two.totals().served);
    LONGS_EQUAL(one.totals().refused, two.totals().refused);
    LONGS_EQUAL(one.totals().detours, two.totals().detours);
}
