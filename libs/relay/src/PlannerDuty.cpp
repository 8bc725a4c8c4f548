#include "details/PlannerDuty.h"

#include <algorithm>

namespace relay {

namespace {

constexpr Ms RenewPeriod{1000};
constexpr Ms ObservePeriod{1000};
/// The holder stops so long before others may take the lease.
constexpr Ms LeaseMargin{500};
constexpr Ms PlanPeriod{100};
/// Between two moves of endpoints that hold layers.
constexpr Ms MovePeriod{300};
/// The first plan waits until no endpoint has joined the list for this time.
constexpr Ms SettleTime{1500};
/// An order without an answer is looked after once this time is over.
constexpr Ms OrderTime{700};
constexpr Ms RetryTime{200};
/// Time beyond the predicted load after which an endpoint is asked.
constexpr Ms LoadSlack{300};

std::string toText(placement::LayerRange range)
{
    return std::to_string(range.first) + "-" + std::to_string(range.end);
}

} // namespace

PlannerDuty::PlannerDuty(EndpointRegistry &endpoints, const PeerLoads &loads, RelayDriver &driver)
    : endpoints_(endpoints)
    , loads_(loads)
    , driver_(driver)
{
}

void PlannerDuty::configure(const RelaySettings &settings)
{
    instance_ = settings.instance;
    enabled_ = settings.planner;
    leaseTime_ = settings.leaseTime;
}

bool PlannerDuty::holdsLease(Instant now) const
{
    return now < validUntil_ && record_.fence > refusedFence_;
}

void PlannerDuty::tick(Instant now, const FleetConfigPtr &config, bool mayTakeLease)
{
    if (!enabled_ || releasing_) {
        return;
    }
    keepLease(now, mayTakeLease);
    if (!holdsLease(now)) {
        pending_.clear();
        return;
    }
    settlePending(now);
    if (!config || now < nextPlan_) {
        return;
    }
    nextPlan_ = now + PlanPeriod;
    for (const Service &service : config->services) {
        if (service.engine) {
            orderLayers(now, service);
        }
    }
}

void PlannerDuty::keepLease(Instant now, bool mayTakeLease)
{
    if (writing_ || now < nextAction_) {
        return;
    }
    const bool isMine = record_.holder == instance_ && revision_ != 0;
    if (isMine && record_.fence > refusedFence_) {
        nextAction_ = now + RenewPeriod;
        write({instance_, record_.fence, record_.renewal + 1}, revision_);
        return;
    }
    if (!mayTakeLease) {
        hasRead_ = false; // What was read may be old when this instance may take the lease again.
        return;
    }
    const bool isFree = hasRead_ && (revision_ == 0 || record_.holder.empty() || now >= seenAt_ + leaseTime_);
    if (isFree) {
        nextAction_ = now + ObservePeriod;
        write({instance_, record_.fence + 1, 0}, revision_);
        return;
    }
    nextAction_ = hasRead_ ? std::min(now + Instant(ObservePeriod), seenAt_ + leaseTime_) : now + Instant(ObservePeriod);
    driver_.readLease();
}

void PlannerDuty::write(const LeaseRecord &record, std::uint64_t expectedRevision)
{
    writing_ = true;
    written_ = record;
    driver_.writeLease(record, expectedRevision);
}

void PlannerDuty::onLeaseRead(Instant now, std::uint64_t revision, const LeaseRecord &record)
{
    if (hasRead_ && revision <= revision_ && revision_ != 0) {
        return; // Nothing new, or a read older than what is known.
    }
    hasRead_ = true;
    revision_ = revision;
    record_ = record;
    seenAt_ = now;
    if (revision == 0 || record.holder.empty() || record.holder == instance_) {
        nextAction_ = now;
    }
}

void PlannerDuty::onLeaseWritten(Instant now, Instant sentAt, std::uint64_t revision)
{
    writing_ = false;
    if (revision == 0) {
        // Another instance was faster, or the outcome is unknown: a read tells.
        nextAction_ = now + ObservePeriod;
        driver_.readLease();
        return;
    }
    const bool isNew = record_.holder != instance_ || record_.fence != written_.fence;
    revision_ = revision;
    record_ = written_;
    seenAt_ = now;
    if (!releasing_) {
        validUntil_ = sentAt + leaseTime_ - LeaseMargin;
    }
    if (isNew && !releasing_) {
        driver_.record({"lease_taken", "", instance_, "fence " + std::to_string(record_.fence) + ", revision " + std::to_string(revision)});
    }
}

void PlannerDuty::release()
{
    releasing_ = true;
    validUntil_ = Instant{0};
    if (record_.holder == instance_ && revision_ != 0 && !writing_) {
        write({"", record_.fence, record_.renewal + 1}, revision_);
    }
}

void PlannerDuty::settlePending(Instant now)
{
    for (auto it = pending_.begin(); it != pending_.end();) {
        EndpointState &state = endpoints_.at(it->first);
        const bool isDone = state.entry.layers == it->second.range;
        const bool isVoid = !state.listed || state.entry.draining || state.entry.incarnation > it->second.incarnation;
        if (isDone || isVoid) {
            it = pending_.erase(it);
            continue;
        }
        if (now >= it->second.checkAt && !state.reportPending) {
            it->second.checkAt = now + OrderTime;
            state.reportPending = true;
            state.reportRequestedAt = now;
            driver_.readReport(state.entry.id, state.entry.address);
        }
        ++it;
    }
}

void PlannerDuty::orderLayers(Instant now, const Service &service)
{
    const placement::EngineProfile &profile = *service.engine;
    std::vector<placement::PlannerEndpoint> hosts;
    std::vector<EndpointIndex> indices;
    bool anyHeld = false;
    for (EndpointIndex i = 0; i < endpoints_.size(); ++i) {
        const EndpointState &state = endpoints_.at(i);
        if (state.entry.service != service.name || !state.listed || state.entry.draining || state.suspectUntil.count() != 0) {
            continue;
        }
        const std::uint32_t kind = placement::kindIndex(profile, state.entry.accelerator);
        const auto waiting = pending_.find(i);
        const placement::LayerRange held = waiting != pending_.end() ? waiting->second.range : state.entry.layers;
        anyHeld = anyHeld || !held.empty();
        hosts.push_back({kind, state.zone, held, loads_.loadOn(i, now).openRequests, waiting == pending_.end() && !state.loading, state.slowdown});
        indices.push_back(i);
    }
    if (!anyHeld && now < endpoints_.lastArrival() + SettleTime) {
        return;
    }
    const auto assignments = placement::planLayers(profile, hosts);
    if (assignments.empty()) {
        return moveOne(now, profile, hosts, indices);
    }
    for (const placement::Assignment &assignment : assignments) {
        if (!endpoints_.at(indices[assignment.host]).loading) {
            order(now, indices[assignment.host], assignment.range, profile);
        }
    }
}

void PlannerDuty::moveOne(Instant now,
                          const placement::EngineProfile &profile,
                          const std::vector<placement::PlannerEndpoint> &hosts,
                          const std::vector<EndpointIndex> &indices)
{
    if (now < nextMove_ || pending_.size() >= std::max(1U, profile.maxConcurrentLoads)) {
        return;
    }
    const auto move = placement::planMove(profile, hosts);
    if (!move) {
        return;
    }
    nextMove_ = now + MovePeriod;
    const EndpointIndex index = indices[move->host];
    order(now, index, move->range, profile);
    // Nothing new goes to the layers that it gives up.
    endpoints_.at(index).entry.layers = {};
    endpoints_.at(index).reportedAt = now;
}

void PlannerDuty::order(Instant now, EndpointIndex index, placement::LayerRange range, const placement::EngineProfile &profile)
{
    const EndpointState &state = endpoints_.at(index);
    const double loads = std::max(1.0, static_cast<double>(pending_.size() + 1) / std::max(1U, profile.maxConcurrentLoads));
    loadMs_ = profile.loadSeconds * 1e3 * range.size() / std::max(1U, profile.layers) * loads;
    pending_[index] = {range, state.entry.incarnation, now + OrderTime, false};
    driver_.sendOrder({state.entry.id, state.entry.address, range, record_.fence, state.orderCount});
    driver_.record({"order_place",
                    "",
                    state.entry.id,
                    "layers " + toText(range) + ", fence " + std::to_string(record_.fence) + ", orders so far " + std::to_string(state.orderCount)});
}

void PlannerDuty::onOrderAnswer(Instant now, EndpointIndex index, OrderOutcome outcome)
{
    const auto found = pending_.find(index);
    if (outcome == OrderOutcome::Fenced) {
        refusedFence_ = std::max(refusedFence_, record_.fence);
        validUntil_ = Instant{0};
        driver_.record({"lease_fenced", "", endpoints_.at(index).entry.id, "fence " + std::to_string(record_.fence)});
        return;
    }
    driver_.record({"order_answered", "", endpoints_.at(index).entry.id, std::string(base::nameIn(OrderOutcomeNames, outcome))});
    if (found == pending_.end()) {
        return;
    }
    if (outcome == OrderOutcome::Accepted && !found->second.accepted) {
        ++endpoints_.at(index).orderCount;
    }
    found->second.accepted = outcome == OrderOutcome::Accepted;
    const Ms wait = outcome == OrderOutcome::Accepted ? Ms(static_cast<std::int64_t>(loadMs_)) + LoadSlack : Ms{0};
    found->second.checkAt = now + wait;
}

void PlannerDuty::onReport(Instant now, EndpointIndex index, bool answered)
{
    const auto found = pending_.find(index);
    if (found == pending_.end()) {
        return;
    }
    const EndpointState &state = endpoints_.at(index);
    if (!answered) {
        return;
    }
    if (state.loading) {
        found->second.checkAt = now + OrderTime;
    } else if (state.entry.layers != found->second.range) {
        // Not begun, or begun and void: the next plan decides anew.
        pending_.erase(found);
        nextPlan_ = std::max(nextPlan_, now + RetryTime);
    }
}

} // namespace relay
