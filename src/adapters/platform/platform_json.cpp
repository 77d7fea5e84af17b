#include "adapters/platform/platform_json.hpp"

#include <boost/json/parse.hpp>

#include <cstdint>

namespace snipemill {

namespace json = boost::json;

namespace {

std::optional<json::value> parse(std::string_view body)
{
    json::error_code ec;
    auto value = json::parse(body, ec);
    if (ec || !value.is_object()) {
        return std::nullopt;
    }
    return value;
}

std::uint64_t number(json::object const& from, std::string_view name,
                     bool& good)
{
    auto const* const it = from.if_contains(name);
    json::error_code ec;
    auto const n = it ? it->to_number<std::uint64_t>(ec) : 0;
    good = good && it && !ec;
    return n;
}

// An absent text is an error only when it is required.
std::string text(json::object const& from, std::string_view name, bool required,
                 bool& good)
{
    auto const* const it = from.if_contains(name);
    if (it && it->is_string()) {
        return std::string(it->get_string());
    }
    good = good && !it && !required;
    return {};
}

bool flag(json::object const& from, std::string_view name)
{
    auto const* const it = from.if_contains(name);
    return it && it->is_bool() && it->get_bool();
}

json::array const* array(json::value const& from, std::string_view name)
{
    auto const* const it = from.get_object().if_contains(name);
    return it ? it->if_array() : nullptr;
}

std::optional<platform_object> read_object(json::value const& value)
{
    auto const* const from = value.if_object();
    if (from == nullptr) {
        return std::nullopt;
    }
    bool good = true;
    platform_object out{.key = text(*from, "key", true, good),
                        .value = text(*from, "value", false, good),
                        .version = number(*from, "version", good),
                        .revision = number(*from, "revision", good)};
    if (!good) {
        return std::nullopt;
    }
    return out;
}

std::optional<platform_host> read_host(json::value const& value)
{
    auto const* const from = value.if_object();
    if (from == nullptr) {
        return std::nullopt;
    }
    bool good = true;
    auto const port = number(*from, "peer_port", good);
    platform_host out{.name = text(*from, "name", true, good),
                      .data_centre = text(*from, "data_centre", true, good),
                      .ip = text(*from, "ip", true, good),
                      .peer_port = static_cast<std::uint16_t>(port),
                      .leaving = flag(*from, "leaving")};
    if (!good || port > UINT16_MAX) {
        return std::nullopt;
    }
    return out;
}

} // namespace

std::optional<platform_object> parse_object(std::string_view body)
{
    auto const value = parse(body);
    return value ? read_object(*value) : std::nullopt;
}

std::optional<platform_listing> parse_listing(std::string_view body)
{
    auto const value = parse(body);
    auto const* const objects = value ? array(*value, "objects") : nullptr;
    if (objects == nullptr) {
        return std::nullopt;
    }
    bool good = true;
    platform_listing out;
    out.revision = number(value->get_object(), "revision", good);
    for (auto const& it : *objects) {
        auto object = read_object(it);
        if (!object) {
            return std::nullopt;
        }
        out.objects.push_back(std::move(*object));
    }
    if (!good) {
        return std::nullopt;
    }
    return out;
}

std::optional<std::vector<platform_host>> parse_hosts(std::string_view body)
{
    auto const value = parse(body);
    auto const* const hosts = value ? array(*value, "hosts") : nullptr;
    if (hosts == nullptr) {
        return std::nullopt;
    }
    std::vector<platform_host> out;
    for (auto const& it : *hosts) {
        auto host = read_host(it);
        if (!host) {
            return std::nullopt;
        }
        out.push_back(std::move(*host));
    }
    return out;
}

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view unreserved = "abcdefghijklmnopqrstuvwxyz"
                                            "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                            "0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string out;
    for (auto const c : text) {
        if (unreserved.find(c) != std::string_view::npos) {
            out.push_back(c);
            continue;
        }
        auto const byte = static_cast<unsigned char>(c);
        out.push_back('%');
        out.push_back(digits[byte >> 4]);
        out.push_back(digits[byte & 15]);
    }
    return out;
}

} // namespace snipemill
