#include "base/ErrorKind.h"

namespace base {

namespace {

constexpr std::array<ErrorAnswer, ErrorKindCount> AnswersByKind = {{
    {ErrorKind::BadRequest, "bad_request", 400, HasRun::No, false, 0},
    {ErrorKind::Unauthenticated, "unauthenticated", 401, HasRun::No, false, 0},
    {ErrorKind::Forbidden, "forbidden", 403, HasRun::No, false, 0},
    {ErrorKind::UnknownRoute, "unknown_route", 404, HasRun::No, false, 0},
    {ErrorKind::UnknownModel, "unknown_model", 404, HasRun::No, false, 0},
    {ErrorKind::MethodNotAllowed, "method_not_allowed", 405, HasRun::No, false, 0},
    {ErrorKind::BodyTooLarge, "body_too_large", 413, HasRun::No, false, 0},
    {ErrorKind::HeaderTooLarge, "header_too_large", 431, HasRun::No, false, 0},
    {ErrorKind::RequestTimeout, "request_timeout", 408, HasRun::No, true, 1},
    {ErrorKind::IdempotencyKeyRequired, "idempotency_key_required", 400, HasRun::No, false, 0},
    {ErrorKind::IdempotencyKeyMismatch, "idempotency_key_mismatch", 422, HasRun::No, false, 0},
    {ErrorKind::Quarantined, "request_quarantined", 422, HasRun::No, false, 0},
    {ErrorKind::PromptPartQuarantined, "prompt_part_quarantined", 503, HasRun::No, true, 2},
    {ErrorKind::EndpointsCrashed, "endpoints_crashed", 502, HasRun::Unknown, false, 0},
    {ErrorKind::Overloaded, "overloaded", 503, HasRun::No, true, 1},
    {ErrorKind::TooManyCalls, "too_many_calls", 429, HasRun::No, true, 1},
    {ErrorKind::DeadlineUnreachable, "deadline_unreachable", 503, HasRun::No, true, 2},
    {ErrorKind::NoEndpoint, "no_endpoint", 503, HasRun::No, true, 1},
    {ErrorKind::StoreUnavailable, "store_unavailable", 503, HasRun::No, true, 2},
    {ErrorKind::Unconfirmed, "configuration_unconfirmed", 503, HasRun::No, true, 1},
    {ErrorKind::Stopping, "stopping", 503, HasRun::No, true, 1},
    {ErrorKind::InProgress, "in_progress", 409, HasRun::Unknown, true, 1},
    {ErrorKind::OutcomeUnknown, "outcome_unknown", 409, HasRun::Unknown, false, 0},
    {ErrorKind::UpstreamTimeout, "upstream_timeout", 504, HasRun::Unknown, false, 0},
    {ErrorKind::UpstreamBroken, "upstream_broken", 502, HasRun::Unknown, false, 0},
    {ErrorKind::AnswerIncomplete, "answer_incomplete", 502, HasRun::Unknown, true, 1},
    {ErrorKind::CallerGone, "caller_gone", 499, HasRun::Unknown, false, 0},
    {ErrorKind::Conflict, "conflict", 409, HasRun::No, true, 1},
    {ErrorKind::InvalidSettings, "invalid_settings", 400, HasRun::No, false, 0},
    {ErrorKind::Internal, "internal", 500, HasRun::Unknown, false, 0},
}};

} // namespace

const ErrorAnswer &errorAnswer(ErrorKind kind)
{
    return AnswersByKind[static_cast<std::size_t>(kind)];
}

const std::array<ErrorAnswer, ErrorKindCount> &errorAnswers()
{
    return AnswersByKind;
}

std::string_view nameOf(HasRun ran)
{
    switch (ran) {
    case HasRun::No:
        return "no";
    case HasRun::Unknown:
        return "unknown";
    case HasRun::Yes:
        return "yes";
    }
    return "unknown";
}

std::string_view nameOf(ErrorKind kind)
{
    return errorAnswer(kind).name;
}

} // namespace base
