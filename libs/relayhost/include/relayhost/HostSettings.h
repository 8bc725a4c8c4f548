#pragma once

#include "net/Http.h"
#include "relay/RelayKernel.h"

#include <string>

namespace relayhost {

/// What a process learns of itself at its start, and again when its settings change.
struct HostSettings {
    std::string node;
    std::string zone;
    /// Where callers, the balancer's readiness check and the metrics are served.
    net::Address callers;
    net::Address readiness;
    net::Address metrics;
    /// Where messages of other instances arrive.
    net::Address mesh;
    /// The platform's store.
    net::Address store;
    relay::RelaySettings relay;
};

} // namespace relayhost
