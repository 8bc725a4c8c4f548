#pragma once

#include "relay/RelayKernel.h"

#include <algorithm>

namespace relay {

/// The part of the instance's network link that sums within one scope may use: it limits how many changes of loads a sum contains.
class LinkShare
{
public:
    /// Sets the bytes a second that the sums may use.
    void configure(double bytesPerSecond)
    {
        bytesPerSecond_ = bytesPerSecond;
    }

    /// Returns how many loads may change in a sum for that number of receivers, after that time since the last one.
    std::size_t changesFor(std::size_t receivers, Ms elapsed)
    {
        // Unused bytes can be used later, and those above the limit are saved later, up to this time.
        constexpr Ms MaxSaving{600};
        constexpr Ms MaxDebt{2000};
        const double perMs = bytesPerSecond_ / 1000;
        const auto inMs = [&](Ms time) {
            return perMs * static_cast<double>(time.count());
        };
        allowance_ = std::clamp(allowance_ + inMs(elapsed), -inMs(MaxDebt), inMs(elapsed + MaxSaving));
        const double perReceiver = allowance_ / static_cast<double>(std::max<std::size_t>(1, receivers)) - BytesPerDigest;
        // Large differences are always sent.
        constexpr double MinChanges = 16;
        return static_cast<std::size_t>(std::max(MinChanges, perReceiver / bytesPerChange_));
    }

    /// Takes note of a sum with changes, or with all loads, that is sent to some receivers.
    void onSent(const wire::RelayDigest &digest, std::size_t receivers)
    {
        double bytes = 0;
        for (const wire::EndpointLoad &load : digest.loads) {
            bytes += bytesOf(load);
        }
        allowance_ -= (BytesPerDigest + bytes) * static_cast<double>(receivers);
        bytesPerChange_ = digest.loads.empty() ? bytesPerChange_ : bytes / static_cast<double>(digest.loads.size());
    }

private:
    /// Encoded size of a digest without loads.
    static constexpr double BytesPerDigest = 180;

    /// Returns the approximate encoded size of a load.
    static double bytesOf(const wire::EndpointLoad &load)
    {
        constexpr double BytesPerName = 4;
        // The slot, given as a difference, and the number of requests take a byte each, as does the position of one with pending tokens.
        const double pending =
            load.pendingPrefillTokens + load.pendingLinkTokens > 0 ? 1 + sizeOf(load.pendingPrefillTokens) + sizeOf(load.pendingLinkTokens) : 0;
        return (load.isSlotKnown ? 0 : BytesPerName) + 2 + sizeOf(load.contextTokens) + pending;
    }
    /// Returns the encoded size of a number of tokens, which fits into one byte up to a limit.
    static double sizeOf(std::uint64_t tokens)
    {
        constexpr std::uint64_t MaxTokensInOneByte = 256 * 127;
        return tokens <= MaxTokensInOneByte ? 1 : 2;
    }

    double bytesPerSecond_ = 0;
    /// Mean encoded size of a load in the last sum; that of one with a name before the first.
    double bytesPerChange_ = 8;
    double allowance_ = 0;
};

} // namespace relay
