#pragma once

#include "TestFleet.h"

#include <CppUTest/TestHarness.h>

/// Fails the running test with the first violation if the fleet has recorded any. `what` identifies the test case, for example by its seed, and precedes the
/// violation in the message.
inline void checkNoViolations(const TestFleet &fleet, std::string what)
{
    if (!fleet.violations().empty()) {
        what.append(": ").append(fleet.violations().front());
        FAIL(what.c_str());
    }
}
