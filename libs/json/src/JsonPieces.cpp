#include "json/JsonPieces.h"

#include <algorithm>

namespace json {

namespace {

/// Characters that may stand between the tokens of JSON text.
constexpr std::string_view Blanks = " \t\r\n";

/// Returns the text without the blanks at its ends.
std::string_view trimmed(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(Blanks), text.size()));
    return text.substr(0, text.find_last_not_of(Blanks) + 1);
}

/// Returns the position of the quote that ends the string which begins at `start`; npos if there is none.
std::size_t endOfString(std::string_view text, std::size_t start)
{
    for (std::size_t i = start + 1; i < text.size(); ++i) {
        if (text[i] == '\\') {
            ++i;
        } else if (text[i] == '"') {
            return i;
        }
    }
    return std::string_view::npos;
}

/// Returns the position of the comma or bracket that ends the part which begins at `start`; npos if there is none.
std::size_t endOfPart(std::string_view text, std::size_t start)
{
    std::size_t depth = 0;
    for (std::size_t i = start; i < text.size(); ++i) {
        const char byte = text[i];
        if (byte == '"') {
            i = endOfString(text, i);
            if (i == std::string_view::npos) {
                return i;
            }
        } else if (byte == '[' || byte == '{') {
            ++depth;
        } else if (byte == ']' || byte == '}') {
            if (depth == 0) {
                return i;
            }
            --depth;
        } else if (byte == ',' && depth == 0) {
            return i;
        }
    }
    return std::string_view::npos;
}

/// Returns the parts, separated by commas, between the brackets that the text begins and ends with; none if the text has no such brackets, or if quotes or
/// brackets in it don't match. Parts may be empty, but blank text between the brackets has no part.
std::optional<std::vector<std::string_view>> cut(std::string_view text, char open, char close)
{
    text = trimmed(text);
    if (text.size() < 2 || text.front() != open || text.back() != close) {
        return std::nullopt;
    }
    std::vector<std::string_view> parts;
    for (std::size_t start = 1;;) {
        const std::size_t end = endOfPart(text, start);
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        const std::string_view part = trimmed(text.substr(start, end - start));
        const bool isLast = text[end] != ',';
        if (!isLast || !part.empty() || !parts.empty()) {
            parts.push_back(part);
        }
        if (isLast) {
            return end + 1 == text.size() ? std::optional(std::move(parts)) : std::nullopt;
        }
        start = end + 1;
    }
}

} // namespace

std::optional<std::vector<std::string_view>> cutArray(std::string_view text)
{
    return cut(text, '[', ']');
}

std::optional<std::vector<RawMember>> cutObject(std::string_view text)
{
    const auto parts = cut(text, '{', '}');
    if (!parts) {
        return std::nullopt;
    }
    std::vector<RawMember> members;
    for (const std::string_view part : *parts) {
        const std::size_t nameEnd = part.starts_with('"') ? endOfString(part, 0) : std::string_view::npos;
        if (nameEnd == std::string_view::npos) {
            continue;
        }
        const std::string_view rest = trimmed(part.substr(nameEnd + 1));
        if (rest.starts_with(':')) {
            members.push_back({part.substr(1, nameEnd - 1), trimmed(rest.substr(1))});
        }
    }
    return members;
}

std::optional<std::string_view> rawMember(const std::vector<RawMember> &members, std::string_view name)
{
    std::optional<std::string_view> found;
    for (const RawMember &member : members) {
        if (member.name != name) {
            continue;
        }
        if (found) {
            return std::nullopt;
        }
        found = member.value;
    }
    return found;
}

} // namespace json
