#pragma once

#include "base/Result.h"
#include "trefoilport/Status.h"
#include "trefoilport/Types.h"

#include <variant>
#include <vector>

/// What the kernel tells the driver to do.
namespace trefoilport {

/// Start a pipeline. If it can't be sent before sendBy, it must not be sent at all: AttemptFailed with NotSent.
struct StartPipeline {
    AttemptId attempt = 0;
    PipelineOrder order;
    base::Instant sendDeadline{0};
};

/// Send a call to a service endpoint. If it can't be sent before sendBy, it must not be sent at all.
struct StartService {
    AttemptId attempt = 0;
    std::string endpoint;
    std::string address;
    ServiceRequest request;
    std::int64_t timeoutMs = 5000;
    /// The connection must not be one whose state is unknown.
    bool atMostOnce = false;
    base::Instant sendDeadline{0};
};

/// Break an attempt off; its frames are no longer wanted.
struct CancelAttempt {
    AttemptId attempt = 0;
};

/// Give the caller its next token.
struct AnswerToken {
    CallId call = 0;
    std::uint32_t position = 0;
    std::string text;
};

/// The completion is whole.
struct AnswerEnd {
    CallId call = 0;
    std::uint32_t tokens = 0;
};

/// The call failed; after the first token this becomes an explicit error in the stream.
struct AnswerFailure {
    CallId call = 0;
    base::Error error;
};

/// Answer of a plain service, or a replayed one.
struct AnswerService {
    CallId call = 0;
    ServiceAnswer answer;
    bool replayed = false;
};

/// The names of the models.
struct AnswerModels {
    CallId call = 0;
    std::vector<std::string> models;
};

/// Answer of an operator's call.
struct AnswerStatus {
    CallId call = 0;
    StatusReport status;
};

/// Read a stored object.
struct ReadStore {
    StoreOpId op = 0;
    std::string key;
};

/// Read the configuration's head now: HeadSeen or StoreFailed.
struct ReadHead {
};

/// Write a stored object if it still has the version; 0 means that it must not exist.
struct WriteStore {
    StoreOpId op = 0;
    std::string key;
    StoreValue value;
    std::uint64_t expectedVersion = 0;
};

/// Send a message to the instance at a mesh address.
struct SendPeer {
    std::string address;
    wire::PeerEnvelope envelope;
};

/// Ask an endpoint for its load: LoadReported or ProbeFailed.
struct ProbeEndpoint {
    std::string endpoint;
    std::string address;
};

/// Whether the balancer should send calls here.
struct SetReady {
    bool ready = false;
};

/// Close the listening socket.
struct StopAccepting {
};

/// Everything is finished: end the process.
struct Exit {
};

/// An event for the time line and the log.
struct Record {
    TimelineKind kind = TimelineKind::CallArrived;
    CallId call = 0;
    /// Endpoint, instance, team or claim key, by kind.
    std::string subject;
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

/// Actions in the order in which they are to be carried out.
using Actions = std::vector<Action>;

} // namespace trefoilport
