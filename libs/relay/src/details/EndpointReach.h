#pragma once

#include "details/EndpointRegistry.h"

#include <map>
#include <optional>
#include <vector>

namespace relay {

/// Decides whether this instance is cut off from all endpoints, although callers, the store and other instances may still reach it.
///
/// What counts is whether an endpoint answers over a new connection: old ones may live on while new ones are refused, and may hang without a reset. A failure
/// at one endpoint only raises a doubt, which a few checks of other endpoints settle: one that answers proves that the instance isn't cut off. It is once
/// several endpoints have failed, and none has answered since the first of them did.
class EndpointReach
{
public:
    /// What the last tick has changed.
    enum class Change {
        None,
        CutOff,
        ReachesAgain,
    };

    /// Takes the seed by which the endpoints to check are chosen.
    void configure(std::uint64_t seed)
    {
        seed_ = seed;
    }

    /// Takes that an endpoint has answered over a new connection: there is a way to the endpoints.
    void onReached(Instant now);
    /// Takes that something has come from an endpoint, perhaps over an old connection.
    void onReceived(Instant now)
    {
        receivedAt_ = now;
    }
    /// Takes that an endpoint could not be reached, broke off, or has not answered in time.
    void onFailed(EndpointIndex endpoint, Instant now);
    /// Takes that a request, or a stream that has begun, has waited since that time.
    void onWaiting(Instant since, Instant now);

    /// Draws the conclusions that are due. `endpoints` are those that should be within reach.
    Change tick(const std::vector<EndpointIndex> &endpoints, Instant now);
    /// Returns the endpoints to check now; the results go to onReached() and onFailed().
    std::vector<EndpointIndex> dueChecks(const std::vector<EndpointIndex> &endpoints, Instant now);

    /// Returns true while the instance reaches no endpoint.
    bool isCutOff() const
    {
        return isCutOff_;
    }
    /// Returns true if that is so, or may be: what the instance finds of single endpoints says nothing of them.
    bool isInDoubt() const
    {
        return isCutOff_ || !failedAt_.empty();
    }
    /// Returns when an endpoint last answered over a new connection; zero if none has.
    Instant reachedAt() const
    {
        return reachedAt_;
    }

private:
    /// Returns how many endpoints must fail before the instance counts as cut off; none if there are too few to tell.
    static std::optional<std::size_t> failuresNeeded(std::size_t endpoints);

    std::uint64_t seed_ = 0;
    std::uint64_t draws_ = 0;
    Instant reachedAt_{0};
    Instant receivedAt_{0};
    /// Endpoints that have failed since one was reached last, and when they last did.
    std::map<EndpointIndex, Instant> failedAt_;
    /// When the first of them failed.
    Instant doubtSince_{0};
    /// A check is wanted although nothing has failed: nothing has been received for a while. When that was last so.
    bool isSilent_ = false;
    Instant silentAt_{0};
    /// Checks whose results are awaited, and when they were chosen.
    std::map<EndpointIndex, Instant> pendingChecks_;
    /// When checks were last chosen, for an instance that is cut off.
    Instant checkedAt_{0};
    bool isCutOff_ = false;
    bool reachesAgain_ = false;
};

} // namespace relay
