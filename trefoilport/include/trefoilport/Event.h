#pragma once

#include "base/Result.h"
#include "trefoilport/Types.h"

#include <variant>

/// What the driver tells the kernel.
namespace trefoilport {

/// A completion call came in. The key is the SHA-256 of the caller's API key in hexadecimal.
struct CompletionArrived {
    CallId call = 0;
    std::string keySha256;
    CompletionRequest request;
};

/// A call that is not a completion came in.
struct ServiceCallArrived {
    CallId call = 0;
    std::string keySha256;
    ServiceRequest request;
};

/// The caller asks for the names of the models.
struct ModelsRequested {
    CallId call = 0;
    std::string keySha256;
};

/// The caller closed its connection before the answer's end.
struct CallerGone {
    CallId call = 0;
};

/// A token came from the last stage. Position 0 is the first token after the prompt.
struct TokenArrived {
    AttemptId attempt = 0;
    std::uint32_t position = 0;
    std::string text;
    std::vector<StageReport> stages;
};

/// The pipeline gave its end marker with the count of all tokens after the prompt, replayed ones included.
struct AttemptEnded {
    AttemptId attempt = 0;
    std::uint32_t tokens = 0;
};

/// An attempt failed; endpoint names the failed stage where that is known.
struct AttemptFailed {
    AttemptId attempt = 0;
    AttemptFailure failure = AttemptFailure::Broken;
    std::string endpoint;
};

/// A service endpoint answered.
struct ServiceAnswered {
    AttemptId attempt = 0;
    ServiceAnswer answer;
};

/// A read of a stored object ended.
struct StoreReadDone {
    StoreOpId op = 0;
    StoreStatus status = StoreStatus::Unavailable;
    std::uint64_t version = 0;
    StoreValue value;
};

/// A conditional write of a stored object ended.
struct StoreWriteDone {
    StoreOpId op = 0;
    StoreStatus status = StoreStatus::Unavailable;
    std::uint64_t version = 0;
};

/// The watch of the head object answered. The head is empty while the object does not exist.
struct HeadReceived {
    /// When the read was sent: what it shows is at least as new.
    base::Instant issuedAt{0};
    std::uint64_t version = 0;
    /// None if nothing changed since the last HeadSeen.
    std::optional<ParsedHead> head;
};

/// The store could not be reached.
struct StoreFailed {
};

/// The instance list was read. It lags, and an entry may be missing for a while.
struct ListReceived {
    std::vector<EndpointInfo> endpoints;
    std::vector<InstanceInfo> instances;
};

/// An endpoint reported its load, with a lag.
struct LoadReported {
    std::string endpoint;
    std::uint64_t incarnation = 0;
    std::uint32_t inFlight = 0;
    bool leaving = false;
};

/// An endpoint did not answer a probe in time.
struct ProbeFailed {
    std::string endpoint;
};

/// Another instance sent a message. For a ConfigReply the parsed head comes along.
struct PeerMessageArrived {
    wire::PeerEnvelope envelope;
    std::optional<ParsedHead> head;
};

/// Time passed; sent at least every TickPeriod.
struct Tick {
};

/// The process was asked to stop gracefully.
struct StopRequested {
};

/// An operator orders that an endpoint gets no new work.
struct DrainRequested {
    CallId call = 0;
    std::string endpoint;
};

/// An operator asks for the state of this instance.
struct StatusRequested {
    CallId call = 0;
};

using Event = std::variant<CompletionArrived,
                           ServiceCallArrived,
                           ModelsRequested,
                           CallerGone,
                           TokenArrived,
                           AttemptEnded,
                           AttemptFailed,
                           ServiceAnswered,
                           StoreReadDone,
                           StoreWriteDone,
                           HeadReceived,
                           StoreFailed,
                           ListReceived,
                           LoadReported,
                           ProbeFailed,
                           PeerMessageArrived,
                           Tick,
                           StopRequested,
                           DrainRequested,
                           StatusRequested>;

} // namespace trefoilport
