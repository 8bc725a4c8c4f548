#include "base/Time.h"

#include <ctime>

namespace base {

Now readClocks()
{
    const auto mono = std::chrono::steady_clock::now().time_since_epoch();
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<Instant>(mono), std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()};
}

Instant readBootTimeClock()
{
    timespec bootTime{};
    clock_gettime(CLOCK_BOOTTIME, &bootTime);
    return std::chrono::seconds(bootTime.tv_sec) + std::chrono::nanoseconds(bootTime.tv_nsec);
}

} // namespace base
