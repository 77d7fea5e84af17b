#include "cli/fleet.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <utility>

namespace snipemill::cli {

namespace {

namespace json = boost::json;

http_request const status_request{.method = "GET", .target = "/v1/status"};

std::string text_of(json::object const& o, char const* key)
{
    auto const* it = o.if_contains(key);
    return it != nullptr && it->is_string() ? std::string(it->get_string())
                                            : std::string();
}

std::optional<std::int64_t> time_of(json::object const& o, char const* key)
{
    auto const* it = o.if_contains(key);
    return it != nullptr && it->is_number()
               ? std::optional(it->to_number<std::int64_t>())
               : std::nullopt;
}

fleet_host member_host(json::object const& m)
{
    return {.name = text_of(m, "name"),
            .data_centre = text_of(m, "data_centre"),
            .operator_endpoint =
                {.ip = text_of(m, "ip"),
                 .port = m.at("operator_port").to_number<std::uint16_t>()},
            .member_state = text_of(m, "state"),
            .unreachable_ms = time_of(m, "unreachable_ms")};
}

} // namespace

std::optional<json::object> parse_object(http_result const& result)
{
    auto const* response = std::get_if<http_response>(&result);
    if (response == nullptr || response->status != 200) {
        return std::nullopt;
    }
    boost::system::error_code ec;
    auto value = json::parse(response->body, ec);
    if (ec || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
}

leaf::result<std::vector<fleet_host>> fetch_fleet(endpoint const& first)
{
    auto own = parse_object(call(first, status_request));
    if (!own) {
        return leaf::new_error(no_answer{.endpoint = to_string(first)});
    }
    std::vector<fleet_host> hosts;
    std::vector<endpoint> endpoints;
    for (auto const& it : own->at("members").as_array()) {
        hosts.push_back(member_host(it.as_object()));
        endpoints.push_back(hosts.back().operator_endpoint);
    }
    auto const answers = call_all(endpoints, status_request);
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        hosts[i].status = parse_object(answers[i]);
    }
    hosts.push_back({.name = text_of(*own, "host"),
                     .data_centre = text_of(*own, "data_centre"),
                     .operator_endpoint = first,
                     .member_state = "alive"});
    hosts.back().status = std::move(own);
    std::sort(hosts.begin(), hosts.end(),
              [](fleet_host const& a, fleet_host const& b) {
                  return std::tie(a.data_centre, a.name) <
                         std::tie(b.data_centre, b.name);
              });
    return hosts;
}

} // namespace snipemill::cli
