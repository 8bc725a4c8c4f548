#pragma once

#include <string_view>
#include <vector>

namespace trefoilport {

/// A way to run an instance on the machines of some platform, in place of the daemon's own faces.
struct PlatformPlugin {
    std::string_view name;
    /// Whether this process was started by that platform.
    bool (*isPresent)() = nullptr;
    /// Runs the instance to its end; the result is the exit code of the process.
    int (*run)() = nullptr;
};

/// Called by static initialisers of plug-ins. Always true.
bool registerPlatform(const PlatformPlugin &plugin);

/// All that have registered, in no particular order.
const std::vector<PlatformPlugin> &registeredPlatforms();

} // namespace trefoilport
