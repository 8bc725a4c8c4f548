#pragma once

#include "settings/Parse.h"
#include "wire/Records.h"

#include <string>
#include <vector>

/// Reads the *.yaml and *.yml files of a folder, sorted by name, without parsing them. Returns a problem if the folder can't be read or holds no such file.
settings::Parsed<std::vector<settings::SettingsFile>> readFolder(const std::string &folder);

/// Merges the files as an instance does and returns the problems of the result; empty if it is valid.
std::vector<settings::Problem> problemsOf(const std::vector<settings::SettingsFile> &files);

/// Returns the names and texts of a document's files.
std::vector<settings::SettingsFile> filesOf(const wire::ConfigDocument &document);
