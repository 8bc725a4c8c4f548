#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace base {

/// A table of the enumerators of an enum and the names that settings, logs and answers use for them.
template<typename Enum, std::size_t N>
using EnumNames = std::array<std::pair<Enum, std::string_view>, N>;

/// Returns the name of an enumerator, or an empty view if the table doesn't contain it.
template<typename Enum, std::size_t N>
constexpr std::string_view nameIn(const EnumNames<Enum, N> &table, Enum value)
{
    for (const auto &[entry, name] : table) {
        if (entry == value) {
            return name;
        }
    }
    return {};
}

/// Returns the enumerator with this name, which is compared exactly, or nullopt if the table doesn't contain it.
template<typename Enum, std::size_t N>
constexpr std::optional<Enum> valueIn(const EnumNames<Enum, N> &table, std::string_view name)
{
    for (const auto &[entry, entryName] : table) {
        if (entryName == name) {
            return entry;
        }
    }
    return std::nullopt;
}

} // namespace base
