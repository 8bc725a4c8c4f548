#pragma once

#include <optional>
#include <string_view>
#include <vector>

/// Cuts JSON text into its parts without parsing them, so that a part that can't be parsed hides no other one. Only the quotes of strings and the brackets
/// are looked at: each part has to be parsed by itself, and may turn out to be malformed.
namespace json {

/// A member of an object, as views into the text.
struct RawMember {
    /// The name without its quotes; escapes in it are not decoded.
    std::string_view name;
    std::string_view value;
};

/// Returns the elements of the array that the text consists of; none if the text is no array, or if its brackets or quotes don't match.
std::optional<std::vector<std::string_view>> cutArray(std::string_view text);

/// Returns the members of the object that the text consists of, without those that lack a name or a colon; none if the text is no object, or if its brackets
/// or quotes don't match.
std::optional<std::vector<RawMember>> cutObject(std::string_view text);

/// Returns the value of the member with that name; none unless there is exactly one.
std::optional<std::string_view> rawMember(const std::vector<RawMember> &members, std::string_view name);

} // namespace json
