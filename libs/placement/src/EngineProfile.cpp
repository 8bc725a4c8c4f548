#include "placement/EngineProfile.h"

#include <algorithm>

namespace placement {

namespace {

constexpr double BytesPerMb = 1e6;
constexpr double BitsPerByte = 8;
constexpr double TokensPerThousand = 1e3;
constexpr double PairsPerMillion = 1e6;

/// Returns the given number of layers as a fraction of the model; 0 if the model has no layers.
double layerFraction(const EngineProfile &profile, std::uint32_t layers)
{
    return profile.layers == 0 ? 0 : static_cast<double>(layers) / profile.layers;
}

} // namespace

std::uint32_t kindIndex(const EngineProfile &profile, const std::string &name)
{
    const auto found = std::find_if(profile.kinds.begin(), profile.kinds.end(), [&](const AcceleratorKind &kind) { return kind.name == name; });
    return static_cast<std::uint32_t>(found - profile.kinds.begin());
}

double kvCapacityTokens(const EngineProfile &profile, const AcceleratorKind &kind, std::uint32_t layers)
{
    const double freeMb = kind.memoryMb - layers * profile.layerMb;
    const double bytesPerToken = profile.kvTokenBytes * layerFraction(profile, layers);
    return freeMb <= 0 || bytesPerToken <= 0 ? 0 : freeMb * BytesPerMb / bytesPerToken;
}

double stepMs(const EngineProfile &profile, const AcceleratorKind &kind, std::uint32_t layers, double sequences, double contextTokens)
{
    const double wholeModelMs = profile.stepMs + profile.stepMsPerSequence * sequences + profile.stepMsPerThousandTokens * contextTokens / TokensPerThousand;
    return kind.stepFactor * wholeModelMs * layerFraction(profile, layers);
}

double prefillMs(const EngineProfile &profile, const AcceleratorKind &kind, std::uint32_t layers, double promptTokens)
{
    const double pairs = promptTokens * promptTokens / 2;
    const double wholeModelMs = promptTokens / std::max(profile.prefillTokensPerMs, 1e-9) + profile.prefillMsPerMillionPairs * pairs / PairsPerMillion;
    return kind.prefillFactor * wholeModelMs * layerFraction(profile, layers);
}

double interleavedPrefillMs(
    const EngineProfile &profile, const AcceleratorKind &kind, std::uint32_t layers, double promptTokens, double sequences, double contextTokens)
{
    const double ownMs = prefillMs(profile, kind, layers, promptTokens);
    if (profile.prefillTokensPerStep == 0) {
        return ownMs;
    }
    const double steps = promptTokens / profile.prefillTokensPerStep * std::min(1.0, sequences);
    return ownMs + steps * stepMs(profile, kind, layers, sequences, contextTokens);
}

double transferMs(const EngineProfile &profile, double tokens, bool otherZone)
{
    const double megabits = tokens * profile.activationBytes * BitsPerByte / BytesPerMb;
    const double linkMs = profile.linkMbps > 0 ? megabits / profile.linkMbps * 1e3 : 0;
    const double zoneLinkMs = otherZone && profile.zoneLinkMbps > 0 ? megabits / profile.zoneLinkMbps * 1e3 : 0;
    return linkMs + zoneLinkMs;
}

} // namespace placement
