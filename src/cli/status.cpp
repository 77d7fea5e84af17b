#include "cli/arguments.hpp"
#include "cli/commands.hpp"
#include "cli/fleet.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <iomanip>
#include <iostream>
#include <map>
#include <string>

namespace snipemill::cli {

namespace {

namespace json = boost::json;

void print_host(fleet_host const& host)
{
    std::cout << "  " << std::left << std::setw(20) << host.name;
    if (!host.status) {
        std::cout << "no answer (" << host.member_state << ")\n";
        return;
    }
    auto const& s = *host.status;
    auto const& config = s.at("config").as_object();
    auto const draining = s.at("draining").as_bool();
    auto const ready = s.at("ready").as_bool();
    std::cout << std::setw(10)
              << (draining ? "draining" : (ready ? "ready" : "not ready"))
              << " ticket " << config.at("number") << ", confirmed "
              << config.at("age_ms") << " ms ago"
              << (config.at("reader").as_bool() ? ", reader" : "")
              << ", upstreams " << s.at("upstreams").as_array().size()
              << ", queries "
              << s.at("counters").as_object().at("queries_total") << '\n';
}

struct owned_upstream
{
    std::string owner;
    json::object state;
};

std::map<std::string, owned_upstream>
owned_upstreams(std::vector<fleet_host> const& hosts)
{
    std::map<std::string, owned_upstream> out;
    for (auto const& host : hosts) {
        if (!host.status) {
            continue;
        }
        for (auto const& it : host.status->at("upstreams").as_array()) {
            auto const& u = it.as_object();
            if (u.contains("name")) {
                out[std::string(u.at("name").as_string())] = {host.name, u};
            }
        }
    }
    return out;
}

void print_upstreams(std::vector<fleet_host> const& hosts)
{
    std::cout << "\nupstreams\n"
              << "  " << std::left << std::setw(24) << "name" << std::setw(16)
              << "data centre" << std::setw(20) << "owner" << std::setw(12)
              << "condition"
              << "in flight / limit\n";
    for (auto const& [name, it] : owned_upstreams(hosts)) {
        std::cout << "  " << std::setw(24) << name << std::setw(16)
                  << it.state.at("data_centre").as_string().c_str()
                  << std::setw(20) << it.owner << std::setw(12)
                  << it.state.at("condition").as_string().c_str()
                  << it.state.at("in_flight") << " / " << it.state.at("limit")
                  << '\n';
    }
}

void print_fleet(std::vector<fleet_host> const& hosts)
{
    std::string data_centre;
    for (auto const& it : hosts) {
        if (it.data_centre != data_centre) {
            data_centre = it.data_centre;
            std::cout << "data centre " << data_centre << '\n';
        }
        print_host(it);
    }
    print_upstreams(hosts);
}

void print_json(std::vector<fleet_host> const& hosts)
{
    json::array list;
    for (auto const& it : hosts) {
        json::object host{{"name", it.name},
                          {"data_centre", it.data_centre},
                          {"member_state", it.member_state},
                          {"status", nullptr}};
        if (it.status) {
            host["status"] = *it.status;
        }
        list.push_back(std::move(host));
    }
    std::cout << json::serialize(json::object{{"hosts", std::move(list)}})
              << '\n';
}

} // namespace

int run_status(int argc, char** argv)
{
    cxxopts::Options options("snipemill status",
                             "Shows the state of the fleet.");
    options.add_options()("host", "operator endpoint of any host, IP:PORT",
                          cxxopts::value<std::string>());
    add_common_options(options);
    auto const parsed = parse_arguments(options, argc, argv);
    if (auto const* code = std::get_if<int>(&parsed)) {
        return *code;
    }
    auto const& args = std::get<cxxopts::ParseResult>(parsed);
    auto const format = output_of(args);
    auto const host = endpoint_of(args, "host");
    if (!format || !host) {
        return exit_usage;
    }
    auto const fleet = fetch_fleet(*host);
    if (!fleet) {
        return exit_unavailable;
    }
    if (*format == output_format::json) {
        print_json(*fleet);
    }
    else {
        print_fleet(*fleet);
    }
    return exit_ok;
}

int run_crashes(int argc, char** argv)
{
    cxxopts::Options options(
        "snipemill crashes",
        "Lists, adds or removes fingerprints of requests that are refused "
        "because they crash upstreams.");
    options.add_options()("action", "list, add or remove",
                          cxxopts::value<std::string>()->default_value("list"))(
        "fingerprint", "decimal fingerprint", cxxopts::value<std::string>())(
        "host", "operator endpoint of any host, IP:PORT",
        cxxopts::value<std::string>());
    options.parse_positional({"action", "fingerprint"});
    options.positional_help("list | add FINGERPRINT | remove FINGERPRINT");
    add_common_options(options);
    auto const parsed = parse_arguments(options, argc, argv);
    if (auto const* code = std::get_if<int>(&parsed)) {
        return *code;
    }
    auto const& args = std::get<cxxopts::ParseResult>(parsed);
    auto const action = args["action"].as<std::string>();
    auto const host = endpoint_of(args, "host");
    auto const known =
        action == "list" || action == "add" || action == "remove";
    if (!host || !known ||
        (action != "list" && args.count("fingerprint") == 0)) {
        std::cerr << "snipemill: usage: crashes list | add FINGERPRINT | "
                     "remove FINGERPRINT --host IP:PORT\n";
        return exit_usage;
    }
    http_request request{.method = "GET", .target = "/v1/crashes"};
    if (action != "list") {
        request.method = action == "add" ? "POST" : "DELETE";
        request.target +=
            "?fingerprint=" + args["fingerprint"].as<std::string>();
    }
    auto const result = call(*host, request);
    auto const* response = std::get_if<http_response>(&result);
    if (response == nullptr || response->status != 200) {
        return report_failure(result);
    }
    std::cout << response->body << '\n';
    return exit_ok;
}

} // namespace snipemill::cli
