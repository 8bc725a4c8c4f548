#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace wire {

/// A state of the platform's store. Orders everything that was read from it: revisions are comparable only within one epoch, since a store that was
/// restored from a copy gives them out again.
struct StoreVersion {
    /// How often the store was restored from a copy; 0 if it doesn't say.
    std::uint64_t epoch = 0;
    /// Number of the store's last change; 0 stands for no state at all.
    std::uint64_t revision = 0;

    friend bool operator==(const StoreVersion &, const StoreVersion &) = default;
    friend std::strong_ordering operator<=>(const StoreVersion &a, const StoreVersion &b)
    {
        return a.epoch == b.epoch ? a.revision <=> b.revision : a.epoch <=> b.epoch;
    }
};

/// Returns the version as it is written to the log, for example "2/517".
inline std::string toText(const StoreVersion &version)
{
    return std::to_string(version.epoch) + "/" + std::to_string(version.revision);
}

} // namespace wire
