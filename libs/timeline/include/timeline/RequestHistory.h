#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace timeline {

/// One line of an instance's log, as standard output carries it.
struct LogLine {
    /// Local time of the instance, "YYYY-MM-DD HH:MM:SS,mmm". Sorts as text.
    std::string time;
    std::string instance;
    /// The kind of decision.
    std::string event;
    /// Empty if the line belongs to no request.
    std::string request;
    /// The endpoint, instance or error that the decision is about.
    std::string subject;
    std::string detail;
    /// Lines of the same kind that this instance left out just before this one.
    std::uint64_t droppedLines = 0;
};

/// Parses a line of a log. What precedes the JSON object, such as a time or a name that a collector has added, is skipped. None if there is no
/// object or it isn't a decision.
std::optional<LogLine> parseLogLine(std::string_view text);

/// How a request ended, as far as the log tells.
enum class RequestOutcome {
    /// No line mentions the request.
    Unknown,
    Answered,
    StreamEnded,
    StreamBroken,
    Rejected,
    CallerGone,
    /// Its sendings are there, its end isn't: the instance ended first, or the line was left out.
    Missing,
};

/// What happened to one request, over the logs of all instances.
struct RequestHistory {
    /// Lines of the request and lines about what it depended on, by time.
    std::vector<LogLine> lines;
    RequestOutcome ending = RequestOutcome::Unknown;
    /// A sentence for the operator: the end and what led to it.
    std::string cause;
    /// Lines of kinds that belong to requests which the same instances left out meanwhile; above zero, the story may have gaps.
    std::uint64_t droppedLines = 0;
};

/// Collects the story of one request. Beside its own lines it holds what the same instance decided about itself, and what any instance decided
/// about the endpoints of the request's paths, from shortly before its first line to its last.
RequestHistory explainRequest(const std::vector<LogLine> &log, std::string_view request);

/// The story as text, a line for each decision and the cause at the end.
std::string toText(const RequestHistory &story);

} // namespace timeline
