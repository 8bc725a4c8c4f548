#include "details/IdleTimeouts.h"

#include <algorithm>

namespace net {

IdleTimeouts::IdleTimeouts(std::chrono::milliseconds timeout)
    : timeout_(timeout)
{
}

void IdleTimeouts::set(std::chrono::milliseconds timeout, std::chrono::milliseconds notice, Clock::time_point now)
{
    if (timeout == timeout_) {
        return;
    }
    std::erase_if(replaced_, [&](const Replaced &replaced) { return replaced.until + replaced.timeout < now; });
    replaced_.push_back({timeout_, now + notice});
    timeout_ = timeout;
}

std::chrono::milliseconds IdleTimeouts::timeoutSince(Clock::time_point start) const
{
    std::chrono::milliseconds longest = timeout_;
    for (const Replaced &replaced : replaced_) {
        longest = start <= replaced.until ? std::max(longest, replaced.timeout) : longest;
    }
    return longest;
}

} // namespace net
