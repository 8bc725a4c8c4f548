#pragma once

#include "settings/Parse.h"

#include <string>
#include <utility>
#include <vector>

namespace settings {

struct Field;

/// A YAML value with its location, so that an error found after the files are merged can still be reported with file and line.
struct Value {
    enum class Kind {
        Null,
        Scalar,
        List,
        Map,
    };

    Kind kind = Kind::Null;
    /// Text of a scalar.
    std::string scalar;
    /// Items of a list.
    std::vector<Value> items;
    /// Entries of a map, in the order of the file.
    std::vector<Field> fields;
    /// Name of the file that contains the value.
    std::string file;
    /// Line of the value, or of its key if it is an entry of a map; counted from 1.
    int line = 0;

    /// Returns the value of a key if this is a map that contains the key; null otherwise.
    const Value *find(const std::string &name) const;
};

/// One entry of a YAML map.
struct Field {
    std::string name;
    Value value;
};

/// Parses one file. Adds syntax errors, duplicate keys and values nested too deeply to `problems`. A file that is larger than 1 MiB, or that contains '&' or
/// '*', the marks of YAML anchors and aliases, is reported as a problem and not parsed.
Value parseDocument(const SettingsFile &file, std::vector<Problem> &problems);

/// Overrides `base` with the value of a later file. Maps are merged key by key; any other value except null replaces `base`.
void overrideWith(Value &base, const Value &later);

} // namespace settings
