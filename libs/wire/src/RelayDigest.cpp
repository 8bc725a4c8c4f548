#include "wire/RelayDigest.h"

#include "Records.pb.h"
#include "base/Hash.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace wire {

namespace {

/// Digests carry context tokens in units of this many tokens.
constexpr std::uint64_t TokensPerContextUnit = 256;
/// endpointHash() folds a 64-bit hash by combining its two halves of this size.
constexpr unsigned HashHalfBits = 32;
/// Digests carry slowdowns in tenths.
constexpr double TenthsPerWhole = 10;
/// Digests carry the ages of crashes in this unit.
constexpr std::chrono::milliseconds CrashAgeUnit{100};
/// Digests carry limits in hundredths, and their ages in this unit.
constexpr double HundredthsPerWhole = 100;
constexpr std::chrono::milliseconds LimitAgeUnit{10};
/// Digests carry decayed counts in eighths.
constexpr double EighthsPerWhole = 8;
/// Work above this is encoded as this, so that its hundredths fit into 32 bits.
constexpr double MaxWork = 1e7;

} // namespace

std::uint32_t endpointHash(std::string_view endpointId)
{
    const std::uint64_t hash = base::hashOf(endpointId);
    return static_cast<std::uint32_t>(hash ^ (hash >> HashHalfBits));
}

namespace {

/// Returns a number of tokens in the unit of the wire, rounded to the nearest.
std::uint32_t toContextUnits(std::uint64_t tokens)
{
    return static_cast<std::uint32_t>((tokens + TokensPerContextUnit / 2) / TokensPerContextUnit);
}

/// Copies what the sender knows for and against the causes of crashes.
void fillCrashNews(trefoilport::pb::RelayDigest &out, const RelayDigest &digest)
{
    for (const CrashReport &crashReport : digest.crashReports) {
        out.add_strike(crashReport.signature);
        out.add_strike_crash(crashReport.crash);
        out.add_strike_age(static_cast<std::uint32_t>(crashReport.age / CrashAgeUnit));
        out.add_strike_inference(crashReport.inference);
    }
    for (const CrashRefutation &refutation : digest.crashRefutations) {
        out.add_refuted(refutation.signature);
        out.add_refuted_crash(refutation.crash);
        out.add_refuted_inference(refutation.inference);
    }
    for (const std::uint64_t signature : digest.crashProbes) {
        out.add_probed(signature);
    }
}

/// Copies the fields that describe whose loads the digest counts.
void fillScope(trefoilport::pb::RelayDigest &out, const RelayDigest &digest)
{
    out.set_mesh_address(digest.meshAddress);
    out.set_hand_over_address(digest.handOverAddress);
    out.set_reaches_no_endpoint(digest.reachesNoEndpoint);
    out.set_zone(digest.zone);
    if (digest.scope != DigestScope::Instance) {
        out.set_scope(static_cast<std::uint32_t>(digest.scope));
        out.set_counted_instances(digest.countedInstances);
        out.set_known_instances(digest.knownInstances);
    }
    out.set_to_aggregator(digest.toAggregator);
    out.set_requests_fleet_loads(digest.requestsFleetLoads);
    for (const FailingEndpoint &failing : digest.failing) {
        out.add_failing(failing.endpoint);
        out.add_failing_answers(static_cast<std::uint32_t>(std::lround(failing.answers * EighthsPerWhole)));
        out.add_failing_failures(static_cast<std::uint32_t>(std::lround(failing.failures * EighthsPerWhole)));
    }
    for (const Aggregator &aggregator : digest.aggregators) {
        out.add_aggregator(aggregator.instance);
        out.add_aggregator_address(aggregator.meshAddress);
    }
}

/// Copies the loads. In a numbered sum, those whose slots the receiver doesn't know come first.
void fillLoads(trefoilport::pb::RelayDigest &out, const RelayDigest &digest)
{
    const bool isNumbered = digest.sumNumber != 0;
    std::uint32_t nextSlot = 0;
    std::uint32_t nextPending = 0;
    const auto addLoads = [&](bool isSlotKnown) {
        for (const EndpointLoad &load : digest.loads) {
            if (isNumbered && load.isSlotKnown != isSlotKnown) {
                continue;
            }
            if (isNumbered) {
                out.add_load_slot(load.slot - nextSlot);
                nextSlot = load.slot + 1;
            }
            if (!isSlotKnown) {
                out.add_endpoint(load.endpoint);
            }
            out.add_open_requests(load.openRequests);
            out.add_context(toContextUnits(load.contextTokens));
            const std::uint32_t pendingPrefill = toContextUnits(load.pendingPrefillTokens);
            const std::uint32_t pendingLink = toContextUnits(load.pendingLinkTokens);
            if (pendingPrefill > 0 || pendingLink > 0) {
                const auto position = static_cast<std::uint32_t>(out.open_requests_size() - 1);
                out.add_pending_position(position - nextPending);
                nextPending = isNumbered ? position + 1 : 0;
                out.add_pending_prefill(pendingPrefill);
                out.add_pending_link(pendingLink);
            }
        }
    };
    addLoads(false);
    if (isNumbered) {
        nextSlot = 0;
        addLoads(true);
    }
}

/// Copies the fields about sums and their changes.
void fillSums(trefoilport::pb::RelayDigest &out, const RelayDigest &digest)
{
    out.set_sum_number(digest.sumNumber);
    out.set_sum_base(digest.sumBase);
    out.set_accepts_changes(digest.acceptsChanges);
    out.set_omits_loads(digest.omitsLoads);
    for (const ReceivedSum &received : digest.receivedSums) {
        out.add_received_sender(received.sender);
        out.add_received_number(received.number);
    }
}

/// Copies what is exchanged for admission control.
void fillAdmission(trefoilport::pb::RelayDigest &out, const RelayDigest &digest)
{
    const auto hundredths = [](double work) {
        return static_cast<std::uint32_t>(std::lround(std::clamp(work, 0.0, MaxWork) * HundredthsPerWhole));
    };
    for (const WorkFlow &flow : digest.flows) {
        out.add_flow_service(flow.service);
        out.add_flow_team(flow.team);
        out.add_flow_priority(flow.priority);
        out.add_flow_offered(hundredths(flow.offered));
        out.add_flow_admitted(hundredths(flow.admitted));
        out.add_flow_congested(hundredths(flow.congested));
    }
    for (const std::uint32_t request : digest.returning) {
        out.add_returning(request);
    }
}

/// Copies the whole digest.
void fill(trefoilport::pb::RelayDigest &out, const RelayDigest &digest)
{
    out.set_config_version(digest.configVersion);
    out.set_endpoints_hash(digest.endpointsHash);
    out.set_endpoints_epoch(digest.endpointsVersion.epoch);
    out.set_endpoints_revision(digest.endpointsVersion.revision);
    out.set_behind(digest.isStale);
    out.set_instance(digest.instance);
    out.set_leaving(digest.leaving);
    fillLoads(out, digest);
    fillSums(out, digest);
    for (const SilentEndpoint &silent : digest.silent) {
        out.add_silent(silent.endpoint);
        out.add_silent_incarnation(silent.incarnation);
    }
    for (const LeavingEndpoint &leaving : digest.leavingEndpoints) {
        out.add_leaving_endpoint(leaving.endpoint);
        out.add_leaving_incarnation(leaving.incarnation);
    }
    for (const SlowEndpoint &slow : digest.slow) {
        out.add_slow(slow.endpoint);
        out.add_slowness_tenths(static_cast<std::uint32_t>(slow.slowdown * TenthsPerWhole));
    }
    fillCrashNews(out, digest);
    for (const EndpointLimit &limit : digest.limits) {
        out.add_limited(limit.endpoint);
        out.add_limit_hundredths(limit.perSecond > 0 ? std::max(1U, static_cast<std::uint32_t>(std::lround(limit.perSecond * HundredthsPerWhole))) : 0);
        out.add_limit_age(static_cast<std::uint32_t>(limit.age / LimitAgeUnit));
    }
    fillScope(out, digest);
    fillAdmission(out, digest);
}

/// Copies the fields that describe whose loads the digest counts. Versions before 0.4.0 don't send them: their digests count the sender's own requests.
void readScope(const trefoilport::pb::RelayDigest &in, RelayDigest &digest)
{
    digest.meshAddress = in.mesh_address();
    digest.handOverAddress = in.hand_over_address();
    digest.reachesNoEndpoint = in.reaches_no_endpoint();
    digest.zone = in.zone();
    digest.scope = static_cast<DigestScope>(in.scope());
    digest.countedInstances = std::max(1U, in.counted_instances());
    digest.knownInstances = std::max(digest.countedInstances, in.known_instances());
    digest.toAggregator = in.to_aggregator();
    digest.requestsFleetLoads = in.requests_fleet_loads();
    for (int i = 0; i < in.failing_size(); ++i) {
        digest.failing.push_back({in.failing(i), in.failing_answers(i) / EighthsPerWhole, in.failing_failures(i) / EighthsPerWhole});
    }
    for (int i = 0; i < in.aggregator_size(); ++i) {
        digest.aggregators.push_back({in.aggregator(i), in.aggregator_address(i)});
    }
}

void readCrashEvidence(const trefoilport::pb::RelayDigest &in, RelayDigest &digest)
{
    for (int i = 0; i < in.strike_size(); ++i) {
        const std::uint32_t ageUnits = in.strike_age_size() > 0 ? in.strike_age(i) : 0;
        const std::uint64_t inference = in.strike_inference_size() > 0 ? in.strike_inference(i) : UnstatedInference;
        digest.crashReports.push_back({in.strike(i), in.strike_crash(i), ageUnits * CrashAgeUnit, inference});
    }
    for (int i = 0; i < in.refuted_size(); ++i) {
        const std::uint64_t inference = in.refuted_inference_size() > 0 ? in.refuted_inference(i) : 0;
        digest.crashRefutations.push_back({in.refuted(i), in.refuted_crash(i), inference});
    }
    digest.crashProbes.assign(in.probed().begin(), in.probed().end());
}

void readLimits(const trefoilport::pb::RelayDigest &in, RelayDigest &digest)
{
    for (int i = 0; i < in.limited_size(); ++i) {
        digest.limits.push_back({in.limited(i), in.limit_hundredths(i) / HundredthsPerWhole, in.limit_age(i) * LimitAgeUnit});
    }
}

/// Returns whether the loads are complete: each with its endpoint or, in a numbered sum, with its slot.
bool areLoadsComplete(const trefoilport::pb::RelayDigest &in)
{
    const int loads = in.open_requests_size();
    const bool isNumbered = in.sum_number() != 0;
    const bool areNamed = isNumbered ? in.load_slot_size() == loads && in.endpoint_size() <= loads : in.endpoint_size() == loads;
    return areNamed && in.context_size() == loads && in.received_number_size() == in.received_sender_size();
}

/// Copies the loads of a digest whose loads are complete.
void readLoads(const trefoilport::pb::RelayDigest &in, RelayDigest &digest)
{
    const bool isNumbered = in.sum_number() != 0;
    std::uint32_t nextSlot = 0;
    digest.loads.reserve(static_cast<std::size_t>(in.open_requests_size()));
    for (int i = 0; i < in.open_requests_size(); ++i) {
        const bool isNamed = i < in.endpoint_size();
        // The slots of the endpoints that aren't named are counted from the start again.
        nextSlot = i == in.endpoint_size() ? 0 : nextSlot;
        const std::uint32_t slot = isNumbered ? nextSlot + in.load_slot(i) : 0;
        nextSlot = slot + 1;
        digest.loads.push_back({isNamed ? in.endpoint(i) : 0, in.open_requests(i), in.context(i) * TokensPerContextUnit, 0, 0, slot, !isNamed});
    }
    std::uint32_t nextPending = 0;
    for (int i = 0; i < in.pending_position_size(); ++i) {
        const std::uint32_t position = nextPending + in.pending_position(i);
        nextPending = isNumbered ? position + 1 : 0;
        if (position < digest.loads.size()) {
            EndpointLoad &load = digest.loads[position];
            load.pendingPrefillTokens = in.pending_prefill(i) * TokensPerContextUnit;
            load.pendingLinkTokens = in.pending_link(i) * TokensPerContextUnit;
        }
    }
}

/// Copies the fields about sums and their changes. Older senders don't state them: they send and accept complete sums only.
void readSums(const trefoilport::pb::RelayDigest &in, RelayDigest &digest)
{
    digest.sumNumber = in.sum_number();
    digest.sumBase = in.sum_base();
    digest.acceptsChanges = in.accepts_changes();
    digest.omitsLoads = in.omits_loads();
    for (int i = 0; i < in.received_sender_size(); ++i) {
        digest.receivedSums.push_back({in.received_sender(i), in.received_number(i)});
    }
}

void readAdmission(const trefoilport::pb::RelayDigest &in, RelayDigest &digest)
{
    for (int i = 0; i < in.flow_service_size(); ++i) {
        digest.flows.push_back({in.flow_service(i),
                                in.flow_team(i),
                                in.flow_priority(i),
                                in.flow_offered(i) / HundredthsPerWhole,
                                in.flow_admitted(i) / HundredthsPerWhole,
                                in.flow_congested(i) / HundredthsPerWhole});
    }
    digest.returning.assign(in.returning().begin(), in.returning().end());
}

bool flowSizesMatch(const trefoilport::pb::RelayDigest &in)
{
    const int flows = in.flow_service_size();
    return in.flow_team_size() == flows && in.flow_priority_size() == flows && in.flow_offered_size() == flows && in.flow_admitted_size() == flows
        && in.flow_congested_size() == flows;
}

std::optional<RelayDigest> toDigest(const trefoilport::pb::RelayDigest &in)
{
    const bool listSizesMatch = areLoadsComplete(in) && in.silent_incarnation_size() == in.silent_size() && in.slowness_tenths_size() == in.slow_size()
        && in.strike_crash_size() == in.strike_size() && (in.strike_age_size() == 0 || in.strike_age_size() == in.strike_size())
        && in.refuted_crash_size() == in.refuted_size() && (in.strike_inference_size() == 0 || in.strike_inference_size() == in.strike_size())
        && (in.refuted_inference_size() == 0 || in.refuted_inference_size() == in.refuted_size()) && in.limit_hundredths_size() == in.limited_size()
        && in.limit_age_size() == in.limited_size() && in.aggregator_address_size() == in.aggregator_size()
        && in.leaving_incarnation_size() == in.leaving_endpoint_size() && in.failing_answers_size() == in.failing_size()
        && in.failing_failures_size() == in.failing_size() && in.pending_prefill_size() == in.pending_position_size()
        && in.pending_link_size() == in.pending_position_size() && flowSizesMatch(in);
    const bool isScopeKnown = in.scope() <= static_cast<std::uint32_t>(DigestScope::Fleet);
    if (!listSizesMatch || !isScopeKnown || in.instance().empty()) {
        return std::nullopt;
    }
    RelayDigest digest{
        in.instance(), in.leaving(), {}, {}, {}, {}, in.config_version(), in.endpoints_hash(), {in.endpoints_epoch(), in.endpoints_revision()}, in.behind()};
    readScope(in, digest);
    readLoads(in, digest);
    readSums(in, digest);
    digest.silent.reserve(static_cast<std::size_t>(in.silent_size()));
    for (int i = 0; i < in.silent_size(); ++i) {
        digest.silent.push_back({in.silent(i), in.silent_incarnation(i)});
    }
    for (int i = 0; i < in.leaving_endpoint_size(); ++i) {
        digest.leavingEndpoints.push_back({in.leaving_endpoint(i), in.leaving_incarnation(i)});
    }
    digest.slow.reserve(static_cast<std::size_t>(in.slow_size()));
    for (int i = 0; i < in.slow_size(); ++i) {
        digest.slow.push_back({in.slow(i), in.slowness_tenths(i) / TenthsPerWhole});
    }
    readCrashEvidence(in, digest);
    readLimits(in, digest);
    readAdmission(in, digest);
    return digest;
}

void fill(trefoilport::pb::EndpointListChanges &out, const EndpointListChanges &changes)
{
    for (const EndpointRecord &record : changes.changed) {
        auto &filled = *out.add_changed();
        filled.set_id(record.id);
        filled.set_service(record.service);
        filled.set_address(record.address);
        filled.set_zone(record.zone);
        filled.set_incarnation(record.incarnation);
        filled.set_draining(record.draining);
        filled.set_slots(record.slots);
        filled.set_accelerator(record.accelerator);
        filled.set_first_layer(record.firstLayer);
        filled.set_end_layer(record.endLayer);
        filled.set_model_version(record.modelVersion);
    }
    for (const std::string &id : changes.removed) {
        out.add_removed(id);
    }
    out.set_complete(changes.isComplete);
}

EndpointListChanges toChanges(const trefoilport::pb::EndpointListChanges &in)
{
    EndpointListChanges changes;
    for (const auto &record : in.changed()) {
        changes.changed.push_back({record.id(),
                                   record.service(),
                                   record.address(),
                                   record.zone(),
                                   record.incarnation(),
                                   record.draining(),
                                   record.slots(),
                                   record.accelerator(),
                                   record.first_layer(),
                                   record.end_layer(),
                                   record.model_version()});
    }
    changes.removed.assign(in.removed().begin(), in.removed().end());
    changes.isComplete = in.complete();
    return changes;
}

FreshnessReply toFreshnessReply(const trefoilport::pb::FreshnessAnswer &in)
{
    FreshnessReply reply{in.number(),
                         in.config_version(),
                         in.config_age_ms(),
                         in.endpoints_hash(),
                         in.endpoints_age_ms(),
                         {in.endpoints_epoch(), in.endpoints_revision()},
                         std::nullopt};
    if (in.has_changes()) {
        reply.changes = toChanges(in.changes());
    }
    return reply;
}

std::optional<RelayMessage> toMessage(const trefoilport::pb::RelayMessage &in)
{
    if (in.has_question() && !in.question().instance().empty()) {
        const auto &question = in.question();
        return FreshnessRequest{question.instance(), question.number(), {question.endpoints_epoch(), question.endpoints_revision()}, question.mesh_address()};
    }
    if (in.has_answer()) {
        return toFreshnessReply(in.answer());
    }
    if (in.has_digest()) {
        if (auto digest = toDigest(in.digest())) {
            return *digest;
        }
    }
    return std::nullopt;
}

/// Visitor of RelayMessage that copies the message into its protobuf envelope.
struct MessageFiller {
    trefoilport::pb::RelayMessage &out;

    void operator()(const RelayDigest &digest) const
    {
        fill(*out.mutable_digest(), digest);
    }
    void operator()(const FreshnessRequest &request) const
    {
        out.mutable_question()->set_instance(request.instance);
        out.mutable_question()->set_number(request.number);
        out.mutable_question()->set_endpoints_epoch(request.endpointsVersion.epoch);
        out.mutable_question()->set_endpoints_revision(request.endpointsVersion.revision);
        out.mutable_question()->set_mesh_address(request.meshAddress);
    }
    void operator()(const FreshnessReply &reply) const
    {
        auto &filled = *out.mutable_answer();
        filled.set_number(reply.number);
        filled.set_config_version(reply.configVersion);
        filled.set_config_age_ms(reply.configAgeMs);
        filled.set_endpoints_hash(reply.endpointsHash);
        filled.set_endpoints_age_ms(reply.endpointsAgeMs);
        filled.set_endpoints_epoch(reply.endpointsVersion.epoch);
        filled.set_endpoints_revision(reply.endpointsVersion.revision);
        if (reply.changes) {
            fill(*filled.mutable_changes(), *reply.changes);
        }
    }
};

} // namespace

std::string encode(const RelayMessage &message)
{
    trefoilport::pb::RelayMessage out;
    std::visit(MessageFiller{out}, message);
    return out.SerializeAsString();
}

base::Result<RelayMessage> decodeRelayMessage(std::string_view bytes)
{
    trefoilport::pb::RelayMessage in;
    if (in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        if (auto message = toMessage(in)) {
            return *message;
        }
    }
    return base::Error{base::ErrorKind::BadRequest, "malformed bytes in place of a relay message"};
}

} // namespace wire
