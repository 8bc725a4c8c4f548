#pragma once

#include "ExitCode.h"

#include <string>
#include <vector>

/// Prints the story of one request from the logs of instances. Each name is a file, or "-" for standard input.
ExitCode explainRequest(const std::string &request, const std::vector<std::string> &logs, bool asJson);
