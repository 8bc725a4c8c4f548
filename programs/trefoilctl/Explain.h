#pragma once

#include "ExitCode.h"

#include <string>
#include <vector>

/// Prints the history of one request, collected from the logs of instances. Each of logFiles is the name of a file, or "-" for standard input. Lines that are
/// not log lines of an instance are ignored. Returns Usage if a file can't be read, and Refused if no line mentions the request.
ExitCode explainRequest(const std::string &request, const std::vector<std::string> &logFiles, bool asJson);
