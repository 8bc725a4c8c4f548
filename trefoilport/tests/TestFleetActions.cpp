#include "TestFleetState.h"

/// Carries out one kernel's actions on the fakes.
struct TestFleet::Carrier {
    State &state;
    std::size_t self;

    Instance &instance() const
    {
        return state.instances[self];
    }

    void violation(const std::string &text) const
    {
        state.violations.push_back("at " + std::to_string(state.nowMs) + " ms, " + instance().id + ": " + text);
    }

    void operator()(const StartPipeline &action) const
    {
        state.checkNewWork(self, "a pipeline");
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
            state.failAttempt(self, action.attempt, AttemptFailure::NotSent, "", 1);
            return;
        }
        for (const PlanStage &stage : action.order.plan) {
            Endpoint &endpoint = state.endpoints.at(stage.endpoint);
            if (endpoint.draining) {
                const bool isFirst = &endpoint == &first;
                state.failAttempt(self, action.attempt, isFirst ? AttemptFailure::RefusedLeaving : AttemptFailure::StageRefused, stage.endpoint, 2);
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
            state.poisonedEndpoints.insert(first.info.id);
            state.failAttempt(self, action.attempt, AttemptFailure::Broken, "", 5);
            return;
        }
        const auto position = static_cast<std::uint32_t>(action.order.delivered.size());
        State &shared = state;
        const std::size_t own = self;
        state.at(TokenMs, [&shared, own, incarnation, action, position]() { shared.emitToken(own, incarnation, action, position); });
    }

    void operator()(const StartService &action) const
    {
        state.checkNewWork(self, "a service call");
        const Faults &faults = *state.fleetFaults;
        Endpoint &endpoint = state.endpoints.at(action.endpoint);
        const AttemptId attempt = action.attempt;
        if (endpoint.dead || state.chance(faults.notSent)) {
            state.failAttempt(self, attempt, AttemptFailure::NotSent, action.endpoint, 1);
            return;
        }
        if (endpoint.draining) {
            state.failAttempt(self, attempt, AttemptFailure::RefusedLeaving, action.endpoint, 2);
            return;
        }
        if (state.chance(faults.refused)) {
            state.failAttempt(self, attempt, AttemptFailure::Refused, action.endpoint, 2);
            return;
        }
        if (state.chance(faults.brokenBeforeRun)) {
            state.failAttempt(self, attempt, AttemptFailure::Broken, action.endpoint, 2);
            return;
        }
        endpoint.lastWorkAt = state.nowMs;
        const bool brokenAfter = state.chance(faults.brokenAfterRun);
        const std::string key = action.request.idempotencyKey;
        State &shared = state;
        const std::size_t own = self;
        const std::uint64_t incarnation = instance().incarnation;
        const CallId call = instance().callOfAttempt[attempt];
        // The call is on its way: it runs even if this instance dies meanwhile.
        state.at(state.between(1, 30), [&shared, own, incarnation, attempt, key, call, brokenAfter]() {
            if (!key.empty() && ++shared.executed[key] > 1) {
                shared.violations.push_back("key " + key + " ran twice");
            }
            shared.executedCalls.insert(call);
            if (shared.answers[call].error && base::errorAnswer(shared.answers[call].error->kind).ran == base::HasRun::No) {
                shared.violations.push_back("call " + std::to_string(call) + " ran after it was said not to run");
            }
            if (brokenAfter) {
                shared.failAttempt(own, attempt, AttemptFailure::Broken, "", 2);
                return;
            }
            shared.at(shared.between(1, 20), [&shared, own, incarnation, attempt, key]() {
                if (shared.instances[own].incarnation == incarnation) {
                    shared.feed(own, ServiceAnswered{attempt, {200, "text/plain", "ran " + key}});
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
            violation("call " + std::to_string(action.call) + " ran, but was said not to");
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
        State &shared = state;
        const std::size_t own = self;
        const std::uint64_t incarnation = instance().incarnation;
        const Faults &faults = *state.fleetFaults;
        const std::int64_t delay = state.chance(faults.slowStore) ? state.between(100, 4000) : state.between(1, 5);
        state.at(delay, [&shared, own, incarnation, action]() {
            if (shared.instances[own].incarnation != incarnation) {
                return;
            }
            if (shared.storeFails(own)) {
                shared.feed(own, StoreReadDone{action.op, StoreStatus::Unavailable, 0, {}});
                return;
            }
            const auto found = shared.store.find(action.key);
            if (found == shared.store.end()) {
                shared.feed(own, StoreReadDone{action.op, StoreStatus::NotFound, 0, {}});
                return;
            }
            const Object &object = found->second;
            const bool stale = object.oldVersion > 0 && shared.chance(shared.fleetFaults->staleRead);
            shared.feed(own, StoreReadDone{action.op, StoreStatus::Ok, stale ? object.oldVersion : object.version, stale ? object.oldValue : object.value});
        });
    }

    void operator()(const ReadHead &) const
    {
        state.readHead(self, instance().incarnation);
    }

    void operator()(const WriteStore &action) const
    {
        State &shared = state;
        const std::size_t own = self;
        const std::uint64_t incarnation = instance().incarnation;
        const Faults &faults = *state.fleetFaults;
        const auto answer = [&shared, own, incarnation, op = action.op](StoreStatus status, std::uint64_t version) {
            if (shared.instances[own].incarnation == incarnation) {
                shared.feed(own, StoreWriteDone{op, status, version});
            }
        };
        if (state.storeFails(self)) {
            // Half of the calls to a store that is down leave the writer in doubt.
            const StoreStatus status = state.chance(50) ? StoreStatus::Unavailable : StoreStatus::Ambiguous;
            state.at(state.between(1, 200), [answer, status]() { answer(status, 0); });
            return;
        }
        const bool late = state.chance(faults.lateWrite);
        const bool lost = late || state.chance(faults.lostAnswer);
        const std::int64_t effectDelay = late ? state.between(50, 3000) : (state.chance(faults.slowStore) ? state.between(100, 4000) : state.between(1, 5));
        const bool neverHappens = late && state.chance(50);
        if (!neverHappens) {
            state.at(effectDelay, [&shared, action, answer, lost]() {
                std::uint64_t version = 0;
                const StoreStatus status = shared.writeNow(action.key, action.value, action.expectedVersion, version);
                if (!lost) {
                    shared.at(1, [answer, status, version]() { answer(status, version); });
                }
            });
        }
        if (lost) {
            state.at(state.between(20, 100), [answer]() { answer(StoreStatus::Ambiguous, 0); });
        }
    }

    void operator()(const SendPeer &action) const
    {
        const std::size_t to = state.indexOf(action.address);
        if (to >= state.instances.size() || state.cuts.count({self, to}) > 0 || state.chance(state.fleetFaults->lostMessage)) {
            return;
        }
        PeerMessageArrived event{action.envelope, std::nullopt};
        if (const auto *reply = std::get_if<wire::ConfigReply>(&action.envelope.message)) {
            event.head = state.parse(reply->head);
        }
        State &shared = state;
        state.at(state.between(1, 4), [&shared, to, event]() { shared.feed(to, event); });
    }

    void operator()(const ProbeEndpoint &action) const
    {
        State &shared = state;
        const std::size_t own = self;
        const Endpoint &endpoint = state.endpoints.at(action.endpoint);
        const bool silent = endpoint.dead || endpoint.frozen;
        state.at(silent ? (endpoint.dead ? 1 : ProbeTimeoutMs) : 2, [&shared, own, action, silent]() {
            const Endpoint &probed = shared.endpoints.at(action.endpoint);
            if (silent) {
                shared.feed(own, ProbeFailed{action.endpoint});
            } else {
                shared.feed(own, LoadReported{action.endpoint, probed.info.incarnation, probed.inFlight, probed.draining});
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

    template<typename OtherAction>
    void operator()(const OtherAction &) const
    {
    }
};

void TestFleet::State::feed(std::size_t i, const Event &event)
{
    Instance &instance = instances[i];
    if (!instance.alive) {
        return;
    }
    if (instance.paused) {
        instance.waiting.push_back(event);
        return;
    }
    Actions actions;
    instance.kernel->handle(event, nowAt(nowMs), actions);
    for (const Action &action : actions) {
        std::visit(Carrier{*this, i}, action);
    }
}
