#pragma once

#include "relay/RelayKernel.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace relay {

/// Calls that have arrived before this process knew the configuration and the endpoints, which it learns shortly after its start. After a loss of many
/// instances most callers meet one that has just started; rejected at once, they would use up their retries there.
class StartQueue
{
public:
    /// A call that waits.
    struct Waiting {
        CallArrival arrival;
        Instant arrivedAt{0};
        /// When it is rejected if nothing is known until then.
        Instant expiresAt{0};
    };

    /// Takes the start of the process.
    void onStart(Instant now)
    {
        startedAt_ = startedAt_.count() == 0 ? now : startedAt_;
    }

    /// Keeps a call that can't be decided yet. Returns false if it must be rejected at once: the process has run for so long that the store or the other
    /// instances must be out of reach, or too many calls wait.
    bool add(Instant now, const CallArrival &arrival)
    {
        if (startedAt_.count() == 0 || now >= startedAt_ + MaxStartTime || waiting_.size() >= MaxCalls) {
            return false;
        }
        const Ms wait = arrival.timeLimit.count() > 0 ? std::min(MaxWait, arrival.timeLimit / TimeLimitDivisor) : MaxWait;
        waiting_.push_back({arrival, now, std::min(now + wait, startedAt_ + MaxStartTime)});
        return true;
    }

    /// Removes all calls and returns them in the order of their arrival, with what is left of their time limits.
    std::vector<Waiting> takeAll(Instant now)
    {
        std::vector<Waiting> taken;
        taken.swap(waiting_);
        for (Waiting &call : taken) {
            shortenLimit(call, now);
        }
        return taken;
    }

    /// Removes the calls that have waited for as long as they may and returns them likewise.
    std::vector<Waiting> takeExpired(Instant now)
    {
        const auto expired = std::stable_partition(waiting_.begin(), waiting_.end(), [&](const Waiting &call) { return now < call.expiresAt; });
        std::vector<Waiting> taken(std::make_move_iterator(expired), std::make_move_iterator(waiting_.end()));
        waiting_.erase(expired, waiting_.end());
        for (Waiting &call : taken) {
            shortenLimit(call, now);
        }
        return taken;
    }

    /// Forgets a call whose caller has left. Returns whether it has waited.
    bool remove(CallId call)
    {
        return std::erase_if(waiting_, [&](const Waiting &waiting) { return waiting.arrival.call == call; }) > 0;
    }

    std::size_t size() const
    {
        return waiting_.size();
    }

private:
    /// A process that has learned nothing within this time after its start rejects calls at once.
    static constexpr Ms MaxStartTime{3000};
    /// A call waits for this time at most, and for this part of its time limit, so that its caller can still try another instance.
    static constexpr Ms MaxWait{1200};
    static constexpr int TimeLimitDivisor = 4;
    /// Bounds the memory for waiting calls; their bodies count towards what callers may make the process hold.
    static constexpr std::size_t MaxCalls = 256;

    static void shortenLimit(Waiting &call, Instant now)
    {
        if (call.arrival.timeLimit.count() > 0) {
            call.arrival.timeLimit = std::max(Ms{1}, call.arrival.timeLimit - std::chrono::duration_cast<Ms>(now - call.arrivedAt));
        }
    }

    std::vector<Waiting> waiting_;
    Instant startedAt_{0};
};

} // namespace relay
