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

leaf::result<int> run_status(int argc, char** argv)
{
    cxxopts::Options options("snipemill status",
                             "Shows the state of the fleet.");
    options.add_options()("host", "operator endpoint of any host, IP:PORT",
                          cxxopts::value<std::string>());
    BOOST_LEAF_AUTO(args, parse_arguments(options, argc, argv));
    BOOST_LEAF_AUTO(format, output_of(args));
    BOOST_LEAF_AUTO(host, endpoint_of(args, "host"));
    BOOST_LEAF_AUTO(fleet, fetch_fleet(host));
    if (format == output_format::json) {
        print_json(fleet);
    }
    else {
        print_fleet(fleet);
    }
    return exit_ok;
}

} // namespace snipemill::cli
