#pragma once

#include "FakeDriver.h"

/// A test bed whose instance, "one", can lose all endpoints, beside two others that take requests.
struct CutOffBed : RelayTestBed {
    /// Tells the instance of the two others, and that all three take requests.
    void listTakers()
    {
        kernel.onInstances(now, {{"one", "one:1", "zone-a", "one:2"}, {"two", "two:1", "zone-a", "two:2"}, {"three", "three:1", "zone-b", "three:2"}});
    }

    /// Makes all endpoints unreachable, and lets a request fail, so that the instance begins to check them.
    void loseEndpoints()
    {
        for (const relay::EndpointEntry &entry : entries) {
            unreachable.insert(entry.id);
        }
        call("/book/x");
        kernel.onFailure(now, lastAttempt(), relay::AttemptFailure::NotSent);
    }

    /// Makes all endpoints unreachable, and lets the instance find that. Forgets what it has sent and rejected until then.
    void cutOff()
    {
        loseEndpoints();
        advance(relay::Ms(600));
        driver.sent.clear();
        driver.rejected.clear();
    }

    const relay::HandOver &lastHandOver() const
    {
        return driver.handOvers.back();
    }
};
