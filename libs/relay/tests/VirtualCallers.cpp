#include "VirtualInstance.h"

#include <algorithm>

using relay::Instant;
using relay::Ms;

namespace {

constexpr Ms CallPeriod{50};
constexpr Ms StreamTimeLimit{10000};
constexpr Ms PlainTimeLimit{2000};
/// A stream has MinEvents events and up to EventCountRange - 1 more.
constexpr std::uint64_t MinEvents = 4;
constexpr std::uint64_t EventCountRange = 40;
/// Retries to a service that may reach its endpoints within the window: this ratio of the first attempts, plus the reserve.
constexpr double RetryRatio = 0.2;
constexpr double RetryReserve = 100;
constexpr Ms RetryWindow{10000};
/// Number of attempts that the stream route allows.
constexpr std::uint32_t MaxStreamRuns = 2;

/// The route of this path allows no resumption of its streams.
constexpr std::string_view OnceStreamPath = "/once/x";

struct CallKind {
    relay::RequestKind kind;
    std::string_view path;
    Ms timeLimit;
};

constexpr CallKind CallKinds[] = {
    {relay::RequestKind::Stream, "/stream/x", StreamTimeLimit},
    {relay::RequestKind::Stream, OnceStreamPath, StreamTimeLimit},
    {relay::RequestKind::AtMostOnce, "/book/x", PlainTimeLimit},
    {relay::RequestKind::Idempotent, "/read/x", PlainTimeLimit},
};

} // namespace

void VirtualFleet::sendCall()
{
    // Callers make no calls later than 4000 ms after the recovery deadline. This must equal FinalCallPeriod in VirtualFleet.cpp.
    if (time_.now() >= recoveryDeadline_ + Ms(4000)) {
        return;
    }
    time_.after(CallPeriod, [this]() { sendCall(); });
    // Some callers have an open connection to an instance that is not ready, to which no new connections are made.
    const bool isConnected = draw(4) == 0;
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        const Instance &instance = *instances_[i];
        if (instance.alive && (instance.ready || isConnected) && time_.now() >= instance.frozenUntil && !cutOff_.contains(instance.node)) {
            ready.push_back(i);
        }
    }
    const bool isAfterRecovery = time_.now() >= recoveryDeadline_;
    totals_.callsAfterRecovery += isAfterRecovery ? 1 : 0;
    ++totals_.calls;
    if (ready.empty()) {
        return;
    }
    const CallKind &kind = CallKinds[draw(std::size(CallKinds))];
    auto caller = std::make_unique<Caller>();
    caller->id = ++lastCall_;
    caller->instance = ready[draw(ready.size())];
    caller->generation = instances_[caller->instance]->generation;
    caller->requestId = "request-" + std::to_string(caller->id);
    caller->kind = kind.kind;
    caller->mayRunOnce = kind.kind == relay::RequestKind::AtMostOnce || kind.path == OnceStreamPath;
    caller->sentAt = time_.now();
    caller->key = !isAfterRecovery && draw(4) == 0 ? "key-c" : draw(2) == 0 ? "key-a" : "key-b";
    caller->events = MinEvents + draw(EventCountRange);
    relay::CallArrival arrival = arrivalOf(*caller);
    arrival.path = kind.path;
    arrival.timeLimit = kind.timeLimit;
    Caller &sent = *caller;
    openCallers_[{sent.instance, sent.id}] = &sent;
    callers_.push_back(std::move(caller));
    instances_[sent.instance]->kernel->onCall(time_.now(), arrival);
    if (!sent.ended && !isAfterRecovery && draw(20) == 0) {
        leaveLater(sent);
    }
}

relay::CallArrival VirtualFleet::arrivalOf(const Caller &caller)
{
    relay::CallArrival arrival;
    arrival.call = caller.id;
    arrival.requestId = caller.requestId;
    arrival.host = "api.example";
    arrival.keySha256 = caller.key;
    arrival.promptTokens = 500;
    arrival.answerTokens = 100;
    arrival.fingerprint = caller.id;
    return arrival;
}

void VirtualFleet::leaveLater(Caller &caller)
{
    time_.after(Ms(draw(1500)), [this, &caller]() {
        runInInstance(caller.instance, caller.generation, [this, &caller]() {
            if (!caller.ended) {
                caller.ended = true;
                openCallers_.erase({caller.instance, caller.id});
                instances_[caller.instance]->kernel->onCallerGone(time_.now(), caller.id);
            }
        });
    });
}

VirtualFleet::Caller *VirtualFleet::callerOf(std::size_t instance, relay::CallId call)
{
    const auto found = openCallers_.find({instance, call});
    return found == openCallers_.end() ? nullptr : found->second;
}

void VirtualFleet::endCall(Caller &caller, bool served)
{
    if (caller.ended) {
        return addViolation(caller.requestId + " ended twice");
    }
    caller.ended = true;
    caller.served = served;
    totals_.served += served ? 1 : 0;
    totals_.servedAfterRecovery += served && caller.sentAt >= recoveryDeadline_ ? 1 : 0;
    openCallers_.erase({caller.instance, caller.id});
}

bool VirtualFleet::isBrokenByRouter(const Caller &caller) const
{
    constexpr Ms CallerPatience{2000};
    constexpr Ms ShortestTimeout = StreamTimeLimit * 3 / 4;
    return !caller.wasBrokenByEndpoint && time_.now() < caller.deliveredAt + CallerPatience && time_.now() < caller.sentAt + ShortestTimeout;
}

void VirtualFleet::checkCaller(const Caller &caller)
{
    const auto found = runs_.find(caller.requestId);
    const std::size_t runs = found == runs_.end() ? 0 : found->second.size();
    if (!caller.ended) {
        addViolation(caller.requestId + " did not reach its end");
    }
    if (caller.mayRunOnce && runs > 1) {
        addViolation(caller.requestId + " ran " + std::to_string(runs) + " times");
    }
    if (caller.reportedNotRun && runs > 0) {
        addViolation(caller.requestId + " was reported as not run but ran");
    }
    if (caller.kind == relay::RequestKind::Stream && runs > 0) {
        const auto countsAgainstLimit = [&](const RunRecord &run) {
            const bool hadFault = hadFaultSince(run.endpoint, run.at) || hadFaultSince(instances_[caller.instance]->node, caller.sentAt);
            return !hadFault;
        };
        if (std::count_if(found->second.begin(), found->second.end(), countsAgainstLimit) > MaxStreamRuns) {
            addViolation(caller.requestId + " ran more often than its route allows");
        }
    }
}

void VirtualFleet::checkRetries()
{
    for (const auto &[service, times] : retries_) {
        const std::vector<Instant> &first = firstArrivals_[service];
        for (const Instant end : times) {
            const auto inWindow = [&](Instant at) {
                return at > end - RetryWindow && at <= end;
            };
            const auto retries = std::count_if(times.begin(), times.end(), inWindow);
            const auto requests = std::count_if(first.begin(), first.end(), inWindow);
            if (static_cast<double>(retries) > RetryRatio * static_cast<double>(requests) + RetryReserve) {
                return addViolation(std::to_string(retries) + " retries to " + service + " within one window with " + std::to_string(requests) + " requests");
            }
        }
    }
}
