#include "details/ConfigKeeper.h"

#include <algorithm>

namespace trefoilport {

namespace {

/// A silent member is removed after this multiple of confirmMs: by then it has stopped taking work, whatever its own clock missed.
constexpr std::int64_t RemovalFactor = 2;
/// Members are asked when the last read of the head is older than this part of confirmMs, and again after the same time.
constexpr std::int64_t QuestionPart = 4;
constexpr std::chrono::milliseconds WritePause{200};
constexpr std::chrono::milliseconds FetchPause{200};
/// An intent is opened only right after a read of the head, since an outage that finds one open stops new work until it ends.
constexpr std::chrono::milliseconds FreshRead{100};
constexpr std::chrono::milliseconds ReadPause{200};

bool contains(const std::vector<std::string> &list, const std::string &item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

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
    if (startedAt_.count() == 0) {
        startedAt_ = now.mono;
    }
    if (seen.head) {
        // A stale read shows a lower version or epoch: it neither reverts nor confirms anything.
        if (seen.version < headVersion_ || seen.head->epoch < epoch_) {
            return;
        }
        headVersion_ = seen.version;
        takeHead(*seen.head, actions);
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
    const std::uint64_t held = staged_ ? staged_->document.revision : 0;
    if (head.epoch > epoch_) {
        takeHead(head, actions);
    } else if (head.epoch == epoch_ && head.staged && head.staged->document.revision > held) {
        takeStaged(head.staged, actions);
    }
}

void ConfigKeeper::takeHead(const ParsedHead &head, Actions &actions)
{
    if (head.epoch > epoch_) {
        confirmations_.clear();
    }
    epoch_ = head.epoch;
    intentEpoch_ = std::max(intentEpoch_, epoch_);
    members_ = head.members;
    takeAccepted(head.accepted, actions);
    takeStaged(head.staged, actions);
}

void ConfigKeeper::takeAccepted(const ConfigVersion &version, Actions &actions)
{
    if (version.document.revision <= accepted_.document.revision || !version.parsed) {
        return;
    }
    accepted_ = version;
    actions.push_back(Record{TimelineKind::ConfigActivated, 0, settings_.id, "revision " + std::to_string(version.document.revision)});
}

void ConfigKeeper::takeStaged(const std::optional<ConfigVersion> &version, Actions &actions)
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
    const auto asked = requestTimes_.find(reply.sequence);
    if (asked == requestTimes_.end()) {
        return;
    }
    Confirmation &confirmation = confirmations_[memberName(from, incarnation)];
    if (asked->second >= confirmation.requestedAt) {
        confirmation = {asked->second, reply.epoch, reply.intentEpoch};
    }
}

void ConfigKeeper::onWriteDone(const StoreWriteDone &done)
{
    // Whatever came of the write, the watch shows the head next; nothing is taken from the write itself.
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
    const std::chrono::milliseconds bound(settings_.confirmMs);
    std::size_t agreeing = contains(members_, ownMember_) ? 1 : 0;
    for (const auto &[member, confirmation] : confirmations_) {
        if (!contains(members_, member) || isGone(member) || now.mono - confirmation.requestedAt > bound) {
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

/// True if the member has stopped for good without an intent for a later epoch.
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

void ConfigKeeper::askMembers(base::Now now, Actions &actions)
{
    const std::chrono::milliseconds pause(settings_.confirmMs / QuestionPart);
    const bool storeIsSilent = !headWasRead_ || now.mono - headReadAt_ > pause;
    if (!storeIsSilent || now.mono < nextRequest_) {
        return;
    }
    nextRequest_ = now.mono + pause;
    const std::uint64_t sequence = ++lastSequence_;
    requestTimes_[sequence] = now.mono;
    std::erase_if(requestTimes_, [&](const auto &question) { return now.mono - question.second > std::chrono::milliseconds(settings_.confirmMs); });
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
    // Any instance may coordinate, since only the conditional write decides; taking the first one avoids conflicts.
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
    const base::Instant silentSince = std::max(membership_.silentSince(id), startedAt_);
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

/// Takes over the intent for the next epoch from any member that has it.
void ConfigKeeper::followIntents()
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

/// True if the head was read a moment ago, since the change became due; otherwise asks for that.
bool ConfigKeeper::headIsFresh(base::Now now, Actions &actions)
{
    if (dueSince_.count() == 0) {
        dueSince_ = now.mono;
    }
    if (headReadAt_ >= dueSince_ && now.mono - headReadAt_ <= FreshRead) {
        return true;
    }
    if (now.mono >= nextRead_) {
        nextRead_ = now.mono + ReadPause;
        actions.push_back(ReadHead{});
    }
    return false;
}

void ConfigKeeper::coordinate(base::Now now, Actions &actions, StoreOpId &nextOp)
{
    const bool hasStarted = startedAt_.count() != 0 && now.mono - startedAt_ > std::chrono::milliseconds(settings_.suspectMs);
    if (writeOp_ != 0 || now.mono < nextWrite_ || !storeReachable_ || !isConfirmedByStore(now) || !hasStarted || stopped_ || !isCoordinator()) {
        return;
    }
    wire::ConfigHead head = toHead();
    head.members = nextMembers(now);
    // Members are settled first: acceptance counts only those that stand in the stored head.
    const bool membersChange = head.members != members_;
    const bool accepts = !membersChange && staged_ && !members_.empty() && waitingFor().empty();
    // An intent whose coordinator was lost is brought to an end by an epoch that changes nothing else.
    const bool intentIsOpen = membership_.highestEpochs().second > epoch_;
    if (!membersChange && !accepts && !intentIsOpen) {
        dueSince_ = base::Instant{0};
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
    nextWrite_ = now.mono + WritePause;
    actions.push_back(WriteStore{writeOp_, "config/head", std::move(head), headVersion_});
}

void ConfigKeeper::fetchFromPeers(base::Now now, Actions &actions)
{
    if (now.mono < nextFetch_) {
        return;
    }
    const std::string peer = membership_.holderAbove(epoch_, stagedRevision());
    const std::string address = peer.empty() ? std::string() : membership_.addressOf(peer);
    if (!address.empty()) {
        nextFetch_ = now.mono + FetchPause;
        const wire::ConfigRequest request{epoch_, stagedRevision()};
        actions.push_back(SendPeer{address, {settings_.id, settings_.incarnation, request, 0}});
    }
}

void ConfigKeeper::tick(base::Now now, Actions &actions, StoreOpId &nextOp)
{
    fetchFromPeers(now, actions);
    followIntents();
    askMembers(now, actions);
    coordinate(now, actions, nextOp);
}

} // namespace trefoilport
