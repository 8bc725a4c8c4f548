#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace relayhost {

/// Bounds what waits between the thread of the mesh, which adds it, and that of the event loop, which takes it. What finds no room is dropped: instances repeat
/// what has to arrive.
class WaitingBytes
{
public:
    explicit WaitingBytes(std::size_t limit)
        : limit_(limit)
    {
    }

    /// Adds what is to wait. Returns false if it would pass the limit; then it is counted as dropped.
    bool add(std::size_t bytes)
    {
        if (waiting_ + bytes > limit_) {
            ++dropped_;
            return false;
        }
        waiting_ += bytes;
        return true;
    }

    /// Takes what was added.
    void take(std::size_t bytes)
    {
        waiting_ -= bytes;
    }

    std::size_t bytes() const
    {
        return waiting_;
    }
    std::uint64_t dropped() const
    {
        return dropped_;
    }

private:
    std::size_t limit_;
    std::atomic<std::size_t> waiting_{0};
    std::atomic<std::uint64_t> dropped_{0};
};

} // namespace relayhost
