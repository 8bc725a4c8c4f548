#pragma once

#include "settings/DaemonSettings.h"
#include "settings/RoutingConfig.h"

#include <string>
#include <variant>
#include <vector>

namespace settings {

/// One error in a settings file and its location.
struct Problem {
    /// Name of the settings file.
    std::string file;
    /// Line number, counted from 1; 0 if the error concerns the whole file.
    int line = 0;
    /// Dotted path of the setting, for example "models.tutor.layers"; empty if the error concerns no single setting.
    std::string field;
    /// Description of the error, in words that follow the name of the field, such as "must be a whole number".
    std::string text;
};

/// Returns "FILE:LINE: FIELD: TEXT", or "FILE:LINE: TEXT" if the field is empty.
std::string toString(const Problem &problem);

/// Name and content of a settings file.
struct SettingsFile {
    std::string name;
    std::string text;
};

/// A parsed value, or all problems that were found.
template<typename T>
using Parsed = std::variant<T, std::vector<Problem>>;

/// Merges the files in the order of their names and validates the result. Maps are merged key by key; any other value except null replaces that of an earlier
/// file.
Parsed<RoutingConfig> parseRoutingConfig(std::vector<SettingsFile> files);

/// Parses and validates the settings file of one trefoilportd process.
Parsed<DaemonSettings> parseDaemonSettings(const SettingsFile &file);

/// Description of one setting, which `trefoilctl settings` shows as one line.
struct SettingDescription {
    /// Path of the map that contains the setting, for example "limits" or "models.NAME".
    std::string section;
    std::string name;
    /// Default as text, or "(required)".
    std::string defaultValue;
    /// Unit of a number, or the type of another setting; may be empty.
    std::string unit;
    /// "MIN..MAX" of a number or the list of permitted values; empty if there is no restriction.
    std::string range;
    /// What the setting does.
    std::string text;
};

/// Returns descriptions of all settings, grouped by section.
std::vector<SettingDescription> describeSettings();

} // namespace settings
