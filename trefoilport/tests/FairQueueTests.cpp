#include "base/Hash.h"
#include "details/FairQueue.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace trefoilport;

namespace {

/// Start-time fair queueing by its definition: the flows are searched anew for each call.
class QueueByDefinition
{
public:
    void push(const QueuedCall &call)
    {
        Flow &flow = flows_[{call.team, call.callClass, call.model}];
        flow.calls.push_back(call);
        if (flow.calls.size() == 1) {
            flow.start = std::max(virtualTime_, flow.finish);
            charge(flow);
        }
    }

    /// Serves the calls of models that aren't blocked, at most `count`; returns their numbers.
    std::vector<CallId> serve(std::size_t count, const std::string &blockedModel)
    {
        std::vector<CallId> served;
        while (served.size() < count) {
            Flow *next = nullptr;
            for (auto &[key, flow] : flows_) {
                const bool mayBeServed = !flow.calls.empty() && std::get<2>(key) != blockedModel;
                if (mayBeServed && (next == nullptr || flow.start < next->start)) {
                    next = &flow;
                }
            }
            if (next == nullptr) {
                break;
            }
            served.push_back(next->calls.front().call);
            virtualTime_ = std::max(virtualTime_, next->start);
            next->calls.pop_front();
            if (!next->calls.empty()) {
                next->start = std::max(virtualTime_, next->finish);
                charge(*next);
            }
        }
        if (std::all_of(flows_.begin(), flows_.end(), [](const auto &entry) { return entry.second.calls.empty(); })) {
            flows_.clear();
            virtualTime_ = 0;
        }
        return served;
    }

    /// Removes the calls for which the condition holds; returns their numbers in ascending order.
    std::vector<CallId> removeIf(const std::function<bool(const QueuedCall &)> &condition)
    {
        std::vector<CallId> removed;
        for (auto &[key, flow] : flows_) {
            const std::size_t before = flow.calls.size();
            std::erase_if(flow.calls, [&](const QueuedCall &call) {
                if (condition(call)) {
                    removed.push_back(call.call);
                    return true;
                }
                return false;
            });
            if (flow.calls.size() != before) {
                charge(flow);
            }
        }
        std::sort(removed.begin(), removed.end());
        return removed;
    }

private:
    struct Flow {
        std::deque<QueuedCall> calls;
        double start = 0;
        double finish = 0;
    };

    static void charge(Flow &flow)
    {
        flow.finish = flow.start + (flow.calls.empty() ? 0 : static_cast<double>(flow.calls.front().cost) / static_cast<double>(flow.calls.front().weight));
    }

    std::map<std::tuple<std::string, settings::CallClass, std::string>, Flow> flows_;
    double virtualTime_ = 0;
};

QueuedCall randomCall(base::Random &random, CallId id, std::int64_t nowMs)
{
    QueuedCall call;
    call.call = id;
    call.team = "team " + std::to_string(random.nextBelow(6));
    call.model = "model " + std::to_string(random.nextBelow(3));
    call.callClass = random.nextBelow(4) == 0 ? settings::CallClass::Batch : settings::CallClass::Interactive;
    call.weight = 1 + static_cast<std::int64_t>(random.nextBelow(4));
    call.cost = static_cast<std::uint32_t>(1 + random.nextBelow(20));
    call.deadline = std::chrono::milliseconds(nowMs + static_cast<std::int64_t>(random.nextBelow(200)));
    return call;
}

std::vector<CallId> serve(FairQueue &queue, std::size_t count, const std::string &blockedModel)
{
    std::vector<CallId> served;
    queue.dispatch([&](const QueuedCall &call) {
        if (call.model == blockedModel || served.size() == count) {
            return false;
        }
        served.push_back(call.call);
        return true;
    });
    return served;
}

} // namespace

TEST_GROUP(AFairQueueWithManyFlows)
{
    static constexpr std::uint64_t Seeds = 200;
    static constexpr int Steps = 200;

    /// Plays a run that its seed determines on both queues; returns false if they differ.
    static bool isAsDefined(std::uint64_t seed)
    {
        base::Random random(seed);
        FairQueue queue;
        QueueByDefinition definition;
        CallId lastCall = 0;
        for (std::int64_t nowMs = 0; nowMs < Steps; ++nowMs) {
            for (std::uint64_t i = random.nextBelow(4); i > 0; --i) {
                const QueuedCall call = randomCall(random, ++lastCall, nowMs);
                queue.push(call);
                definition.push(call);
            }
            const CallId removed = 1 + random.nextBelow(lastCall + 1);
            const bool wasQueued = !definition.removeIf([&](const QueuedCall &call) { return call.call == removed; }).empty();
            const base::Instant now = std::chrono::milliseconds(nowMs);
            if (queue.remove(removed) != wasQueued) {
                return false;
            }
            std::vector<CallId> expired;
            for (const QueuedCall &call : queue.takeExpired(now)) {
                expired.push_back(call.call);
            }
            std::sort(expired.begin(), expired.end());
            const std::string blocked = "model " + std::to_string(random.nextBelow(4));
            const std::size_t count = random.nextBelow(4);
            if (expired != definition.removeIf([&](const QueuedCall &call) { return call.deadline <= now; })
                || serve(queue, count, blocked) != definition.serve(count, blocked)) {
                return false;
            }
        }
        return true;
    }
};

/// Guards against an index of the flows that serves calls in another order than a search of all flows would.
TEST(AFairQueueWithManyFlows, servesCallsInTheOrderOfTheirTags)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        CHECK_TEXT(isAsDefined(seed), ("seed " + std::to_string(seed)).c_str());
    }
}
