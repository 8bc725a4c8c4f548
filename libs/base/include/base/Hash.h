#pragma once

#include <cstdint>
#include <string_view>

namespace base {

/// Returns the 64-bit FNV-1a hash of the text. Pass an earlier result as `seed` to hash several texts one after the other; the default is the
/// offset basis of FNV-1a. The function must never change: stored objects depend on its values.
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 14695981039346656037ULL);

/// Returns a well-distributed 64-bit value for each input, by a bijective function (the finaliser of SplitMix64).
std::uint64_t mixBits(std::uint64_t value);

/// A pseudo-random number generator (SplitMix64). The same seed gives the same sequence on every machine. Not for secrets, and not thread-safe.
class Random
{
public:
    explicit Random(std::uint64_t seed);

    /// Returns the next 64 uniformly distributed bits.
    std::uint64_t next();

    /// Returns a number in [0, limit), uniformly distributed but for the bias of a modulo; limit must be positive.
    std::uint64_t nextBelow(std::uint64_t limit);

    /// Returns a uniformly distributed number in [0, 1), with 53 random bits.
    double nextDouble();

private:
    std::uint64_t state_;
};

} // namespace base
