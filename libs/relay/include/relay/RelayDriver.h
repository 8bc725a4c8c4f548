#pragma once

#include "base/EnumNames.h"
#include "base/ErrorKind.h"
#include "relay/Endpoint.h"
#include "relay/FleetConfig.h"
#include "wire/RelayDigest.h"

#include <string>
#include <string_view>
#include <vector>

namespace relay {

/// A request of a caller, given by the driver; unique within the process.
using CallId = std::uint64_t;

/// One sending of a request to an endpoint, given by the kernel; unique within the process.
using AttemptId = std::uint64_t;

/// One stage of a path, as it is sent to the first stage.
struct Hop {
    std::string address;
    placement::LayerRange layers;
};

/// Sends a caller's request to an endpoint.
struct Dispatch {
    AttemptId attempt = 0;
    CallId call = 0;
    std::string endpoint;
    std::string address;
    /// Empty unless the request passes through several stages.
    std::vector<Hop> hops;
    /// Name of the caller's team; empty on public routes.
    std::string team;
    /// What is left of the caller's time.
    Ms timeLeft{0};
    /// Id of the last event that the caller has; empty at the start of a stream.
    std::string lastEventId;
    /// The connection must not be one whose state is unknown.
    bool freshConnection = false;
    int priority = 0;
};

/// An answer of the router's own. The status follows from the kind.
struct Rejection {
    base::ErrorKind kind = base::ErrorKind::Internal;
    std::string detail;
    /// Zero if a repeat is of no use.
    Ms retryAfter{0};
};

/// An order to hold a range of layers.
struct PlacementOrder {
    std::string endpoint;
    std::string address;
    placement::LayerRange layers;
    std::uint64_t fence = 0;
    /// The order is void if the endpoint has begun another number of orders.
    std::uint64_t expectedOrderCount = 0;
};

/// Has other stages take the place of lost ones in the path of a request that goes on at its first stage.
struct Detour {
    AttemptId attempt = 0;
    std::string requestId;
    /// The first stage, to which it is told.
    std::string endpoint;
    std::string address;
    /// The whole new path; its first stage is the same.
    std::vector<Hop> hops;
};

/// How an order was answered.
enum class OrderOutcome {
    Accepted,
    Refused,
    Fenced,
    NoAnswer,
};

inline constexpr base::EnumNames<OrderOutcome, 4> OrderOutcomeNames = {{
    {OrderOutcome::Accepted, "accepted"},
    {OrderOutcome::Refused, "refused"},
    {OrderOutcome::Fenced, "fenced"},
    {OrderOutcome::NoAnswer, "no_answer"},
}};

/// The planner's lease, as it lies in the store.
struct LeaseRecord {
    std::string holder;
    /// Fencing number of the holder's orders.
    std::uint64_t fence = 0;
    /// Changes with each renewal.
    std::uint64_t renewal = 0;
};

/// A line of the log about a decision: what was decided, about what, and the inputs.
struct Decision {
    std::string_view event;
    std::string requestId;
    std::string subject;
    std::string detail;
};

/// What the kernel has done outside. The driver never calls the kernel back from within one of these.
class RelayDriver
{
public:
    virtual ~RelayDriver() = default;

    virtual void send(Dispatch dispatch) = 0;
    /// Breaks an attempt off; nothing of it is reported any more.
    virtual void cancel(AttemptId attempt) = 0;
    /// Ends a call with an answer of the router's own.
    virtual void reject(CallId call, const Rejection &rejection) = 0;
    /// Passes the attempt's whole answer to the caller and ends the call.
    virtual void forward(CallId call, AttemptId attempt) = 0;
    /// Starts the answer of a stream with the head of the attempt's answer.
    virtual void beginStream(CallId call, AttemptId attempt) = 0;
    /// Ends a stream as complete.
    virtual void endStream(CallId call) = 0;
    /// Ends a stream in a way that can't be taken for its end.
    virtual void breakStream(CallId call) = 0;
    /// Asks an endpoint for its state.
    virtual void readReport(const std::string &endpoint, const std::string &address) = 0;
    virtual void sendOrder(const PlacementOrder &order) = 0;
    virtual void sendDetour(const Detour &detour) = 0;
    /// Reads the lease; the answer may be seconds old.
    virtual void readLease() = 0;
    /// Writes the lease if it still has the revision; 0 means that it must not exist.
    virtual void writeLease(const LeaseRecord &record, std::uint64_t expectedRevision) = 0;
    /// Sends a digest to other instances; it may be lost.
    virtual void sendDigest(const std::vector<std::string> &addresses, const wire::RelayDigest &digest) = 0;
    virtual void sendFreshnessRequest(const std::string &address, const wire::FreshnessRequest &question) = 0;
    virtual void sendFreshnessReply(const std::string &address, const wire::FreshnessReply &answer) = 0;
    /// Whether the store is read continuously; at the start it is.
    virtual void followStore(bool follow) = 0;
    /// Reads the configuration, or the list of endpoints, once and now.
    virtual void refreshConfig() = 0;
    virtual void refreshEndpoints() = 0;
    virtual void setReady(bool ready) = 0;
    /// Answers from now on end their connections, and idle ones are closed.
    virtual void closeConnections() = 0;
    /// Everything is finished.
    virtual void exit() = 0;
    virtual void record(const Decision &decision) = 0;
};

} // namespace relay
