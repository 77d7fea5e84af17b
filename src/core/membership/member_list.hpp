#pragma once

#include "core/base/name_table.hpp"
#include "core/base/rng.hpp"
#include "core/base/strong_id.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipemill {

struct member_list_settings
{
    duration probe_interval = from_ms(1000);
    duration ack_timeout = from_ms(300);
    std::uint32_t indirect_probes = 2;
    duration local_suspicion = from_ms(3000);   // same data centre
    duration remote_suspicion = from_ms(10000); // another data centre
    std::uint32_t max_updates = 8;              // piggybacked per message
    duration dead_probe_interval = from_ms(10000);
    duration forget_dead_after = from_ms(24LL * 3600 * 1000);
};

enum class member_state : std::uint8_t
{
    alive,
    suspect,
    leaving,
    dead
};

inline constexpr name_table<member_state, 4> member_state_names{{
    {member_state::alive, "alive"},
    {member_state::suspect, "suspect"},
    {member_state::leaving, "leaving"},
    {member_state::dead, "dead"},
}};

struct member_info
{
    host_id id;
    std::string data_centre;
    std::string ip;
    std::uint16_t peer_port = 0;
    std::uint16_t operator_port = 0;
    std::uint64_t incarnation = 0; // starts at the start time, in ms
    member_state state = member_state::alive;

    friend bool operator==(member_info const&, member_info const&) = default;
};

enum class probe_kind : std::uint8_t
{
    probe,
    ack,
    indirect
};

// A membership datagram.
struct probe_message
{
    probe_kind kind = probe_kind::probe;
    std::uint64_t sequence = 0;
    member_info from;
    host_id target;                   // of an indirect probe
    std::uint64_t config_number = 0;  // ticket in force at the sender
    std::vector<member_info> updates; // at most max_updates

    friend bool operator==(probe_message const&,
                           probe_message const&) = default;
};

struct send_probe
{
    std::string ip;
    std::uint16_t port = 0;
    probe_message message;
};

// A member appeared or its state changed.
struct member_changed
{
    member_info member;
};

// A member reported the number of the ticket that it has in force.
struct member_config
{
    host_id member;
    std::uint64_t number = 0;
};

using member_action = std::variant<send_probe, member_changed, member_config>;
using member_actions = std::vector<member_action>;

// An address to contact before any member is known.
struct member_seed
{
    std::string ip;
    std::uint16_t port = 0;

    friend bool operator==(member_seed const&, member_seed const&) = default;
};

struct member_counters
{
    std::uint64_t probes_sent = 0;
    std::uint64_t acks_sent = 0;
    std::uint64_t indirect_sent = 0;
    std::uint64_t suspected = 0;
    std::uint64_t refuted = 0;
    std::uint64_t declared_dead = 0;
    std::uint64_t announced = 0; // messages, one for each member
};

// SWIM-style list of the fleet's hosts. The traffic per host does not depend
// on the size of the fleet. It performs no I/O.
class member_list
{
public:
    member_list(member_list_settings const& settings, member_info self,
                std::uint64_t seed);
    ~member_list();
    member_list(member_list const&) = delete;
    member_list& operator=(member_list const&) = delete;

    void set_seeds(std::vector<member_seed> seeds);
    // Asks seeds, and then the hosts that they name, without waiting for the
    // probe interval: when this host starts, and again when the first read of
    // the platform's host list has ended.
    void join(time_point now, bool list_ended, member_actions& out);
    // Whether the hosts that were asked have answered or have had the time to.
    bool joined(time_point now) const;
    void set_config_number(std::uint64_t number);
    void on_message(time_point now, probe_message const& message,
                    member_actions& out);
    void on_timer(time_point now, member_actions& out);
    // Announces that this host leaves; it is no owner any more.
    void leave(time_point now, member_actions& out);
    // Sends each member that takes part one message without updates that wants
    // no answer, for what the adapter adds to it.
    void announce(member_actions& out);

    time_point next_timer() const;
    member_info const& self() const;
    // Every known member but this host, ascending by id.
    std::vector<member_info> members() const;
    // Since when members are suspect or dead, as far as this host knows.
    std::map<host_id, time_point> unreachable() const;
    member_counters const& counters() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace snipemill
