#include "details/PipelineCalls.h"

#include "base/Hash.h"

#include <algorithm>

namespace trefoilport {

namespace {

/// Number of prompt characters (bytes) counted as one token when work is estimated.
constexpr std::size_t CharactersPerToken = 4;
/// Shortest window over which the token rate of a model is measured.
constexpr std::chrono::seconds RateWindow{1};
/// Weight of the newest window in the smoothed token rate.
constexpr double RateSmoothing = 0.3;

/// Estimates the number of tokens of a prompt; at least 1.
std::uint32_t promptTokens(const std::string &prompt)
{
    return static_cast<std::uint32_t>(prompt.size() / CharactersPerToken + 1);
}

std::uint64_t fingerprintOf(const std::string &team, const CompletionRequest &request)
{
    const std::uint64_t teamHash = base::hashOf(team);
    return base::hashOf(request.prompt, base::hashOf(request.model, teamHash));
}

} // namespace

PipelineCalls::PipelineCalls(KernelContext &context)
    : context_(context)
{
}

std::uint32_t PipelineCalls::openCountOf(const std::string &team) const
{
    const auto found = openByTeam_.find(team);
    return found == openByTeam_.end() ? 0 : found->second;
}

void PipelineCalls::arrive(const CompletionArrived &event, const std::string &team, base::Now now, Actions &actions)
{
    const settings::RoutingConfig &config = *context_.config.inForce();
    const auto model = config.models.find(event.request.model);
    if (model == config.models.end()) {
        refuse(context_, event.call, base::ErrorKind::UnknownModel, "model '" + event.request.model + "' is not configured", actions);
        return;
    }
    if (event.request.maxTokens == 0 || event.request.maxTokens > static_cast<std::uint64_t>(model->second.maxTokens)) {
        refuse(context_, event.call, base::ErrorKind::BadRequest, "max_tokens must be in 1.." + std::to_string(model->second.maxTokens), actions);
        return;
    }
    const std::uint64_t fingerprint = fingerprintOf(team, event.request);
    if (context_.quarantine.isQuarantined(fingerprint, now.mono)) {
        context_.counters.add(Counter::Quarantined);
        refuse(context_, event.call, base::ErrorKind::Quarantined, "this request has crashed endpoints and is refused for a while", actions);
        return;
    }
    if (queue_.size() >= static_cast<std::size_t>(config.limits.queueCalls)) {
        refuse(context_, event.call, base::ErrorKind::Overloaded, "the queue of this instance is full", actions);
        return;
    }
    const settings::TeamConfig &teamConfig = config.teams.at(team);
    Call call;
    call.id = event.call;
    call.team = team;
    call.request = event.request;
    call.callClass = event.request.callClass.value_or(teamConfig.callClass);
    call.model = model->second;
    call.limits = config.limits;
    call.fingerprint = fingerprint;
    call.promptTokens = promptTokens(event.request.prompt);
    call.arrivedAt = now.mono;

    const bool interactive = call.callClass == settings::CallClass::Interactive;
    QueuedCall queued{call.id, team, call.request.model, call.callClass, teamConfig.weight, call.promptTokens / PrefillSpeedup + call.request.maxTokens, {}};
    queued.weight *= interactive ? config.limits.interactiveFactor : 1;
    queued.deadline = now.mono + std::chrono::milliseconds(interactive ? call.model.firstTokenMs : config.limits.batchWaitMs);
    if (interactive && wouldMissDeadline(queued, call.model.firstTokenMs)) {
        refuse(context_, event.call, base::ErrorKind::DeadlineUnreachable, "the first token would come too late", actions);
        return;
    }
    context_.retries.onFirstAttempt();
    ++openByTeam_[team];
    calls_.emplace(call.id, std::move(call));
    queue_.push(std::move(queued));
    startWaiting(now, actions);
}

bool PipelineCalls::wouldMissDeadline(const QueuedCall &queued, std::int64_t firstTokenMs) const
{
    const auto rate = rates_.find(queued.model);
    if (rate == rates_.end() || rate->second.tokensPerSecond <= 0 || queue_.size() == 0) {
        return false;
    }
    const double waitMs = 1000.0 * static_cast<double>(queue_.estimatedWork(queued)) / rate->second.tokensPerSecond;
    return waitMs > static_cast<double>(firstTokenMs);
}

void PipelineCalls::updateTokenRate(const std::string &model, base::Instant now)
{
    ModelRate &rate = rates_[model];
    ++rate.tokens;
    if (rate.windowStart.count() == 0) {
        rate.windowStart = now;
    }
    const base::Instant elapsed = now - rate.windowStart;
    if (elapsed < RateWindow) {
        return;
    }
    const double current = static_cast<double>(rate.tokens) / std::chrono::duration<double>(elapsed).count();
    rate.tokensPerSecond = rate.tokensPerSecond <= 0 ? current : rate.tokensPerSecond + RateSmoothing * (current - rate.tokensPerSecond);
    rate.tokens = 0;
    rate.windowStart = now;
}

std::vector<EndpointIndex> PipelineCalls::choosePipeline(const Call &call, base::Now now)
{
    PipelineRequest request;
    request.model = call.request.model;
    request.layers = static_cast<std::uint32_t>(call.model.layers);
    request.policy = call.model.policy;
    request.liveInstances = context_.liveInstances();
    request.prefillTokens = call.promptTokens + static_cast<std::uint32_t>(call.delivered.size());
    request.capacityPercent = call.callClass == settings::CallClass::Batch ? static_cast<std::uint32_t>(call.limits.batchPercent) : 100;
    std::set<EndpointIndex> avoid = call.avoid;
    if (context_.quarantine.crashCount(call.fingerprint, now.mono) > 0) {
        // Requests with crash reports share no endpoint where possible, so that a further crash shows which of them caused it.
        for (const auto &[endpoint, suspects] : suspectAttempts_) {
            avoid.insert(endpoint);
        }
    }
    request.avoid = &avoid;
    std::vector<EndpointIndex> pipeline = context_.chooser.choosePipeline(request);
    if (pipeline.empty() && !avoid.empty()) {
        request.avoid = nullptr;
        pipeline = context_.chooser.choosePipeline(request);
    }
    return pipeline;
}

bool PipelineCalls::tryStart(Call &call, base::Now now, Actions &actions)
{
    const std::vector<EndpointIndex> pipeline = choosePipeline(call, now);
    if (pipeline.empty()) {
        return false;
    }
    startAttempt(call, pipeline, now, actions);
    return true;
}

void PipelineCalls::startAttempt(Call &call, const std::vector<EndpointIndex> &pipeline, base::Now now, Actions &actions)
{
    ++call.attempts;
    call.attempt = context_.nextAttempt++;
    call.pipeline = pipeline;
    call.plan.clear();
    call.lastProgress = now.mono;
    call.probed = false;
    call.resumeDeadline = base::Instant{0};
    call.suspect = context_.quarantine.crashCount(call.fingerprint, now.mono) > 0;
    std::string stages;
    for (const EndpointIndex index : pipeline) {
        Endpoint &endpoint = context_.endpoints.at(index);
        const EndpointInfo &info = endpoint.info;
        ++endpoint.inFlight;
        if (call.suspect) {
            ++suspectAttempts_[index];
        }
        call.plan.push_back({info.id, info.address, info.incarnation, info.firstLayer, info.endLayer});
        stages += stages.empty() ? info.id : "," + info.id;
    }
    attempts_[call.attempt] = call.id;
    context_.counters.add(Counter::Attempts);
    actions.push_back(Record{TimelineKind::AttemptStarted, call.id, stages, "attempt " + std::to_string(call.attempt)});

    PipelineOrder order;
    order.tag = context_.settings.id + ":" + std::to_string(context_.settings.incarnation) + ":" + std::to_string(call.id) + ":" + std::to_string(call.attempt);
    order.model = call.request.model;
    order.plan = call.plan;
    order.prompt = call.request.prompt;
    order.delivered = call.delivered;
    order.maxTokens = call.request.maxTokens;
    order.callClass = call.callClass;
    actions.push_back(StartPipeline{call.attempt, std::move(order), now.mono + SendTimeout});
}

void PipelineCalls::leavePipeline(Call &call)
{
    for (const EndpointIndex index : call.pipeline) {
        Endpoint &endpoint = context_.endpoints.at(index);
        endpoint.inFlight -= endpoint.inFlight > 0 ? 1 : 0;
        if (call.suspect && --suspectAttempts_[index] == 0) {
            suspectAttempts_.erase(index);
        }
    }
    call.pipeline.clear();
    attempts_.erase(call.attempt);
    call.attempt = 0;
}

PipelineCalls::Call *PipelineCalls::callOfAttempt(AttemptId attempt)
{
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : &calls_.at(found->second);
}

void PipelineCalls::dropLateFrame(AttemptId attempt, Actions &actions)
{
    context_.counters.add(Counter::LateFrames);
    actions.push_back(Record{TimelineKind::LateFrameDropped, 0, "", "attempt " + std::to_string(attempt)});
}

void PipelineCalls::onToken(const TokenArrived &event, base::Now now, Actions &actions)
{
    Call *call = callOfAttempt(event.attempt);
    if (call == nullptr) {
        dropLateFrame(event.attempt, actions);
        return;
    }
    const bool inOrder = event.position == call->delivered.size() && event.position < call->request.maxTokens;
    if (!inOrder || !agreesWithPlan(event.stages, call->plan)) {
        context_.counters.add(Counter::Inconsistent);
        actions.push_back(CancelAttempt{event.attempt});
        onFailure({event.attempt, AttemptFailure::Inconsistent, {}}, now, actions);
        return;
    }
    if (call->delivered.empty()) {
        actions.push_back(Record{TimelineKind::FirstToken, call->id, "", ""});
    }
    call->lastProgress = now.mono;
    call->probed = false;
    call->delivered.push_back(event.text);
    context_.counters.add(Counter::TokensDelivered);
    updateTokenRate(call->request.model, now.mono);
    actions.push_back(AnswerToken{call->id, event.position, event.text});
}

void PipelineCalls::onEnd(const AttemptEnded &event, base::Now now, Actions &actions)
{
    Call *call = callOfAttempt(event.attempt);
    if (call == nullptr) {
        dropLateFrame(event.attempt, actions);
        return;
    }
    const bool complete = event.tokens == call->delivered.size() && event.tokens == call->request.maxTokens;
    if (!complete) {
        context_.counters.add(Counter::Inconsistent);
        onFailure({event.attempt, AttemptFailure::Inconsistent, {}}, now, actions);
        return;
    }
    finish(*call, actions);
    startWaiting(now, actions);
}

void PipelineCalls::finish(Call &call, Actions &actions)
{
    leavePipeline(call);
    context_.quarantine.clear(call.fingerprint);
    context_.counters.add(Counter::CallsAnswered);
    actions.push_back(Record{TimelineKind::CallAnswered, call.id, call.team, std::to_string(call.delivered.size()) + " tokens"});
    actions.push_back(AnswerEnd{call.id, static_cast<std::uint32_t>(call.delivered.size())});
    --openByTeam_[call.team];
    calls_.erase(call.id);
}

void PipelineCalls::fail(Call &call, base::ErrorKind kind, const std::string &detail, Actions &actions)
{
    if (call.attempt != 0) {
        actions.push_back(CancelAttempt{call.attempt});
        leavePipeline(call);
    }
    context_.counters.add(Counter::CallsFailed);
    actions.push_back(Record{TimelineKind::CallFailed, call.id, call.team, std::string(base::nameOf(kind))});
    actions.push_back(AnswerFailure{call.id, {kind, detail}});
    --openByTeam_[call.team];
    calls_.erase(call.id);
}

void PipelineCalls::startWaiting(base::Now now, Actions &actions)
{
    // Interrupted calls take precedence over calls that have not started.
    resumeInterrupted(now, actions);
    queue_.dispatch([&](const QueuedCall &queued) { return tryStart(calls_.at(queued.call), now, actions); });
}

void PipelineCalls::onCallerGone(CallId id, Actions &actions)
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    queue_.remove(id);
    fail(found->second, base::ErrorKind::CallerGone, "the caller closed the connection", actions);
}

void PipelineCalls::tick(base::Now now, Actions &actions)
{
    std::vector<CallId> running;
    for (const auto &[id, call] : calls_) {
        if (call.attempt != 0) {
            running.push_back(id);
        }
    }
    for (const CallId id : running) {
        const auto found = calls_.find(id);
        if (found != calls_.end()) {
            checkStall(found->second, now, actions);
        }
    }
    for (const QueuedCall &expired : queue_.takeExpired(now.mono)) {
        Call &call = calls_.at(expired.call);
        const bool anyServing = !context_.endpoints.serving(expired.model).empty();
        fail(call, anyServing ? base::ErrorKind::DeadlineUnreachable : base::ErrorKind::NoEndpoint, "no pipeline had room in time", actions);
    }
    startWaiting(now, actions);
}

void PipelineCalls::failAll(Actions &actions)
{
    while (!calls_.empty()) {
        Call &call = calls_.begin()->second;
        queue_.remove(call.id);
        const bool mayHaveRun = call.mayHaveRun || call.attempt != 0;
        fail(call, mayHaveRun ? base::ErrorKind::AnswerIncomplete : base::ErrorKind::Stopping, "the instance stopped", actions);
    }
}

} // namespace trefoilport
