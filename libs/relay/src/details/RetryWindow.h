#pragma once

#include "relay/RelayKernel.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace relay {

/// What a service has used of the limit on retries within the window that ends now.
struct RetryUsage {
    std::size_t used = 0;
    double allowed = 0;
    /// Number of instances among which the reserve is divided; 0 while this instance has no part of it.
    std::uint32_t instances = 0;
};

/// Limits the retries of each service within a sliding window to a ratio of the service's requests, plus this instance's part of a reserve that
/// all instances share.
class RetryWindow
{
public:
    /// Takes the ratio, the reserve and the length of the window; earlier requests and retries stay counted.
    void configure(const RelaySettings &settings)
    {
        ratio_ = settings.retryRatio;
        reserve_ = ReserveRatio * settings.retryReserve;
        window_ = settings.retryWindow;
    }

    /// Takes the number of instances that share the reserve, at least 1; none while it is unknown. The reserve is divided among the most instances that were
    /// known at any time within the window, since those that are gone by now may have used up their parts. Nothing of it is used until the number has been
    /// known for a whole window: a process before this one under the same name may have used up its part within that time.
    void onInstances(std::optional<std::uint32_t> instances, Instant now)
    {
        if (!instances) {
            return;
        }
        if (instanceCounts_.empty()) {
            knownSince_ = now;
        }
        while (!instanceCounts_.empty() && instanceCounts_.back().instances <= *instances) {
            instanceCounts_.pop_back();
        }
        instanceCounts_.push_back({*instances, now});
        while (instanceCounts_.front().lastSeenAt + window_ < now) {
            instanceCounts_.pop_front();
        }
    }

    /// Counts a new request of a service.
    void onRequest(const std::string &service, Instant now)
    {
        Counts &counts = countsOf(service, now);
        counts.requests.push_back(now);
    }

    /// Returns true if the limit permits one more retry.
    bool permits(const std::string &service, Instant now)
    {
        const RetryUsage current = usage(service, now);
        return static_cast<double>(current.used) + 1 <= current.allowed;
    }

    /// Counts a retry that is sent.
    void onRetry(const std::string &service, Instant now)
    {
        countsOf(service, now).retries.push_back(now);
    }

    /// Takes back a retry that was counted at `sentAt` and has reached no endpoint: the limit protects endpoints.
    void onRetryNotSent(const std::string &service, Instant sentAt, Instant now)
    {
        std::deque<Instant> &retries = countsOf(service, now).retries;
        if (const auto found = std::find(retries.begin(), retries.end(), sentAt); found != retries.end()) {
            retries.erase(found);
        }
    }

    /// Returns what a service has used of the limit.
    RetryUsage usage(const std::string &service, Instant now)
    {
        const Counts &counts = countsOf(service, now);
        const std::uint32_t sharing = !instanceCounts_.empty() && now > knownSince_ + window_ ? instanceCounts_.front().instances : 0;
        const double ownReserve = sharing > 0 ? reserve_ / sharing : 0;
        return {counts.retries.size(), ratio_ * static_cast<double>(counts.requests.size()) + ownReserve, sharing};
    }

private:
    /// A number of instances, and when it was last seen.
    struct InstanceCount {
        std::uint32_t instances = 0;
        Instant lastSeenAt{0};
    };
    /// Times of the requests and retries within the window, oldest first.
    struct Counts {
        std::deque<Instant> requests;
        std::deque<Instant> retries;
    };

    /// Returns the counts of a service after dropping the times that have left the window.
    Counts &countsOf(const std::string &service, Instant now)
    {
        Counts &counts = services_[service];
        for (auto *times : {&counts.requests, &counts.retries}) {
            while (!times->empty() && times->front() + window_ < now) {
                times->pop_front();
            }
        }
        return counts;
    }

    /// Instances learn with a delay how many of them share the reserve, so only this part of it is used.
    static constexpr double ReserveRatio = 0.8;

    double ratio_ = 0;
    double reserve_ = 0;
    /// Numbers of instances within the window, from the highest to the lowest, which is the latest one.
    std::deque<InstanceCount> instanceCounts_;
    /// Time since which the number of instances has been known.
    Instant knownSince_{0};
    Instant window_{0};
    /// Counts by name of the service.
    std::unordered_map<std::string, Counts> services_;
};

} // namespace relay
