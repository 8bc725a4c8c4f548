#pragma once

#include "base/Result.h"
#include "trefoilport/Status.h"
#include "trefoilport/Types.h"

#include <variant>
#include <vector>

/// Actions: what the kernel orders the driver to do.
namespace trefoilport {

/// Starts an attempt on a pipeline by sending the order to its first stage. An order that was not sent by sendDeadline must never be sent, since the
/// kernel's choice may be out of date: the driver reports AttemptFailed with NotSent instead.
struct StartPipeline {
    AttemptId attempt = 0;
    PipelineOrder order;
    base::Instant sendDeadline{0};
};

/// Sends a call to a service endpoint. A request that was not sent by sendDeadline must never be sent: the driver reports AttemptFailed with NotSent
/// instead.
struct StartService {
    AttemptId attempt = 0;
    std::string endpoint;
    std::string address;
    ServiceRequest request;
    /// Limit for the whole exchange, in milliseconds.
    std::int64_t timeoutMs = 5000;
    /// The call may be dispatched at most once, so the driver must send it on a new connection. The state of a kept-alive connection is unknown: the endpoint
    /// may close it while the request is being written, and the request then can't be repeated.
    bool atMostOnce = false;
    base::Instant sendDeadline{0};
};

/// Cancels an attempt. The kernel drops any further frames of it.
struct CancelAttempt {
    AttemptId attempt = 0;
};

/// Sends the next token to the caller.
struct AnswerToken {
    CallId call = 0;
    /// Index of the token in the answer; 0 is the first token after the prompt.
    std::uint32_t position = 0;
    std::string text;
};

/// Ends a completion: every token was delivered.
struct AnswerEnd {
    CallId call = 0;
    /// Number of tokens delivered to the caller.
    std::uint32_t tokens = 0;
};

/// Fails a call. If tokens were already streamed, the error is sent as an explicit error event in the stream.
struct AnswerFailure {
    CallId call = 0;
    base::Error error;
};

/// Sends a service's answer to the caller.
struct AnswerService {
    CallId call = 0;
    ServiceAnswer answer;
    /// The answer is the stored outcome of an earlier call with the same idempotency key.
    bool replayed = false;
};

/// Answers ModelsRequested with the names of the configured models.
struct AnswerModels {
    CallId call = 0;
    std::vector<std::string> models;
};

/// Answers an operator's status or drain call.
struct AnswerStatus {
    CallId call = 0;
    StatusReport status;
};

/// Reads a stored object; answered by StoreReadDone.
struct ReadStore {
    StoreOpId op = 0;
    std::string key;
};

/// Reads the configuration's head object at once, without waiting for the watch; answered by HeadReceived or StoreFailed.
struct ReadHead {
};

/// Writes a stored object if its version still is expectedVersion, where 0 means that the object must not exist; answered by StoreWriteDone.
struct WriteStore {
    StoreOpId op = 0;
    std::string key;
    StoreValue value;
    std::uint64_t expectedVersion = 0;
};

/// Sends a message to the instance at a mesh address.
struct SendPeer {
    std::string address;
    wire::PeerEnvelope envelope;
};

/// Requests an endpoint's load; answered by LoadReported or ProbeFailed.
struct ProbeEndpoint {
    std::string endpoint;
    std::string address;
};

/// Sets whether the load balancer should send new calls to this instance.
struct SetReady {
    bool ready = false;
};

/// Closes the listening socket for callers.
struct StopAccepting {
};

/// Ends the process: the shutdown is complete.
struct Exit {
};

/// Writes an event to the timeline and the log.
struct Record {
    TimelineKind kind = TimelineKind::CallArrived;
    /// The call that the event belongs to; 0 if there is none.
    CallId call = 0;
    /// What the event concerns, depending on the kind: an endpoint, the endpoints of a pipeline separated by commas, an instance, a team, a claim key or the
    /// store key of a claim bucket. Empty if the kind has none.
    std::string subject;
    /// Further facts as text, such as "attempt 7"; may be empty.
    std::string detail;
};

using Action = std::variant<StartPipeline,
                            StartService,
                            CancelAttempt,
                            AnswerToken,
                            AnswerEnd,
                            AnswerFailure,
                            AnswerService,
                            AnswerModels,
                            AnswerStatus,
                            ReadStore,
                            ReadHead,
                            WriteStore,
                            SendPeer,
                            ProbeEndpoint,
                            SetReady,
                            StopAccepting,
                            Exit,
                            Record>;

/// Actions in the order in which the driver must carry them out.
using Actions = std::vector<Action>;

} // namespace trefoilport
