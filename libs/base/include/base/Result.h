#pragma once

#include "base/ErrorKind.h"

#include <string>
#include <variant>

namespace base {

/// Why an operation failed.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    /// One sentence for people; programs use the kind.
    std::string detail;
};

/// Either the value that an operation returns or the error with which it failed.
template<typename T>
using Result = std::variant<T, Error>;

/// Returns true if the result holds a value.
template<typename T>
bool isOk(const Result<T> &result)
{
    return std::holds_alternative<T>(result);
}

/// Returns the value. Throws std::bad_variant_access if the result holds an error.
template<typename T>
const T &valueOf(const Result<T> &result)
{
    return std::get<T>(result);
}

/// Returns the error. Throws std::bad_variant_access if the result holds a value.
template<typename T>
const Error &errorOf(const Result<T> &result)
{
    return std::get<Error>(result);
}

} // namespace base
