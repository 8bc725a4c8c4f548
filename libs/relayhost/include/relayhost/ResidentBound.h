#pragma once

#include "base/Time.h"
#include "net/HeldBytes.h"

namespace relayhost {

/// Lets peers hold less while the process comes near its memory, and returns free memory to the system.
class ResidentBound
{
public:
    /// `held` must outlive this object.
    ResidentBound(net::HeldBytes &held, std::size_t memoryBytes)
        : held_(held)
        , memoryBytes_(memoryBytes)
    {
    }

    /// Looks at the resident memory and sets the bounds that it leaves. Call it periodically in the thread of the event loop.
    void look(base::Instant now);

private:
    net::HeldBytes &held_;
    std::size_t memoryBytes_;
    /// When free memory was last returned to the system.
    base::Instant returnedAt_{0};
    /// The bound of all peers that is in force, in bytes; zero before the first look.
    std::size_t heldAtMost_ = 0;
};

} // namespace relayhost
