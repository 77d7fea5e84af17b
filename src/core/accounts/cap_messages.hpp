#pragma once

#include "core/base/name_table.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <string>

namespace snipemill {

// Asks a host for requests of an account that the sender may run.
struct cap_request
{
    std::string account;
    std::string host; // the sender
    // A repeated request has the same number. The upper half differs between
    // two runs of a process, so that a restarted host repeats no number.
    std::uint64_t number = 0;
    // 0: a contact message between owner and deputy, which asks only whether
    // the receiver has the role.
    std::uint32_t wanted = 0;
    bool as_deputy = false; // grant from the tolerance of the data centre

    friend bool operator==(cap_request const&, cap_request const&) = default;
};

enum class cap_outcome : std::uint8_t
{
    granted,
    over_cap,     // the account has no room before room_after
    not_owner,    // by the receiver's list of hosts
    no_tolerance, // granted from the tolerance, of which nothing is left
    contact,      // response to a contact message by the host of that role
};

inline constexpr name_table<cap_outcome, 5> cap_outcome_names{{
    {cap_outcome::granted, "granted"},
    {cap_outcome::over_cap, "over_cap"},
    {cap_outcome::not_owner, "not_owner"},
    {cap_outcome::no_tolerance, "no_tolerance"},
    {cap_outcome::contact, "contact"},
}};

struct cap_grant
{
    std::string account;
    std::string host;         // the sender
    std::uint64_t number = 0; // of the request
    cap_outcome outcome = cap_outcome::granted;
    std::uint32_t granted = 0;
    // Of a refusal: time until the account has room, and the times promised to
    // the first refused request and between it and those after it. In a
    // deputy's contact response a room_after above 0 says that it granted its
    // part of the rate within the last window.
    duration room_after{};
    duration retry_after{};
    duration interval{};

    friend bool operator==(cap_grant const&, cap_grant const&) = default;
};

} // namespace snipemill
