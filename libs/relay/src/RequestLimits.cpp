#include "details/RequestLimits.h"

#include <algorithm>
#include <cmath>

namespace relay {

namespace {

/// Part of a limit that is used. The rest is for what instances send on shares that are not yet adjusted to each other.
constexpr double Utilization = 0.9;
/// Credit is saved up for this time at most, and a request that a part of one was exchanged for must be sent within it.
constexpr Ms MaxSavingTime{1000};
/// Answers may overtake each other: one without a limit that comes so soon after one with it says nothing.
constexpr Ms OvertakingTime{300};
/// A statement from another instance is newer only by more than this. Messages take time, so that the same one seems to be newer when it comes back.
constexpr Ms MinAdvance{100};
/// A limit has changed for the log, and for a digest before its time, if it differs by more than this part of the higher one.
constexpr double MinChange = 0.1;
/// A limit that an endpoint has stated is reported to other instances for this time; each answer states it again.
constexpr Ms ReportLifetime{3000};
/// A limit that no answer has repeated for this time is dropped: the endpoint may have no work that could end it.
constexpr Ms LimitLifetime{30000};

double secondsBetween(Instant from, Instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

RequestLimits::Limit &RequestLimits::limitOf(EndpointIndex endpoint)
{
    if (endpoint >= limits_.size()) {
        limits_.resize(endpoint + 1);
    }
    return limits_[endpoint];
}

double RequestLimits::current(EndpointIndex endpoint, Instant now) const
{
    if (endpoint >= limits_.size()) {
        return 0;
    }
    const Limit &limit = limits_[endpoint];
    const bool isInForce = limit.incarnation == endpoints_.at(endpoint).entry.incarnation && now < limit.statedAt + LimitLifetime;
    return isInForce ? limit.perSecond : 0;
}

bool RequestLimits::take(EndpointIndex endpoint, double perSecond, Instant statedAt, bool isOwn)
{
    Limit &limit = limitOf(endpoint);
    const double before = current(endpoint, statedAt);
    limit.perSecond = perSecond;
    limit.statedAt = statedAt;
    limit.isOwn = isOwn;
    limit.incarnation = endpoints_.at(endpoint).entry.incarnation;
    if (before == 0) {
        limit.credit = 0;
        limit.creditAt = statedAt;
        limit.grantedUntil = Instant{0};
    }
    return std::abs(before - perSecond) > MinChange * std::max(before, perSecond);
}

bool RequestLimits::onStated(EndpointIndex endpoint, double limit, Instant now)
{
    const Limit &known = limitOf(endpoint);
    const bool isOvertaken = limit == 0 && known.perSecond > 0 && now < known.statedAt + OvertakingTime;
    const bool wasSilent = limit == 0 && known.statedAt.count() == 0;
    return !isOvertaken && !wasSilent && take(endpoint, limit, now, true);
}

bool RequestLimits::onReport(const wire::EndpointLimit &report, Instant now)
{
    const auto endpoint = endpoints_.findHash(report.endpoint);
    const Instant statedAt = now - Instant(report.age);
    if (!endpoint || statedAt <= limitOf(*endpoint).statedAt + MinAdvance) {
        return false;
    }
    return take(*endpoint, report.perSecond, statedAt, false);
}

std::vector<wire::EndpointLimit> RequestLimits::reports(bool ownOnly, Instant now) const
{
    std::vector<wire::EndpointLimit> reports;
    for (EndpointIndex i = 0; i < limits_.size(); ++i) {
        const Limit &limit = limits_[i];
        const bool isRecent = limit.statedAt.count() != 0 && now < limit.statedAt + ReportLifetime;
        if (isRecent && (limit.isOwn || !ownOnly)) {
            reports.push_back({wire::endpointHash(endpoints_.at(i).entry.id), limit.perSecond, std::chrono::duration_cast<Ms>(now - limit.statedAt)});
        }
    }
    return reports;
}

double RequestLimits::ownRate(const Limit &limit) const
{
    return Utilization * share_ * limit.perSecond;
}

bool RequestLimits::maySend(EndpointIndex endpoint, double fraction, Instant now)
{
    if (current(endpoint, now) == 0) {
        return true;
    }
    Limit &limit = limits_[endpoint];
    if (now < limit.grantedUntil) {
        return true;
    }
    const double most = ownRate(limit) * std::chrono::duration<double>(MaxSavingTime).count();
    limit.credit = std::min(most, limit.credit + ownRate(limit) * secondsBetween(limit.creditAt, now));
    limit.creditAt = now;
    if (most >= 1 || limit.credit <= 0) {
        return limit.credit >= 1;
    }
    const bool isGranted = fraction < limit.credit;
    limit.credit = 0;
    limit.grantedUntil = isGranted ? now + MaxSavingTime : Instant{0};
    return isGranted;
}

void RequestLimits::onSent(EndpointIndex endpoint, Instant now)
{
    if (current(endpoint, now) == 0) {
        return;
    }
    Limit &limit = limits_[endpoint];
    if (now < limit.grantedUntil) {
        limit.grantedUntil = Instant{0};
    } else {
        limit.credit -= 1;
    }
}

Ms RequestLimits::expectedWait(EndpointIndex endpoint, Instant now) const
{
    const double perSecond = current(endpoint, now) > 0 ? ownRate(limits_[endpoint]) : 0;
    if (perSecond <= 0) {
        return Ms{0};
    }
    return std::chrono::duration_cast<Ms>(std::chrono::duration<double>(1 / perSecond));
}

} // namespace relay
