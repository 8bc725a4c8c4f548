#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace base {

/// Every way in which a call can fail. The list is closed: a new failure gets a new kind and a row in errorAnswer().
enum class ErrorKind {
    BadRequest,
    Unauthenticated,
    Forbidden,
    UnknownRoute,
    UnknownModel,
    MethodNotAllowed,
    BodyTooLarge,
    HeaderTooLarge,
    RequestTimeout,
    KeyRequired,
    KeyMismatch,
    Quarantined,
    EndpointsCrashed,
    Overloaded,
    TooManyCalls,
    DeadlineUnreachable,
    NoEndpoint,
    StoreUnavailable,
    Unconfirmed,
    Stopping,
    InProgress,
    OutcomeUnknown,
    UpstreamTimeout,
    UpstreamBroken,
    AnswerIncomplete,
    CallerGone,
    Conflict,
    InvalidSettings,
    Internal,
};

/// Number of error kinds; the answer table has one row for each.
inline constexpr std::size_t ErrorKindCount = static_cast<std::size_t>(ErrorKind::Internal) + 1;

/// What a caller may conclude about execution: not run, possibly run, or run.
enum class HasRun {
    No,
    Unknown,
    Yes,
};

/// How an error kind is answered: HTTP status, what is known of execution, whether a repeat can help and after how many seconds.
struct ErrorAnswer {
    ErrorKind kind;
    std::string_view name;
    int status;
    HasRun ran;
    bool retriable;
    int retryAfterSeconds;
};

/// The answer of a kind, in constant time.
const ErrorAnswer &errorAnswer(ErrorKind kind);

/// All rows, in the order of the enumeration.
const std::array<ErrorAnswer, ErrorKindCount> &errorAnswers();

/// "no", "unknown" or "yes".
std::string_view nameOf(HasRun ran);

/// The kind's name as it stands in answers and logs, for example "store_unavailable".
std::string_view nameOf(ErrorKind kind);

} // namespace base
