#include "Explain.h"

#include "timeline/RequestHistory.h"

#include <boost/json.hpp>

#include <fstream>
#include <iostream>

namespace json = boost::json;

namespace {

void readLines(std::istream &in, std::vector<timeline::LogLine> &log)
{
    for (std::string text; std::getline(in, text);) {
        if (auto line = timeline::parseLogLine(text)) {
            log.push_back(std::move(*line));
        }
    }
}

json::object toJson(const timeline::RequestHistory &story)
{
    json::array lines;
    for (const timeline::LogLine &line : story.lines) {
        lines.push_back(json::object{{"time", line.time},
                                     {"instance", line.instance},
                                     {"event", line.event},
                                     {"request", line.request},
                                     {"subject", line.subject},
                                     {"detail", line.detail}});
    }
    return {{"lines", lines}, {"left_out", story.droppedLines}, {"cause", story.cause}};
}

} // namespace

ExitCode explainRequest(const std::string &request, const std::vector<std::string> &logs, bool asJson)
{
    std::vector<timeline::LogLine> log;
    for (const std::string &name : logs) {
        if (name == "-") {
            readLines(std::cin, log);
            continue;
        }
        std::ifstream file(name);
        if (!file) {
            std::cerr << "trefoilctl: can't read " << name << "\n";
            return ExitCode::Usage;
        }
        readLines(file, log);
    }
    const timeline::RequestHistory story = timeline::explainRequest(log, request);
    if (asJson) {
        std::cout << json::serialize(toJson(story)) << "\n";
    } else {
        std::cout << timeline::toText(story);
    }
    return story.ending == timeline::RequestOutcome::Unknown ? ExitCode::Refused : ExitCode::Done;
}
