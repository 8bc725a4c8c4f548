#pragma once

#include "relay/RelayKernel.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace relay {

/// Bounds how often requests of one service are sent again: in any window, a share of the service's requests and this instance's part of a
/// reserve that all instances share.
class RetryWindow
{
public:
    void configure(const RelaySettings &settings)
    {
        share_ = settings.retryRatio;
        reserve_ = ReserveShare * settings.retryReserve;
        window_ = settings.retryWindow;
    }

    /// Instances that share the reserve, at least 1.
    void setInstances(std::uint32_t instances)
    {
        instances_ = instances;
    }

    void onRequest(const std::string &service, Instant now)
    {
        Counts &counts = countsOf(service, now);
        counts.requests.push_back(now);
    }

    /// Takes one further sending; false if none is left.
    bool tryAcquire(const std::string &service, Instant now)
    {
        Counts &counts = countsOf(service, now);
        const double allowed = share_ * static_cast<double>(counts.requests.size()) + reserve_ / instances_;
        if (static_cast<double>(counts.repeats.size()) + 1 > allowed) {
            return false;
        }
        counts.repeats.push_back(now);
        return true;
    }

private:
    struct Counts {
        std::deque<Instant> requests;
        std::deque<Instant> repeats;
    };

    Counts &countsOf(const std::string &service, Instant now)
    {
        Counts &counts = services_[service];
        for (auto *times : {&counts.requests, &counts.repeats}) {
            while (!times->empty() && times->front() + window_ < now) {
                times->pop_front();
            }
        }
        return counts;
    }

    /// The counts of the other instances lag, so that not all of the reserve is used.
    static constexpr double ReserveShare = 0.8;

    double share_ = 0;
    double reserve_ = 0;
    std::uint32_t instances_ = 1;
    Instant window_{0};
    std::unordered_map<std::string, Counts> services_;
};

} // namespace relay
