#pragma once

#include "core/config/objects.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snipemill {

// What a text field of a ticket file may hold.
enum class text_rule : std::uint8_t
{
    any,
    name,    // letters, digits, '.', '_' and '-'
    address, // "ip:port"
    key,     // "<kind>/<name>"
};

// Names of the kinds of config_object, in the order of the variant.
enum class object_kind : std::uint8_t
{
    data_centre,
    group,
    service,
    upstream,
    remove
};

inline constexpr name_table<object_kind, 5> object_kind_names{{
    {object_kind::data_centre, "data_centre"},
    {object_kind::group, "group"},
    {object_kind::service, "service"},
    {object_kind::upstream, "upstream"},
    {object_kind::remove, "remove"},
}};

// An object of the kind with the default value of every field.
inline config_object make_object(object_kind kind)
{
    switch (kind) {
    case object_kind::data_centre:
        return data_centre_object{};
    case object_kind::group:
        return group_object{};
    case object_kind::service:
        return service_object{};
    case object_kind::upstream:
        return upstream_object{};
    case object_kind::remove:
        break;
    }
    return removed_object{};
}

enum class presence : bool
{
    optional,
    required
};

// The longest duration in a ticket: a day, in ms.
inline constexpr double max_field_ms = 86'400'000;
inline constexpr std::uint64_t max_field_count = 1'000'000;

// Describes the fields of each kind of object to a visitor v, which reads or
// writes them: v.text, v.count, v.fraction, v.time, v.flag and v.choice.

template <class Visitor>
void describe_fields(data_centre_object& o, Visitor& v)
{
    v.text("name", o.name, text_rule::name, presence::required);
    v.text("region", o.region, text_rule::any, presence::optional);
    v.choice("state", o.state, data_centre_state_names);
}

template <class Visitor>
void describe_fields(group_object& o, Visitor& v)
{
    v.text("name", o.name, text_rule::name, presence::required);
    v.time("deadline_ms", o.deadline, 1);
    v.fraction("min_coverage", o.min_coverage);
    v.fraction("hedge_quantile", o.hedge_quantile);
    v.fraction("hedge_budget", o.hedge_budget);
    v.choice("preference", o.preference, query_preference_names);
    v.count("priority", o.priority, 0, presence::optional);
    v.flag("first_step", o.first_step);
}

template <class Visitor>
void describe_fields(service_object& o, Visitor& v)
{
    v.text("name", o.name, text_rule::name, presence::required);
    v.text("group", o.group, text_rule::name, presence::required);
    v.count("slots", o.slots, 1, presence::optional);
    v.count("connections", o.connections, 1, presence::optional);
    v.time("connect_ms", o.connect_time, 0);
}

template <class Visitor>
void describe_fields(upstream_object& o, Visitor& v)
{
    v.count("id", o.id.value, 1, presence::required);
    v.text("name", o.name, text_rule::name, presence::required);
    v.text("service", o.service, text_rule::name, presence::required);
    v.text("data_centre", o.data_centre, text_rule::name, presence::required);
    v.text("address", o.address, text_rule::address, presence::required);
    v.choice("state", o.state, upstream_state_names);
}

template <class Visitor>
void describe_fields(removed_object& o, Visitor& v)
{
    v.text("key", o.key, text_rule::key, presence::required);
}

// Why the text breaks the rule; no value when it keeps to it.
std::optional<std::string> text_fault(std::string_view text, text_rule rule);

} // namespace snipemill
