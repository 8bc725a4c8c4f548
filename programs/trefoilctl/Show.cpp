#include "Show.h"

#include "net/HttpClient.h"
#include "timeline/EventLog.h"

#include <boost/json.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <optional>

namespace json = boost::json;

namespace {

/// Limit for the body of an instance's answer.
constexpr std::size_t MaxAnswerBytes = 256 * 1024 * 1024;

/// Sends a request to an instance's operator interface and returns the body of the answer. On failure, prints the reason, sets `code` and returns none.
std::optional<std::string>
fetchBody(const ShowOptions &options, const net::Address &instance, const std::string &method, const std::string &target, ExitCode &code)
{
    net::ClientCall call;
    call.address = instance;
    call.request = {method, target, {{"Authorization", "Bearer " + options.operatorKey}}, ""};
    call.bodyLimit = MaxAnswerBytes;
    const net::BlockingResult result = net::callAndWait(call);
    if (!result.ok) {
        std::cerr << "trefoilctl: " << net::toString(instance) << " does not answer\n";
        code = ExitCode::Unreachable;
        return std::nullopt;
    }
    if (result.response.status != 200) {
        std::cerr << "trefoilctl: " << net::toString(instance) << " refused: " << result.response.body << "\n";
        code = ExitCode::Refused;
        return std::nullopt;
    }
    return result.response.body;
}

/// Returns a JSON value as the text of a table cell: strings without quotes, everything else as JSON.
std::string cellText(const json::value &value)
{
    return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

/// Prints an array of JSON objects as a table. Each column shows the field of that name, which every object must have.
void printTable(const json::array &rows, const std::vector<std::string> &columns)
{
    std::vector<std::size_t> widths;
    for (const std::string &column : columns) {
        std::size_t width = column.size();
        for (const json::value &row : rows) {
            width = std::max(width, cellText(row.as_object().at(column)).size());
        }
        widths.push_back(width);
    }
    for (std::size_t i = 0; i < columns.size(); ++i) {
        std::cout << std::left << std::setw(static_cast<int>(widths[i] + 2)) << columns[i];
    }
    std::cout << "\n";
    for (const json::value &row : rows) {
        for (std::size_t i = 0; i < columns.size(); ++i) {
            std::cout << std::left << std::setw(static_cast<int>(widths[i] + 2)) << cellText(row.as_object().at(columns[i]));
        }
        std::cout << "\n";
    }
}

/// Prints what the given instances, which relay requests, have quarantined and on what evidence; nothing if there is none.
void printQuarantine(const json::array &instances)
{
    json::array rows;
    for (const json::value &instance : instances) {
        for (const json::value &entry : instance.as_object().at("quarantine").as_array()) {
            json::object row = entry.as_object();
            row["instance"] = instance.as_object().at("instance");
            rows.push_back(row);
        }
    }
    if (!rows.empty()) {
        std::cout << "quarantined:\n";
        printTable(rows, {"instance", "signature", "crashes", "since_ms", "last_crash_ms", "failed_probes", "next_probe_ms"});
    }
}

/// Prints one array of the first instance's status, as JSON or as a table with the given columns.
ExitCode showStatusSection(const ShowOptions &options, const char *section, const std::vector<std::string> &columns)
{
    ExitCode code = ExitCode::Done;
    const auto body = fetchBody(options, options.instances.front(), "GET", "/admin/status", code);
    if (!body) {
        return code;
    }
    const json::value rows = json::parse(*body).as_object().at(section);
    if (options.json) {
        std::cout << json::serialize(rows) << "\n";
    } else {
        printTable(rows.as_array(), columns);
    }
    return code;
}

} // namespace

ExitCode showStatus(const ShowOptions &options)
{
    ExitCode code = ExitCode::Done;
    json::array rows;
    for (const net::Address &instance : options.instances) {
        if (const auto body = fetchBody(options, instance, "GET", "/admin/status", code)) {
            rows.push_back(json::parse(*body));
        }
    }
    if (options.json) {
        std::cout << json::serialize(rows) << "\n";
        return code;
    }
    json::array ownFace;
    json::array relays;
    for (const json::value &row : rows) {
        (row.as_object().contains("quarantine") ? relays : ownFace).push_back(row);
    }
    if (!ownFace.empty()) {
        printTable(ownFace, {"instance", "zone", "revision", "staged_revision", "confirmed", "store_reachable", "stopping", "open_calls", "waiting_for"});
    }
    if (!relays.empty()) {
        printTable(relays, {"instance", "zone", "revision", "ready", "open_calls"});
        printQuarantine(relays);
    }
    return code;
}

ExitCode liftQuarantine(const ShowOptions &options, const std::string &signature)
{
    ExitCode code = ExitCode::Done;
    const auto body = fetchBody(options, options.instances.front(), "POST", "/admin/quarantine/lift/" + signature, code);
    if (body && options.json) {
        std::cout << json::serialize(json::object{{"lifted", signature}}) << "\n";
    } else if (body) {
        std::cout << "lifted " << signature << "\n";
    }
    return code;
}

ExitCode showRoutes(const ShowOptions &options, const std::string &name)
{
    const std::vector<std::string> columns = {"name", "kind", "match", "usable_endpoints", "queued", "pipeline"};
    if (name.empty()) {
        return showStatusSection(options, "routes", columns);
    }
    ExitCode code = ExitCode::Done;
    const auto body = fetchBody(options, options.instances.front(), "GET", "/admin/status", code);
    if (!body) {
        return code;
    }
    const json::object status = json::parse(*body).as_object();
    json::array endpoints;
    std::string pipeline = "none";
    bool known = false;
    for (const json::value &route : status.at("routes").as_array()) {
        if (cellText(route.as_object().at("name")) == name) {
            known = true;
            pipeline = cellText(route.as_object().at("pipeline"));
        }
    }
    for (const json::value &endpoint : status.at("endpoints").as_array()) {
        if (cellText(endpoint.as_object().at("serves")) == name) {
            endpoints.push_back(endpoint);
        }
    }
    if (!known) {
        std::cerr << "trefoilctl: no route '" << name << "'\n";
        return ExitCode::Refused;
    }
    if (options.json) {
        std::cout << json::serialize(json::object{{"name", name}, {"pipeline", json::parse(pipeline)}, {"endpoints", endpoints}}) << "\n";
    } else {
        std::cout << "a call now would run on " << pipeline << ", chosen from:\n";
        printTable(endpoints, {"id", "zone", "state", "first_layer", "end_layer", "in_flight", "reported"});
    }
    return code;
}

ExitCode showEndpoints(const ShowOptions &options)
{
    return showStatusSection(options, "endpoints", {"id", "kind", "zone", "serves", "state", "first_layer", "end_layer", "in_flight", "reported"});
}

ExitCode showInstances(const ShowOptions &options)
{
    return showStatusSection(options, "instances", {"id", "zone", "state", "accepted", "staged", "store_reachable", "silent_ms"});
}

ExitCode drainEndpoint(const ShowOptions &options, const std::string &endpoint)
{
    ExitCode code = ExitCode::Done;
    const auto body = fetchBody(options, options.instances.front(), "POST", "/admin/drain/" + endpoint, code);
    if (body && options.json) {
        std::cout << json::serialize(json::object{{"draining", endpoint}}) << "\n";
    } else if (body) {
        std::cout << "draining " << endpoint << "\n";
    }
    return code;
}

ExitCode showTimeline(const ShowOptions &options, const std::string &traceFile)
{
    ExitCode code = ExitCode::Done;
    std::vector<timeline::Event> events;
    for (const net::Address &instance : options.instances) {
        const auto body = fetchBody(options, instance, "GET", "/admin/timeline", code);
        const auto parsed = body ? timeline::fromJson(*body) : std::nullopt;
        if (parsed) {
            events.insert(events.end(), parsed->begin(), parsed->end());
        }
    }
    timeline::sortByStamp(events);
    if (!traceFile.empty()) {
        std::ofstream(traceFile) << timeline::toTraceEvents(events);
        std::cout << events.size() << " events in " << traceFile << "\n";
    } else if (options.json) {
        std::cout << timeline::toJson(events) << "\n";
    } else {
        for (const timeline::Event &event : events) {
            std::cout << timeline::wallMicros(event.stamp) << "  " << std::left << std::setw(12) << event.instance << std::setw(22) << event.kind
                      << std::setw(8) << event.call << event.subject << "  " << event.detail << "\n";
        }
    }
    return code;
}
