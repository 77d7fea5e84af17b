#pragma once

#include "core/base/name_table.hpp"
#include "core/events/hybrid_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace snipemill {

enum class event_kind : std::uint8_t
{
    host_started,
    host_ready,
    host_not_ready,
    host_draining,
    host_stopped,
    member_changed,
    config_adopted,
    ownership_gained,
    ownership_lost,
    upstream_cold,
    upstream_warm,
    upstream_leaving,
    upstream_last_request,
    data_centre_out,
    data_centre_in,
    platform_lost,
    platform_found,
    request_quarantined,
    reader_started,
    reader_stopped,
};

inline constexpr name_table<event_kind, 20> event_kind_names{{
    {event_kind::host_started, "host_started"},
    {event_kind::host_ready, "host_ready"},
    {event_kind::host_not_ready, "host_not_ready"},
    {event_kind::host_draining, "host_draining"},
    {event_kind::host_stopped, "host_stopped"},
    {event_kind::member_changed, "member_changed"},
    {event_kind::config_adopted, "config_adopted"},
    {event_kind::ownership_gained, "ownership_gained"},
    {event_kind::ownership_lost, "ownership_lost"},
    {event_kind::upstream_cold, "upstream_cold"},
    {event_kind::upstream_warm, "upstream_warm"},
    {event_kind::upstream_leaving, "upstream_leaving"},
    {event_kind::upstream_last_request, "upstream_last_request"},
    {event_kind::data_centre_out, "data_centre_out"},
    {event_kind::data_centre_in, "data_centre_in"},
    {event_kind::platform_lost, "platform_lost"},
    {event_kind::platform_found, "platform_found"},
    {event_kind::request_quarantined, "request_quarantined"},
    {event_kind::reader_started, "reader_started"},
    {event_kind::reader_stopped, "reader_stopped"},
}};

// A change of state that operators can see in the time line.
struct event
{
    hybrid_time time;
    std::uint64_t sequence = 0; // per process
    event_kind kind = event_kind::host_started;
    std::string subject; // what changed, for example an upstream's name
    std::string detail;

    friend bool operator==(event const&, event const&) = default;
};

// The newest events of one process, in a buffer of fixed size.
class event_ring
{
public:
    explicit event_ring(std::size_t capacity);

    void push(event e);
    // Events with a sequence above this one, oldest first.
    std::vector<event> after(std::uint64_t sequence) const;
    std::uint64_t last_sequence() const { return next_sequence_ - 1; }

private:
    std::vector<event> events_;
    std::size_t capacity_;
    std::uint64_t next_sequence_ = 1;
};

} // namespace snipemill
