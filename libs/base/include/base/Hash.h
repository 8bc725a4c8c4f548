#pragma once

#include <cstdint>
#include <string_view>

namespace base {

/// 64-bit FNV-1a of the text, continued from a previous value. Stable over versions: stored objects depend on it.
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 14695981039346656037ULL);

/// Bijective 64-bit mixing function (the finaliser of SplitMix64).
std::uint64_t mixBits(std::uint64_t value);

/// Deterministic pseudo-random source (SplitMix64); the same seed gives the same sequence on every machine.
class Random
{
public:
    explicit Random(std::uint64_t seed);

    /// The next 64 uniform bits.
    std::uint64_t next();

    /// A uniform number in [0, bound); bound must be positive.
    std::uint64_t nextBelow(std::uint64_t bound);

    /// A uniform number in [0, 1).
    double nextDouble();

private:
    std::uint64_t state_;
};

} // namespace base
