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

/// The kernel: every decision of the router, free of sockets, threads and clocks.
namespace trefoilport {

/// A call of a caller, given by the driver; unique within the process.
using CallId = std::uint64_t;

/// One try of a call at one pipeline or service endpoint, given by the kernel; unique within the process.
using AttemptId = std::uint64_t;

/// One read or write of a stored object, given by the kernel.
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
    std::uint32_t maxTokens = 16;
    bool stream = false;
    bool chat = false;
    /// Overrides the team's class.
    std::optional<settings::CallClass> callClass;
};

/// Header fields that are passed on between caller and service, in order.
using PassedHeaders = std::vector<std::pair<std::string, std::string>>;

/// A call of a plain service.
struct ServiceRequest {
    std::string method;
    std::string target;
    std::string contentType;
    std::string idempotencyKey;
    std::string body;
    /// Further end-to-end fields of the request.
    PassedHeaders headers = {};
};

/// The answer of a plain service.
struct ServiceAnswer {
    int status = 200;
    std::string contentType;
    std::string body;
    /// Further end-to-end fields of the answer; a stored outcome keeps none.
    PassedHeaders headers = {};
};

/// A validated configuration together with the document that it was parsed from.
struct ConfigVersion {
    wire::ConfigDocument document;
    /// Null if this instance can't parse the document.
    std::shared_ptr<const settings::RoutingConfig> parsed;
};

/// The head object with both documents parsed.
struct ParsedHead {
    std::uint64_t epoch = 0;
    ConfigVersion accepted;
    std::optional<ConfigVersion> staged;
    std::vector<std::string> members;
};

/// A value that the kernel keeps in the store; the driver encodes it.
using StoreValue = std::variant<std::monostate, wire::ClaimBucket, wire::ConfigHead>;

/// What happened, for the time line.
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
    Unconfirmed,
    Confirmed,
    MemberJoined,
    MemberGone,
    StoreUnreachable,
    StoreReachable,
    LeaseTaken,
    LeaseLost,
    Stopping,
};

inline constexpr base::EnumNames<TimelineKind, 28> TimelineKindNames = {{
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
    {TimelineKind::LeaseTaken, "lease_taken"},
    {TimelineKind::LeaseLost, "lease_lost"},
    {TimelineKind::Stopping, "stopping"},
}};

} // namespace trefoilport
