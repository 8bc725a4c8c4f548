#pragma once

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace record {

/// One line of the log.
struct Line {
    std::string_view event;
    /// The caller's id of the request; empty if the line is about none.
    std::string_view request;
    /// Endpoint, instance or error that the line is about.
    std::string_view subject;
    /// The inputs of the decision, with their age or version.
    std::string_view detail;
};

/// Sends JSON lines to standard output through a thread of its own. Never blocks: if the output can't keep up, lines are left out.
void setUpJsonLog(const std::string &instance, const std::string &zone);

/// Writes out what is queued; at the end of the process.
void shutDownJsonLog();

/// A log whose volume is bounded for each kind of line. What is left out is counted and reported in the kind's next line.
class DecisionLog
{
public:
    void write(const Line &line, base::Instant now);

    /// Lines left out since the start of the process.
    std::uint64_t droppedLines() const
    {
        return droppedLines_;
    }

private:
    struct Window {
        base::Instant begin{0};
        std::uint32_t lines = 0;
        std::uint64_t droppedLines = 0;
    };

    std::map<std::string, Window, std::less<>> windows_;
    std::uint64_t droppedLines_ = 0;
};

} // namespace record
