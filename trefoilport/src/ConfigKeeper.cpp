#include "details/ConfigKeeper.h"

#include <algorithm>

namespace trefoilport {

namespace {

/// A silent member is removed from the head after this multiple of confirmMs. By then it has stopped accepting work; the factor allows for time that its own
/// clock missed.
constexpr std::int64_t RemovalFactor = 2;
/// Confirmation is requested from the members once the last read of the head is older than confirmMs divided by this number, and then at that interval.
constexpr std::int64_t ConfirmRequestsPerPeriod = 4;
/// Minimum interval between the coordinator's writes of the head.
constexpr std::chrono::milliseconds WriteInterval{200};
/// Minimum interval between configuration requests to peers.
constexpr std::chrono::milliseconds FetchInterval{200};
/// An intent is opened only if the last read of the head is at most this old. If the store fails while an intent is open, members can't confirm the head and no
/// new work is accepted until the store is back.
constexpr std::chrono::milliseconds MaxFreshReadAge{100};
/// Minimum interval between reads of the head that the coordinator requests.
constexpr std::chrono::milliseconds ReadInterval{200};

bool contains(const std::vector<std::string> &list, const std::string &item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

/// Instance id in a member name, which is "instance:incarnation".
std::string idOf(const std::string &member)
{
    return member.substr(0, member.rfind(':'));
}

} // namespace

std::string memberName(const std::string &id, std::uint64_t incarnation)
{
    return id + ":" + std::to_string(incarnation);
}

ConfigKeeper::ConfigKeeper(const KernelSettings &settings, Membership &membership)
    : settings_(settings)
    , membership_(membership)
    , ownMember_(memberName(settings.id, settings.incarnation))
{
}

std::uint64_t ConfigKeeper::stagedRevision() const
{
    const bool usable = staged_ && staged_->parsed;
    return std::max(usable ? staged_->document.revision : 0, accepted_.document.revision);
}

Membership::OwnState ConfigKeeper::ownState(bool leaving) const
{
    return {stagedRevision(), accepted_.document.revision, epoch_, intentEpoch_, storeReachable_, leaving, stopped_};
}

void ConfigKeeper::onHead(const HeadReceived &seen, base::Now now, Actions &actions)
{
    if (!storeReachable_) {
        actions.push_back(Record{TimelineKind::StoreReachable, 0, settings_.id, ""});
    }
    storeReachable_ = true;
    if (storeFirstAnsweredAt_.count() == 0) {
        storeFirstAnsweredAt_ = now.mono;
    }
    if (seen.isDamaged && seen.version != damagedVersion_) {
        damagedVersion_ = seen.version;
        actions.push_back(Record{TimelineKind::HeadDamaged, 0, settings_.id, "config/head, version " + std::to_string(seen.version) + ", can't be decoded"});
    }
    if (seen.head) {
        // A lower version or epoch comes from a stale read, which must neither revert nor confirm the head.
        if (seen.version < headVersion_ || seen.head->epoch < epoch_) {
            return;
        }
        headVersion_ = seen.version;
        adoptHead(*seen.head, actions);
    } else if (seen.version != headVersion_) {
        return;
    }
    headWasRead_ = true;
    headReadAt_ = std::max(headReadAt_, seen.issuedAt);
}

void ConfigKeeper::onStoreFailed(Actions &actions)
{
    if (storeReachable_) {
        actions.push_back(Record{TimelineKind::StoreUnreachable, 0, settings_.id, ""});
    }
    storeReachable_ = false;
}

void ConfigKeeper::onPeerHead(const ParsedHead &head, Actions &actions)
{
    const std::uint64_t ownStagedRevision = staged_ ? staged_->document.revision : 0;
    if (head.epoch > epoch_) {
        adoptHead(head, actions);
    } else if (head.epoch == epoch_ && head.staged && head.staged->document.revision > ownStagedRevision) {
        adoptStaged(head.staged, actions);
    }
}

void ConfigKeeper::adoptHead(const ParsedHead &head, Actions &actions)
{
    if (head.epoch > epoch_) {
        confirmations_.clear();
    }
    epoch_ = head.epoch;
    intentEpoch_ = std::max(intentEpoch_, epoch_);
    members_ = head.members;
    adoptAccepted(head.accepted, actions);
    adoptStaged(head.staged, actions);
}

void ConfigKeeper::adoptAccepted(const ConfigVersion &version, Actions &actions)
{
    if (version.document.revision <= accepted_.document.revision || !version.parsed) {
        return;
    }
    accepted_ = version;
    actions.push_back(Record{TimelineKind::ConfigActivated, 0, settings_.id, "revision " + std::to_string(version.document.revision)});
}

void ConfigKeeper::adoptStaged(const std::optional<ConfigVersion> &version, Actions &actions)
{
    const std::uint64_t before = stagedRevision();
    staged_ = version;
    if (staged_ && staged_->parsed && stagedRevision() > before) {
        actions.push_back(Record{TimelineKind::ConfigStaged, 0, settings_.id, "revision " + std::to_string(stagedRevision())});
    }
}

std::optional<wire::ConfigReply> ConfigKeeper::replyTo(const wire::ConfigRequest &request) const
{
    if (epoch_ <= request.epoch && stagedRevision() <= request.stagedRevision) {
        return std::nullopt;
    }
    return wire::ConfigReply{toHead()};
}

wire::ConfigHead ConfigKeeper::toHead() const
{
    wire::ConfigHead head{epoch_, accepted_.document, std::nullopt, members_};
    if (staged_) {
        head.staged = staged_->document;
    }
    return head;
}

wire::ConfirmReply ConfigKeeper::confirmReplyTo(const wire::ConfirmRequest &request) const
{
    return {request.sequence, epoch_, intentEpoch_};
}

void ConfigKeeper::onConfirmReply(const std::string &from, std::uint64_t incarnation, const wire::ConfirmReply &reply)
{
    const auto sentRequest = confirmRequestTimes_.find(reply.sequence);
    if (sentRequest == confirmRequestTimes_.end()) {
        return;
    }
    Confirmation &confirmation = confirmations_[memberName(from, incarnation)];
    if (sentRequest->second >= confirmation.requestedAt) {
        confirmation = {sentRequest->second, reply.epoch, reply.intentEpoch};
    }
}

void ConfigKeeper::onWriteDone(const StoreWriteDone &done)
{
    // Whether or not the write took effect, the watch reports the stored head; the result of the write itself is not used.
    if (done.op == writeOp_) {
        writeOp_ = 0;
    }
}

bool ConfigKeeper::isConfirmedByStore(base::Now now) const
{
    return headWasRead_ && now.mono - headReadAt_ <= std::chrono::milliseconds(settings_.confirmMs);
}

bool ConfigKeeper::isConfirmedByMembers(base::Now now) const
{
    if (members_.empty() || intentEpoch_ > epoch_) {
        return false;
    }
    const std::chrono::milliseconds maxAge(settings_.confirmMs);
    std::size_t agreeing = contains(members_, ownMember_) ? 1 : 0;
    for (const auto &[member, confirmation] : confirmations_) {
        if (!contains(members_, member) || isGone(member) || now.mono - confirmation.requestedAt > maxAge) {
            continue;
        }
        if (confirmation.epoch > epoch_ || confirmation.intentEpoch > epoch_) {
            return false;
        }
        ++agreeing;
    }
    const auto gone = std::count_if(members_.begin(), members_.end(), [this](const std::string &member) { return isGone(member); });
    return 2 * (agreeing + static_cast<std::size_t>(gone)) > members_.size();
}

/// True if this incarnation of the member has stopped for good and held no intent for a later epoch.
bool ConfigKeeper::isGone(const std::string &member) const
{
    const wire::MemberState *state = membership_.find(idOf(member));
    return state != nullptr && state->gone && memberName(state->id, state->incarnation) == member && state->intentEpoch <= epoch_;
}

bool ConfigKeeper::isConfirmed(base::Now now) const
{
    if (!accepted_.parsed || membership_.highestEpochs().first > epoch_) {
        return false;
    }
    return isConfirmedByStore(now) || isConfirmedByMembers(now);
}

void ConfigKeeper::requestConfirmation(base::Now now, Actions &actions)
{
    const std::chrono::milliseconds interval(settings_.confirmMs / ConfirmRequestsPerPeriod);
    const bool headReadIsOld = !headWasRead_ || now.mono - headReadAt_ > interval;
    if (!headReadIsOld || now.mono < nextConfirmRequest_) {
        return;
    }
    nextConfirmRequest_ = now.mono + interval;
    const std::uint64_t sequence = ++lastSequence_;
    confirmRequestTimes_[sequence] = now.mono;
    std::erase_if(confirmRequestTimes_, [&](const auto &entry) { return now.mono - entry.second > std::chrono::milliseconds(settings_.confirmMs); });
    for (const std::string &member : members_) {
        const std::string address = member == ownMember_ ? std::string() : membership_.addressOf(idOf(member));
        if (!address.empty()) {
            actions.push_back(SendPeer{address, {settings_.id, settings_.incarnation, wire::ConfirmRequest{sequence}, 0}});
        }
    }
}

std::vector<std::string> ConfigKeeper::waitingFor() const
{
    std::vector<std::string> missing;
    if (!staged_) {
        return missing;
    }
    for (const std::string &member : members_) {
        const wire::MemberState *state = membership_.find(idOf(member));
        const bool isSame = state != nullptr && memberName(state->id, state->incarnation) == member;
        const std::uint64_t revision = member == ownMember_ ? stagedRevision() : (isSame ? state->stagedRevision : 0);
        if (revision < staged_->document.revision) {
            missing.push_back(member);
        }
    }
    return missing;
}

bool ConfigKeeper::isCoordinator() const
{
    // Several coordinators at once would be safe, since the write is conditional. The first live member that reaches the store is chosen to avoid conflicts.
    for (const std::string &id : membership_.liveMembers()) {
        if (id == settings_.id) {
            return true;
        }
        const wire::MemberState *state = membership_.find(id);
        if (state != nullptr && state->storeReachable) {
            return false;
        }
    }
    return false;
}

bool ConfigKeeper::isRemovable(const std::string &member, base::Now now) const
{
    if (member == ownMember_) {
        return false;
    }
    const std::string id = idOf(member);
    const wire::MemberState *state = membership_.find(id);
    const bool wasReplaced = state != nullptr && memberName(id, state->incarnation) != member;
    if (wasReplaced || (state != nullptr && state->leaving)) {
        return true;
    }
    const base::Instant silentSince = std::max(membership_.silentSince(id), storeFirstAnsweredAt_);
    return now.mono - silentSince > std::chrono::milliseconds(RemovalFactor * settings_.confirmMs);
}

std::vector<std::string> ConfigKeeper::nextMembers(base::Now now) const
{
    std::vector<std::string> next;
    for (const std::string &member : members_) {
        if (!isRemovable(member, now)) {
            next.push_back(member);
        }
    }
    for (const std::string &live : membership_.liveMembers()) {
        const std::string member = memberName(live, membership_.find(live)->incarnation);
        if (!contains(next, member)) {
            next.push_back(member);
        }
    }
    std::sort(next.begin(), next.end());
    return next;
}

/// Adopts the intent for the next epoch if any member holds it.
void ConfigKeeper::adoptIntent()
{
    const std::uint64_t intent = membership_.highestEpochs().second;
    if (intent == epoch_ + 1 && !stopped_) {
        intentEpoch_ = std::max(intentEpoch_, intent);
    }
}

bool ConfigKeeper::majorityHasIntent(std::uint64_t epoch) const
{
    std::size_t count = 0;
    for (const std::string &member : members_) {
        const wire::MemberState *state = membership_.find(idOf(member));
        const bool isSame = state != nullptr && memberName(state->id, state->incarnation) == member;
        count += member == ownMember_ ? 1 : (isSame && state->intentEpoch >= epoch ? 1 : 0);
    }
    return members_.empty() || 2 * count > members_.size();
}

/// True if the last read of the head is at most MaxFreshReadAge old and was sent after the pending change became due; otherwise requests a read.
bool ConfigKeeper::headIsFresh(base::Now now, Actions &actions)
{
    if (changeDueSince_.count() == 0) {
        changeDueSince_ = now.mono;
    }
    if (headReadAt_ >= changeDueSince_ && now.mono - headReadAt_ <= MaxFreshReadAge) {
        return true;
    }
    if (now.mono >= nextRead_) {
        nextRead_ = now.mono + ReadInterval;
        actions.push_back(ReadHead{});
    }
    return false;
}

void ConfigKeeper::coordinate(base::Now now, Actions &actions, StoreOpId &nextOp)
{
    const bool hasStarted = storeFirstAnsweredAt_.count() != 0 && now.mono - storeFirstAnsweredAt_ > std::chrono::milliseconds(settings_.suspectMs);
    if (writeOp_ != 0 || now.mono < nextWrite_ || !storeReachable_ || !isConfirmedByStore(now) || !hasStarted || stopped_ || !isCoordinator()) {
        return;
    }
    wire::ConfigHead head = toHead();
    head.members = nextMembers(now);
    // Changes of the members come first: a revision is accepted only if every member in the stored head has staged it.
    const bool membersChange = head.members != members_;
    const bool accepts = !membersChange && staged_ && !members_.empty() && waitingFor().empty();
    // An intent whose coordinator is gone is closed by writing an epoch that changes nothing else.
    const bool intentIsOpen = membership_.highestEpochs().second > epoch_;
    if (!membersChange && !accepts && !intentIsOpen) {
        changeDueSince_ = base::Instant{0};
        return;
    }
    head.epoch = epoch_ + 1;
    if (intentEpoch_ < head.epoch && !headIsFresh(now, actions)) {
        return;
    }
    intentEpoch_ = head.epoch;
    if (!majorityHasIntent(head.epoch)) {
        return;
    }
    if (accepts) {
        head.accepted = staged_->document;
        head.staged.reset();
        actions.push_back(Record{TimelineKind::ConfigAccepted, 0, settings_.id, "revision " + std::to_string(head.accepted.revision)});
    }
    writeOp_ = nextOp++;
    nextWrite_ = now.mono + WriteInterval;
    actions.push_back(WriteStore{writeOp_, "config/head", std::move(head), headVersion_});
}

void ConfigKeeper::fetchFromPeers(base::Now now, Actions &actions)
{
    if (now.mono < nextFetch_) {
        return;
    }
    const std::string peer = membership_.memberAhead(epoch_, stagedRevision());
    const std::string address = peer.empty() ? std::string() : membership_.addressOf(peer);
    if (!address.empty()) {
        nextFetch_ = now.mono + FetchInterval;
        const wire::ConfigRequest request{epoch_, stagedRevision()};
        actions.push_back(SendPeer{address, {settings_.id, settings_.incarnation, request, 0}});
    }
}

void ConfigKeeper::tick(base::Now now, Actions &actions, StoreOpId &nextOp)
{
    fetchFromPeers(now, actions);
    adoptIntent();
    requestConfirmation(now, actions);
    coordinate(now, actions, nextOp);
}

} // namespace trefoilport
