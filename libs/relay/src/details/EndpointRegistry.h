#pragma once

#include "capacity/CandidateOdds.h"
#include "details/DamagePause.h"
#include "details/RecentFailures.h"
#include "details/RefusalPause.h"

#include <optional>
#include <unordered_map>

namespace relay {

/// Longest time from a change at an endpoint to the list that shows it: a heartbeat, the store's lag and one read of the list.
inline constexpr Ms MaxListLag{2700};

/// Handle of an endpoint in the registry, valid for the lifetime of the registry.
using EndpointIndex = std::uint32_t;

/// An endpoint as listed, with the state that this instance has learned from reports, answers and other instances.
struct EndpointState {
    EndpointEntry entry;
    /// wire::endpointHash() of its id.
    std::uint32_t idHash = 0;
    /// Number of its zone, from EndpointRegistry::zoneNumber().
    std::uint32_t zone = 0;
    /// True while the endpoint is in the platform's list; otherwise it gets no new work.
    bool listed = false;
    /// The list itself shows that the endpoint is draining; `entry.draining` may be known earlier from the endpoint or from other instances.
    bool listedAsDraining = false;
    /// Epoch of the store whose list last showed this incarnation; none while only the endpoint's own report has shown it.
    std::optional<std::uint64_t> incarnationEpoch;
    /// Epoch of the store in which the endpoint was last found to be no longer listed.
    std::uint64_t unlistedEpoch = 0;
    /// Set if the endpoint was missing from a list that was read after an outage or a restore of the store: it stays listed until this time. Zero otherwise.
    Instant keepListedUntil{0};
    /// Set while the endpoint is marked as silent: it gets no new work, and a report is requested from this time on. Zero if it isn't silent.
    Instant silentCheckAt{0};
    /// How often in a row it was marked as silent without a report in between.
    int silenceCount = 0;
    /// What its refusals say of what it may be sent. A report doesn't change that.
    RefusalPause refusals;
    /// What its damaged answers say of whether it is sound.
    DamagePause damage;
    /// The endpoint gets no new work until this time or until it reports, since a report is awaited or others have found it silent.
    Instant heldUntil{0};
    /// The endpoint has asked for no requests from this instance until this time, when it said so, and its incarnation then. Zero if it hasn't.
    Instant backoffUntil{0};
    Instant backoffFrom{0};
    std::uint64_t backoffIncarnation = 0;
    /// A report has been requested and neither arrived nor timed out.
    bool reportPending = false;
    Instant reportRequestedAt{0};
    /// When it last answered this instance, and when this instance last found no process, or another one, at its address.
    Instant answeredAt{0};
    Instant foundGoneAt{0};
    /// Time of the last report, after which the list shows an older state for a while. Also advanced to a time shortly
    /// before the present when a digest names the endpoint as slow, and set to the time of an order to move to other layers.
    Instant reportedAt{0};
    /// Number of orders that it has begun since its start, as far as this instance knows.
    std::uint64_t orderCount = 0;
    /// Time that its work takes, as a multiple of the time that its profile predicts; at least 1 when reported by the endpoint.
    double slowdown = 1;
    /// It is loading layers, by its last report.
    bool loading = false;
    /// Number of this instance's requests that pass through it, and the total of their tokens of context.
    std::uint32_t openRequests = 0;
    double contextTokens = 0;
    /// Prompt tokens of those requests whose prefill isn't known to have ended, since their answer has not begun.
    double pendingPrefillTokens = 0;
    /// Prompt tokens of those requests that are under way to it over the link between two zones.
    double pendingLinkTokens = 0;
    /// The probability with which it is a candidate for a stream of this instance in a large fleet.
    capacity::CandidateOdds odds;
    /// It has refused an attempt for lack of capacity, and counts as full until then.
    Instant fullUntil{0};
    /// When this instance last learned that it has failed or stalled.
    Instant faultAt{0};
    /// When the last event arrived of any stream that it serves as the first stage.
    Instant lastEventAt{0};
    /// Recent answers to requests of this instance.
    RecentFailures recent;
    /// Smoothed latency of plain answers; 0 before the first one.
    double latencyMs = 0;
    /// Smoothed ratio of failed plain requests at the time of its last update; see failureRatioAt().
    double failureRatio = 0;
    Instant failureRatioUpdatedAt{0};
};

/// All endpoints that the platform has listed, with the listed state corrected by the endpoints' own reports and by how they answer requests.
/// Endpoints that are no longer listed are kept, so that an EndpointIndex stays valid.
class EndpointRegistry
{
public:
    /// Takes a current list of a store of that epoch. After an outage of the store, entries that have expired meanwhile may be missing although their
    /// endpoints live, and so may new entries after a restore; they stay listed for a grace period. An entry that was removed before the restore and is
    /// there again after it may come from the copy: its endpoint gets no new work until the grace period has passed, in which it would be removed again.
    /// An entry of an earlier incarnation than the known one changes nothing, unless the last list with the known one was of the same epoch.
    void onList(Instant now, const std::vector<EndpointEntry> &entries, std::uint64_t epoch, bool afterOutage);

    /// Ends the grace periods that are over: an endpoint that is still missing from the list then is gone, also if the list doesn't change any more.
    void endGracePeriods(Instant now);

    /// Takes from the endpoint itself, or from another instance, that this incarnation of it is leaving. Returns false if that is known, or if the present
    /// incarnation is another one.
    bool setLeaving(EndpointIndex index, std::uint64_t incarnation);

    /// Takes an endpoint's own report and ends its mark as silent. A report of an older incarnation than the listed one changes no layers.
    void onReport(EndpointIndex index, const EndpointReport &report, Instant now);

    /// Ends the mark as silent of an endpoint that gives no reports, since it has answered.
    void endSilence(EndpointIndex index);

    /// Marks the endpoint as silent: it gets no new work until it has reported, or answered if it gives no reports. Each mark in a row delays the next report
    /// request further.
    void setSilent(EndpointIndex index, Instant now);

    /// Takes note that the endpoint has refused work, sent at that time, without running it, for lack of capacity or since it is leaving; see RefusalPause. If
    /// it gets no new work for a pause, that is at least as long as the endpoint has asked for.
    void onRefused(EndpointIndex index, Instant sentAt, Instant now, Ms minimum = Ms(0));

    /// Returns whether a plain endpoint that has refused work has room for one more request.
    bool hasRoom(EndpointIndex index, Instant now) const;

    /// Sends the endpoint no requests for a time that it has asked for itself. Neither a report nor an accepted request ends that, only a new incarnation.
    void backOff(EndpointIndex index, Instant now, Ms duration);

    /// Returns how much longer the endpoint wants no requests; zero if it takes them.
    Ms backoffLeft(EndpointIndex index, Instant now) const;

    /// Returns the same for an endpoint that is otherwise sound, so that it will take requests then; none for any other.
    std::optional<Ms> returnsIn(EndpointIndex index, Instant now) const;

    /// Takes an incarnation that is learned shortly after an endpoint's wish for the one that has stated it: the list lags behind.
    void confirmBackoffs(Instant now);

    /// Gives the endpoint no new work for at least the given time, or until it reports.
    void hold(EndpointIndex index, Instant now, Ms duration);

    /// Takes note that the endpoint has accepted work, which ends a pause if the work was sent after the refusal.
    void onAccepted(EndpointIndex index, Instant sentAt, Instant now);

    /// Returns whether the endpoint is avoided for its damaged answers. It isn't while no other endpoint in service could take its place: a request that may
    /// fail is better than none.
    bool isAvoided(EndpointIndex index, Instant now) const;

    /// Clears the layers of an endpoint that doesn't hold what it was expected to hold. It counts as empty until a report or list shows its layers.
    void forgetLayers(EndpointIndex index);

    /// Updates the smoothed latency and failure ratio after a plain request succeeded or failed.
    void onPlainAnswer(EndpointIndex index, double latencyMs, Instant now);
    void onPlainFailure(EndpointIndex index, Instant now);

    /// Returns true if the endpoint may get new work: listed, not draining, not silent, and neither paused nor held. A time in which it wants no requests,
    /// see backOff(), isn't considered: it may still be a later stage of a pipeline.
    bool isUsable(EndpointIndex index, Instant now) const;

    /// Finds an endpoint by id, also one that is no longer listed.
    std::optional<EndpointIndex> find(const std::string &id) const;
    /// Finds an endpoint by wire::endpointHash() of its id, which stands for it in digests.
    std::optional<EndpointIndex> findHash(std::uint32_t hash) const;
    /// Finds an endpoint by address. If several match, a later one replaces an earlier match only if it is listed and its incarnation isn't lower.
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

    /// Returns the number of a zone. Zones are numbered from 0 in the order in which they are first named.
    std::uint32_t zoneNumber(const std::string &zone);

    /// Returns true once a list has been taken.
    bool hasList() const
    {
        return hasList_;
    }

    /// Returns when a list last named an endpoint that was unknown before.
    Instant lastNewEndpointAt() const
    {
        return lastNewEndpointAt_;
    }

private:
    /// Forgets what is known of the endpoint's process before, since another one has taken its place.
    static void beginIncarnation(EndpointState &state);
    /// Takes a listed entry, but keeps newer state from the endpoint's own reports. Within one incarnation, leaving is final. An entry of another incarnation
    /// is taken as a whole; onList() has left out those that are old.
    void update(EndpointState &state, const EndpointEntry &entry, Instant now);

    std::vector<EndpointState> states_;
    std::unordered_map<std::string, EndpointIndex> byId_;
    /// Endpoints by wire::endpointHash() of their ids.
    std::unordered_map<std::uint32_t, EndpointIndex> byHash_;
    std::unordered_map<std::string, std::uint32_t> zoneNumbers_;
    bool hasList_ = false;
    /// Epoch of the store that the last list came from.
    std::uint64_t epoch_ = 0;
    Instant lastNewEndpointAt_{0};
};

/// Returns the ratio of failed plain requests at the given time. It decays with time, so that a failing endpoint gets requests again.
double failureRatioAt(const EndpointState &state, Instant now);

} // namespace relay
