#pragma once

#include "details/Document.h"

#include <charconv>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>

namespace settings {

/// Definition of an integer setting: the member of T that stores it, its range (both ends included), its unit and its description.
template<typename T>
struct IntSetting {
    std::string_view name;
    std::int64_t T::*member;
    std::int64_t min;
    std::int64_t max;
    std::string_view unit;
    std::string_view text;
};

/// Definition of a text setting: the member of T that stores it, whether it must be given, and its description.
template<typename T>
struct TextSetting {
    std::string_view name;
    std::string T::*member;
    bool required;
    std::string_view text;
};

/// Reads the settings of one map into a struct and reports invalid and unknown settings.
class FieldReader
{
public:
    /// Reads the map `value` at the dotted path `path`; adds errors to `problems`.
    FieldReader(const Value &value, std::string path, std::vector<Problem> &problems)
        : value_(value)
        , path_(std::move(path))
        , problems_(problems)
    {
        if (value.kind != Value::Kind::Map && value.kind != Value::Kind::Null) {
            report(value, "", "must be a map");
        }
    }

    /// Reads the given integer settings into `out`. Settings that are not given or are invalid keep the value that they have in `out`.
    template<typename T>
    void read(std::span<const IntSetting<T>> fields, T &out)
    {
        for (const auto &field : fields) {
            if (const Value *found = takeField(field.name)) {
                readInt(*found, field.name, field.min, field.max, out.*field.member);
            }
        }
    }

    /// Reads the given text settings into `out`, and reports required settings that are missing or empty.
    template<typename T>
    void read(std::span<const TextSetting<T>> fields, T &out)
    {
        for (const auto &field : fields) {
            const Value *found = takeField(field.name);
            if (found != nullptr && found->kind == Value::Kind::Scalar) {
                out.*field.member = found->scalar;
            } else if (found != nullptr) {
                report(*found, field.name, "must be a text value");
            }
            if (field.required && (out.*field.member).empty()) {
                report(found != nullptr ? *found : value_, field.name, "is required");
            }
        }
    }

    /// Returns the value of a field, or null if it is not given, and marks the field as known.
    const Value *takeField(std::string_view name)
    {
        known_.emplace_back(name);
        return value_.find(std::string(name));
    }

    /// Adds a problem with the location of `where`. `field` is relative to the path of this map; if empty, the problem concerns the map itself.
    void report(const Value &where, std::string_view field, std::string text)
    {
        std::string path = path_;
        if (!field.empty()) {
            path += path.empty() ? std::string(field) : "." + std::string(field);
        }
        problems_.push_back({where.file, where.line, path, std::move(text)});
    }

    /// Reports every field of the map that was not read by read() or takeField(). Must be called last.
    void reportUnknownFields()
    {
        for (const auto &[name, field] : value_.fields) {
            bool known = false;
            for (const std::string &candidate : known_) {
                known = known || candidate == name;
            }
            if (!known) {
                report(field, name, "is not a setting");
            }
        }
    }

private:
    void readInt(const Value &found, std::string_view name, std::int64_t min, std::int64_t max, std::int64_t &out)
    {
        std::int64_t number = 0;
        const std::string &text = found.scalar;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (found.kind != Value::Kind::Scalar || text.empty() || error != std::errc() || end != text.data() + text.size()) {
            report(found, name, "must be a whole number");
        } else if (number < min || number > max) {
            report(found, name, "must be in " + std::to_string(min) + ".." + std::to_string(max));
        } else {
            out = number;
        }
    }

    const Value &value_;
    std::string path_;
    std::vector<Problem> &problems_;
    std::vector<std::string> known_;
};

} // namespace settings
