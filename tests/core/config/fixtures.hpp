#pragma once

#include "core/config/config_store.hpp"

#include <string>
#include <utility>
#include <vector>

namespace snipemill::test {

// A ticket that is valid on an empty configuration.
inline ticket first_ticket(std::string nonce = "n1")
{
    return {.number = 1,
            .author = "ops",
            .reason = "start",
            .nonce = std::move(nonce),
            .objects = {data_centre_object{.name = "a", .region = "r"},
                        group_object{.name = "g"},
                        service_object{.name = "s", .group = "g"},
                        upstream_object{.id = upstream_id(1),
                                        .name = "u1",
                                        .service = "s",
                                        .data_centre = "a",
                                        .address = "10.0.0.1:80"}}};
}

// A small ticket that changes one group.
inline ticket next_ticket(std::uint64_t number, std::string nonce)
{
    return {.number = number,
            .author = "ops",
            .reason = "priority",
            .nonce = std::move(nonce),
            .objects = {group_object{
                .name = "g", .priority = static_cast<std::uint32_t>(number)}}};
}

// The configuration after this many tickets, in one snapshot.
inline config_snapshot snapshot_of(std::uint64_t number)
{
    config_snapshot state;
    apply_ticket(state, first_ticket());
    for (std::uint64_t n = 2; n <= number; ++n) {
        apply_ticket(state, next_ticket(n, "n" + std::to_string(n)));
    }
    return state;
}

} // namespace snipemill::test
