#include "trefoilport/PlatformPlugin.h"

namespace trefoilport {

namespace {

/// Kept in a function so that static initialisers of other files can use it in any order.
std::vector<PlatformPlugin> &registry()
{
    static std::vector<PlatformPlugin> plugins;
    return plugins;
}

} // namespace

bool registerPlatform(const PlatformPlugin &plugin)
{
    registry().push_back(plugin);
    return true;
}

const std::vector<PlatformPlugin> &registeredPlatforms()
{
    return registry();
}

} // namespace trefoilport
