#include "timeline/RequestHistory.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <sstream>

namespace json = boost::json;

namespace timeline {

namespace {

/// What is learned of an endpoint or of the store this long before a request still bears on it.
constexpr std::int64_t BackgroundMs = 5000;

/// Kinds of lines about an endpoint, the store or the instance that explain what became of a request.
constexpr std::array<std::string_view, 5> EndpointEvents = {"endpoint_silent", "endpoint_slow", "endpoint_usual", "order_place", "order_answered"};
constexpr std::array<std::string_view, 8> InstanceEvents = {
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

/// Milliseconds of "YYYY-MM-DD HH:MM:SS,mmm" since midnight of its day; stories don't last longer than that.
std::int64_t milliseconds(std::string_view time)
{
    constexpr std::size_t TimeLength = 23;
    if (time.size() < TimeLength) {
        return 0;
    }
    const auto number = [&](std::size_t at, std::size_t length) {
        std::int64_t value = 0;
        std::from_chars(time.data() + at, time.data() + at + length, value);
        return value;
    };
    return ((number(11, 2) * 60 + number(14, 2)) * 60 + number(17, 2)) * 1000 + number(20, 3);
}

/// The endpoints of a path in the detail of a sending: "... path a=0-20 b=20-80, ...".
void collectEndpoints(std::string_view detail, std::set<std::string> &endpoints)
{
    const std::size_t begin = detail.find("path ");
    if (begin == std::string_view::npos) {
        return;
    }
    const std::string_view path = detail.substr(begin + 5, detail.find(',', begin) - begin - 5);
    std::istringstream stages{std::string(path)};
    for (std::string stage; stages >> stage;) {
        endpoints.insert(stage.substr(0, stage.find('=')));
    }
}

/// What the own lines of a request say of where and when to look for others.
struct Scope {
    std::set<std::string> instances;
    std::set<std::string> endpoints;
    /// It was refused since no endpoint could take it: what became of any of them matters.
    bool anyEndpoint = false;
    std::string first;
    std::string last;
};

Scope scopeOf(const std::vector<LogLine> &log, std::string_view request)
{
    Scope scope;
    for (const LogLine &line : log) {
        if (line.request != request) {
            continue;
        }
        scope.instances.insert(line.instance);
        if (line.event == "sent" || line.event == "stream_detoured") {
            scope.endpoints.insert(line.subject);
            collectEndpoints(line.detail, scope.endpoints);
        }
        scope.anyEndpoint = scope.anyEndpoint || line.subject == "no_endpoint" || line.subject == "overloaded";
        scope.first = scope.first.empty() ? line.time : std::min(scope.first, line.time);
        scope.last = std::max(scope.last, line.time);
    }
    scope.anyEndpoint = scope.anyEndpoint && scope.endpoints.empty();
    return scope;
}

bool isMeanwhile(const Scope &scope, const LogLine &line)
{
    return line.time <= scope.last && milliseconds(line.time) >= milliseconds(scope.first) - BackgroundMs;
}

/// A line that isn't the request's own tells of what it depended on.
bool bearsOn(const Scope &scope, const LogLine &line)
{
    if (!isMeanwhile(scope, line)) {
        return false;
    }
    if (isOneOf(EndpointEvents, line.event)) {
        return scope.anyEndpoint || scope.endpoints.contains(line.subject);
    }
    return isOneOf(InstanceEvents, line.event) && scope.instances.contains(line.instance);
}

RequestOutcome endingOf(std::string_view event)
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

/// The latest line of a kind about one of the endpoints of a request, up to its end.
const LogLine *lastOf(const std::vector<LogLine> &lines, std::string_view event)
{
    const auto found = std::find_if(lines.rbegin(), lines.rend(), [&](const LogLine &line) { return line.event == event; });
    return found == lines.rend() ? nullptr : &*found;
}

std::string reasonOf(const std::vector<LogLine> &lines)
{
    std::string text;
    for (const std::string_view event : {"attempt_refused", "attempt_failed", "stream_moved", "event_gap", "endpoint_silent", "endpoint_slow", "store_lost"}) {
        const auto count = std::count_if(lines.begin(), lines.end(), [&](const LogLine &line) { return line.event == event; });
        const LogLine *line = lastOf(lines, event);
        if (line != nullptr) {
            text += "; " + std::string(event) + (count > 1 ? " " + std::to_string(count) + " times, last" : "") + " at " + line->time.substr(11) + " "
                + line->subject + (line->detail.empty() ? "" : " (" + line->detail + ")");
        }
    }
    return text;
}

std::string causeOf(const RequestHistory &story, const LogLine *end)
{
    switch (story.ending) {
    case RequestOutcome::Unknown:
        return "no line of these logs mentions the request: it didn't reach these instances, or its lines were left out";
    case RequestOutcome::Missing:
        return "its end isn't in these logs: the instance ended first, or the line was left out" + reasonOf(story.lines);
    case RequestOutcome::Answered:
        return "answered by " + end->subject + ", " + end->detail + reasonOf(story.lines);
    case RequestOutcome::StreamEnded:
        return "the stream is whole: " + end->detail + reasonOf(story.lines);
    case RequestOutcome::StreamBroken:
        return "the stream was broken off as " + end->subject + ": " + end->detail + reasonOf(story.lines);
    case RequestOutcome::Rejected:
        return "answered by the router itself as " + end->subject + ": " + end->detail + reasonOf(story.lines);
    case RequestOutcome::CallerGone:
        return "the caller left before the end" + reasonOf(story.lines);
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
    const Scope scope = scopeOf(log, request);
    RequestHistory story;
    const LogLine *end = nullptr;
    for (const LogLine &line : log) {
        const bool isOwn = line.request == request;
        if (isOwn) {
            const RequestOutcome ending = endingOf(line.event);
            end = ending != RequestOutcome::Missing ? &line : end;
            story.ending = ending != RequestOutcome::Missing || end == nullptr ? ending : story.ending;
        }
        if (isOwn || bearsOn(scope, line)) {
            story.lines.push_back(line);
        }
        story.droppedLines += isMeanwhile(scope, line) && scope.instances.contains(line.instance) && !line.request.empty() ? line.droppedLines : 0;
    }
    std::stable_sort(story.lines.begin(), story.lines.end(), [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
    story.cause = causeOf(story, end);
    return story;
}

std::string toText(const RequestHistory &story)
{
    std::ostringstream out;
    for (const LogLine &line : story.lines) {
        out << line.time << "  " << line.instance << "  " << line.event;
        for (const std::string &part : {line.subject, line.detail}) {
            out << (part.empty() ? "" : "  ") << part;
        }
        out << "\n";
    }
    if (story.droppedLines > 0) {
        out << story.droppedLines << " lines about requests were left out meanwhile\n";
    }
    out << "cause: " << story.cause << "\n";
    return out.str();
}

} // namespace timeline
