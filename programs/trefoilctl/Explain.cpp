#include "Explain.h"

#include "timeline/RequestHistory.h"

#include <boost/json.hpp>

#include <fstream>
#include <iostream>

namespace json = boost::json;

namespace {

/// Appends the log lines of a stream to `logLines`; other lines are skipped.
void readLines(std::istream &in, std::vector<timeline::LogLine> &logLines)
{
    for (std::string text; std::getline(in, text);) {
        if (auto line = timeline::parseLogLine(text)) {
            logLines.push_back(std::move(*line));
        }
    }
}

json::object toJson(const timeline::RequestHistory &history)
{
    json::array lines;
    for (const timeline::LogLine &line : history.lines) {
        lines.push_back(json::object{{"time", line.time},
                                     {"instance", line.instance},
                                     {"event", line.event},
                                     {"request", line.request},
                                     {"subject", line.subject},
                                     {"detail", line.detail}});
    }
    return {{"lines", lines}, {"left_out", history.droppedLines}, {"cause", history.cause}};
}

} // namespace

ExitCode explainRequest(const std::string &request, const std::vector<std::string> &logFiles, bool asJson)
{
    std::vector<timeline::LogLine> logLines;
    for (const std::string &name : logFiles) {
        if (name == "-") {
            readLines(std::cin, logLines);
            continue;
        }
        std::ifstream file(name);
        if (!file) {
            std::cerr << "trefoilctl: can't read " << name << "\n";
            return ExitCode::Usage;
        }
        readLines(file, logLines);
    }
    const timeline::RequestHistory history = timeline::explainRequest(logLines, request);
    if (asJson) {
        std::cout << json::serialize(toJson(history)) << "\n";
    } else {
        std::cout << timeline::toText(history);
    }
    return history.outcome == timeline::RequestOutcome::Unknown ? ExitCode::Refused : ExitCode::Done;
}
