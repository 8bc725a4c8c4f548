#pragma once

#include <stdexcept>
#include <string>

namespace base {

/// Thrown if an address can't be listened on, for instance because another process does.
class ListenError : public std::runtime_error
{
public:
    /// `errorNumber` is the value of errno. `setting` names the setting that holds the address; empty if it isn't known.
    ListenError(std::string address, int errorNumber, std::string setting = {});

    const std::string &address() const
    {
        return address_;
    }
    /// Name of the setting and the operating system's reason, for a log line that has a field for the address.
    std::string detail() const;

    /// Returns the same error with the name of the setting.
    ListenError withSetting(const std::string &setting) const;

private:
    std::string address_;
    int errorNumber_ = 0;
    std::string setting_;
};

/// Returns what `listen` returns. A ListenError that it throws gets the name of the setting that holds the address.
template<typename Listen>
auto listenBySetting(const std::string &setting, Listen listen)
{
    try {
        return listen();
    } catch (const ListenError &error) {
        throw error.withSetting(setting);
    }
}

} // namespace base
