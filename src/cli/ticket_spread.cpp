#include "cli/ticket_spread.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>
#include <string>

namespace snipemill::cli {

namespace {

namespace json = boost::json;

enum class ticket_place : std::uint8_t
{
    in_force,
    behind,
    unreachable
};

inline constexpr name_table<ticket_place, 3> ticket_place_names{{
    {ticket_place::in_force, "in_force"},
    {ticket_place::behind, "behind"},
    {ticket_place::unreachable, "unreachable"},
}};

struct spread_count
{
    std::size_t in_force = 0;
    std::size_t behind = 0;
    std::size_t unreachable = 0;
};

json::object const& config_of(fleet_host const& host)
{
    return host.status->at("config").as_object();
}

std::uint64_t number_of(fleet_host const& host)
{
    return config_of(host).at("number").to_number<std::uint64_t>();
}

ticket_place place_of(fleet_host const& host, std::uint64_t number)
{
    if (!host.status) {
        return ticket_place::unreachable;
    }
    return number_of(host) >= number ? ticket_place::in_force
                                     : ticket_place::behind;
}

std::map<std::string, spread_count>
count_spread(std::vector<fleet_host> const& fleet, std::uint64_t number)
{
    std::map<std::string, spread_count> out;
    for (auto const& it : fleet) {
        auto& count = out[it.data_centre];
        auto const place = place_of(it, number);
        count.in_force += place == ticket_place::in_force ? 1 : 0;
        count.behind += place == ticket_place::behind ? 1 : 0;
        count.unreachable += place == ticket_place::unreachable ? 1 : 0;
    }
    return out;
}

// What membership says, which differs from what this program reaches.
void print_membership(fleet_host const& host)
{
    if (host.unreachable_ms) {
        std::cout << host.member_state << " for " << *host.unreachable_ms
                  << " ms";
    }
    else {
        std::cout << host.member_state;
    }
}

void print_lacking(fleet_host const& host, ticket_place place)
{
    if (place == ticket_place::unreachable) {
        std::cout << "  " << host.name << " is unreachable (";
        print_membership(host);
        std::cout << ")\n";
    }
    else if (place == ticket_place::behind) {
        std::cout << "  " << host.name << " has ticket " << number_of(host)
                  << ", confirmed " << config_of(host).at("age_ms")
                  << " ms ago (";
        print_membership(host);
        std::cout << ")\n";
    }
}

void print_text(std::vector<fleet_host> const& fleet, std::uint64_t number)
{
    for (auto const& [name, count] : count_spread(fleet, number)) {
        std::cout << "data centre " << std::left << std::setw(20) << name
                  << count.in_force << " in force, " << count.behind
                  << " behind, " << count.unreachable << " unreachable\n";
    }
    for (auto const& it : fleet) {
        print_lacking(it, place_of(it, number));
    }
}

json::object host_json(fleet_host const& host, std::uint64_t number)
{
    auto const place = name_of(ticket_place_names, place_of(host, number));
    json::object out{{"name", host.name},
                     {"data_centre", host.data_centre},
                     {"place", json::string_view(place.data(), place.size())},
                     {"number", nullptr},
                     {"age_ms", nullptr},
                     {"member_state", host.member_state},
                     {"unreachable_ms", nullptr}};
    if (host.status) {
        out["number"] = number_of(host);
        out["age_ms"] = config_of(host).at("age_ms");
    }
    if (host.unreachable_ms) {
        out["unreachable_ms"] = *host.unreachable_ms;
    }
    return out;
}

void print_json(std::vector<fleet_host> const& fleet, std::uint64_t number)
{
    json::array data_centres;
    for (auto const& [name, count] : count_spread(fleet, number)) {
        data_centres.push_back(
            json::object{{"name", name},
                         {"in_force", count.in_force},
                         {"behind", count.behind},
                         {"unreachable", count.unreachable}});
    }
    json::array hosts;
    for (auto const& it : fleet) {
        hosts.push_back(host_json(it, number));
    }
    std::cout << json::serialize(
                     json::object{{"ticket", number},
                                  {"data_centres", std::move(data_centres)},
                                  {"hosts", std::move(hosts)}})
              << '\n';
}

} // namespace

bool in_force_everywhere(std::vector<fleet_host> const& fleet,
                         std::uint64_t number)
{
    return std::all_of(fleet.begin(), fleet.end(), [&](fleet_host const& it) {
        return place_of(it, number) == ticket_place::in_force;
    });
}

void print_spread(std::vector<fleet_host> const& fleet, std::uint64_t number,
                  output_format format)
{
    if (format == output_format::json) {
        print_json(fleet, number);
    }
    else {
        print_text(fleet, number);
    }
}

} // namespace snipemill::cli
