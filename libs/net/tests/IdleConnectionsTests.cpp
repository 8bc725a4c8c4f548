#include "details/IdleConnections.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

/// Guards against connections to addresses that are gone, which stay until the process has no descriptors left.
TEST_GROUP(TheIdleConnections)
{
    using Connections = net::IdleConnections<int>;
    Connections connections{2, 20s};
    Connections::Time now{1h};
};

TEST(TheIdleConnections, areTakenByAddressTheLastOneFirst)
{
    connections.keep("a", 1, now, {});
    connections.keep("a", 2, now, {});
    connections.keep("a", 3, now, {}); // There are enough.
    connections.keep("b", 4, now, {});
    LONGS_EQUAL(2, *connections.take("a", now));
    LONGS_EQUAL(1, *connections.take("a", now));
    CHECK(!connections.take("a", now));
    LONGS_EQUAL(4, *connections.take("b", now));
    CHECK(!connections.take("c", now));
}

TEST(TheIdleConnections, areDroppedAfterTheirTimeAlsoAtAddressesThatNobodyUses)
{
    for (int i = 0; i < 1000; ++i) {
        connections.keep("gone-" + std::to_string(i), i, now, {});
    }
    LONGS_EQUAL(1000, connections.size());
    CHECK(connections.take("gone-7", now + 19999ms).has_value());
    CHECK(!connections.take("gone-8", now + 20s));
    connections.keep("a", 1, now + 20s, {});
    LONGS_EQUAL(1, connections.size());
}

/// Guards against requests on connections that the server is just closing.
TEST(TheIdleConnections, areUsedForLessThanTheServersOwnTimeout)
{
    connections.keep("a", 1, now, 5s);
    CHECK(!connections.take("a", now + 4600ms));
    connections.keep("a", 1, now, 5s);
    CHECK(connections.take("a", now + 4400ms).has_value());
    connections.keep("a", 1, now, 0s);
    CHECK(!connections.take("a", now));
    connections.keep("a", 1, now, 100h);
    CHECK(!connections.take("a", now + 20s));
}
