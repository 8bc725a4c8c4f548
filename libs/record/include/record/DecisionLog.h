#pragma once

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace record {

/// One line of the log. The views must stay valid until DecisionLog::write() returns; empty fields are left out of the line.
struct LogLine {
    /// Name of the kind of line, for example of the decision that was made.
    std::string_view event;
    /// The caller's id of the request; empty if the line concerns no request.
    std::string_view request;
    /// The endpoint, instance or error that the line concerns.
    std::string_view subject;
    /// The inputs of the decision, with their age or version, for operators.
    std::string_view detail;
};

/// Sets up log4cxx to write JSON lines to standard output in a thread of its own. The lines that are logged by the thread that calls this carry the names of
/// the instance and the zone. Logging never blocks: if the output can't keep up, lines are dropped.
void setUpJsonLog(const std::string &instance, const std::string &zone);

/// Writes the queued lines and shuts the log down. Call this once, at the end of the process.
void shutDownJsonLog();

/// A log with a rate limit of 60 lines per second for each event name. Lines over the limit are dropped and counted, and the next line with the same
/// event name that is written reports their number. Not thread-safe.
class DecisionLog
{
public:
    /// Writes a line, or drops it if the rate limit for its event name is exceeded. `now` must be read from the same clock in each call.
    void write(const LogLine &line, base::Instant now);

    /// Number of lines dropped by the rate limit since construction.
    std::uint64_t droppedLines() const
    {
        return droppedLines_;
    }

private:
    /// Rate limit of one event name: the lines of the current time window, and those dropped since the last written line.
    struct Window {
        base::Instant begin{0};
        /// Lines of this window, dropped ones included.
        std::uint32_t lines = 0;
        std::uint64_t droppedLines = 0;
    };

    /// The windows by event name.
    std::map<std::string, Window, std::less<>> windows_;
    std::uint64_t droppedLines_ = 0;
};

} // namespace record
