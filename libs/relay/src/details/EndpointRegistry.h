#pragma once

#include "relay/RelayKernel.h"

#include <unordered_map>

namespace relay {

/// Handle of an endpoint in the registry.
using EndpointIndex = std::uint32_t;

/// One endpoint with what this instance has learned of it.
struct EndpointState {
    EndpointEntry entry;
    std::uint32_t zone = 0;
    /// In the platform's list. An endpoint that isn't gets no new work.
    bool listed = false;
    /// Missing from a list that was read just after an outage: it is taken as gone only then.
    Instant missingUntil{0};
    /// Takes no new work and is asked for its state once this time is over; zero if it is trusted.
    Instant suspectUntil{0};
    int failedReports = 0;
    /// Has lately refused work without running it; how often in a row.
    Instant avoidUntil{0};
    int refusals = 0;
    bool reportPending = false;
    Instant reportRequestedAt{0};
    /// Of the last answer; the list lags behind it.
    Instant reportedAt{0};
    /// Orders that it has begun since its start, as far as this instance knows.
    std::uint64_t orderCount = 0;
    double slowdown = 1;
    bool loading = false;
    /// Requests of this instance that are on it, and their tokens of context.
    std::uint32_t openRequests = 0;
    double contextTokens = 0;
    /// Prompt tokens of those of them that have not begun to answer.
    double pendingPrefillTokens = 0;
    /// When a stream that it serves as the first stage last had an event.
    Instant eventAt{0};
    /// Smoothed time to a plain answer, and share of requests that failed lately.
    double latencyMs = 0;
    double failureShare = 0;
    Instant failureAt{0};
};

/// The endpoints: what the platform lists, corrected by what they say themselves and by what their answers show.
class EndpointRegistry
{
public:
    /// Takes a current list. After an outage of the store, entries may be missing that return within moments.
    void onList(Instant now, const std::vector<EndpointEntry> &entries, bool afterOutage);

    /// Takes what an endpoint says of itself; clears suspicion.
    void onReport(EndpointIndex index, const EndpointReport &report, Instant now);

    /// The endpoint is silent: no new work until it has answered again.
    void suspect(EndpointIndex index, Instant now);

    /// The endpoint refuses work without running it, for lack of room or since it is leaving. The pause grows with each refusal in a row.
    void avoid(EndpointIndex index, Instant now);

    /// The endpoint gets no new work for the time of a question to it.
    void pause(EndpointIndex index, Instant now);

    /// The endpoint has taken work.
    void onAccepted(EndpointIndex index);

    /// Its layers are not what they seemed; it gets no work until it has reported.
    void forgetLayers(EndpointIndex index);

    void onPlainAnswer(EndpointIndex index, double latencyMs, Instant now);
    void onPlainFailure(EndpointIndex index, Instant now);

    /// May take new work.
    bool isUsable(EndpointIndex index, Instant now) const;

    std::optional<EndpointIndex> find(const std::string &id) const;
    /// By the value that stands for it in digests.
    std::optional<EndpointIndex> findHash(std::uint32_t hash) const;
    std::optional<EndpointIndex> findAddress(const std::string &address) const;

    EndpointState &at(EndpointIndex index)
    {
        return states_[index];
    }
    const EndpointState &at(EndpointIndex index) const
    {
        return states_[index];
    }
    EndpointIndex size() const
    {
        return static_cast<EndpointIndex>(states_.size());
    }

    /// A small number for each zone.
    std::uint32_t zoneNumber(const std::string &zone);

    bool hasList() const
    {
        return hasList_;
    }

    /// When an endpoint was first listed.
    Instant lastArrival() const
    {
        return lastArrival_;
    }

private:
    void update(EndpointState &state, const EndpointEntry &entry, Instant now);

    std::vector<EndpointState> states_;
    std::unordered_map<std::string, EndpointIndex> byId_;
    std::unordered_map<std::uint32_t, EndpointIndex> byHash_;
    std::unordered_map<std::string, std::uint32_t> zones_;
    bool hasList_ = false;
    Instant lastArrival_{0};
};

/// Share of failed requests now: it fades with time, so that an endpoint gets its chance again.
double failureShareAt(const EndpointState &state, Instant now);

} // namespace relay
