#pragma once

#include "core/config/config_store.hpp"
#include "core/submit/submit_engine.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace snipemill {

// A fault in a ticket file or a stored object.
struct parse_fault
{
    int line = 0; // 0: not known
    std::string reason;

    friend bool operator==(parse_fault const&, parse_fault const&) = default;
};

using ticket_parse = std::variant<ticket, std::vector<parse_fault>>;

// Reads a ticket file in YAML or JSON and reports every fault found with its
// line.
ticket_parse parse_ticket_file(std::string_view text);

std::string write_ticket(ticket const& t);
std::string write_config_head(config_head const& head);
std::string write_snapshot(config_snapshot const& state);
std::string write_claim(claim const& c);

// No value when the text is malformed.
std::optional<config_head> parse_head(std::string_view text);
std::optional<config_snapshot> parse_snapshot(std::string_view text);
std::optional<claim> parse_claim(std::string_view text);

} // namespace snipemill
