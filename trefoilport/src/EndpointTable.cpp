#include "details/EndpointTable.h"

#include <algorithm>

namespace trefoilport {

namespace {

/// How long an endpoint may be missing from the instance list, which lags behind, before it gets no new work.
constexpr std::chrono::milliseconds MissingGracePeriod{1500};
/// Interval between probes of an endpoint whose circuit is open; doubles with each failure up to the maximum.
constexpr std::chrono::milliseconds MinProbeInterval{100};
constexpr std::chrono::milliseconds MaxProbeInterval{2000};
/// Maximum number of doublings, so that the shift can't overflow.
constexpr std::uint32_t MaxBackoffShift = 5;

} // namespace

EndpointIndex EndpointTable::indexFor(const EndpointInfo &info)
{
    const auto [found, isNew] = byId_.try_emplace(info.id, static_cast<EndpointIndex>(endpoints_.size()));
    if (isNew) {
        endpoints_.emplace_back();
        endpoints_.back().info = info;
        const auto early = earlyNotices_.find(info.id);
        if (early != earlyNotices_.end()) {
            endpoints_.back().leavingSeen = true;
            endpoints_.back().leavingIncarnation = early->second;
            earlyNotices_.erase(early);
        }
    }
    return found->second;
}

void EndpointTable::onList(const std::vector<EndpointInfo> &endpoints, base::Now now, Actions &actions)
{
    std::vector<bool> present(endpoints_.size() + endpoints.size(), false);
    for (const EndpointInfo &info : endpoints) {
        const EndpointIndex index = indexFor(info);
        Endpoint &endpoint = endpoints_[index];
        present[index] = true;
        // The list may be stale and show an earlier incarnation.
        if (info.incarnation < endpoint.info.incarnation) {
            continue;
        }
        if (info.incarnation > endpoint.info.incarnation) {
            endpoint.failures = 0;
            endpoint.reported = 0;
            endpoint.inFlightAtReport = 0;
        }
        endpoint.info = info;
        endpoint.listed = true;
        endpoint.missingSince = base::Instant{0};
        if (info.leaving) {
            markLeaving(info.id, info.incarnation, actions);
        }
    }
    for (EndpointIndex index = 0; index < endpoints_.size(); ++index) {
        if (!present[index] && endpoints_[index].listed && endpoints_[index].missingSince.count() == 0) {
            endpoints_[index].missingSince = now.mono;
        }
    }
    rebuildServing();
}

void EndpointTable::rebuildServing()
{
    serving_.clear();
    for (EndpointIndex index = 0; index < endpoints_.size(); ++index) {
        serving_[endpoints_[index].info.serves].push_back(index);
    }
    for (auto &[name, list] : serving_) {
        std::sort(list.begin(), list.end(), [this](EndpointIndex a, EndpointIndex b) {
            const EndpointInfo &left = endpoints_[a].info;
            const EndpointInfo &right = endpoints_[b].info;
            return std::tie(left.firstLayer, left.id) < std::tie(right.firstLayer, right.id);
        });
    }
}

void EndpointTable::onLoad(const LoadReported &report, Actions &actions)
{
    const auto found = find(report.endpoint);
    if (!found) {
        return;
    }
    if (report.leaving) {
        markLeaving(report.endpoint, report.incarnation, actions);
    }
    Endpoint &endpoint = endpoints_[*found];
    if (report.incarnation < endpoint.info.incarnation) {
        return;
    }
    endpoint.info.incarnation = report.incarnation;
    endpoint.reported = report.inFlight;
    endpoint.inFlightAtReport = endpoint.inFlight;
    if (endpoint.failures > 0) {
        endpoint.failures = 0;
        actions.push_back(Record{TimelineKind::EndpointRecovered, 0, report.endpoint, ""});
    }
}

bool EndpointTable::markLeaving(const std::string &id, std::uint64_t incarnation, Actions &actions)
{
    const auto found = find(id);
    if (!found) {
        std::uint64_t &early = earlyNotices_[id];
        early = std::max(early, incarnation);
        return false;
    }
    Endpoint &endpoint = endpoints_[*found];
    if (endpoint.leavingSeen && endpoint.leavingIncarnation >= incarnation) {
        return false;
    }
    endpoint.leavingSeen = true;
    endpoint.leavingIncarnation = incarnation;
    if (incarnation >= endpoint.info.incarnation) {
        actions.push_back(Record{TimelineKind::EndpointLeaving, 0, id, "incarnation " + std::to_string(incarnation)});
    }
    return true;
}

void EndpointTable::markFailed(EndpointIndex index, base::Now now, Actions &actions)
{
    Endpoint &endpoint = endpoints_[index];
    if (endpoint.failures == 0) {
        actions.push_back(Record{TimelineKind::EndpointSuspected, 0, endpoint.info.id, ""});
        endpoint.nextProbe = now.mono + MinProbeInterval;
    }
    ++endpoint.failures;
}

void EndpointTable::tick(base::Now now, Actions &actions)
{
    for (Endpoint &endpoint : endpoints_) {
        if (endpoint.missingSince.count() != 0 && now.mono - endpoint.missingSince > MissingGracePeriod) {
            endpoint.listed = false;
        }
        if (endpoint.listed && endpoint.failures > 0 && now.mono >= endpoint.nextProbe) {
            const auto backoff = MinProbeInterval * (1U << std::min(endpoint.failures, MaxBackoffShift));
            endpoint.nextProbe = now.mono + std::min<base::Instant>(backoff, MaxProbeInterval);
            actions.push_back(ProbeEndpoint{endpoint.info.id, endpoint.info.address});
        }
    }
}

bool EndpointTable::isUsable(EndpointIndex index) const
{
    const Endpoint &endpoint = endpoints_[index];
    const bool leaving = endpoint.leavingSeen && endpoint.leavingIncarnation >= endpoint.info.incarnation;
    return endpoint.listed && !leaving && endpoint.failures == 0;
}

std::uint32_t EndpointTable::load(EndpointIndex index) const
{
    const Endpoint &endpoint = endpoints_[index];
    const std::uint32_t others = endpoint.reported > endpoint.inFlightAtReport ? endpoint.reported - endpoint.inFlightAtReport : 0;
    return endpoint.inFlight + others;
}

bool EndpointTable::hasRoom(EndpointIndex index, std::size_t liveInstances, std::uint32_t capacityPercent) const
{
    if (!isUsable(index)) {
        return false;
    }
    // An instance may always use its even share of the capacity. Beyond that it uses what the estimated load of all instances leaves free.
    const Endpoint &endpoint = endpoints_[index];
    const std::uint32_t capacity = std::max<std::uint32_t>(1, endpoint.info.capacity * capacityPercent / 100);
    const std::size_t evenShare = std::max<std::size_t>(1, capacity / std::max<std::size_t>(1, liveInstances));
    return endpoint.inFlight < evenShare || load(index) < capacity;
}

std::optional<EndpointIndex> EndpointTable::find(const std::string &id) const
{
    const auto found = byId_.find(id);
    if (found == byId_.end()) {
        return std::nullopt;
    }
    return found->second;
}

const std::vector<EndpointIndex> &EndpointTable::serving(const std::string &name) const
{
    static const std::vector<EndpointIndex> none;
    const auto found = serving_.find(name);
    return found == serving_.end() ? none : found->second;
}

std::vector<wire::LeavingNotice> EndpointTable::leavingNotices() const
{
    std::vector<wire::LeavingNotice> notices;
    for (const Endpoint &endpoint : endpoints_) {
        if (endpoint.leavingSeen && endpoint.listed && endpoint.leavingIncarnation >= endpoint.info.incarnation) {
            notices.push_back({endpoint.info.id, endpoint.leavingIncarnation});
        }
    }
    return notices;
}

std::string EndpointTable::stateOf(EndpointIndex index) const
{
    const Endpoint &endpoint = endpoints_[index];
    if (!endpoint.listed) {
        return "missing";
    }
    if (endpoint.leavingSeen && endpoint.leavingIncarnation >= endpoint.info.incarnation) {
        return "leaving";
    }
    return endpoint.failures > 0 ? "suspect" : "up";
}

} // namespace trefoilport
