#include "base/Hash.h"

namespace base {

namespace {

constexpr std::uint64_t FnvPrime = 1099511628211ULL;
/// Increment of SplitMix64: 2^64 divided by the golden ratio, odd.
constexpr std::uint64_t GoldenGamma = 0x9E3779B97F4A7C15ULL;
/// Maps 53-bit integers to [0, 1).
constexpr double UnitIntervalScale = 1.0 / 9007199254740992.0; // 2^-53

} // namespace

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    std::uint64_t hash = seed;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= FnvPrime;
    }
    return hash;
}

std::uint64_t mixBits(std::uint64_t value)
{
    value ^= value >> 30;
    value *= 0xBF58476D1CE4E5B9ULL;
    value ^= value >> 27;
    value *= 0x94D049BB133111EBULL;
    value ^= value >> 31;
    return value;
}

Random::Random(std::uint64_t seed)
    : state_(seed)
{
}

std::uint64_t Random::next()
{
    state_ += GoldenGamma;
    return mixBits(state_);
}

std::uint64_t Random::nextBelow(std::uint64_t limit)
{
    return next() % limit;
}

double Random::nextDouble()
{
    return static_cast<double>(next() >> 11) * UnitIntervalScale;
}

} // namespace base
