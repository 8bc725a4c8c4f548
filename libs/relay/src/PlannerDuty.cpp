#include "details/PlannerDuty.h"

#include "base/Time.h"

#include <algorithm>

namespace relay {

namespace {

/// Interval between renewals by the holder of the lease, and between reads of it or attempts to take it by the others.
constexpr Ms RenewPeriod{1000};
constexpr Ms ObservePeriod{1000};
/// Fencing numbers that each epoch of the store has to itself. Numbers stay below 2^53, up to which JSON numbers are exact, for 2^33 epochs.
constexpr std::uint64_t FencesPerEpoch = 1ULL << 20;
/// The holder stops sending orders this long before others may take the lease.
constexpr Ms LeaseMargin{500};
constexpr Ms PlanPeriod{100};
/// Minimum interval between two moves of endpoints that hold layers.
constexpr Ms MovePeriod{300};
/// Layers that stay scarce for this time are relieved. Longer than a silence of a moment, in which their holders only seem to be lost.
constexpr Ms ScarcityPeriod{3000};
/// If no endpoint holds layers, planning waits until no new endpoint has been listed for this time.
constexpr Ms SettlePeriod{1500};
/// A report is requested this long after an order without an answer, and again after each further period.
constexpr Ms OrderTimeout{700};
/// Delay of the next plan after an order was not carried out.
constexpr Ms ReplanDelay{200};
/// Time beyond the predicted end of a load after which a report is requested.
constexpr Ms LoadMargin{300};

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
    leaseLifetime_ = settings.leaseLifetime;
}

bool PlannerDuty::holdsLease(Instant now) const
{
    return now < validUntil_ && heldFence_ > refusedFence_;
}

void PlannerDuty::tick(Instant now, const FleetConfigPtr &config, bool mayTakeLease)
{
    if (!enabled_ || releasing_) {
        return;
    }
    maintainLease(now, mayTakeLease);
    if (!holdsLease(now)) {
        pending_.clear();
        scarceLayers_.clear();
        return;
    }
    checkPendingOrders(now);
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

void PlannerDuty::maintainLease(Instant now, bool mayTakeLease)
{
    if (writing_ || now < nextLeaseAction_) {
        return;
    }
    if (hasReadLease_ && mayRenew(now)) {
        nextLeaseAction_ = now + RenewPeriod;
        write({instance_, heldFence_, record_.renewal + 1}, version_.revision);
        return;
    }
    if (!mayTakeLease && now >= validUntil_) {
        hasReadLease_ = false; // The record may be outdated by the time this instance may take the lease again.
        return;
    }
    if (mayTakeLease && isLeaseFree(now)) {
        nextLeaseAction_ = now + ObservePeriod;
        write({instance_, nextFence(), 0}, version_.revision);
        return;
    }
    const Instant freeAt = std::max(seenAt_, restoredAt_) + leaseLifetime_;
    nextLeaseAction_ = hasReadLease_ && freeAt > now ? std::min(now + Instant(ObservePeriod), freeAt) : now + Instant(ObservePeriod);
    driver_.readLease();
}

bool PlannerDuty::mayRenew(Instant now) const
{
    if (heldFence_ == 0 || heldFence_ <= refusedFence_) {
        return false;
    }
    if (version_.epoch == heldEpoch_) {
        return version_.revision != 0 && record_.holder == instance_ && record_.fence == heldFence_;
    }
    // The record of this lease may be lost. Nobody else can have taken the lease before its end, so that it may be written again until then.
    return now < validUntil_ && record_.fence <= heldFence_;
}

bool PlannerDuty::isLeaseFree(Instant now) const
{
    const bool hasOldLeaseEnded = restoredAt_.count() == 0 || now >= restoredAt_ + leaseLifetime_;
    const bool isUnheld = version_.revision == 0 || record_.holder.empty() || now >= seenAt_ + leaseLifetime_;
    return hasReadLease_ && hasOldLeaseEnded && isUnheld;
}

std::uint64_t PlannerDuty::nextFence() const
{
    return std::max({record_.fence, heldFence_, refusedFence_, epoch_.value_or(0) * FencesPerEpoch}) + 1;
}

void PlannerDuty::write(const LeaseRecord &record, std::uint64_t expectedRevision)
{
    writing_ = true;
    written_ = record;
    writtenEpoch_ = epoch_.value_or(0);
    driver_.writeLease(record, expectedRevision);
}

void PlannerDuty::onStoreEpoch(Instant now, std::uint64_t epoch)
{
    if (epoch_ && epoch > *epoch_) {
        restoredAt_ = now;
        hasReadLease_ = false;
        nextLeaseAction_ = now;
    }
    epoch_ = std::max(epoch_.value_or(0), epoch);
}

void PlannerDuty::onLeaseRead(Instant now, wire::StoreVersion version, const LeaseRecord &record)
{
    onStoreEpoch(now, version.epoch);
    const bool isOlder = version.epoch < *epoch_ || (hasReadLease_ && version < version_);
    if (isOlder) {
        driver_.record({"lease_read_refused", "", instance_, "version " + toText(version) + " is older than " + toText(version_)});
    }
    if (isOlder || (hasReadLease_ && version == version_ && version.revision != 0)) {
        return;
    }
    hasReadLease_ = true;
    version_ = version;
    record_ = record;
    seenAt_ = now;
    const bool isOwnWrite = record.holder == instance_ && record.fence == written_.fence && version.epoch == writtenEpoch_;
    if (isOwnWrite) {
        adoptLease(record.fence, version); // A write whose outcome was unknown has taken place.
    }
    if (record.fence > heldFence_) {
        validUntil_ = Instant{0}; // Another instance has taken the lease since.
    }
    if (mayRenew(now) || isLeaseFree(now)) {
        nextLeaseAction_ = now;
    }
}

void PlannerDuty::onLeaseWritten(Instant now, Instant sentAt, wire::StoreVersion version)
{
    writing_ = false;
    onStoreEpoch(now, version.epoch);
    if (version.revision == 0 || version.epoch != writtenEpoch_) {
        // Another instance wrote first, the outcome is unknown, or the condition was checked in another epoch, where the revision has another meaning. The
        // read shows which.
        nextLeaseAction_ = now + ObservePeriod;
        driver_.readLease();
        return;
    }
    version_ = version;
    record_ = written_;
    seenAt_ = now;
    adoptLease(written_.fence, version);
    if (!releasing_) {
        validUntil_ = sentAt + leaseLifetime_ - LeaseMargin;
    }
}

void PlannerDuty::adoptLease(std::uint64_t fence, wire::StoreVersion version)
{
    const bool isNew = heldFence_ != fence || heldEpoch_ != version.epoch;
    heldFence_ = fence;
    heldEpoch_ = version.epoch;
    if (isNew && !releasing_) {
        driver_.record({"lease_taken", "", instance_, "fence " + std::to_string(fence) + ", version " + toText(version)});
    }
}

void PlannerDuty::release()
{
    releasing_ = true;
    validUntil_ = Instant{0};
    if (record_.holder == instance_ && version_.revision != 0 && version_.epoch == heldEpoch_ && !writing_) {
        write({"", record_.fence, record_.renewal + 1}, version_.revision);
    }
}

void PlannerDuty::resume()
{
    releasing_ = false;
}

void PlannerDuty::checkPendingOrders(Instant now)
{
    for (auto it = pending_.begin(); it != pending_.end();) {
        EndpointState &state = endpoints_.at(it->first);
        const bool isDone = state.entry.layers == it->second.range;
        const bool isObsolete = !state.listed || state.entry.draining || state.entry.incarnation > it->second.incarnation;
        if (isDone || isObsolete) {
            it = pending_.erase(it);
            continue;
        }
        if (now >= it->second.checkAt && !state.reportPending) {
            it->second.checkAt = now + OrderTimeout;
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
    std::vector<placement::PlannerEndpoint> plannerEndpoints;
    std::vector<EndpointIndex> registryIndices;
    bool anyHeld = false;
    for (EndpointIndex i = 0; i < endpoints_.size(); ++i) {
        const EndpointState &state = endpoints_.at(i);
        if (state.entry.service != service.name || !state.listed || state.entry.draining || state.silentCheckAt.count() != 0) {
            continue;
        }
        const std::uint32_t kind = placement::kindIndex(profile, state.entry.accelerator);
        const auto pendingOrder = pending_.find(i);
        const placement::LayerRange held = pendingOrder != pending_.end() ? pendingOrder->second.range : state.entry.layers;
        anyHeld = anyHeld || !held.empty();
        plannerEndpoints.push_back(
            {kind, state.zone, held, loads_.loadOn(i, now).openRequests, pendingOrder == pending_.end() && !state.loading, state.slowdown});
        registryIndices.push_back(i);
    }
    if (!anyHeld && now < endpoints_.lastNewEndpointAt() + SettlePeriod) {
        return;
    }
    const auto assignments = placement::planLayers(profile, plannerEndpoints);
    if (assignments.empty()) {
        return orderMove(now, service, plannerEndpoints, registryIndices);
    }
    for (const placement::Assignment &assignment : assignments) {
        if (!endpoints_.at(registryIndices[assignment.endpoint]).loading) {
            orderRange(now, registryIndices[assignment.endpoint], assignment.range, profile);
        }
    }
}

void PlannerDuty::orderMove(Instant now,
                            const Service &service,
                            const std::vector<placement::PlannerEndpoint> &plannerEndpoints,
                            const std::vector<EndpointIndex> &registryIndices)
{
    const placement::EngineProfile &profile = *service.engine;
    const auto layer = lastingScarceLayer(now, service, plannerEndpoints);
    if (now < nextMove_ || pending_.size() >= std::max(1U, profile.maxConcurrentLoads)) {
        return;
    }
    auto move = placement::planMove(profile, plannerEndpoints);
    if (!move && layer) {
        move = placement::planRelief(profile, plannerEndpoints, *layer);
        recordScarcity(service, *layer, move.has_value());
    }
    if (!move) {
        if (const auto scarcest = layer ? placement::scarcestLayer(profile, plannerEndpoints) : std::nullopt; scarcest && *scarcest != *layer) {
            scarceLayers_[service.name] = {*scarcest, now}; // Nothing can be done for the one that was scarce before.
        }
        return;
    }
    nextMove_ = now + MovePeriod;
    const EndpointIndex index = registryIndices[move->endpoint];
    orderRange(now, index, move->range, profile);
    // No new requests are sent to the layers that the endpoint gives up.
    endpoints_.at(index).entry.layers = {};
    endpoints_.at(index).reportedAt = now;
}

std::optional<std::uint32_t>
PlannerDuty::lastingScarceLayer(Instant now, const Service &service, const std::vector<placement::PlannerEndpoint> &plannerEndpoints)
{
    const auto known = scarceLayers_.find(service.name);
    if (known != scarceLayers_.end() && placement::isScarce(*service.engine, plannerEndpoints, known->second.layer)) {
        return now >= known->second.since + ScarcityPeriod ? std::optional(known->second.layer) : std::nullopt;
    }
    const auto layer = placement::scarcestLayer(*service.engine, plannerEndpoints);
    if (layer) {
        scarceLayers_[service.name] = {*layer, now};
    } else {
        scarceLayers_.erase(service.name);
    }
    return std::nullopt;
}

void PlannerDuty::recordScarcity(const Service &service, std::uint32_t layer, bool isRelieved)
{
    ScarceLayer &scarce = scarceLayers_[service.name];
    if (isRelieved || !scarce.isRecorded) {
        const std::string outcome = isRelieved ? "an endpoint moves there" : "no endpoint can move there without making others as scarce";
        driver_.record({"layers_scarce", "", service.name, "from layer " + std::to_string(layer) + " on; " + outcome});
    }
    scarce.isRecorded = true;
}

void PlannerDuty::orderRange(Instant now, EndpointIndex index, placement::LayerRange range, const placement::EngineProfile &profile)
{
    const EndpointState &state = endpoints_.at(index);
    // Loads beyond the supported number slow each other down.
    const double loadSlowdown = std::max(1.0, static_cast<double>(pending_.size() + 1) / std::max(1U, profile.maxConcurrentLoads));
    const double loadMs = profile.loadSeconds * 1e3 * range.size() / std::max(1U, profile.layers) * loadSlowdown;
    pending_[index] = {range, state.entry.incarnation, now + OrderTimeout, base::boundedMs(loadMs), false};
    driver_.sendOrder({state.entry.id, state.entry.address, range, heldFence_, state.orderCount});
    driver_.record({"order_place",
                    "",
                    state.entry.id,
                    "layers " + toText(range) + ", fence " + std::to_string(heldFence_) + ", orders so far " + std::to_string(state.orderCount)});
}

void PlannerDuty::onOrderAnswer(Instant now, EndpointIndex index, OrderOutcome outcome)
{
    const auto found = pending_.find(index);
    if (outcome == OrderOutcome::Fenced) {
        refusedFence_ = std::max(refusedFence_, heldFence_);
        validUntil_ = Instant{0};
        driver_.record({"lease_fenced", "", endpoints_.at(index).entry.id, "fence " + std::to_string(heldFence_)});
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
    const Ms wait = outcome == OrderOutcome::Accepted ? found->second.predictedLoad + LoadMargin : Ms{0};
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
        found->second.checkAt = now + OrderTimeout;
    } else if (state.entry.layers != found->second.range) {
        // The order was not begun, or its load was given up: the next plan assigns a range again.
        pending_.erase(found);
        nextPlan_ = std::max(nextPlan_, now + ReplanDelay);
    }
}

} // namespace relay
