#include "base/ListenError.h"

#include <cctype>
#include <system_error>
#include <utility>

namespace base {

namespace {

/// Returns the operating system's text for an error number, such as "address already in use".
std::string reasonOf(int errorNumber)
{
    std::string reason = std::generic_category().message(errorNumber);
    if (!reason.empty()) {
        reason.front() = static_cast<char>(std::tolower(static_cast<unsigned char>(reason.front())));
    }
    return reason;
}

std::string textOf(const std::string &address, int errorNumber, const std::string &setting)
{
    return "can't listen on " + address + (setting.empty() ? "" : " (" + setting + ")") + ": " + reasonOf(errorNumber);
}

} // namespace

ListenError::ListenError(std::string address, int errorNumber, std::string setting)
    : std::runtime_error(textOf(address, errorNumber, setting))
    , address_(std::move(address))
    , errorNumber_(errorNumber)
    , setting_(std::move(setting))
{
}

std::string ListenError::detail() const
{
    return setting_ + ": " + reasonOf(errorNumber_);
}

ListenError ListenError::withSetting(const std::string &setting) const
{
    return {address_, errorNumber_, setting};
}

} // namespace base
