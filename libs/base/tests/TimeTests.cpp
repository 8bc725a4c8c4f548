#include "base/Time.h"

#include <limits>

#include <CppUTest/TestHarness.h>

TEST_GROUP(APredictedTime){};

/// Guards against predictions without a sensible end, whose conversion to whole milliseconds is undefined and whose sums overflow.
TEST(APredictedTime, isBoundedWhateverWasPredicted)
{
    LONGS_EQUAL(1500, base::boundedMs(1500.7).count());
    LONGS_EQUAL(0, base::boundedMs(-3).count());
    LONGS_EQUAL(0, base::boundedMs(std::numeric_limits<double>::quiet_NaN()).count());
    for (const double huge : {1e300, std::numeric_limits<double>::infinity()}) {
        CHECK(base::boundedMs(huge) == std::chrono::hours(24));
    }
}
