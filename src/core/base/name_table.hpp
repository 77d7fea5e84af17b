#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace snipemill {

// Names of the values of an enum class, in both directions.
template <class Enum, std::size_t N>
using name_table = std::array<std::pair<Enum, std::string_view>, N>;

template <class Enum, std::size_t N>
constexpr std::string_view name_of(name_table<Enum, N> const& table, Enum value)
{
    for (auto const& [key, name] : table) {
        if (key == value) {
            return name;
        }
    }
    return "invalid";
}

template <class Enum, std::size_t N>
constexpr std::optional<Enum> value_of(name_table<Enum, N> const& table,
                                       std::string_view name)
{
    for (auto const& [key, it] : table) {
        if (it == name) {
            return key;
        }
    }
    return std::nullopt;
}

} // namespace snipemill
