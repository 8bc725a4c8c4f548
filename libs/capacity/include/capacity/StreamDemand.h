#pragma once

#include <chrono>

/// Decides which part of the endpoints' free capacity one instance may use, while it doesn't know what the others have used since their last reports. Pure
/// computation, without I/O or clocks.
namespace capacity {

/// Time since an arbitrary origin.
using Instant = std::chrono::nanoseconds;
using Seconds = std::chrono::duration<double>;

/// The streams of one instance, smoothed over the last seconds: how many it starts, how large they are and how long they take.
class StreamDemand
{
public:
    /// Takes note of a new stream with that expected number of tokens of prompt and response.
    void onStarted(Instant now, double contextTokens);
    /// Takes note that a stream has ended that occupied its endpoints for that long.
    void onEnded(Seconds duration);

    /// Returns the number of streams started per second.
    double startsPerSecond(Instant now) const;
    /// Returns the mean expected tokens of a stream; 0 before the first one.
    double meanContextTokens() const
    {
        return meanContextTokens_;
    }
    /// Returns the mean time for which a stream occupies its endpoints; an assumed one before the first has ended.
    Seconds meanDuration() const
    {
        return meanDuration_;
    }

private:
    double startsPerSecond_ = 0;
    Instant updatedAt_{0};
    double meanContextTokens_ = 0;
    Seconds meanDuration_{2};
};

} // namespace capacity
