#include "base/BoundedRing.h"
#include "base/ErrorKind.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(TheErrorTable){};

TEST(TheErrorTable, hasOneRowPerKindInTheOrderOfTheEnumeration)
{
    for (std::size_t i = 0; i < base::ErrorKindCount; ++i) {
        LONGS_EQUAL(i, static_cast<std::size_t>(base::errorAnswers()[i].kind));
        CHECK(!base::errorAnswers()[i].name.empty());
    }
}

TEST(TheErrorTable, hasARetryDelayForExactlyTheRetriableKinds)
{
    for (const auto &row : base::errorAnswers()) {
        CHECK_EQUAL(row.retriable, row.retryAfterSeconds > 0);
    }
}

TEST_GROUP(ABoundedRing){};

TEST(ABoundedRing, keepsTheOrderOfItemsPushedWhileItIsFull)
{
    base::BoundedRing<int> ring(2);
    for (int i = 0; i < 5; ++i) {
        ring.push(i);
    }
    int item = -1;
    for (int i = 0; i < 5; ++i) {
        ring.flush();
        CHECK(ring.pop(item));
        LONGS_EQUAL(i, item);
    }
    CHECK(!ring.pop(item));
    LONGS_EQUAL(3, ring.overflowCount());
}
