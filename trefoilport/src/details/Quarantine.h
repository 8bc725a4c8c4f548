#pragma once

#include "trefoilport/Action.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace trefoilport {

/// Number of crashes, over all instances, from which a request is quarantined: no instance dispatches it any more.
inline constexpr std::uint32_t QuarantineCrashes = 3;

/// Counts, over all instances, the endpoint crashes during which each request was running.
///
/// A request is known by its fingerprint. When an endpoint crashes, each request that runs on it gets a crash report from its instance. If a request completes,
/// the instance that ran it sets its own crash count for the request to 0. Changed crash reports are sent to all peers at once, before the request is tried
/// again, and are repeated in gossip until they expire.
class Quarantine
{
public:
    /// The observer is the id of this instance.
    explicit Quarantine(std::string observer);

    /// Counts a crash seen by this instance. Its crash report for the request then expires at now + duration.
    void addCrash(std::uint64_t fingerprint, base::Instant now, std::chrono::milliseconds duration);

    /// Orders what one instance has sent: by its incarnation, then by the time at which it sent the message.
    struct SentAt {
        std::uint64_t incarnation = 0;
        std::uint64_t stamp = 0;

        friend bool operator<(const SentAt &left, const SentAt &right)
        {
            return std::tie(left.incarnation, left.stamp) < std::tie(right.incarnation, right.stamp);
        }
    };

    /// Replaces a peer's crash report by one that the peer has sent later. Reports of this instance's own are ignored.
    void merge(const wire::CrashNotice &notice, const SentAt &sentAt, base::Instant now);

    /// Sets this instance's crash count for a request that completed to 0.
    void clear(std::uint64_t fingerprint);

    /// Sum of the crash counts that all instances have reported for the request and that have not expired.
    std::uint32_t crashCount(std::uint64_t fingerprint, base::Instant now) const;

    /// True if the request must not be dispatched.
    bool isQuarantined(std::uint64_t fingerprint, base::Instant now) const
    {
        return crashCount(fingerprint, now) >= QuarantineCrashes;
    }

    /// Returns this instance's crash reports that changed since the last call, for the peers.
    std::vector<wire::CrashNotice> takeUpdates(base::Instant now);

    /// Returns this instance's crash reports for gossip, at most limit of them.
    std::vector<wire::CrashNotice> notices(base::Instant now, std::size_t limit) const;

    /// Removes expired crash reports.
    void tick(base::Instant now);

private:
    /// What one instance has reported for one request.
    struct CrashReport {
        std::uint32_t crashCount = 0;
        base::Instant expiresAt{0};
        SentAt sentAt = {};
    };
    wire::CrashNotice noticeOf(std::uint64_t fingerprint, const CrashReport &report, base::Instant now) const;

    std::string observer_;
    /// Crash reports by the request's fingerprint and by the id of the instance that reports.
    std::unordered_map<std::uint64_t, std::map<std::string, CrashReport>> crashReports_;
    /// Requests whose crash report by this instance has changed since the last takeUpdates().
    std::vector<std::uint64_t> updates_;
};

} // namespace trefoilport
