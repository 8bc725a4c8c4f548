#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace base {

/// Every way in which a call can fail. Each kind has one row in errorAnswers(), in the same order; a new kind needs a new row.
enum class ErrorKind {
    BadRequest,
    Unauthenticated,
    Forbidden,
    UnknownRoute,
    UnknownModel,
    MethodNotAllowed,
    BodyTooLarge,
    HeaderTooLarge,
    /// The caller didn't send the whole request in time.
    RequestTimeout,
    /// The route requires an idempotency key and the call has none.
    IdempotencyKeyRequired,
    /// The idempotency key was used before for another request.
    IdempotencyKeyMismatch,
    /// The request is refused because it has crashed endpoints before.
    Quarantined,
    /// The request is refused because requests that share a part of its prompt have crashed endpoints. Another cause may show soon.
    PromptPartQuarantined,
    /// The endpoints that ran the call crashed.
    EndpointsCrashed,
    Overloaded,
    /// The team has too many open calls.
    TooManyCalls,
    /// The call can't be answered before its deadline.
    DeadlineUnreachable,
    /// No usable endpoint or pipeline serves the call.
    NoEndpoint,
    StoreUnavailable,
    /// The instance's configuration is missing, too old or not confirmed to be in force.
    Unconfirmed,
    /// The instance is shutting down.
    Stopping,
    /// An earlier call with the same idempotency key is still running.
    InProgress,
    /// An earlier call with the same idempotency key was dispatched, and its outcome isn't known.
    OutcomeUnknown,
    /// No complete answer arrived from an endpoint before the time limit or the stop of the instance. The endpoint may have run the call.
    UpstreamTimeout,
    /// An attempt failed at an endpoint that may have run the call.
    UpstreamBroken,
    /// The answer began, or may have begun, and can't be completed.
    AnswerIncomplete,
    /// The caller closed the connection.
    CallerGone,
    Conflict,
    InvalidSettings,
    Internal,
};

/// Number of error kinds, and of rows of errorAnswers(). `Internal` must stay the last enumerator.
inline constexpr std::size_t ErrorKindCount = static_cast<std::size_t>(ErrorKind::Internal) + 1;

/// Whether an endpoint has run the call, as far as the error tells the caller.
enum class HasRun {
    No,
    Unknown,
    Yes,
};

/// How calls that fail with an error kind are answered.
struct ErrorAnswer {
    ErrorKind kind;
    /// The kind's name in answers and logs.
    std::string_view name;
    /// HTTP status of the answer.
    int status;
    HasRun ran;
    /// A retry by the caller may succeed.
    bool retriable;
    /// Default delay before a retry, in seconds; 0 if the kind isn't retriable.
    int retryAfterSeconds;
};

/// Returns the row of a kind, in constant time.
const ErrorAnswer &errorAnswer(ErrorKind kind);

/// Returns the rows of all kinds, in the order of the enumeration.
const std::array<ErrorAnswer, ErrorKindCount> &errorAnswers();

/// Returns "no", "unknown" or "yes".
std::string_view nameOf(HasRun ran);

/// Returns the kind's name in answers and logs, for example "store_unavailable".
std::string_view nameOf(ErrorKind kind);

} // namespace base
