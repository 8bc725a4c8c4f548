#include "details/FairQueue.h"

#include <algorithm>
#include <set>

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

void FairQueue::push(QueuedCall call)
{
    Flow &flow = flows_[{call.team, call.callClass, call.model}];
    const bool wasEmpty = flow.calls.empty();
    flow.work += call.cost;
    flow.calls.push_back(std::move(call));
    ++size_;
    if (wasEmpty) {
        assignTags(flow, virtualTime_);
    }
}

void FairQueue::dispatch(const std::function<bool(const QueuedCall &)> &tryStart)
{
    std::set<std::string> blocked;
    while (true) {
        Flow *next = nullptr;
        for (auto &[key, flow] : flows_) {
            const bool eligible = !flow.calls.empty() && blocked.count(std::get<2>(key)) == 0;
            if (eligible && (next == nullptr || flow.startTag < next->startTag)) {
                next = &flow;
            }
        }
        if (next == nullptr) {
            break;
        }
        const QueuedCall &head = next->calls.front();
        if (!tryStart(head)) {
            blocked.insert(head.model);
            continue;
        }
        virtualTime_ = std::max(virtualTime_, next->startTag);
        next->work -= head.cost;
        next->calls.pop_front();
        --size_;
        assignTags(*next, virtualTime_);
    }
    dropIdleFlows();
}

void FairQueue::dropIdleFlows()
{
    // The next start tag of a flow is the maximum of the virtual time and its finish tag, so a finish tag at or below the virtual time has no effect.
    for (auto it = flows_.begin(); it != flows_.end();) {
        const bool idle = it->second.calls.empty() && it->second.finishTag <= virtualTime_;
        it = idle ? flows_.erase(it) : std::next(it);
    }
    if (size_ == 0) {
        flows_.clear();
        virtualTime_ = 0;
    }
}

std::vector<QueuedCall> FairQueue::takeExpired(base::Instant now)
{
    std::vector<QueuedCall> expired;
    for (auto &[key, flow] : flows_) {
        const std::size_t sizeBefore = flow.calls.size();
        for (auto it = flow.calls.begin(); it != flow.calls.end();) {
            if (it->deadline > now) {
                ++it;
                continue;
            }
            flow.work -= it->cost;
            expired.push_back(std::move(*it));
            it = flow.calls.erase(it);
            --size_;
        }
        if (flow.calls.size() < sizeBefore) {
            updateFinishTag(flow);
        }
    }
    return expired;
}

bool FairQueue::remove(CallId call)
{
    for (auto &[key, flow] : flows_) {
        const auto found = std::find_if(flow.calls.begin(), flow.calls.end(), [call](const QueuedCall &queued) { return queued.call == call; });
        if (found != flow.calls.end()) {
            flow.work -= found->cost;
            flow.calls.erase(found);
            --size_;
            updateFinishTag(flow);
            return true;
        }
    }
    return false;
}

std::size_t FairQueue::sizeOf(const std::string &model) const
{
    std::size_t count = 0;
    for (const auto &[key, flow] : flows_) {
        count += std::get<2>(key) == model ? flow.calls.size() : 0;
    }
    return count;
}

std::uint64_t FairQueue::estimatedWork(const QueuedCall &call) const
{
    const FlowKey ownKey{call.team, call.callClass, call.model};
    const auto own = flows_.find(ownKey);
    const std::uint64_t ownWork = call.cost + (own == flows_.end() ? 0 : own->second.work);
    std::uint64_t total = ownWork;
    for (const auto &[key, flow] : flows_) {
        if (key == ownKey || std::get<2>(key) != call.model || flow.calls.empty()) {
            continue;
        }
        const auto weight = static_cast<std::uint64_t>(flow.calls.front().weight);
        total += std::min(flow.work, ownWork * weight / static_cast<std::uint64_t>(call.weight));
    }
    return total;
}

} // namespace trefoilport
