#pragma once

#include "adapters/peer/probe_socket.hpp"
#include "core/config/config_store.hpp"
#include "core/events/hybrid_clock.hpp"
#include "core/membership/member_list.hpp"
#include "core/owner/owner_engine.hpp"
#include "core/query/messages.hpp"
#include "core/submit/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipemill {

// A decoded message with the stamp of its sender.
template <class T>
struct stamped
{
    hybrid_time time;
    T message;
};

struct cancel_request
{
    request_id id;
    std::vector<upstream_id> targets;

    friend bool operator==(cancel_request const&,
                           cancel_request const&) = default;
};

// Asks for the tickets after have; announce is the number that the sender has
// in force, when it only announces it.
struct config_pull_request
{
    std::uint64_t have = 0;
    std::uint64_t announce = 0;
    host_id from;

    friend bool operator==(config_pull_request const&,
                           config_pull_request const&) = default;
};

struct config_push_answer
{
    config_push push;
    std::uint64_t number = 0;
    std::vector<member_info> members;

    friend bool operator==(config_push_answer const&,
                           config_push_answer const&) = default;
};

struct handover_message
{
    host_id from;
    std::vector<upstream_gauge> upstreams;
};

// Encoding of messages between hosts. Decoding returns no value when the
// bytes are malformed or a field is out of range.
std::string encode(hybrid_time time, query_batch const& m);
std::string encode(hybrid_time time, query_part const& m);
std::string encode(hybrid_time time, cancel_request const& m);
std::string encode(hybrid_time time, describe_request const& m);
std::string encode(hybrid_time time, describe_answer const& m);
std::string encode(hybrid_time time, submit_forward const& m);
std::string encode(hybrid_time time, submit_result const& m);
std::string encode(hybrid_time time, config_pull_request const& m);
std::string encode(hybrid_time time, config_push_answer const& m);
std::string encode(hybrid_time time, handover_message const& m);
std::string encode(time_point now, probe_packet const& m);

std::optional<stamped<query_batch>> decode_query_batch(std::string_view b);
std::optional<stamped<query_part>> decode_query_part(std::string_view b);
std::optional<stamped<cancel_request>> decode_cancel(std::string_view b);
std::optional<stamped<describe_request>>
decode_describe_request(std::string_view b);
std::optional<stamped<describe_answer>>
decode_describe_answer(std::string_view b);
std::optional<stamped<submit_forward>>
decode_submit_forward(std::string_view b);
std::optional<stamped<submit_result>> decode_submit_result(std::string_view b);
std::optional<stamped<config_pull_request>>
decode_config_pull(std::string_view b);
std::optional<stamped<config_push_answer>>
decode_config_push(std::string_view b);
std::optional<stamped<handover_message>> decode_handover(std::string_view b);
std::optional<probe_packet> decode_probe(time_point now, std::string_view b);

} // namespace snipemill
