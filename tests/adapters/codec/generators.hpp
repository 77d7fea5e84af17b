#pragma once

#include "adapters/codec/config_json.hpp"
#include "adapters/codec/peer_codec.hpp"

#include <rapidcheck.h>

#include <string>
#include <vector>

// Generators of messages with valid field values.
namespace snipemill::gen {

template <class T>
T any()
{
    return *rc::gen::arbitrary<T>();
}

// Text without NUL; ASCII, so that it is valid UTF-8.
inline std::string text()
{
    return *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
}

inline std::string bytes()
{
    return any<std::string>();
}

inline std::string name()
{
    return *rc::gen::nonEmpty(rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("abcXYZ019-_."))));
}

inline duration time()
{
    return duration(*rc::gen::inRange<std::int64_t>(1000, 3'600'000'000));
}

inline double fraction()
{
    return *rc::gen::inRange(0, 1'000'001) / 1e6;
}

template <class Id>
Id id()
{
    return Id(any<typename Id::rep>());
}

template <class Enum, std::size_t N>
Enum choice(name_table<Enum, N> const& names)
{
    return names[*rc::gen::inRange<std::size_t>(0, N)].first;
}

template <class Make>
auto list(Make make, std::size_t most = 6)
{
    std::vector<decltype(make())> out;
    auto const n = *rc::gen::inRange<std::size_t>(0, most);
    for (std::size_t i = 0; i < n; ++i) {
        out.push_back(make());
    }
    return out;
}

inline hybrid_time stamp()
{
    return {any<std::uint64_t>(), any<std::uint32_t>()};
}

inline partition_part partition()
{
    return {id<partition_id>(), any<std::uint64_t>(), any<std::uint64_t>()};
}

inline record some_record()
{
    return {bytes(), any<double>(), id<partition_id>(), bytes()};
}

inline target_result result()
{
    return {.upstream = id<upstream_id>(),
            .outcome = choice(sub_outcome_names),
            .condition = choice(upstream_condition_names),
            .partition_count = any<std::uint32_t>(),
            .partitions = list(partition),
            .held = list(id<index_version>),
            .latency = time()};
}

inline member_info member()
{
    return {.id = id<host_id>(),
            .data_centre = text(),
            .ip = text(),
            .peer_port = any<std::uint16_t>(),
            .operator_port = any<std::uint16_t>(),
            .incarnation = any<std::uint64_t>(),
            .state = choice(member_state_names)};
}

inline config_object object()
{
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        return data_centre_object{name(), text(),
                                  choice(data_centre_state_names)};
    case 1:
        return group_object{.name = name(),
                            .deadline = time(),
                            .min_coverage = fraction(),
                            .hedge_quantile = fraction(),
                            .hedge_budget = fraction(),
                            .preference = choice(query_preference_names),
                            .priority = *rc::gen::inRange(0U, 1000U),
                            .first_step = any<bool>()};
    case 2:
        return service_object{name(), name(), *rc::gen::inRange(1U, 100U),
                              *rc::gen::inRange(1U, 100U), time()};
    case 3:
        return upstream_object{
            .id = upstream_id(*rc::gen::inRange(1U, 100'000U)),
            .name = name(),
            .service = name(),
            .data_centre = name(),
            .address =
                "127.0.0.1:" + std::to_string(*rc::gen::inRange(1, 65'536)),
            .state = choice(upstream_state_names)};
    default:
        return removed_object{"service/" + name()};
    }
}

// Objects with distinct keys.
inline std::map<std::string, config_object> objects()
{
    std::map<std::string, config_object> out;
    for (auto& it : list(object)) {
        auto key = object_key(it);
        out.emplace(std::move(key), std::move(it));
    }
    return out;
}

inline ticket some_ticket(std::uint64_t number)
{
    ticket t{.number = number,
             .author = "a" + text(),
             .reason = "r" + text(),
             .nonce = text(),
             .objects = {data_centre_object{"colombo", "west", {}}}};
    for (auto const& [key, it] : objects()) {
        if (key != "data_centre/colombo") {
            t.objects.push_back(it);
        }
    }
    return t;
}

inline std::vector<ticket> tickets(std::uint64_t base)
{
    return list([&] { return some_ticket(++base); });
}

inline config_snapshot snapshot()
{
    return {
        any<std::uint64_t>(), objects(), list([] {
            return ticket_summary{any<std::uint64_t>(), text(), text(), text()};
        })};
}

} // namespace snipemill::gen
