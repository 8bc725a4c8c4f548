#include "details/IdleTimeouts.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

TEST_GROUP(AConnectionThatWaits)
{
    static constexpr std::chrono::milliseconds Notice = 2s;
    const net::IdleTimeouts::Clock::time_point start{};
    net::IdleTimeouts timeouts{10s};
};

TEST(AConnectionThatWaits, mayWaitForTheTimeoutInForce)
{
    CHECK(timeouts.timeoutSince(start) == 10s);
}

/// Guards against connections that are closed after the earlier, shorter timeout while their clients count on the longer one.
TEST(AConnectionThatWaits, mayWaitForALongerTimeoutThatComesIntoForceMeanwhile)
{
    timeouts.set(30s, Notice, start + 5s);
    CHECK(timeouts.timeoutSince(start) == 30s);
}

/// Guards against connections that are closed after a shorter timeout that their clients don't know yet.
TEST(AConnectionThatWaits, keepsItsTimeoutWhenAShorterOneComesIntoForce)
{
    timeouts.set(1s, Notice, start + 5s);
    CHECK(timeouts.timeoutSince(start) == 10s);
    CHECK(timeouts.timeoutSince(start + 6s) == 10s);
    CHECK(timeouts.timeoutSince(start + 8s) == 1s);
}

TEST(AConnectionThatWaits, mayWaitForTheLongestOfSeveralTimeoutsInTurn)
{
    timeouts.set(20s, Notice, start + 1s);
    timeouts.set(3s, Notice, start + 2s);
    timeouts.set(5s, Notice, start + 3s);
    CHECK(timeouts.timeoutSince(start) == 20s);
    CHECK(timeouts.timeoutSince(start + 4500ms) == 5s);
    CHECK(timeouts.timeoutSince(start + 6s) == 5s);
}

/// Guards against a list of past timeouts that grows with each change.
TEST(AConnectionThatWaits, forgetsTimeoutsThatNobodyCanCountOn)
{
    timeouts.set(1s, Notice, start + 1s);
    timeouts.set(2s, Notice, start + 60s);
    CHECK(timeouts.timeoutSince(start) == 2s);
}
