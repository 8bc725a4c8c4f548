#include "TestFleetState.h"

/// Executes the actions of one instance's kernel on the fakes, and checks them against the router's guarantees.
struct TestFleet::ActionExecutor {
    State &state;
    /// Index of the instance whose kernel returned the action.
    std::size_t instanceIndex;

    Instance &instance() const
    {
        return state.instances[instanceIndex];
    }

    /// Records a violation with the virtual time and the instance's id.
    void violation(const std::string &text) const
    {
        state.violations.push_back("at " + std::to_string(state.nowMs) + " ms, " + instance().id + ": " + text);
    }

    void operator()(const StartPipeline &action) const
    {
        state.checkNewWork(instanceIndex, "a pipeline");
        Endpoint &first = state.endpoints.at(action.order.plan.front().endpoint);
        std::uint32_t next = 0;
        for (const PlanStage &stage : action.order.plan) {
            if (stage.firstLayer != next) {
                violation("a plan with a gap or overlap at layer " + std::to_string(next));
            }
            next = stage.endLayer;
        }
        if (next != Layers) {
            violation("a plan that ends at layer " + std::to_string(next));
        }
        if (first.dead) {
            state.failAttempt(instanceIndex, action.attempt, AttemptFailure::NotSent, "", 1);
            return;
        }
        for (const PlanStage &stage : action.order.plan) {
            Endpoint &endpoint = state.endpoints.at(stage.endpoint);
            if (endpoint.draining) {
                const bool isFirst = &endpoint == &first;
                state.failAttempt(instanceIndex, action.attempt, isFirst ? AttemptFailure::RefusedLeaving : AttemptFailure::StageRefused, stage.endpoint, 2);
                return;
            }
        }
        for (const PlanStage &stage : action.order.plan) {
            Endpoint &endpoint = state.endpoints.at(stage.endpoint);
            ++endpoint.inFlight;
            endpoint.lastWorkAt = state.nowMs;
        }
        const std::uint64_t incarnation = instance().incarnation;
        const std::string &poison = state.fleet->poison;
        if (!poison.empty() && action.order.prompt.find(poison) != std::string::npos) {
            first.dead = true;
            state.crashedByPoison.insert(first.info.id);
            state.failAttempt(instanceIndex, action.attempt, AttemptFailure::Broken, "", 5);
            return;
        }
        const auto position = static_cast<std::uint32_t>(action.order.delivered.size());
        State &sharedState = state;
        const std::size_t index = instanceIndex;
        state.at(TokenIntervalMs, [&sharedState, index, incarnation, action, position]() { sharedState.emitToken(index, incarnation, action, position); });
    }

    void operator()(const StartService &action) const
    {
        state.checkNewWork(instanceIndex, "a service call");
        const Faults &faults = *state.fleetFaults;
        Endpoint &endpoint = state.endpoints.at(action.endpoint);
        const AttemptId attempt = action.attempt;
        if (endpoint.dead || state.chance(faults.notSent)) {
            state.failAttempt(instanceIndex, attempt, AttemptFailure::NotSent, action.endpoint, 1);
            return;
        }
        if (endpoint.draining) {
            state.failAttempt(instanceIndex, attempt, AttemptFailure::RefusedLeaving, action.endpoint, 2);
            return;
        }
        if (state.chance(faults.refused)) {
            state.failAttempt(instanceIndex, attempt, AttemptFailure::Refused, action.endpoint, 2);
            return;
        }
        if (state.chance(faults.brokenBeforeRun)) {
            state.failAttempt(instanceIndex, attempt, AttemptFailure::Broken, action.endpoint, 2);
            return;
        }
        endpoint.lastWorkAt = state.nowMs;
        const bool brokenAfter = state.chance(faults.brokenAfterRun);
        const std::string key = action.request.idempotencyKey;
        State &sharedState = state;
        const std::size_t index = instanceIndex;
        const std::uint64_t incarnation = instance().incarnation;
        const CallId call = instance().callOfAttempt[attempt];
        // The call was sent, so it runs even if this instance crashes in the meantime.
        state.at(state.randomBetween(1, 30), [&sharedState, index, incarnation, attempt, key, call, brokenAfter]() {
            if (!key.empty() && ++sharedState.executions[key] > 1) {
                sharedState.violations.push_back("key " + key + " ran more than once");
            }
            sharedState.executedCalls.insert(call);
            if (sharedState.answers[call].error && base::errorAnswer(sharedState.answers[call].error->kind).ran == base::HasRun::No) {
                sharedState.violations.push_back("call " + std::to_string(call) + " ran after it was reported as not run");
            }
            // A restarted instance numbers its attempts anew.
            if (sharedState.instances[index].incarnation != incarnation) {
                return;
            }
            if (brokenAfter) {
                sharedState.failAttempt(index, attempt, AttemptFailure::Broken, "", 2);
                return;
            }
            sharedState.at(sharedState.randomBetween(1, 20), [&sharedState, index, incarnation, attempt, key]() {
                if (sharedState.instances[index].incarnation == incarnation) {
                    sharedState.deliver(index, ServiceAnswered{attempt, {200, "text/plain", "ran " + key}});
                }
            });
        });
    }

    void operator()(const CancelAttempt &action) const
    {
        instance().cancelled.insert(action.attempt);
    }

    void operator()(const AnswerToken &action) const
    {
        Answer &answer = state.answers[action.call];
        if (answer.isFinal()) {
            violation("a token after the end of call " + std::to_string(action.call));
        }
        if (action.position != answer.tokens.size() || action.text != "t" + std::to_string(action.position)) {
            violation("call " + std::to_string(action.call) + " got token '" + action.text + "' as number " + std::to_string(answer.tokens.size()));
        }
        answer.tokens.push_back(action.text);
    }

    void operator()(const AnswerEnd &action) const
    {
        Answer &answer = state.answers[action.call];
        if (answer.isFinal() || action.tokens != answer.tokens.size()) {
            violation("call " + std::to_string(action.call) + " ended with " + std::to_string(answer.tokens.size()) + " tokens");
        }
        answer.ended = true;
    }

    void operator()(const AnswerFailure &action) const
    {
        Answer &answer = state.answers[action.call];
        if (answer.isFinal()) {
            violation("call " + std::to_string(action.call) + " was answered twice");
        }
        answer.error = action.error;
        const bool saysNotRun = base::errorAnswer(action.error.kind).ran == base::HasRun::No;
        if (saysNotRun && (state.executedCalls.count(action.call) > 0 || !answer.tokens.empty())) {
            violation("call " + std::to_string(action.call) + " ran, but was reported as not run");
        }
    }

    void operator()(const AnswerService &action) const
    {
        Answer &answer = state.answers[action.call];
        if (answer.isFinal()) {
            violation("call " + std::to_string(action.call) + " was answered twice");
        }
        answer.service = action.answer;
        answer.replayed = action.replayed;
    }

    void operator()(const AnswerStatus &action) const
    {
        instance().status = action.status;
    }

    void operator()(const ReadStore &action) const
    {
        State &sharedState = state;
        const std::size_t index = instanceIndex;
        const std::uint64_t incarnation = instance().incarnation;
        const Faults &faults = *state.fleetFaults;
        const std::int64_t delay = state.chance(faults.slowStore) ? state.randomBetween(100, 4000) : state.randomBetween(1, 5);
        state.at(delay, [&sharedState, index, incarnation, action]() {
            if (sharedState.instances[index].incarnation != incarnation) {
                return;
            }
            if (sharedState.storeFails(index)) {
                sharedState.deliver(index, StoreReadDone{action.op, StoreStatus::Unavailable, 0, {}});
                return;
            }
            const auto found = sharedState.store.find(action.key);
            if (found == sharedState.store.end()) {
                sharedState.deliver(index, StoreReadDone{action.op, StoreStatus::NotFound, 0, {}});
                return;
            }
            const Object &object = found->second;
            const bool stale = object.oldVersion > 0 && sharedState.chance(sharedState.fleetFaults->staleRead);
            sharedState.deliver(index,
                                StoreReadDone{action.op, StoreStatus::Ok, stale ? object.oldVersion : object.version, stale ? object.oldValue : object.value});
        });
    }

    void operator()(const ReadHead &) const
    {
        state.readHead(instanceIndex, instance().incarnation);
    }

    void operator()(const WriteStore &action) const
    {
        State &sharedState = state;
        const std::size_t index = instanceIndex;
        const std::uint64_t incarnation = instance().incarnation;
        const Faults &faults = *state.fleetFaults;
        const auto answer = [&sharedState, index, incarnation, op = action.op](StoreStatus status, std::uint64_t version) {
            if (sharedState.instances[index].incarnation == incarnation) {
                sharedState.deliver(index, StoreWriteDone{op, status, version});
            }
        };
        if (state.storeFails(instanceIndex)) {
            // Half of the writes to an unreachable store get an ambiguous result, so the kernel must assume that they may have taken effect.
            const StoreStatus status = state.chance(50) ? StoreStatus::Unavailable : StoreStatus::Ambiguous;
            state.at(state.randomBetween(1, 200), [answer, status]() { answer(status, 0); });
            return;
        }
        const bool late = state.chance(faults.lateWrite);
        const bool lost = late || state.chance(faults.lostWriteAnswer);
        const std::int64_t effectDelay =
            late ? state.randomBetween(50, 3000) : (state.chance(faults.slowStore) ? state.randomBetween(100, 4000) : state.randomBetween(1, 5));
        const bool neverHappens = late && state.chance(50);
        if (!neverHappens) {
            state.at(effectDelay, [&sharedState, action, answer, lost]() {
                std::uint64_t version = 0;
                const StoreStatus status = sharedState.applyWrite(action.key, action.value, action.expectedVersion, version);
                if (!lost) {
                    sharedState.at(1, [answer, status, version]() { answer(status, version); });
                }
            });
        }
        if (lost) {
            state.at(state.randomBetween(20, 100), [answer]() { answer(StoreStatus::Ambiguous, 0); });
        }
    }

    void operator()(const SendPeer &action) const
    {
        const std::size_t to = state.indexOf(action.address);
        if (to >= state.instances.size() || state.cuts.count({instanceIndex, to}) > 0 || state.chance(state.fleetFaults->lostMessage)) {
            return;
        }
        PeerMessageArrived event{action.envelope, std::nullopt};
        if (const auto *reply = std::get_if<wire::ConfigReply>(&action.envelope.message)) {
            event.head = state.parse(reply->head);
        }
        State &sharedState = state;
        state.at(state.randomBetween(1, 4), [&sharedState, to, event]() { sharedState.deliver(to, event); });
    }

    void operator()(const ProbeEndpoint &action) const
    {
        State &sharedState = state;
        const std::size_t index = instanceIndex;
        const Endpoint &endpoint = state.endpoints.at(action.endpoint);
        const bool silent = endpoint.dead || endpoint.frozen;
        state.at(silent ? (endpoint.dead ? 1 : ProbeTimeoutMs) : 2, [&sharedState, index, action, silent]() {
            const Endpoint &probed = sharedState.endpoints.at(action.endpoint);
            if (silent) {
                sharedState.deliver(index, ProbeFailed{action.endpoint});
            } else {
                sharedState.deliver(index, LoadReported{action.endpoint, probed.info.incarnation, probed.inFlight, probed.draining});
            }
        });
    }

    void operator()(const SetReady &action) const
    {
        instance().ready = action.ready;
    }

    void operator()(const Exit &) const
    {
        instance().exited = true;
        instance().alive = false;
    }

    /// Takes from the kernel's records which call an attempt belongs to, and which revision is in force.
    void operator()(const Record &action) const
    {
        if (action.kind == TimelineKind::AttemptStarted) {
            instance().callOfAttempt[std::stoull(action.detail.substr(std::string("attempt ").size()))] = action.call;
        }
        if (action.kind == TimelineKind::ConfigActivated) {
            const std::uint64_t revision = std::stoull(action.detail.substr(std::string("revision ").size()));
            if (revision <= instance().revision) {
                violation("the configuration went from revision " + std::to_string(instance().revision) + " to " + std::to_string(revision));
            }
            if (revision > state.accepted) {
                violation("revision " + std::to_string(revision) + " is in force before it was accepted");
            }
            instance().revision = revision;
        }
    }

    /// Ignores the actions that the fakes do not need.
    template<typename OtherAction>
    void operator()(const OtherAction &) const
    {
    }
};

void TestFleet::State::deliver(std::size_t i, const Event &event)
{
    Instance &instance = instances[i];
    if (!instance.alive) {
        return;
    }
    if (instance.paused) {
        instance.pendingEvents.push_back(event);
        return;
    }
    Actions actions;
    instance.kernel->handle(event, nowAt(nowMs), actions);
    for (const Action &action : actions) {
        std::visit(ActionExecutor{*this, i}, action);
    }
}
