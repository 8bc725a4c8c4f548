#pragma once

#include "trefoilport/Action.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilport {

/// A request crashes at most this many endpoints before it is refused everywhere.
inline constexpr std::uint32_t QuarantineCrashes = 3;

/// Counts the endpoint crashes that each request took part in, over all instances.
///
/// Every request that runs on an endpoint when it crashes gets a strike. One that ends whole loses the strikes of its instance. New
/// strikes go to all peers at once, before the request is tried again; they are repeated in gossip until the mark expires.
class Quarantine
{
public:
    explicit Quarantine(std::string observer);

    /// Counts a crash seen by this instance; the mark lasts until now + duration.
    void addCrash(std::uint64_t fingerprint, base::Instant now, std::chrono::milliseconds duration);

    /// Takes a peer's count.
    void merge(const wire::CrashNotice &notice, base::Instant now);

    /// The request ended whole: this instance takes its strikes back.
    void clear(std::uint64_t fingerprint);

    /// Crashes known of, by all instances.
    std::uint32_t crashCount(std::uint64_t fingerprint, base::Instant now) const;

    bool isQuarantined(std::uint64_t fingerprint, base::Instant now) const
    {
        return crashCount(fingerprint, now) >= QuarantineCrashes;
    }

    /// Own strikes that peers have not been told of yet; empties the list.
    std::vector<wire::CrashNotice> takeUpdates(base::Instant now);

    /// The own strikes, at most limit of them, for gossip.
    std::vector<wire::CrashNotice> notices(base::Instant now, std::size_t limit) const;

    /// Drops expired marks.
    void tick(base::Instant now);

private:
    struct Mark {
        std::uint32_t crashCount = 0;
        base::Instant expiresAt{0};
    };
    wire::CrashNotice noticeOf(std::uint64_t fingerprint, const Mark &mark, base::Instant now) const;

    std::string observer_;
    /// Per request, the marks by observer.
    std::unordered_map<std::uint64_t, std::map<std::string, Mark>> marks_;
    std::vector<std::uint64_t> updates_;
};

} // namespace trefoilport
