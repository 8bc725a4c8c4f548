#pragma once

#include "details/EndpointRegistry.h"
#include "wire/RelayDigest.h"

#include <deque>
#include <unordered_map>

namespace relay {

/// Finds requests that crash the endpoints that run them, by the fingerprint that all repeats of a request share.
///
/// A broken attempt alone proves nothing. It counts as a crash once its endpoint turns out to have restarted or fallen silent within
/// moments. Strikes of all instances count together, once for each crash. A request that is answered is none that crashes endpoints, even if
/// it was under way at several crashes.
class CrashGuard
{
public:
    explicit CrashGuard(const EndpointRegistry &endpoints)
        : endpoints_(endpoints)
    {
    }

    /// An attempt of such a request has broken off at an endpoint.
    void onBroken(std::uint64_t fingerprint, EndpointIndex endpoint, Instant now);

    /// An endpoint has run such a request to its answer, or to the first event of one.
    void onServed(std::uint64_t fingerprint);

    /// Confirms or drops what waits for confirmation; returns the new strikes, for the other instances.
    std::vector<wire::CrashReport> tick(Instant now);

    /// Another instance has seen a crash. False if this crash was known.
    bool onCrashReport(const wire::CrashReport &strike, Instant now);

    /// True if the request has crashed too many endpoints lately and must not reach another one.
    bool isQuarantined(std::uint64_t fingerprint, Instant now) const;

private:
    /// A broken attempt whose endpoint may have crashed.
    struct Suspicion {
        std::uint64_t fingerprint = 0;
        EndpointIndex endpoint = 0;
        std::uint64_t incarnation = 0;
        Instant brokenAt{0};
    };
    struct Strikes {
        std::vector<std::uint64_t> crashes;
        Instant lastAt{0};
    };

    const EndpointRegistry &endpoints_;
    std::deque<Suspicion> suspicions_;
    std::unordered_map<std::uint64_t, Strikes> strikes_;
};

} // namespace relay
