#pragma once

#include <array>
#include <string_view>
#include <utility>

/// The exit status of trefoilctl. Each value is described in ExitCodeTexts.
enum class ExitCode {
    Done = 0,
    Usage = 1,
    InvalidSettings = 2,
    Conflict = 3,
    Pending = 4,
    Unreachable = 5,
    Refused = 6,
};

/// Descriptions of the exit codes, as `trefoilctl help` lists them.
inline constexpr std::array<std::pair<ExitCode, std::string_view>, 7> ExitCodeTexts = {{
    {ExitCode::Done, "done; for apply: the change is in force"},
    {ExitCode::Usage, "the command line is wrong"},
    {ExitCode::InvalidSettings, "the settings have problems, listed with file, line and field"},
    {ExitCode::Conflict, "another operator changed the same file, has a change pending, or replaced this change"},
    {ExitCode::Pending, "staged, but not yet accepted: every instance has to stage it first"},
    {ExitCode::Unreachable, "the platform or the instance could not be reached, or the stored configuration can't be decoded"},
    {ExitCode::Refused, "the instance refused the request (wrong operators' key or unknown name); for explain: no log line mentions the request"},
}};
