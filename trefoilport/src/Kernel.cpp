#include "trefoilport/Kernel.h"

#include "details/KernelImpl.h"

namespace trefoilport {

namespace {

/// After a stop request the instance still accepts calls for this period, in which the balancer can notice that it isn't ready any more.
constexpr std::chrono::milliseconds AcceptGracePeriod{1000};
/// After it has announced its exit the instance goes on with gossip for this period, so that the announcement reaches its peers.
constexpr std::chrono::milliseconds ExitGracePeriod{500};
/// Maximum number of crash reports in a gossip message; limits the message's size.
constexpr std::size_t MaxCrashReportsPerGossip = 32;

} // namespace

std::optional<std::string> Kernel::Impl::admit(CallId call, const std::string &keySha256, base::Now now, Actions &actions)
{
    context.counters.add(Counter::CallsArrived);
    if (stoppedAccepting) {
        refuse(context, call, base::ErrorKind::Stopping, "this instance is shutting down", actions);
        return std::nullopt;
    }
    if (!context.config.isConfirmed(now)) {
        refuse(context, call, base::ErrorKind::Unconfirmed, "this instance can't tell whether its configuration is in force", actions);
        return std::nullopt;
    }
    for (const auto &[name, team] : context.config.inForce()->teams) {
        if (team.keySha256 != keySha256) {
            continue;
        }
        if (pipelines.openCountOf(name) + services.openCountOf(name) >= static_cast<std::uint64_t>(team.maxCalls)) {
            refuse(context, call, base::ErrorKind::TooManyCalls, "team '" + name + "' has too many open calls here", actions);
            return std::nullopt;
        }
        actions.push_back(Record{TimelineKind::CallArrived, call, name, ""});
        return name;
    }
    refuse(context, call, base::ErrorKind::Unauthenticated, "the API key is missing or unknown", actions);
    return std::nullopt;
}

void Kernel::Impl::on(const CompletionArrived &event, base::Now now, Actions &actions)
{
    if (const auto team = admit(event.call, event.keySha256, now, actions)) {
        pipelines.arrive(event, *team, now, actions);
    }
}

void Kernel::Impl::on(const ServiceCallArrived &event, base::Now now, Actions &actions)
{
    if (const auto team = admit(event.call, event.keySha256, now, actions)) {
        services.arrive(event, *team, now, actions);
        processClaims(now, actions);
    }
}

void Kernel::Impl::on(const ModelsRequested &event, base::Now now, Actions &actions)
{
    if (!admit(event.call, event.keySha256, now, actions)) {
        return;
    }
    AnswerModels answer{event.call, {}};
    for (const auto &[name, model] : context.config.inForce()->models) {
        answer.models.push_back(name);
    }
    context.counters.add(Counter::CallsAnswered);
    actions.push_back(std::move(answer));
}

void Kernel::Impl::on(const CallerGone &event, base::Now now, Actions &actions)
{
    pipelines.onCallerGone(event.call, actions);
    services.onCallerGone(event.call, now, actions);
    pipelines.startWaiting(now, actions);
}

void Kernel::Impl::on(const TokenArrived &event, base::Now now, Actions &actions)
{
    pipelines.onToken(event, now, actions);
}

void Kernel::Impl::on(const AttemptEnded &event, base::Now now, Actions &actions)
{
    pipelines.onEnd(event, now, actions);
}

void Kernel::Impl::on(const AttemptFailed &event, base::Now now, Actions &actions)
{
    if (services.ownsAttempt(event.attempt)) {
        services.onFailure(event, now, actions);
        processClaims(now, actions);
    } else {
        pipelines.onFailure(event, now, actions);
    }
    sendCrashReports(now, actions);
}

void Kernel::Impl::on(const ServiceAnswered &event, base::Now now, Actions &actions)
{
    services.onAnswer(event, now, actions);
    processClaims(now, actions);
}

void Kernel::Impl::on(const StoreReadDone &event, base::Now now, Actions &actions)
{
    if (context.ledger.ownsOp(event.op)) {
        context.ledger.onRead(event, now, actions);
        processClaims(now, actions);
    }
}

void Kernel::Impl::on(const StoreWriteDone &event, base::Now now, Actions &actions)
{
    if (context.config.ownsOp(event.op)) {
        context.config.onWriteDone(event);
    } else if (context.ledger.ownsOp(event.op)) {
        context.ledger.onWrite(event, now, actions);
        processClaims(now, actions);
    }
}

void Kernel::Impl::processClaims(base::Now now, Actions &actions)
{
    context.ledger.tick(now, actions, context.nextOp);
    for (std::vector<ClaimDecision> decisions = context.ledger.takeDecisions(); !decisions.empty(); decisions = context.ledger.takeDecisions()) {
        for (const ClaimDecision &decision : decisions) {
            services.onDecision(decision, now, actions);
        }
        context.ledger.tick(now, actions, context.nextOp);
    }
}

void Kernel::Impl::on(const HeadReceived &event, base::Now now, Actions &actions)
{
    context.config.onHead(event, now, actions);
    applyLimits();
    context.config.tick(now, actions, context.nextOp);
}

void Kernel::Impl::on(const StoreFailed &, base::Now, Actions &actions)
{
    context.config.onStoreFailed(actions);
}

void Kernel::Impl::on(const ListReceived &event, base::Now now, Actions &actions)
{
    context.endpoints.onList(event.endpoints, now, actions);
    context.membership.learnAddresses(event.instances);
    pipelines.startWaiting(now, actions);
}

void Kernel::Impl::on(const LoadReported &event, base::Now now, Actions &actions)
{
    context.endpoints.onLoad(event, actions);
    pipelines.startWaiting(now, actions);
}

void Kernel::Impl::on(const ProbeFailed &event, base::Now now, Actions &actions)
{
    if (const auto endpoint = context.endpoints.find(event.endpoint)) {
        context.endpoints.markFailed(*endpoint, now, actions);
        pipelines.onEndpointSilent(*endpoint, now, actions);
    }
}

void Kernel::Impl::on(const PeerMessageArrived &event, base::Now now, Actions &actions)
{
    if (const auto *gossip = std::get_if<wire::Gossip>(&event.envelope.message)) {
        context.counters.add(Counter::GossipReceived);
        context.membership.merge(gossip->members, now, actions);
        for (const wire::LeavingNotice &notice : gossip->leaving) {
            context.endpoints.markLeaving(notice.endpoint, notice.incarnation, actions);
        }
        for (const wire::CrashNotice &crashNotice : gossip->crashNotices) {
            context.quarantine.merge(crashNotice, {event.envelope.incarnation, event.envelope.stamp}, now.mono);
        }
    } else if (const auto *request = std::get_if<wire::ConfigRequest>(&event.envelope.message)) {
        const auto reply = context.config.replyTo(*request);
        const std::string address = context.membership.addressOf(event.envelope.from);
        if (reply && !address.empty()) {
            actions.push_back(SendPeer{address, {context.settings.id, context.settings.incarnation, *reply}});
        }
    } else if (const auto *confirmRequest = std::get_if<wire::ConfirmRequest>(&event.envelope.message)) {
        const std::string address = context.membership.addressOf(event.envelope.from);
        if (!address.empty()) {
            const wire::ConfirmReply reply = context.config.confirmReplyTo(*confirmRequest);
            actions.push_back(SendPeer{address, {context.settings.id, context.settings.incarnation, reply, 0}});
        }
    } else if (const auto *confirmed = std::get_if<wire::ConfirmReply>(&event.envelope.message)) {
        context.config.onConfirmReply(event.envelope.from, event.envelope.incarnation, *confirmed);
    } else if (event.head) {
        context.config.onPeerHead(*event.head, actions);
        applyLimits();
    }
}

void Kernel::Impl::applyLimits()
{
    if (!context.config.inForce() || limitsRevision == context.config.revision()) {
        return;
    }
    limitsRevision = context.config.revision();
    context.counters.add(Counter::ConfigActivations);
    const settings::Limits &limits = context.config.inForce()->limits;
    context.retries.configure(limits.retryPercent, limits.retryReserve);
    context.ledger.configure({limits.claimTimeoutMs, limits.repeatWaitMs, limits.claimRetentionMs, limits.storedAnswerBytes, limits.claimWrites});
}

void Kernel::Impl::publishOwnState()
{
    context.membership.setOwn(context.config.ownState(stopping));
}

void Kernel::Impl::gossipIfDue(base::Now now, Actions &actions)
{
    publishOwnState();
    if (!context.membership.roundIsDue(now)) {
        return;
    }
    Membership::Round round = context.membership.nextRound(now);
    wire::Gossip gossip{std::move(round.entries), context.endpoints.leavingNotices(), context.quarantine.notices(now.mono, MaxCrashReportsPerGossip)};
    for (const std::string &address : round.addresses) {
        context.counters.add(Counter::GossipSent);
        actions.push_back(SendPeer{address, {context.settings.id, context.settings.incarnation, gossip}});
    }
}

void Kernel::Impl::sendCrashReports(base::Now now, Actions &actions)
{
    wire::Gossip gossip{{}, {}, context.quarantine.takeUpdates(now.mono)};
    if (gossip.crashNotices.empty()) {
        return;
    }
    for (const std::string &address : context.membership.liveAddresses()) {
        context.counters.add(Counter::GossipSent);
        actions.push_back(SendPeer{address, {context.settings.id, context.settings.incarnation, gossip}});
    }
}

void Kernel::Impl::updateReadiness(base::Now now, Actions &actions)
{
    const bool confirmed = context.config.isConfirmed(now);
    if (confirmed != wasConfirmed) {
        wasConfirmed = confirmed;
        const TimelineKind kind = confirmed ? TimelineKind::Confirmed : TimelineKind::Unconfirmed;
        actions.push_back(Record{kind, 0, context.settings.id, "revision " + std::to_string(context.config.revision())});
    }
    const bool shouldBeReady = confirmed && !stopping;
    if (shouldBeReady != ready) {
        ready = shouldBeReady;
        actions.push_back(SetReady{ready});
    }
}

void Kernel::Impl::on(const Tick &, base::Now now, Actions &actions)
{
    context.membership.tick(now, actions);
    context.quarantine.tick(now.mono);
    context.endpoints.tick(now, actions);
    publishOwnState();
    context.config.tick(now, actions, context.nextOp);
    applyLimits();
    gossipIfDue(now, actions);
    observer.tick(context.endpoints, context.membership, now, actions);
    processClaims(now, actions);
    services.tick(now, actions);
    pipelines.tick(now, actions);
    processClaims(now, actions);
    sendCrashReports(now, actions);
    updateReadiness(now, actions);
    if (stopping) {
        continueStopping(now, actions);
    }
}

void Kernel::Impl::on(const StopRequested &, base::Now now, Actions &actions)
{
    if (stopping) {
        return;
    }
    stopping = true;
    stopRequestedAt = now.mono;
    actions.push_back(Record{TimelineKind::Stopping, 0, context.settings.id, std::to_string(pipelines.openCount() + services.openCount()) + " open calls"});
    updateReadiness(now, actions);
}

void Kernel::Impl::continueStopping(base::Now now, Actions &actions)
{
    const base::Instant elapsed = now.mono - stopRequestedAt;
    if (!stoppedAccepting && elapsed >= AcceptGracePeriod) {
        stoppedAccepting = true;
        actions.push_back(StopAccepting{});
    }
    if (!stoppedAccepting || exited) {
        return;
    }
    const bool timedOut = elapsed >= std::chrono::milliseconds(context.settings.shutdownMs);
    if (timedOut) {
        pipelines.failAll(actions);
        services.failAll(now, actions);
        processClaims(now, actions);
    }
    const bool idle = pipelines.openCount() == 0 && services.openCount() == 0;
    if (idle && (context.ledger.isSettled() || timedOut)) {
        announceExit(now, actions);
    }
}

void Kernel::Impl::announceExit(base::Now now, Actions &actions)
{
    if (exitAnnouncedAt.count() == 0) {
        exitAnnouncedAt = now.mono;
        context.config.stop();
    } else if (now.mono - exitAnnouncedAt >= ExitGracePeriod) {
        exited = true;
        actions.push_back(Exit{});
    }
}

void Kernel::Impl::on(const DrainRequested &event, base::Now now, Actions &actions)
{
    const auto endpoint = context.endpoints.find(event.endpoint);
    if (!endpoint) {
        refuse(context, event.call, base::ErrorKind::UnknownRoute, "no endpoint '" + event.endpoint + "'", actions);
        return;
    }
    context.endpoints.markLeaving(event.endpoint, context.endpoints.at(*endpoint).info.incarnation, actions);
    actions.push_back(AnswerStatus{event.call, describe(now)});
}

void Kernel::Impl::on(const StatusRequested &event, base::Now now, Actions &actions)
{
    actions.push_back(AnswerStatus{event.call, describe(now)});
}

Kernel::Kernel(KernelSettings settings)
    : impl_(std::make_unique<Impl>(std::move(settings)))
{
}

Kernel::~Kernel() = default;

void Kernel::handle(const Event &event, base::Now now, Actions &actions)
{
    std::visit([&](const auto &typed) { impl_->on(typed, now, actions); }, event);
}

const Counters &Kernel::counters() const
{
    return impl_->context.counters;
}

} // namespace trefoilport
