#pragma once

#include <string_view>
#include <vector>

namespace trefoilport {

/// Runs an instance on the machines of a hosting platform, with the platform's interfaces in place of the daemon's own. The daemon runs the first plug-in that
/// detects its platform, unless it is started with a settings file.
struct PlatformPlugin {
    std::string_view name;
    /// Returns whether this process was started by the platform.
    bool (*isPresent)() = nullptr;
    /// Runs the instance until it stops and returns the exit code of the process.
    int (*run)() = nullptr;
};

/// Registers a plug-in. Always returns true, so that a plug-in can call it to initialise a static variable.
bool registerPlatform(const PlatformPlugin &plugin);

/// Returns all registered plug-ins, in no particular order.
const std::vector<PlatformPlugin> &registeredPlatforms();

} // namespace trefoilport
