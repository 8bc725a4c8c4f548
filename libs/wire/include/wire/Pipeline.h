#pragma once

#include "base/EnumNames.h"
#include "settings/RoutingConfig.h"

#include <cstdint>
#include <string>
#include <vector>

/// Data exchanged between the router and the engines, as plain aggregates. docs/PROTOCOLS.md describes their HTTP form.
namespace wire {

/// One stage of a pipeline plan: an engine and the layers [firstLayer, endLayer) that it runs.
struct PlanStage {
    /// Id of the endpoint.
    std::string endpoint;
    /// Network address of the endpoint.
    std::string address;
    /// Incarnation of the endpoint that the plan was made for.
    std::uint64_t incarnation = 0;
    std::uint32_t firstLayer = 0;
    std::uint32_t endLayer = 0;
};

/// The request to the first stage of a pipeline to generate tokens. The stages pass activations along the plan without the router.
struct PipelineOrder {
    /// "instance:incarnation:call:attempt" of the attempt; the engines identify it by this in the messages between them.
    std::string tag;
    std::string model;
    /// The stages in layer order.
    std::vector<PlanStage> plan;
    std::string prompt;
    /// Tokens that the caller already received from earlier attempts. The engines process them as context and do not generate them again.
    std::vector<std::string> delivered;
    /// Number of tokens to generate, including the delivered ones.
    std::uint32_t maxTokens = 0;
    settings::CallClass callClass = settings::CallClass::Interactive;
};

/// A stage that a token passed through, as reported by the engines. The router compares the reports with the plan.
struct StageReport {
    std::string endpoint;
    std::uint64_t incarnation = 0;
    std::uint32_t firstLayer = 0;
    std::uint32_t endLayer = 0;
};

/// How an attempt failed. Only NotSent, Refused and RefusedLeaving prove that the attempt did not run.
enum class AttemptFailure {
    /// No byte was sent to the endpoint.
    NotSent,
    /// The endpoint refused the attempt without running it.
    Refused,
    /// The endpoint refused the attempt without running it, because the endpoint is leaving.
    RefusedLeaving,
    /// The connection to the endpoint broke.
    Broken,
    /// A later stage failed during the attempt; the failure event names its endpoint.
    StageBroken,
    /// A later stage refused the attempt or could not be reached; earlier stages have run.
    StageRefused,
    /// The attempt exceeded its timeout.
    TimedOut,
    /// A response, or a frame of the token stream, was malformed or contradicted the plan.
    Inconsistent,
};

/// Names of the failures in the events of the timeline.
inline constexpr base::EnumNames<AttemptFailure, 8> AttemptFailureNames = {{
    {AttemptFailure::NotSent, "not_sent"},
    {AttemptFailure::Refused, "refused"},
    {AttemptFailure::RefusedLeaving, "refused_leaving"},
    {AttemptFailure::Broken, "broken"},
    {AttemptFailure::StageBroken, "stage_broken"},
    {AttemptFailure::StageRefused, "stage_refused"},
    {AttemptFailure::TimedOut, "timed_out"},
    {AttemptFailure::Inconsistent, "inconsistent"},
}};

/// Returns true if the failure proves that no endpoint ran any part of the attempt.
inline bool provesNotRun(AttemptFailure failure)
{
    return failure == AttemptFailure::NotSent || failure == AttemptFailure::Refused || failure == AttemptFailure::RefusedLeaving;
}

} // namespace wire
