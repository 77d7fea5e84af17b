// Minimal codec for the tests of the pool; only the members that they use.

#include "adapters/codec/upstream_json.hpp"

#include <boost/json/parse.hpp>

namespace snipemill {

namespace json = boost::json;

std::string write_sub_request(sub_request const& request)
{
    return request.body;
}

std::optional<sub_answer> parse_sub_answer(std::string_view body)
{
    json::error_code ec;
    auto const value = json::parse(body, ec);
    if (ec || !value.is_object() || !value.as_object().contains("version")) {
        return std::nullopt;
    }
    sub_answer out;
    out.version = index_version(value.at("version").to_number<std::uint64_t>());
    return out;
}

std::vector<index_version> parse_held_versions(std::string_view body)
{
    std::vector<index_version> out;
    auto const value = json::parse(body);
    for (auto const& it : value.at("held").as_array()) {
        out.emplace_back(it.to_number<std::uint64_t>());
    }
    return out;
}

std::optional<upstream_status> parse_upstream_status(std::string_view body)
{
    json::error_code ec;
    auto const value = json::parse(body, ec);
    if (ec) {
        return std::nullopt;
    }
    upstream_status out;
    out.starting = value.at("starting").as_bool();
    return out;
}

} // namespace snipemill
