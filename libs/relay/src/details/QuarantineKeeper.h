#pragma once

#include "details/CrashGuard.h"

#include <map>
#include <set>

namespace relay {

/// Keeps in the store what is convicted of crashing endpoints, so that it outlasts a restart of all instances.
///
/// The instance that has confirmed the convicting crash writes the record, and again after each further crash that it confirms; whichever ends a conviction
/// removes it. Each instance reads the records once after its start. A write that fails is repeated for as long as the conviction lasts.
class QuarantineKeeper
{
public:
    /// What is to be written and removed now.
    struct Due {
        std::vector<QuarantineRecord> written;
        std::vector<std::uint64_t> removed;
    };

    /// Takes that this instance has confirmed a crash of a signature, which may have been convicted by that.
    void onConfirmed(std::uint64_t signature);
    /// Takes that this instance has ended the conviction of a signature.
    void onAcquitted(std::uint64_t signature);
    /// Returns what the store lacks or holds in vain.
    Due takeDue(const CrashEvidence &evidence, Instant now);
    /// Takes the outcome of a write.
    void onWritten(std::uint64_t signature, bool ok);

    /// Returns true if the records are to be read now: until they have been, once in a while.
    bool isReadDue(Instant now);
    /// Takes the records that were read, as certain crashes. Returns the signatures of those that are too old to count.
    std::vector<std::uint64_t> onRead(const std::vector<QuarantineRecord> &records, CrashEvidence &evidence, Instant now);

private:
    struct Kept {
        /// Crashes in the record that was written last, and in the one under way; 0 if there is none.
        std::size_t written = 0;
        std::size_t pending = 0;
        Instant nextWriteAt{0};
    };

    std::map<std::uint64_t, Kept> kept_;
    std::set<std::uint64_t> acquitted_;
    bool hasRead_ = false;
    Instant nextReadAt_{0};
};

} // namespace relay
