#include "cli/arguments.hpp"
#include "cli/commands.hpp"
#include "cli/fleet.hpp"
#include "cli/platform_access.hpp"
#include "cli/ticket_spread.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>
#include <string>
#include <thread>

namespace snipemill::cli {

namespace {

namespace json = boost::json;

constexpr auto wait_interval = std::chrono::milliseconds(100);

std::string make_nonce()
{
    std::random_device device;
    std::ostringstream out;
    out << std::hex << device() << device() << device();
    return out.str();
}

leaf::result<void> read_ticket(std::string const& file, ticket& out)
{
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        return leaf::new_error(file_faults{
            .file = file, .faults = {{0, "the file cannot be read"}}});
    }
    std::ostringstream text;
    text << in.rdbuf();
    auto parsed = parse_ticket_file(text.str());
    if (auto const* faults = std::get_if<std::vector<parse_fault>>(&parsed)) {
        file_faults found{.file = file, .faults = {}};
        for (auto const& it : *faults) {
            found.faults.push_back({it.line, it.reason});
        }
        return leaf::new_error(std::move(found));
    }
    out = std::move(std::get<ticket>(parsed));
    return {};
}

struct submission_printer
{
    output_format format;

    int operator()(ticket_accepted const& r) const
    {
        if (format == output_format::json) {
            std::cout << "{\"result\":\"accepted\",\"number\":" << r.number
                      << "}\n";
        }
        else {
            std::cout << "ticket " << r.number << " is accepted\n";
        }
        return exit_ok;
    }
    int operator()(ticket_conflict const& r) const
    {
        if (format == output_format::json) {
            std::cout << json::serialize(
                             json::object{{"result", "conflict"},
                                          {"number", r.number},
                                          {"winner", r.winner.author},
                                          {"reason", r.winner.reason}})
                      << '\n';
        }
        else {
            std::cerr << "ticket " << r.number << " is already taken by "
                      << r.winner.author << ": " << r.winner.reason << '\n';
        }
        return exit_conflict;
    }
    int operator()(ticket_invalid const& r) const
    {
        for (auto const& it : r.faults) {
            std::cerr << it.object << ": " << it.reason << '\n';
        }
        return exit_usage;
    }
    int operator()(ticket_unavailable const& r) const
    {
        std::cerr << "snipemill: the platform cannot be reached; the ticket "
                  << (r.unknown ? "may have been accepted: submit the same "
                                  "file again, its nonce makes that safe"
                                : "has not been accepted")
                  << '\n';
        return exit_unavailable;
    }
};

leaf::result<int> submit(platform_access& platform, std::string const& file,
                         std::string const& nonce, output_format format)
{
    ticket change;
    BOOST_LEAF_CHECK(read_ticket(file, change));
    if (!nonce.empty()) {
        change.nonce = nonce;
    }
    if (change.nonce.empty()) {
        change.nonce = make_nonce();
    }
    auto const result = submit_ticket(platform, std::move(change));
    return std::visit(submission_printer{format}, result);
}

void print_summary(ticket_summary const& it)
{
    std::cout << std::left << std::setw(8) << it.number << std::setw(20)
              << it.author << it.reason << '\n';
}

leaf::result<int> list(platform_access& platform)
{
    BOOST_LEAF_AUTO(read, platform.read());
    for (auto const& it : current_config(read).history) {
        print_summary(it);
    }
    return exit_ok;
}

leaf::result<int> show(platform_access& platform, std::uint64_t number)
{
    BOOST_LEAF_AUTO(read, platform.read());
    for (auto const& it : read.head.tickets) {
        if (it.number == number) {
            std::cout << write_ticket(it) << '\n';
            return exit_ok;
        }
    }
    for (auto const& it : current_config(read).history) {
        if (it.number == number) {
            print_summary(it);
            std::cout << "its objects are part of the whole state\n";
            return exit_ok;
        }
    }
    std::cerr << "snipemill: there is no ticket " << number << '\n';
    return exit_failed;
}

// Objects that a ticket file would add, change or remove.
leaf::result<int> diff(platform_access& platform, std::string const& file)
{
    ticket change;
    BOOST_LEAF_CHECK(read_ticket(file, change));
    BOOST_LEAF_AUTO(read, platform.read());
    auto const state = current_config(read);
    for (auto const& it : change.objects) {
        auto const key = object_key(it);
        auto const old = state.objects.find(key);
        if (std::holds_alternative<removed_object>(it)) {
            std::cout << "- " << key << '\n';
        }
        else if (old == state.objects.end()) {
            std::cout << "+ " << key << '\n';
        }
        else if (old->second != it) {
            std::cout << "~ " << key << '\n';
        }
    }
    return exit_ok;
}

leaf::result<int> status(endpoint const& host, std::uint64_t number,
                         output_format format)
{
    BOOST_LEAF_AUTO(fleet, fetch_fleet(host));
    print_spread(fleet, number, format);
    return exit_ok;
}

leaf::result<int> wait(endpoint const& host, std::uint64_t number,
                       std::chrono::milliseconds limit, output_format format)
{
    auto const start = std::chrono::steady_clock::now();
    for (;;) {
        BOOST_LEAF_AUTO(fleet, fetch_fleet(host));
        auto const took = std::chrono::steady_clock::now() - start;
        if (in_force_everywhere(fleet, number)) {
            std::cout << "ticket " << number << " is in force on "
                      << fleet.size() << " hosts\n";
            return exit_ok;
        }
        if (took > limit) {
            print_spread(fleet, number, format);
            return exit_not_in_force;
        }
        std::this_thread::sleep_for(wait_interval);
    }
}

leaf::result<std::uint64_t> parse_number(std::string const& text)
{
    std::uint64_t n = 0;
    auto const* last = text.data() + text.size();
    auto const result = std::from_chars(text.data(), last, n);
    if (text.empty() || result.ec != std::errc() || result.ptr != last) {
        return leaf::new_error(usage_error{"a ticket number is required"});
    }
    return n;
}

leaf::result<int> run_on_platform(cxxopts::ParseResult const& args,
                                  std::string const& action,
                                  std::string const& argument,
                                  output_format format)
{
    BOOST_LEAF_AUTO(platform, endpoint_of(args, "platform"));
    platform_access access(platform);
    if (action == "list") {
        return list(access);
    }
    if (action == "show") {
        BOOST_LEAF_AUTO(number, parse_number(argument));
        return show(access, number);
    }
    if (argument.empty()) {
        return leaf::new_error(usage_error{"a ticket file is required"});
    }
    if (action == "diff") {
        return diff(access, argument);
    }
    return submit(access, argument, args["nonce"].as<std::string>(), format);
}

leaf::result<int> run_on_host(cxxopts::ParseResult const& args,
                              std::string const& action,
                              std::string const& argument, output_format format)
{
    BOOST_LEAF_AUTO(number, parse_number(argument));
    BOOST_LEAF_AUTO(host, endpoint_of(args, "host"));
    if (action == "status") {
        return status(host, number, format);
    }
    std::chrono::milliseconds const limit(
        args["timeout-ms"].as<std::uint32_t>());
    return wait(host, number, limit, format);
}

} // namespace

leaf::result<int> run_ticket(int argc, char** argv)
{
    cxxopts::Options options("snipemill ticket",
                             "Submits and inspects change tickets.");
    options.add_options()("action", "submit, show, list, status, diff or wait",
                          cxxopts::value<std::string>()->default_value(""))(
        "argument", "a ticket file or number",
        cxxopts::value<std::string>()->default_value(""))(
        "platform", "endpoint of the platform, IP:PORT",
        cxxopts::value<std::string>())("host",
                                       "operator endpoint of any host, IP:PORT",
                                       cxxopts::value<std::string>())(
        "nonce", "submits again with the nonce of an earlier try",
        cxxopts::value<std::string>()->default_value(""))(
        "timeout-ms", "limit of wait",
        cxxopts::value<std::uint32_t>()->default_value("10000"));
    options.parse_positional({"action", "argument"});
    options.positional_help(
        "submit FILE | show N | list | status N | diff FILE | wait N");
    BOOST_LEAF_AUTO(args, parse_arguments(options, argc, argv));
    BOOST_LEAF_AUTO(format, output_of(args));
    auto const action = args["action"].as<std::string>();
    auto const argument = args["argument"].as<std::string>();
    if (action == "submit" || action == "diff" || action == "list" ||
        action == "show") {
        return run_on_platform(args, action, argument, format);
    }
    if (action == "status" || action == "wait") {
        return run_on_host(args, action, argument, format);
    }
    return leaf::new_error(usage_error{
        "the action must be submit, show, list, status, diff or wait"});
}

} // namespace snipemill::cli
