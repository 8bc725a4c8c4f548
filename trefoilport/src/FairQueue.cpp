#include "details/FairQueue.h"

#include <algorithm>

namespace trefoilport {

void FairQueue::assignTags(Flow &flow, double virtualTime)
{
    if (flow.calls.empty()) {
        return;
    }
    flow.startTag = std::max(virtualTime, flow.finishTag);
    updateFinishTag(flow);
}

void FairQueue::updateFinishTag(Flow &flow)
{
    // The flow isn't charged for a first call that has left the queue unserved.
    flow.finishTag = flow.startTag;
    if (!flow.calls.empty()) {
        const QueuedCall &head = flow.calls.front();
        flow.finishTag += static_cast<double>(head.cost) / static_cast<double>(head.weight);
    }
}

void FairQueue::addToIndex(Flows::value_type &flow)
{
    if (flow.second.calls.empty()) {
        idle_.emplace(flow.second.finishTag, &flow);
    } else {
        waiting_[std::get<2>(flow.first)].emplace(flow.second.startTag, &flow);
    }
}

void FairQueue::removeFromIndex(Flows::value_type &flow)
{
    if (flow.second.calls.empty()) {
        idle_.erase({flow.second.finishTag, &flow});
        return;
    }
    const auto ofModel = waiting_.find(std::get<2>(flow.first));
    ofModel->second.erase({flow.second.startTag, &flow});
    if (ofModel->second.empty()) {
        waiting_.erase(ofModel);
    }
}

void FairQueue::push(QueuedCall call)
{
    Flows::value_type &flow = *flows_.try_emplace({call.team, call.callClass, call.model}).first;
    flowOf_.emplace(call.call, &flow);
    deadlines_.emplace(call.deadline, call.call);
    flow.second.work += call.cost;
    if (!flow.second.calls.empty()) {
        flow.second.calls.push_back(std::move(call));
        return;
    }
    removeFromIndex(flow);
    flow.second.calls.push_back(std::move(call));
    assignTags(flow.second, virtualTime_);
    addToIndex(flow);
}

FairQueue::Flows::value_type *FairQueue::nextFlow(const std::set<std::string> &blockedModels) const
{
    const TaggedFlow *next = nullptr;
    for (const auto &[model, flows] : waiting_) {
        if (!blockedModels.contains(model) && (next == nullptr || TagOrder()(*flows.begin(), *next))) {
            next = &*flows.begin();
        }
    }
    return next == nullptr ? nullptr : next->second;
}

void FairQueue::dispatch(const std::function<bool(const QueuedCall &)> &tryStart)
{
    std::set<std::string> blocked;
    while (Flows::value_type *next = nextFlow(blocked)) {
        Flow &flow = next->second;
        const QueuedCall &head = flow.calls.front();
        if (!tryStart(head)) {
            blocked.insert(head.model);
            continue;
        }
        removeFromIndex(*next);
        virtualTime_ = std::max(virtualTime_, flow.startTag);
        flow.work -= head.cost;
        flowOf_.erase(head.call);
        deadlines_.erase({head.deadline, head.call});
        flow.calls.pop_front();
        assignTags(flow, virtualTime_);
        addToIndex(*next);
    }
    dropIdleFlows();
}

void FairQueue::dropIdleFlows()
{
    // The next start tag of a flow is the maximum of the virtual time and its finish tag, so a finish tag at or below the virtual time has no effect.
    while (!idle_.empty() && (flowOf_.empty() || idle_.begin()->first <= virtualTime_)) {
        const Flows::value_type *flow = idle_.begin()->second;
        idle_.erase(idle_.begin());
        flows_.erase(flows_.find(flow->first));
    }
    if (flowOf_.empty()) {
        virtualTime_ = 0;
    }
}

std::optional<QueuedCall> FairQueue::take(CallId call)
{
    const auto entry = flowOf_.find(call);
    if (entry == flowOf_.end()) {
        return std::nullopt;
    }
    Flows::value_type &flow = *entry->second;
    std::deque<QueuedCall> &calls = flow.second.calls;
    removeFromIndex(flow);
    const auto found = std::find_if(calls.begin(), calls.end(), [call](const QueuedCall &queued) { return queued.call == call; });
    QueuedCall taken = std::move(*found);
    calls.erase(found);
    flow.second.work -= taken.cost;
    updateFinishTag(flow.second);
    addToIndex(flow);
    deadlines_.erase({taken.deadline, call});
    flowOf_.erase(entry);
    return taken;
}

std::vector<QueuedCall> FairQueue::takeExpired(base::Instant now)
{
    std::vector<QueuedCall> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        expired.push_back(*take(deadlines_.begin()->second));
    }
    return expired;
}

bool FairQueue::remove(CallId call)
{
    return take(call).has_value();
}

std::size_t FairQueue::sizeOf(const std::string &model) const
{
    std::size_t count = 0;
    if (const auto ofModel = waiting_.find(model); ofModel != waiting_.end()) {
        for (const auto &[tag, flow] : ofModel->second) {
            count += flow->second.calls.size();
        }
    }
    return count;
}

std::uint64_t FairQueue::estimatedWork(const QueuedCall &call) const
{
    const FlowKey ownKey{call.team, call.callClass, call.model};
    const auto own = flows_.find(ownKey);
    const std::uint64_t ownWork = call.cost + (own == flows_.end() ? 0 : own->second.work);
    std::uint64_t total = ownWork;
    const auto ofModel = waiting_.find(call.model);
    if (ofModel == waiting_.end()) {
        return total;
    }
    for (const auto &[tag, flow] : ofModel->second) {
        if (flow->first != ownKey) {
            const auto weight = static_cast<std::uint64_t>(flow->second.calls.front().weight);
            total += std::min(flow->second.work, ownWork * weight / static_cast<std::uint64_t>(call.weight));
        }
    }
    return total;
}

} // namespace trefoilport
