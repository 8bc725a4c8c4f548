#include "trefoilport/PlatformPlugin.h"

namespace trefoilport {

namespace {

/// The list of plug-ins. It is a function-local static, so that it is initialised before static initialisers of other files use it.
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
