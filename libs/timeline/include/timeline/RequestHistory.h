#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace timeline {

/// One line of the log that an instance writes to standard output.
struct LogLine {
    /// Local time of the instance, "YYYY-MM-DD HH:MM:SS,mmm". The order of the texts is the order in time.
    std::string time;
    /// Id of the instance that wrote the line.
    std::string instance;
    /// Name of the event, which is the kind of decision that the instance made.
    std::string event;
    /// Id of the request; empty if the line belongs to no request.
    std::string request;
    /// The endpoint, instance or error that the decision is about.
    std::string subject;
    /// Free text, except that the detail of a `sent` or `stream_detoured` event may list the stages of the pipeline.
    std::string detail;
    /// Number of lines with the same event that this instance dropped between its previous line with that event and this one.
    std::uint64_t droppedLines = 0;
};

/// Parses a line of a log. Text before the JSON object, such as a time or a name that a log collector added, is skipped. Returns nullopt if the line contains
/// no valid JSON object, or if the object has no `context_map` and so is not a log line of an instance.
std::optional<LogLine> parseLogLine(std::string_view text);

/// How a request ended, as far as the logs show.
enum class RequestOutcome {
    /// No line mentions the request.
    Unknown,
    /// An endpoint's answer, which was not streamed, was passed on to the caller.
    Answered,
    /// The streamed answer was passed on to its end.
    StreamEnded,
    /// A streamed answer ended early with an error.
    StreamBroken,
    /// The router itself answered with an error.
    Rejected,
    /// The caller disconnected before the end.
    CallerGone,
    /// The logs contain lines of the request but not its end: the instance stopped before it, or the line was dropped.
    Missing,
};

/// The history of one request, compiled from the logs of all instances.
struct RequestHistory {
    /// Lines of the request, and lines about the instances, endpoints and store that it depended on, ordered by time.
    std::vector<LogLine> lines;
    RequestOutcome outcome = RequestOutcome::Unknown;
    /// Explanation for the operator: how the request ended, and the events that contributed to it.
    std::string cause;
    /// Number of lines about any requests that the instances of this request dropped during its time range. If it is not zero, the history may be incomplete.
    std::uint64_t droppedLines = 0;
};

/// Compiles the history of one request. It contains the lines of the request and, from 5 s before its first line to its last line, what the same instances
/// logged about themselves and the store, and what any instance logged about the endpoints of the request's pipelines. If the request was never sent because
/// there was no endpoint for it or the router was overloaded, it contains what any instance logged about any endpoint. The lines of `log` may be in any order.
RequestHistory explainRequest(const std::vector<LogLine> &log, std::string_view request);

/// Formats a history as text: a line for each log line, the number of dropped lines if there are any, and the cause at the end.
std::string toText(const RequestHistory &history);

} // namespace timeline
