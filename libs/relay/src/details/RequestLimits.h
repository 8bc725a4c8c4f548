#pragma once

#include "details/EndpointRegistry.h"
#include "wire/RelayDigest.h"

namespace relay {

/// Keeps the limits that endpoints name: the requests a second that one takes from all instances together.
///
/// Each instance uses its share of a limit, so that no instance has to ask before it sends. What an endpoint has said last counts, whichever instance received
/// it: statements are exchanged with their age. Credit accrues with the share. In a large fleet a share may be a small fraction of a request a second, and if
/// every instance could save up a whole request, all might send theirs at once. So credit is saved up only for a short time, and a part of a whole request is
/// exchanged for one with the probability that it stands for.
class RequestLimits
{
public:
    explicit RequestLimits(EndpointRegistry &endpoints)
        : endpoints_(endpoints)
    {
    }

    /// Takes what an endpoint's own answer says: its limit, or 0 for none. Returns true if that has changed by more than a little.
    bool onStated(EndpointIndex endpoint, double limit, Instant now);
    /// Takes over what an endpoint has said to another instance, unless something newer is known. Returns true likewise.
    bool onReport(const wire::EndpointLimit &report, Instant now);
    /// Returns what endpoints have said lately, for other instances: to this one only, or to any one that is known.
    std::vector<wire::EndpointLimit> reports(bool ownOnly, Instant now) const;

    /// Sets the part of the limits that this instance may use, from 0 to 1.
    void setShare(double share)
    {
        share_ = share;
    }
    /// Returns true if the endpoint may get a request from this instance now. `fraction` is a random number from [0, 1).
    bool maySend(EndpointIndex endpoint, double fraction, Instant now);
    /// Counts a request that was sent to the endpoint.
    void onSent(EndpointIndex endpoint, Instant now);
    /// Returns the expected time until the endpoint may get a request from this instance; zero if it has no limit.
    Ms expectedWait(EndpointIndex endpoint, Instant now) const;

private:
    struct Limit {
        /// Requests a second from all instances; 0 for none.
        double perSecond = 0;
        /// When the endpoint said so; zero if it has not said anything.
        Instant statedAt{0};
        /// It said so to this instance, not to another one.
        bool isOwn = false;
        /// Incarnation of the endpoint then. A new one has named no limit.
        std::uint64_t incarnation = 0;
        /// Requests that this instance may send at the time `creditAt`.
        double credit = 0;
        Instant creditAt{0};
        /// Until then it may send one that it has got for a part of a request; zero if there is none.
        Instant grantedUntil{0};
    };

    Limit &limitOf(EndpointIndex endpoint);
    /// Returns the limit in force; 0 if there is none.
    double current(EndpointIndex endpoint, Instant now) const;
    /// Takes a statement and returns true if the limit has changed by more than a little.
    bool take(EndpointIndex endpoint, double perSecond, Instant statedAt, bool isOwn);
    /// Returns the requests a second that this instance may send.
    double ownRate(const Limit &limit) const;

    EndpointRegistry &endpoints_;
    std::vector<Limit> limits_;
    double share_ = 0;
};

} // namespace relay
