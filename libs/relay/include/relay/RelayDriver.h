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

/// Identifies a caller's request. Assigned by the driver; unique within the process.
using CallId = std::uint64_t;

/// Identifies an attempt: one dispatch of a call to an endpoint or a pipeline. Assigned by the kernel; unique within the process.
using AttemptId = std::uint64_t;

/// One stage of a pipeline, as it is sent to the first stage.
struct Hop {
    std::string address;
    placement::LayerRange layers;
};

/// An attempt that the driver is to send to an endpoint.
struct Dispatch {
    AttemptId attempt = 0;
    CallId call = 0;
    /// Id and IP:port of the endpoint; of the first stage if there is a pipeline.
    std::string endpoint;
    std::string address;
    /// Stages of the pipeline, the first one included; empty for services without layers.
    std::vector<Hop> hops;
    /// Name of the caller's team; empty on public routes.
    std::string team;
    /// Time until the call's deadline.
    Ms timeLeft{0};
    /// The answer is a stream, whose events are reported one by one by RelayKernel::onEvent(). Any other answer is reported as a whole, whatever it contains.
    bool isStream = false;
    /// Id of the last event that the caller has received; empty at the start of a stream.
    std::string lastEventId;
    /// The attempt must be sent over a new connection. The endpoint may close a kept one while the request is being written, which leaves unknown whether the
    /// request ran; and on one that has carried an attempt of the same call, a late second answer to that attempt bears the id of this one.
    bool freshConnection = false;
    /// 0 is the highest.
    int priority = 0;
};

/// A request that the driver is to hand over to another instance, which serves it as one of its own.
struct HandOver {
    AttemptId attempt = 0;
    CallId call = 0;
    /// Name of the other instance, and IP:port at which it takes requests.
    std::string instance;
    std::string address;
    /// Time until the call's deadline.
    Ms timeLeft{0};
    /// Values of Dispatch.
    bool isStream = false;
    std::string lastEventId;
    bool freshConnection = false;
    /// Runs of the request that count against its route's limit already.
    std::uint32_t runs = 0;
    /// Version of the configuration under which this instance has admitted it: one that knows only an older one must not serve it.
    std::uint64_t configVersion = 0;
};

/// An error answer that the router gives itself. Its HTTP status follows from the kind.
struct Rejection {
    base::ErrorKind kind = base::ErrorKind::Internal;
    std::string detail;
    /// Time after which the caller may try again; zero if that can't help.
    Ms retryAfter{0};
    /// Version of the configuration by which it was decided; 0 if there is none.
    std::uint64_t configVersion = 0;
};

/// An order to an endpoint to load a range of layers.
struct PlacementOrder {
    std::string endpoint;
    std::string address;
    placement::LayerRange layers;
    /// Fencing number of the planner's lease; endpoints refuse orders with a lower one than they have seen.
    std::uint64_t fence = 0;
    /// Number of orders that the endpoint has begun since its start, as far as the planner knows. The endpoint refuses the order if it differs.
    std::uint64_t expectedOrderCount = 0;
};

/// Replaces lost later stages in the pipeline of a request, while the request continues at its first stage.
struct Detour {
    AttemptId attempt = 0;
    std::string requestId;
    /// Id and IP:port of the first stage, which receives the detour.
    std::string endpoint;
    std::string address;
    /// The whole new pipeline; its first stage is unchanged.
    std::vector<Hop> hops;
};

/// How an endpoint answered a placement order or a detour.
enum class OrderOutcome {
    /// The endpoint carries it out.
    Accepted,
    /// The endpoint doesn't carry it out, for a reason other than its fencing number.
    Refused,
    /// The endpoint has seen a higher fencing number.
    Fenced,
    /// The endpoint doesn't know the request of a detour: it has ended it, perhaps just now with its answer on the way, or lost it.
    UnknownRequest,
    /// No answer arrived in time, so that the outcome is unknown.
    NoAnswer,
};

/// Names of the outcomes in the log.
inline constexpr base::EnumNames<OrderOutcome, 5> OrderOutcomeNames = {{
    {OrderOutcome::Accepted, "accepted"},
    {OrderOutcome::Refused, "refused"},
    {OrderOutcome::Fenced, "fenced"},
    {OrderOutcome::UnknownRequest, "unknown_request"},
    {OrderOutcome::NoAnswer, "no_answer"},
}};

/// A check whether an endpoint is there.
struct EndpointCheck {
    /// Id and IP:port of the endpoint.
    std::string endpoint;
    std::string address;
    /// URL path of its health check; empty if it gives reports, which are to be asked for instead: they need no room.
    std::string healthPath;
};

/// What a check of an endpoint has found at its address.
enum class CheckOutcome {
    /// The endpoint answered; perhaps in a later incarnation under the same id.
    Answered,
    /// Another process answered, so that this one has ended.
    Replaced,
    /// No connection could be made: the process has ended, or the network doesn't reach it.
    Unreachable,
    /// A connection was made, and no answer came in time.
    NoAnswer,
};

/// Names of the outcomes in the log.
inline constexpr base::EnumNames<CheckOutcome, 4> CheckOutcomeNames = {{
    {CheckOutcome::Answered, "answered"},
    {CheckOutcome::Replaced, "replaced"},
    {CheckOutcome::Unreachable, "unreachable"},
    {CheckOutcome::NoAnswer, "no_answer"},
}};

/// The planner's lease, as it is kept in the store.
struct LeaseRecord {
    /// The instance that holds it; empty once it has been released.
    std::string holder;
    /// Fencing number of the holder's placement orders.
    std::uint64_t fence = 0;
    /// Counts the holder's renewals, so that each write changes the record.
    std::uint64_t renewal = 0;
};

/// What is kept in the store of a signature that is convicted of crashing endpoints.
struct QuarantineRecord {
    /// A crash that speaks against it, as wire::CrashReport names it, and the time since then.
    struct Crash {
        std::uint64_t crash = 0;
        Ms age{0};
    };

    std::uint64_t signature = 0;
    std::vector<Crash> crashes;
};

/// A log line about a decision: what was decided, about what, and from which inputs.
struct Decision {
    std::string_view event;
    /// Empty if the decision concerns no single request.
    std::string requestId;
    /// What the decision concerns: an endpoint, an instance, an error kind or the fingerprint of a request.
    std::string subject;
    /// Free text with the inputs.
    std::string detail;
};

/// Carries out the kernel's decisions: network, store, process and log. No function may call the kernel before returning; results are reported
/// later.
class RelayDriver
{
public:
    virtual ~RelayDriver() = default;

    /// Sends an attempt. Its course is reported by onAnswer(), onEvent(), onStreamEnd() or onFailure() of the kernel.
    virtual void send(Dispatch dispatch) = 0;
    /// Hands a request over to another instance. Its course is reported as that of an attempt, except for onHead().
    virtual void handOver(HandOver order) = 0;
    /// Aborts an attempt or a hand-over; nothing more is reported about it.
    virtual void cancel(AttemptId attempt) = 0;
    /// Ends a call with an error answer by the router itself.
    virtual void reject(CallId call, const Rejection &rejection) = 0;
    /// Forwards the attempt's whole answer to the caller and ends the call.
    virtual void forward(CallId call, AttemptId attempt) = 0;
    /// Starts the answer of a stream with the status and headers of the attempt's answer.
    virtual void beginStream(CallId call, AttemptId attempt) = 0;
    /// Lets a stream that has begun go on with another attempt; only that one may write to it from now on.
    virtual void continueStream(CallId call, AttemptId attempt) = 0;
    /// Ends the stream to the caller as complete, and with it the call, after the attempt's answer has ended.
    virtual void endStream(CallId call, AttemptId attempt) = 0;
    /// Aborts a stream so that the caller can't mistake it for complete, and ends the call.
    virtual void breakStream(CallId call) = 0;
    /// Requests an endpoint's report; the result goes to RelayKernel::onReport().
    virtual void readReport(const std::string &endpoint, const std::string &address) = 0;
    /// Asks an endpoint over a new connection; the result goes to RelayKernel::onCheck().
    virtual void checkEndpoint(const EndpointCheck &check) = 0;
    /// Sends a placement order; the result goes to RelayKernel::onOrderAnswer().
    virtual void sendOrder(const PlacementOrder &order) = 0;
    /// Sends a detour to the first stage; the result goes to RelayKernel::onDetourAnswer().
    virtual void sendDetour(const Detour &detour) = 0;
    /// Reads the lease; the result, which may be seconds old, goes to RelayKernel::onLeaseRead().
    virtual void readLease() = 0;
    /// Writes the lease if it still has the expected revision; 0 means that it must not exist. The result goes to RelayKernel::onLeaseWritten().
    virtual void writeLease(const LeaseRecord &record, std::uint64_t expectedRevision) = 0;
    /// Reads the records of quarantines from the store; they go to RelayKernel::onQuarantines(), unless the store doesn't answer.
    virtual void readQuarantines() = 0;
    /// Writes the record of a quarantine in place of an earlier one; the result goes to RelayKernel::onQuarantineWritten().
    virtual void writeQuarantine(const QuarantineRecord &record) = 0;
    /// Removes the record of a quarantine, if there is one.
    virtual void removeQuarantine(std::uint64_t signature) = 0;
    /// Sends a digest to other instances, without confirmation: it may be lost.
    virtual void sendDigest(const std::vector<std::string> &addresses, const wire::RelayDigest &digest) = 0;
    /// Sends another instance a request for the age of its knowledge of the store; it may be lost.
    virtual void sendFreshnessRequest(const std::string &address, const wire::FreshnessRequest &request) = 0;
    /// Sends the reply to a freshness request; it may be lost.
    virtual void sendFreshnessReply(const std::string &address, const wire::FreshnessReply &reply) = 0;
    /// Starts reading the store continuously, at a random time within `spread`, and repeats failed reads in a period of the same order.
    virtual void followStore(Ms spread) = 0;
    /// Stops reading the store continuously. So it is at the start, when only the configuration and the list of instances are read.
    virtual void unfollowStore() = 0;
    /// Reads the configuration from the store once, without delay.
    virtual void refreshConfig() = 0;
    /// Reads the list of endpoints from the store once, without delay.
    virtual void refreshEndpoints() = 0;
    /// Sets what the instance answers to readiness checks of the balancer.
    virtual void setReady(bool ready) = 0;
    /// Closes idle connections of callers, and the others after their current answer.
    virtual void closeConnections() = 0;
    /// Accepts no more connections of callers, closes idle ones again, and refuses requests that are still arriving: they would be refused by now when they
    /// are whole, and the end of the process would cut them without a word.
    virtual void stopAccepting() = 0;
    /// Returns the number of callers' connections on which a request is being read or an answer is not written in full.
    virtual std::size_t unfinishedExchanges() const = 0;
    /// Ends the process. Called when no work is left, or shortly before the platform would kill the process.
    virtual void exit() = 0;
    /// Writes a line to the log.
    virtual void record(const Decision &decision) = 0;
};

} // namespace relay
