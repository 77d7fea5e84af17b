#pragma once

#include "core/config/objects.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace snipemill {

// One accepted ticket, without its objects.
struct ticket_summary
{
    std::uint64_t number = 0;
    std::string author;
    std::string reason;
    std::string nonce;

    friend bool operator==(ticket_summary const&,
                           ticket_summary const&) = default;
};

// Whole configuration as of one ticket. Stored as config/state.
struct config_snapshot
{
    std::uint64_t number = 0;
    std::map<std::string, config_object> objects; // by object_key
    std::vector<ticket_summary> history;          // newest last, bounded

    friend bool operator==(config_snapshot const&,
                           config_snapshot const&) = default;
};

// Newest tickets, in order, without gaps: base + 1 to number. Stored as
// config/head; a ticket is accepted when a conditional update of this object
// has succeeded.
struct config_head
{
    std::uint64_t number = 0;
    std::uint64_t base = 0;
    std::vector<ticket> tickets;

    friend bool operator==(config_head const&, config_head const&) = default;
};

// What one host passes to another: either tickets that follow the receiver's
// number or the whole state.
using config_push = std::variant<std::vector<ticket>, config_snapshot>;

inline constexpr std::size_t max_history = 1000;    // tickets summarised
inline constexpr std::size_t max_head_tickets = 32; // tickets kept in head
inline constexpr std::size_t max_head_bytes = 256 * 1024;

// Applies a ticket that directly follows the snapshot.
void apply_ticket(config_snapshot& state, ticket const& change);

struct ticket_fault
{
    std::string object; // key, empty for the ticket itself
    std::string reason;

    friend bool operator==(ticket_fault const&, ticket_fault const&) = default;
};

// Every reason why the ticket cannot follow this state; empty when it can.
std::vector<ticket_fault> check_ticket(config_snapshot const& state,
                                       ticket const& change);

// The configuration that one host has in force. Its number never decreases.
class config_store
{
public:
    // Each returns whether the number grew.
    bool adopt(config_snapshot state);
    bool adopt(std::vector<ticket> const& tickets);
    bool adopt(config_push push);

    std::uint64_t number() const { return state_.number; }
    config_snapshot const& state() const { return state_; }

    // What a host with this number lacks. Tickets when they are still at
    // hand, else the whole state.
    config_push since(std::uint64_t number) const;

private:
    config_snapshot state_;
    std::vector<ticket> recent_; // directly before state_.number, bounded
};

} // namespace snipemill
