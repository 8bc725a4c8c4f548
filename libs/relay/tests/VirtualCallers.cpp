#include "VirtualInstance.h"

#include <algorithm>

using relay::Instant;
using relay::Ms;

namespace {

constexpr Ms CallPeriod{50};
constexpr Ms StreamTimeLimit{10000};
constexpr Ms PlainTimeLimit{2000};
constexpr std::uint64_t LeastEvents = 4;
constexpr std::uint64_t MoreEvents = 40;
constexpr double RetryShare = 0.2;
constexpr double RetryReserve = 100;
constexpr Ms RetryWindow{10000};
constexpr std::uint32_t MostStreamRuns = 2;

struct KindOfCall {
    relay::RequestKind kind;
    const char *path;
    Ms timeLimit;
};

constexpr KindOfCall Kinds[] = {
    {relay::RequestKind::Stream, "/stream/x", StreamTimeLimit},
    {relay::RequestKind::Stream, "/stream/y", StreamTimeLimit},
    {relay::RequestKind::AtMostOnce, "/book/x", PlainTimeLimit},
    {relay::RequestKind::Idempotent, "/read/x", PlainTimeLimit},
};

} // namespace

void VirtualFleet::sendCall()
{
    if (time_.now() >= calmFrom_ + Ms(4000)) {
        return;
    }
    time_.after(CallPeriod, [this]() { sendCall(); });
    // Some callers have an open connection to an instance that new ones are kept from.
    const bool isConnected = draw(4) == 0;
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        const Instance &instance = *instances_[i];
        if (instance.alive && (instance.ready || isConnected) && time_.now() >= instance.frozenUntil && !cutOff_.contains(instance.node)) {
            ready.push_back(i);
        }
    }
    const bool isLate = time_.now() >= calmFrom_;
    totals_.lateCalls += isLate ? 1 : 0;
    ++totals_.calls;
    if (ready.empty()) {
        return;
    }
    const KindOfCall &kind = Kinds[draw(std::size(Kinds))];
    auto caller = std::make_unique<Caller>();
    caller->id = ++lastCall_;
    caller->instance = ready[draw(ready.size())];
    caller->life = instances_[caller->instance]->life;
    caller->requestId = "request-" + std::to_string(caller->id);
    caller->kind = kind.kind;
    caller->sentAt = time_.now();
    caller->key = !isLate && draw(4) == 0 ? "key-c" : draw(2) == 0 ? "key-a" : "key-b";
    caller->events = LeastEvents + draw(MoreEvents);
    relay::CallArrival arrival;
    arrival.call = caller->id;
    arrival.requestId = caller->requestId;
    arrival.host = "api.example";
    arrival.path = kind.path;
    arrival.keySha256 = caller->key;
    arrival.timeLimit = kind.timeLimit;
    arrival.promptTokens = 500;
    arrival.answerTokens = 100;
    arrival.fingerprint = caller->id;
    Caller &sent = *caller;
    openCallers_[{sent.instance, sent.id}] = &sent;
    callers_.push_back(std::move(caller));
    instances_[sent.instance]->kernel->onCall(time_.now(), arrival);
    if (!sent.ended && !isLate && draw(20) == 0) {
        time_.after(Ms(draw(1500)), [this, &sent]() {
            inInstance(sent.instance, sent.life, [this, &sent]() {
                if (!sent.ended) {
                    sent.ended = true;
                    openCallers_.erase({sent.instance, sent.id});
                    instances_[sent.instance]->kernel->onCallerGone(time_.now(), sent.id);
                }
            });
        });
    }
}

VirtualFleet::Caller *VirtualFleet::callerOf(std::size_t instance, relay::CallId call)
{
    const auto found = openCallers_.find({instance, call});
    return found == openCallers_.end() ? nullptr : found->second;
}

void VirtualFleet::endCall(Caller &caller, bool served)
{
    if (caller.ended) {
        return violate(caller.requestId + " ended twice");
    }
    caller.ended = true;
    caller.served = served;
    totals_.served += served ? 1 : 0;
    totals_.lateServed += served && caller.sentAt >= calmFrom_ ? 1 : 0;
    openCallers_.erase({caller.instance, caller.id});
}

void VirtualFleet::checkCaller(const Caller &caller)
{
    const auto found = runs_.find(caller.requestId);
    const std::size_t runs = found == runs_.end() ? 0 : found->second.size();
    if (!caller.ended) {
        violate(caller.requestId + " never got an end");
    }
    if (caller.kind == relay::RequestKind::AtMostOnce && runs > 1) {
        violate(caller.requestId + " ran " + std::to_string(runs) + " times");
    }
    if (caller.saidNotRun && runs > 0) {
        violate(caller.requestId + " was said not to have run, and ran");
    }
    if (caller.kind == relay::RequestKind::Stream && runs > 0) {
        const auto counts = [&](const RunRecord &run) {
            const bool isTroubled = wasCutSince(run.endpoint, run.at) || wasCutSince(instances_[caller.instance]->node, caller.sentAt);
            return !isTroubled;
        };
        if (std::count_if(found->second.begin(), found->second.end(), counts) > MostStreamRuns) {
            violate(caller.requestId + " ran more often than its route allows");
        }
    }
}

void VirtualFleet::checkRetries()
{
    for (const auto &[service, times] : repeats_) {
        const std::vector<Instant> &first = firstArrivals_[service];
        for (const Instant end : times) {
            const auto inWindow = [&](Instant at) {
                return at > end - RetryWindow && at <= end;
            };
            const auto repeats = std::count_if(times.begin(), times.end(), inWindow);
            const auto requests = std::count_if(first.begin(), first.end(), inWindow);
            if (static_cast<double>(repeats) > RetryShare * static_cast<double>(requests) + RetryReserve) {
                return violate(std::to_string(repeats) + " repeats to " + service + " within the window, of " + std::to_string(requests) + " requests");
            }
        }
    }
}
