#include "wire/Codec.h"

#include "Records.pb.h"

namespace wire {

namespace {

base::Error malformed(const char *record)
{
    return {base::ErrorKind::BadRequest, std::string("malformed bytes in place of a ") + record};
}

template<typename Message>
bool parse(Message &message, std::string_view bytes)
{
    return message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

void fill(trefoilport::pb::Claim &out, const Claim &claim)
{
    out.set_key(claim.key);
    out.set_nonce(claim.nonce);
    out.set_state(static_cast<std::uint32_t>(claim.state));
    out.set_request_hash(claim.requestHash);
    out.set_claimed_at_ms(claim.claimedAtMs);
    out.set_status(static_cast<std::uint32_t>(claim.status));
    out.set_content_type(claim.contentType);
    out.set_body(claim.body);
    out.set_body_dropped(!claim.bodyKept);
}

Claim toClaim(const trefoilport::pb::Claim &in)
{
    Claim claim;
    claim.key = in.key();
    claim.nonce = in.nonce();
    // A state that only a newer release knows is read as Unknown: the call is not dispatched again and its outcome is not replayed.
    claim.state = in.state() <= static_cast<std::uint32_t>(ClaimState::Unknown) ? static_cast<ClaimState>(in.state()) : ClaimState::Unknown;
    claim.requestHash = in.request_hash();
    claim.claimedAtMs = in.claimed_at_ms();
    claim.status = static_cast<int>(in.status());
    claim.contentType = in.content_type();
    claim.body = in.body();
    claim.bodyKept = !in.body_dropped();
    return claim;
}

void fill(trefoilport::pb::ConfigDocument &out, const ConfigDocument &document)
{
    out.set_revision(document.revision);
    for (const ConfigFile &file : document.files) {
        auto *added = out.add_files();
        added->set_name(file.name);
        added->set_text(file.text);
    }
}

ConfigDocument toDocument(const trefoilport::pb::ConfigDocument &in)
{
    ConfigDocument document;
    document.revision = in.revision();
    for (const auto &file : in.files()) {
        document.files.push_back({file.name(), file.text()});
    }
    return document;
}

void fill(trefoilport::pb::ConfigHead &out, const ConfigHead &head)
{
    out.set_epoch(head.epoch);
    fill(*out.mutable_accepted(), head.accepted);
    if (head.staged) {
        fill(*out.mutable_staged(), *head.staged);
    }
    for (const std::string &member : head.members) {
        out.add_members(member);
    }
}

ConfigHead toHead(const trefoilport::pb::ConfigHead &in)
{
    ConfigHead head;
    head.epoch = in.epoch();
    head.accepted = toDocument(in.accepted());
    if (in.has_staged()) {
        head.staged = toDocument(in.staged());
    }
    head.members.assign(in.members().begin(), in.members().end());
    return head;
}

/// Returns true if two members have the same revisions, epochs and store state. Such an entry is then sent without them, to keep gossip small.
bool hasSameState(const MemberState &left, const MemberState &right)
{
    return left.stagedRevision == right.stagedRevision && left.acceptedRevision == right.acceptedRevision && left.epoch == right.epoch
        && left.intentEpoch == right.intentEpoch && left.storeReachable == right.storeReachable;
}

void fillState(trefoilport::pb::MemberState &out, const MemberState &member)
{
    out.set_staged_revision(member.stagedRevision);
    out.set_accepted_revision(member.acceptedRevision);
    out.set_epoch(member.epoch);
    out.set_intent_epoch(member.intentEpoch);
    out.set_store_reachable(member.storeReachable);
}

void fill(trefoilport::pb::Gossip &out, const Gossip &gossip)
{
    for (const MemberState &member : gossip.members) {
        auto *added = out.add_members();
        added->set_id(member.id);
        added->set_incarnation(member.incarnation);
        added->set_counter(member.counter);
        added->set_leaving(member.leaving);
        added->set_gone(member.gone);
        added->set_address(member.address);
        added->set_zone(member.zone);
        const bool isFirst = &member == &gossip.members.front();
        if (!isFirst && hasSameState(member, gossip.members.front())) {
            added->set_as_first(true);
        } else {
            fillState(*added, member);
        }
    }
    for (const LeavingNotice &notice : gossip.leaving) {
        auto *added = out.add_leaving();
        added->set_endpoint(notice.endpoint);
        added->set_incarnation(notice.incarnation);
    }
    for (const CrashNotice &crashNotice : gossip.crashNotices) {
        auto *added = out.add_strikes();
        added->set_fingerprint(crashNotice.fingerprint);
        added->set_observer(crashNotice.observer);
        added->set_strikes(crashNotice.crashCount);
        added->set_remaining_ms(crashNotice.remainingMs);
    }
}

MemberState toMember(const trefoilport::pb::MemberState &in, const trefoilport::pb::MemberState &first)
{
    const trefoilport::pb::MemberState &state = in.as_first() ? first : in;
    MemberState member;
    member.id = in.id();
    member.incarnation = in.incarnation();
    member.counter = in.counter();
    member.stagedRevision = state.staged_revision();
    member.acceptedRevision = state.accepted_revision();
    member.epoch = state.epoch();
    member.intentEpoch = state.intent_epoch();
    member.storeReachable = state.store_reachable();
    member.leaving = in.leaving();
    member.gone = in.gone();
    member.address = in.address();
    member.zone = in.zone();
    return member;
}

Gossip toGossip(const trefoilport::pb::Gossip &in)
{
    Gossip gossip;
    for (const auto &member : in.members()) {
        gossip.members.push_back(toMember(member, in.members(0)));
    }
    for (const auto &notice : in.leaving()) {
        gossip.leaving.push_back({notice.endpoint(), notice.incarnation()});
    }
    for (const auto &crashNotice : in.strikes()) {
        gossip.crashNotices.push_back({crashNotice.fingerprint(), crashNotice.observer(), crashNotice.strikes(), crashNotice.remaining_ms()});
    }
    return gossip;
}

} // namespace

std::string encode(const ClaimBucket &bucket)
{
    trefoilport::pb::ClaimBucket message;
    for (const Claim &claim : bucket.claims) {
        fill(*message.add_claims(), claim);
    }
    return message.SerializeAsString();
}

base::Result<ClaimBucket> decodeClaimBucket(std::string_view bytes)
{
    trefoilport::pb::ClaimBucket message;
    if (!parse(message, bytes)) {
        return malformed("claim bucket");
    }
    ClaimBucket bucket;
    for (const auto &claim : message.claims()) {
        bucket.claims.push_back(toClaim(claim));
    }
    return bucket;
}

std::string encode(const ConfigHead &head)
{
    trefoilport::pb::ConfigHead message;
    fill(message, head);
    return message.SerializeAsString();
}

base::Result<ConfigHead> decodeConfigHead(std::string_view bytes)
{
    trefoilport::pb::ConfigHead message;
    if (!parse(message, bytes)) {
        return malformed("configuration head");
    }
    return toHead(message);
}

std::string encode(const PeerEnvelope &envelope)
{
    trefoilport::pb::PeerEnvelope message;
    message.set_from(envelope.from);
    message.set_incarnation(envelope.incarnation);
    message.set_stamp(envelope.stamp);
    if (const auto *gossip = std::get_if<Gossip>(&envelope.message)) {
        fill(*message.mutable_gossip(), *gossip);
    } else if (const auto *configRequest = std::get_if<ConfigRequest>(&envelope.message)) {
        message.mutable_config_request()->set_epoch(configRequest->epoch);
        message.mutable_config_request()->set_staged_revision(configRequest->stagedRevision);
    } else if (const auto *configReply = std::get_if<ConfigReply>(&envelope.message)) {
        fill(*message.mutable_config_reply(), configReply->head);
    }
    if (const auto *confirmRequest = std::get_if<ConfirmRequest>(&envelope.message)) {
        message.mutable_confirm_request()->set_sequence(confirmRequest->sequence);
    } else if (const auto *confirmReply = std::get_if<ConfirmReply>(&envelope.message)) {
        message.mutable_confirm_reply()->set_sequence(confirmReply->sequence);
        message.mutable_confirm_reply()->set_epoch(confirmReply->epoch);
        message.mutable_confirm_reply()->set_intent_epoch(confirmReply->intentEpoch);
    }
    return message.SerializeAsString();
}

base::Result<PeerEnvelope> decodePeerEnvelope(std::string_view bytes)
{
    trefoilport::pb::PeerEnvelope message;
    if (!parse(message, bytes)) {
        return malformed("peer message");
    }
    PeerEnvelope envelope{message.from(), message.incarnation(), Gossip{}};
    switch (message.message_case()) {
    case trefoilport::pb::PeerEnvelope::kGossip:
        envelope.message = toGossip(message.gossip());
        return envelope;
    case trefoilport::pb::PeerEnvelope::kConfigRequest:
        envelope.message = ConfigRequest{message.config_request().epoch(), message.config_request().staged_revision()};
        return envelope;
    case trefoilport::pb::PeerEnvelope::kConfigReply:
        envelope.message = ConfigReply{toHead(message.config_reply())};
        return envelope;
    case trefoilport::pb::PeerEnvelope::kConfirmRequest:
        envelope.message = ConfirmRequest{message.confirm_request().sequence()};
        return envelope;
    case trefoilport::pb::PeerEnvelope::kConfirmReply:
        envelope.message = ConfirmReply{message.confirm_reply().sequence(), message.confirm_reply().epoch(), message.confirm_reply().intent_epoch()};
        return envelope;
    case trefoilport::pb::PeerEnvelope::MESSAGE_NOT_SET:
        break;
    }
    return malformed("peer message");
}

} // namespace wire
