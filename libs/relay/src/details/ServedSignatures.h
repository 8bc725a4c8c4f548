#pragma once

#include "relay/RelayKernel.h"

#include <array>

namespace relay {

/// When requests with a signature last began to be answered. Keeps a fixed number of signatures, each in the one place that its hash gives it, so that
/// a later one may replace it.
class ServedSignatures
{
public:
    void onServed(std::uint64_t signature, Instant now)
    {
        slots_[signature % SlotCount] = {signature, now};
    }

    /// Returns true if a request with this signature is known to have begun after the given time.
    bool wasServedAfter(std::uint64_t signature, Instant time) const
    {
        const Slot &slot = slots_[signature % SlotCount];
        return slot.signature == signature && slot.servedAt > time;
    }

    /// Returns true if a request with this signature is known to have begun at any time.
    bool isKnown(std::uint64_t signature) const
    {
        return wasServedAfter(signature, Instant{0});
    }

private:
    struct Slot {
        std::uint64_t signature = 0;
        Instant servedAt{0};
    };

    static constexpr std::size_t SlotCount = 1024;

    std::array<Slot, SlotCount> slots_{};
};

} // namespace relay
