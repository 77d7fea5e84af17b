#include "cli/commands.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <array>
#include <iostream>
#include <string_view>

namespace {

using namespace snipemill::cli;
namespace leaf = boost::leaf;

struct command
{
    std::string_view name;
    leaf::result<int> (*run)(int argc, char** argv);
    std::string_view summary;
};

constexpr std::array<command, 11> commands{{
    {"serve", run_serve, "run an entry host"},
    {"check-config", run_check_config, "check a settings file"},
    {"forward", run_forward, "run a host that forwards by itself"},
    {"check-forward", run_check_forward, "check a forwarding host's settings"},
    {"query", run_query, "send a query to an entry host"},
    {"submit", run_submit, "send a request that may not be repeated"},
    {"status", run_status, "show the state of the fleet"},
    {"ticket", run_ticket, "submit and inspect change tickets"},
    {"timeline", run_timeline, "show the events of all hosts in order"},
    {"crashes", run_crashes, "list and edit refused fingerprints"},
    {"version", run_version, "print the version"},
}};

void print_usage(std::ostream& out)
{
    out << "usage: snipemill COMMAND [OPTIONS]\n\ncommands:\n";
    for (auto const& it : commands) {
        out << "  " << it.name
            << std::string_view("                ", 16 - it.name.size())
            << it.summary << '\n';
    }
    out << "\nsnipemill COMMAND --help describes the options of a command.\n";
}

// Runs a command; prints its failure and returns the exit code.
int run(command const& it, int argc, char** argv)
{
    return leaf::try_handle_all(
        [&] { return it.run(argc, argv); },
        [](help_requested const& e) {
            std::cout << e.text;
            return exit_ok;
        },
        [](usage_error const& e) {
            std::cerr << "snipemill: " << e.reason << '\n';
            return exit_usage;
        },
        [](file_faults const& e) {
            for (auto const& fault : e.faults) {
                std::cerr << e.file << ':' << fault.line << ": " << fault.reason
                          << '\n';
            }
            return exit_usage;
        },
        [](request_refused const& e) {
            std::cerr << e.body << '\n';
            return exit_failed;
        },
        [](no_answer const& e) {
            std::cerr << "snipemill: no answer from " << e.endpoint << " ("
                      << (e.sent ? "the request may have run"
                                 : "the request did not run")
                      << ")\n";
            return exit_unavailable;
        },
        [](platform_unreadable const&) {
            std::cerr << "snipemill: the platform cannot be read\n";
            return exit_unavailable;
        },
        [] {
            std::cerr << "snipemill: unexpected failure\n";
            return exit_failed;
        });
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2) {
        print_usage(std::cerr);
        return exit_usage;
    }
    std::string_view const name = argv[1];
    if (name == "--help" || name == "-h" || name == "help") {
        print_usage(std::cout);
        return exit_ok;
    }
    for (auto const& it : commands) {
        if (it.name == name) {
            return run(it, argc - 1, argv + 1);
        }
    }
    std::cerr << "snipemill: unknown command '" << name << "'\n";
    print_usage(std::cerr);
    return exit_usage;
}
