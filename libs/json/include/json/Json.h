#pragma once

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Access to members of JSON objects that may be missing or have another type than expected.
namespace json {

using boost::json::object;
using boost::json::value;

/// Parses a JSON value of any kind; none if the text is malformed or nested too deeply for the parser.
inline std::optional<value> parseValue(std::string_view text)
{
    boost::system::error_code error;
    value parsed = boost::json::parse(boost::json::string_view(text.data(), text.size()), error);
    return error ? std::nullopt : std::optional(std::move(parsed));
}

/// Parses a JSON object; none if the text is malformed or another kind of value.
inline std::optional<value> parseObject(std::string_view text)
{
    auto parsed = parseValue(text);
    return parsed && parsed->is_object() ? std::move(parsed) : std::nullopt;
}

/// Returns the member of that name, or null if there is none.
inline const value *member(const object &parent, std::string_view name)
{
    const auto found = parent.find(name);
    return found == parent.end() ? nullptr : &found->value();
}

/// Returns the member of that name; null if it is missing or no object.
inline const object *objectIn(const object &parent, std::string_view name)
{
    const value *found = member(parent, name);
    return found == nullptr ? nullptr : found->if_object();
}

/// Returns the member of that name; null if it is missing or no array.
inline const boost::json::array *arrayIn(const object &parent, std::string_view name)
{
    const value *found = member(parent, name);
    return found == nullptr ? nullptr : found->if_array();
}

/// Returns the member of that name; none if it is missing or no string.
inline std::optional<std::string> textIn(const object &parent, std::string_view name)
{
    const value *found = member(parent, name);
    if (found == nullptr || !found->is_string()) {
        return std::nullopt;
    }
    return std::string(found->get_string());
}

/// Returns the member of that name, moved into the range from `min` to `max` if it is outside; none if it is missing or no number.
inline std::optional<double> numberIn(const object &parent, std::string_view name, double min, double max)
{
    const value *found = member(parent, name);
    if (found == nullptr || !found->is_number()) {
        return std::nullopt;
    }
    const double number = found->to_number<double>();
    return std::isnan(number) ? std::nullopt : std::optional(std::clamp(number, min, max));
}

/// The highest number up to which a double represents every integer.
inline constexpr double MaxExactInteger = 9007199254740992;

/// Returns a value that is an integer of at least 0, also one that is written with a decimal point or an exponent; none for any other.
inline std::optional<std::uint64_t> countOf(const value &number)
{
    if (number.is_uint64()) {
        return number.get_uint64();
    }
    if (number.is_int64() && number.get_int64() >= 0) {
        return static_cast<std::uint64_t>(number.get_int64());
    }
    if (number.is_double() && number.get_double() >= 0 && number.get_double() <= MaxExactInteger && std::trunc(number.get_double()) == number.get_double()) {
        return static_cast<std::uint64_t>(number.get_double());
    }
    return std::nullopt;
}

/// Returns the member of that name; none unless it is an integer of at least 0.
inline std::optional<std::uint64_t> countIn(const object &parent, std::string_view name)
{
    const value *found = member(parent, name);
    return found == nullptr ? std::nullopt : countOf(*found);
}

/// Returns the member of that name, or the fallback if it is missing or null; none if it is anything but an integer from 0 to `max`.
inline std::optional<std::uint64_t> optionalCountIn(const object &parent, std::string_view name, std::uint64_t fallback, std::uint64_t max)
{
    const value *found = member(parent, name);
    if (found == nullptr || found->is_null()) {
        return fallback;
    }
    const auto count = countOf(*found);
    return count && *count <= max ? count : std::nullopt;
}

/// Returns whether the member of that name is `true`; false also if it is missing or no boolean.
inline bool flagIn(const object &parent, std::string_view name)
{
    const value *found = member(parent, name);
    return found != nullptr && found->is_bool() && found->get_bool();
}

} // namespace json
