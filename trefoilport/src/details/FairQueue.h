#pragma once

#include "trefoilport/Types.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace trefoilport {

/// A call that waits in the queue for a pipeline.
struct QueuedCall {
    /// Differs from those of all other queued calls.
    CallId call = 0;
    std::string team;
    std::string model;
    settings::CallClass callClass = settings::CallClass::Interactive;
    /// Relative share of the capacity: the team's weight, multiplied by interactive_factor for interactive calls.
    std::int64_t weight = 1;
    /// Estimated work in decoded tokens.
    std::uint32_t cost = 1;
    /// Deadline for leaving the queue: that of the first token for interactive calls, the end of batch_wait_ms for batch calls.
    base::Instant deadline{0};
};

/// Start-time fair queueing over flows of calls with the same team, class and model.
///
/// Over any busy period each team is served in proportion to its weight, interactive calls get a larger share than batch calls, and no flow
/// starves. Each flow's first call has a start tag and a finish tag in virtual time; the call with the lowest start tag is served next. See
/// P. Goyal, H. Vin, H. Cheng, SIGCOMM 1996.
class FairQueue
{
public:
    /// Appends a call to its flow.
    void push(QueuedCall call);

    /// Passes calls to tryStart in fair order until the queue is empty or every model with waiting calls is blocked. If tryStart returns true,
    /// the call leaves the queue; if it returns false, the call stays and its model is blocked until the next dispatch().
    void dispatch(const std::function<bool(const QueuedCall &)> &tryStart);

    /// Removes and returns the calls whose deadline is now or earlier.
    std::vector<QueuedCall> takeExpired(base::Instant now);

    /// Removes a call; returns true if it was queued.
    bool remove(CallId call);

    /// Number of queued calls.
    std::size_t size() const
    {
        return flowOf_.size();
    }

    /// Number of queued calls of a model.
    std::size_t sizeOf(const std::string &model) const;

    /// Estimates the work, in tokens, that is served until a new call is done. This is the work of the call and of its own flow, and for each other
    /// flow of the model the amount that its weight gives it in that time, limited to what the flow has queued.
    std::uint64_t estimatedWork(const QueuedCall &call) const;

private:
    /// The queued calls of one team, class and model.
    struct Flow {
        std::deque<QueuedCall> calls;
        /// Virtual finish time of the first call. If the flow is empty: that of the last served call, or the virtual start time of the last call if that has
        /// left the queue unserved.
        double finishTag = 0;
        /// Virtual start time of the first call.
        double startTag = 0;
        /// Sum of the costs of the queued calls.
        std::uint64_t work = 0;
    };
    using FlowKey = std::tuple<std::string, settings::CallClass, std::string>;
    using Flows = std::map<FlowKey, Flow>;
    /// A flow in an index that is ordered by one of its tags, and among equal tags by its key.
    using TaggedFlow = std::pair<double, Flows::value_type *>;
    struct TagOrder {
        bool operator()(const TaggedFlow &left, const TaggedFlow &right) const
        {
            return left.first != right.first ? left.first < right.first : left.second->first < right.second->first;
        }
    };
    using TagIndex = std::set<TaggedFlow, TagOrder>;

    /// Computes the tags of the flow's first call; does nothing if the flow is empty.
    static void assignTags(Flow &flow, double virtualTime);
    /// Computes the finish tag of the flow's first call anew from its start tag, also after the first call has changed.
    static void updateFinishTag(Flow &flow);
    /// Enters a flow into the index that it belongs to, or removes it. Between the two its tags and calls may change.
    void addToIndex(Flows::value_type &flow);
    void removeFromIndex(Flows::value_type &flow);
    /// Returns the flow with the lowest start tag whose model isn't blocked; null if there is none.
    Flows::value_type *nextFlow(const std::set<std::string> &blockedModels) const;
    /// Takes a call out of the queue unserved; none if it isn't queued.
    std::optional<QueuedCall> take(CallId call);
    /// Erases empty flows whose tags no longer matter, and resets the virtual time when the queue is empty.
    void dropIdleFlows();

    Flows flows_;
    /// The flows with calls by the start tag of their first call, for each model that has any.
    std::map<std::string, TagIndex> waiting_;
    /// The flows without calls by their finish tag.
    TagIndex idle_;
    /// The flow of each queued call.
    std::unordered_map<CallId, Flows::value_type *> flowOf_;
    /// The queued calls by deadline.
    std::set<std::pair<base::Instant, CallId>> deadlines_;
    /// The highest start tag of the calls served since the queue was last empty.
    double virtualTime_ = 0;
};

} // namespace trefoilport
