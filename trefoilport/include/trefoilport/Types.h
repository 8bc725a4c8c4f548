#pragma once

#include "base/EnumNames.h"
#include "base/Time.h"
#include "settings/RoutingConfig.h"
#include "wire/Pipeline.h"
#include "wire/Platform.h"
#include "wire/Records.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// The kernel makes every decision of the router. It uses no sockets, threads or clocks: a driver passes it events and carries out its actions.
namespace trefoilport {

/// Identifies a call; assigned by the driver, unique within the process.
using CallId = std::uint64_t;

/// Identifies an attempt: one dispatch of a call to a pipeline or a service endpoint. Assigned by the kernel, unique within the process.
using AttemptId = std::uint64_t;

/// Identifies a read or write of a stored object; assigned by the kernel, never 0.
using StoreOpId = std::uint64_t;

using wire::AttemptFailure;
using wire::AttemptFailureNames;
using wire::EndpointInfo;
using wire::EndpointKind;
using wire::EndpointKindNames;
using wire::InstanceInfo;
using wire::PipelineOrder;
using wire::PlanStage;
using wire::provesNotRun;
using wire::StageReport;
using wire::StoreStatus;
using wire::StoreStatusNames;

/// A completion call, parsed by the driver.
struct CompletionRequest {
    std::string model;
    std::string prompt;
    /// Number of tokens to generate. An answer with fewer tokens is incomplete.
    std::uint32_t maxTokens = 16;
    /// The caller wants the tokens as a stream of events instead of one answer.
    bool stream = false;
    /// The call came in through the chat API instead of the plain completion API.
    bool chat = false;
    /// Overrides the team's call class if set.
    std::optional<settings::CallClass> callClass;
};

/// Header fields that are forwarded between caller and service, in order.
using ForwardedHeaders = std::vector<std::pair<std::string, std::string>>;

/// A call to a plain service.
struct ServiceRequest {
    std::string method;
    std::string target;
    std::string contentType;
    std::string idempotencyKey;
    std::string body;
    /// The other end-to-end header fields of the request.
    ForwardedHeaders headers = {};
};

/// The answer of a plain service.
struct ServiceAnswer {
    int status = 200;
    std::string contentType;
    std::string body;
    /// The other end-to-end header fields of the answer. A stored outcome keeps none of them.
    ForwardedHeaders headers = {};
};

/// A configuration document and its parsed form.
struct ConfigVersion {
    wire::ConfigDocument document;
    /// Null if this instance can't parse or validate the document.
    std::shared_ptr<const settings::RoutingConfig> parsed;
};

/// The configuration's head object, with both documents parsed. See wire::ConfigHead.
struct ParsedHead {
    std::uint64_t epoch = 0;
    ConfigVersion accepted;
    std::optional<ConfigVersion> staged;
    std::vector<std::string> members;
};

/// A value that the kernel keeps in the store; the driver encodes and decodes it.
using StoreValue = std::variant<std::monostate, wire::ClaimBucket, wire::ConfigHead>;

/// Kinds of timeline events.
enum class TimelineKind {
    CallArrived,
    CallAnswered,
    CallFailed,
    AttemptStarted,
    AttemptFailed,
    FirstToken,
    Resumed,
    LateFrameDropped,
    ClaimWritten,
    ClaimGranted,
    ClaimReplayed,
    ClaimReleased,
    EndpointLeaving,
    EndpointSuspected,
    EndpointRecovered,
    RequestQuarantined,
    ConfigStaged,
    ConfigActivated,
    ConfigAccepted,
    /// The instance lost the confirmation of its configuration and takes no new work.
    Unconfirmed,
    /// The configuration of the instance is confirmed.
    Confirmed,
    MemberJoined,
    MemberGone,
    StoreUnreachable,
    StoreReachable,
    /// The configuration's head object in the store can't be decoded; the configuration in force stays.
    HeadDamaged,
    Stopping,
};

inline constexpr base::EnumNames<TimelineKind, 27> TimelineKindNames = {{
    {TimelineKind::CallArrived, "call_arrived"},
    {TimelineKind::CallAnswered, "call_answered"},
    {TimelineKind::CallFailed, "call_failed"},
    {TimelineKind::AttemptStarted, "attempt_started"},
    {TimelineKind::AttemptFailed, "attempt_failed"},
    {TimelineKind::FirstToken, "first_token"},
    {TimelineKind::Resumed, "resumed"},
    {TimelineKind::LateFrameDropped, "late_frame_dropped"},
    {TimelineKind::ClaimWritten, "claim_written"},
    {TimelineKind::ClaimGranted, "claim_granted"},
    {TimelineKind::ClaimReplayed, "claim_replayed"},
    {TimelineKind::ClaimReleased, "claim_released"},
    {TimelineKind::EndpointLeaving, "endpoint_leaving"},
    {TimelineKind::EndpointSuspected, "endpoint_suspected"},
    {TimelineKind::EndpointRecovered, "endpoint_recovered"},
    {TimelineKind::RequestQuarantined, "request_quarantined"},
    {TimelineKind::ConfigStaged, "config_staged"},
    {TimelineKind::ConfigActivated, "config_activated"},
    {TimelineKind::ConfigAccepted, "config_accepted"},
    {TimelineKind::Unconfirmed, "unconfirmed"},
    {TimelineKind::Confirmed, "confirmed"},
    {TimelineKind::MemberJoined, "member_joined"},
    {TimelineKind::MemberGone, "member_gone"},
    {TimelineKind::StoreUnreachable, "store_unreachable"},
    {TimelineKind::StoreReachable, "store_reachable"},
    {TimelineKind::HeadDamaged, "head_damaged"},
    {TimelineKind::Stopping, "stopping"},
}};

} // namespace trefoilport
