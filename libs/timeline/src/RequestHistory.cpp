#include "timeline/RequestHistory.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <set>
#include <sstream>

namespace json = boost::json;

namespace timeline {

namespace {

/// Events of endpoints, the store and the instance are included from this long before the first line of the request, because they may still affect it.
constexpr std::int64_t LookbackMs = 5000;

/// Events about an endpoint that may explain the outcome of a request.
constexpr std::array<std::string_view, 5> ExplainingEndpointEvents = {"endpoint_silent", "endpoint_slow", "endpoint_usual", "order_place", "order_answered"};
/// Events about a signature that requests are rejected for, since such requests have crashed endpoints.
constexpr std::array<std::string_view, 4> ExplainingCrashEvents = {"crash_strike", "crash_report_taken", "crash_refutation_taken", "quarantine_lifted"};
/// Events about the store or the instance that may explain the outcome of a request.
constexpr std::array<std::string_view, 8> ExplainingInstanceEvents = {
    "started", "stopping", "ready", "not_ready", "store_lost", "store_reached", "config_in_force", "settings_reloaded"};

template<std::size_t N>
bool isOneOf(const std::array<std::string_view, N> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::string textOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

/// Converts "YYYY-MM-DD HH:MM:SS,mmm" to milliseconds since the Unix epoch; returns 0 if the text is shorter.
std::int64_t toMilliseconds(std::string_view time)
{
    constexpr std::size_t TimeLength = 23;
    if (time.size() < TimeLength) {
        return 0;
    }
    const auto number = [&](std::size_t at, std::size_t length) {
        int value = 0;
        std::from_chars(time.data() + at, time.data() + at + length, value);
        return value;
    };
    const std::chrono::year_month_day date{
        std::chrono::year(number(0, 4)), std::chrono::month(static_cast<unsigned>(number(5, 2))), std::chrono::day(static_cast<unsigned>(number(8, 2)))};
    const auto timeOfDay = std::chrono::hours(number(11, 2)) + std::chrono::minutes(number(14, 2)) + std::chrono::seconds(number(17, 2))
        + std::chrono::milliseconds(number(20, 3));
    return (std::chrono::sys_days(date).time_since_epoch() + timeOfDay).count();
}

/// Collects the endpoints of the pipeline from the detail of a `sent` or `stream_detoured` line, which has the form "... path a=0-20 b=20-80, ..."; the part
/// after the stages may be missing. Adds none if the detail names no pipeline.
void collectEndpoints(std::string_view detail, std::set<std::string> &endpoints)
{
    const std::size_t begin = detail.find("path ");
    if (begin == std::string_view::npos) {
        return;
    }
    const std::string_view pipeline = detail.substr(begin + 5, detail.find(',', begin) - begin - 5);
    std::istringstream stages{std::string(pipeline)};
    for (std::string stage; stages >> stage;) {
        endpoints.insert(stage.substr(0, stage.find('=')));
    }
}

/// Collects the signatures that a detail names as "signature N".
void collectSignatures(std::string_view detail, std::set<std::string> &signatures)
{
    constexpr std::string_view Word = "signature ";
    for (std::size_t at = detail.find(Word); at != std::string_view::npos; at = detail.find(Word)) {
        detail.remove_prefix(at + Word.size());
        signatures.emplace(detail.substr(0, detail.find_first_not_of("0123456789")));
    }
}

/// Where and when to look for lines that explain the outcome of a request, as derived from the request's own lines.
struct SearchScope {
    /// Instances that logged lines of the request.
    std::set<std::string> instances;
    /// Endpoints that the request was sent to, with all stages of its pipelines.
    std::set<std::string> endpoints;
    /// Signatures for which it was rejected, or sent as a probe.
    std::set<std::string> signatures;
    /// The request was sent to no endpoint, because there was none for it or the router was overloaded, so the events of every endpoint are relevant.
    bool anyEndpoint = false;
    /// Times of the first and the last line of the request.
    std::string firstTime;
    std::string lastTime;
};

SearchScope searchScopeOf(const std::vector<LogLine> &log, std::string_view request)
{
    SearchScope scope;
    for (const LogLine &line : log) {
        if (line.request != request) {
            continue;
        }
        scope.instances.insert(line.instance);
        if (line.event == "sent" || line.event == "stream_detoured") {
            scope.endpoints.insert(line.subject);
            collectEndpoints(line.detail, scope.endpoints);
        }
        collectSignatures(line.detail, scope.signatures);
        scope.anyEndpoint = scope.anyEndpoint || line.subject == "no_endpoint" || line.subject == "overloaded";
        scope.firstTime = scope.firstTime.empty() ? line.time : std::min(scope.firstTime, line.time);
        scope.lastTime = std::max(scope.lastTime, line.time);
    }
    scope.anyEndpoint = scope.anyEndpoint && scope.endpoints.empty();
    return scope;
}

/// Returns true if a line was written between LookbackMs before the first line of the request and its last line.
bool isInTimeRange(const SearchScope &scope, const LogLine &line)
{
    return line.time <= scope.lastTime && toMilliseconds(line.time) >= toMilliseconds(scope.firstTime) - LookbackMs;
}

/// Returns true if a line that does not belong to the request is about something that the request depended on.
bool mayExplain(const SearchScope &scope, const LogLine &line)
{
    // A quarantine may rest on crashes long before the request.
    if (isOneOf(ExplainingCrashEvents, line.event)) {
        return line.time <= scope.lastTime && scope.signatures.contains(line.subject);
    }
    if (!isInTimeRange(scope, line)) {
        return false;
    }
    if (isOneOf(ExplainingEndpointEvents, line.event)) {
        return scope.anyEndpoint || scope.endpoints.contains(line.subject);
    }
    return isOneOf(ExplainingInstanceEvents, line.event) && scope.instances.contains(line.instance);
}

/// Returns the outcome that an event stands for, or Missing if the event does not end a request.
RequestOutcome outcomeOf(std::string_view event)
{
    if (event == "answered") {
        return RequestOutcome::Answered;
    }
    if (event == "stream_ended") {
        return RequestOutcome::StreamEnded;
    }
    if (event == "stream_broken") {
        return RequestOutcome::StreamBroken;
    }
    if (event == "rejected") {
        return RequestOutcome::Rejected;
    }
    return event == "caller_gone" ? RequestOutcome::CallerGone : RequestOutcome::Missing;
}

/// Returns the last line with the given event, or null if there is none.
const LogLine *lastLineOf(const std::vector<LogLine> &lines, std::string_view event)
{
    const auto found = std::find_if(lines.rbegin(), lines.rend(), [&](const LogLine &line) { return line.event == event; });
    return found == lines.rend() ? nullptr : &*found;
}

/// Describes the events that may have contributed to the outcome: for each kind of event its count, and time, subject and detail of its last line.
std::string contributingEvents(const std::vector<LogLine> &lines)
{
    std::string text;
    for (const std::string_view event :
         {"attempt_refused", "attempt_failed", "stream_moved", "event_gap", "endpoint_silent", "endpoint_slow", "store_lost", "crash_strike"}) {
        const auto count = std::count_if(lines.begin(), lines.end(), [&](const LogLine &line) { return line.event == event; });
        const LogLine *line = lastLineOf(lines, event);
        if (line != nullptr) {
            text += "; " + std::string(event) + (count > 1 ? " " + std::to_string(count) + " times, last" : "") + " at " + line->time.substr(11) + " "
                + line->subject + (line->detail.empty() ? "" : " (" + line->detail + ")");
        }
    }
    return text;
}

/// Returns the text of RequestHistory::cause. `end` is the line that ended the request; it may be null if the outcome is Unknown or Missing.
std::string causeOf(const RequestHistory &history, const LogLine *end)
{
    switch (history.outcome) {
    case RequestOutcome::Unknown:
        return "no line of these logs mentions the request: it did not reach these instances, or its lines were left out";
    case RequestOutcome::Missing:
        return "the end of the request is not in these logs: the instance stopped first, or the line was left out" + contributingEvents(history.lines);
    case RequestOutcome::Answered:
        return "answered by " + end->subject + ", " + end->detail + contributingEvents(history.lines);
    case RequestOutcome::StreamEnded:
        return "the whole stream was delivered: " + end->detail + contributingEvents(history.lines);
    case RequestOutcome::StreamBroken:
        return "the stream was broken off as " + end->subject + ": " + end->detail + contributingEvents(history.lines);
    case RequestOutcome::Rejected:
        return "answered by the router itself as " + end->subject + ": " + end->detail + contributingEvents(history.lines);
    case RequestOutcome::CallerGone:
        return "the caller disconnected before the end" + contributingEvents(history.lines);
    }
    return "";
}

} // namespace

std::optional<LogLine> parseLogLine(std::string_view text)
{
    const std::size_t begin = text.find('{');
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const json::value value = json::parse(text.substr(begin), error);
    const json::object *line = error ? nullptr : value.if_object();
    const json::value *map = line != nullptr ? line->if_contains("context_map") : nullptr;
    if (map == nullptr || !map->is_object()) {
        return std::nullopt;
    }
    const json::object &fields = map->as_object();
    LogLine parsed{textOf(*line, "timestamp"),
                   textOf(fields, "instance"),
                   textOf(*line, "message"),
                   textOf(fields, "request"),
                   textOf(fields, "subject"),
                   textOf(fields, "detail"),
                   0};
    const std::string droppedLines = textOf(fields, "left_out");
    std::from_chars(droppedLines.data(), droppedLines.data() + droppedLines.size(), parsed.droppedLines);
    return parsed;
}

RequestHistory explainRequest(const std::vector<LogLine> &log, std::string_view request)
{
    const SearchScope scope = searchScopeOf(log, request);
    RequestHistory history;
    const LogLine *end = nullptr;
    for (const LogLine &line : log) {
        const bool isOwn = line.request == request;
        if (isOwn) {
            const RequestOutcome outcome = outcomeOf(line.event);
            end = outcome != RequestOutcome::Missing ? &line : end;
            history.outcome = outcome != RequestOutcome::Missing || end == nullptr ? outcome : history.outcome;
        }
        if (isOwn || mayExplain(scope, line)) {
            history.lines.push_back(line);
        }
        history.droppedLines += isInTimeRange(scope, line) && scope.instances.contains(line.instance) && !line.request.empty() ? line.droppedLines : 0;
    }
    std::stable_sort(history.lines.begin(), history.lines.end(), [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
    history.cause = causeOf(history, end);
    return history;
}

std::string toText(const RequestHistory &history)
{
    std::ostringstream out;
    for (const LogLine &line : history.lines) {
        out << line.time << "  " << line.instance << "  " << line.event;
        for (const std::string &part : {line.subject, line.detail}) {
            out << (part.empty() ? "" : "  ") << part;
        }
        out << "\n";
    }
    if (history.droppedLines > 0) {
        out << history.droppedLines << " lines about requests were left out in this period\n";
    }
    out << "cause: " << history.cause << "\n";
    return out.str();
}

} // namespace timeline
