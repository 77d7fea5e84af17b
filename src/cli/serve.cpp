#include "adapters/logging/logger.hpp"
#include "app/build_info.hpp"
#include "app/entry_host.hpp"
#include "cli/arguments.hpp"
#include "cli/commands.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/system/system_error.hpp>

#include <iostream>
#include <string>
#include <utility>

namespace snipemill::cli {

namespace {

void print_faults(std::string const& file,
                  std::vector<settings_fault> const& faults,
                  output_format format)
{
    if (format == output_format::json) {
        boost::json::array list;
        for (auto const& it : faults) {
            list.push_back(boost::json::object{
                {"file", file}, {"line", it.line}, {"reason", it.reason}});
        }
        std::cout << boost::json::serialize(
                         boost::json::object{{"faults", std::move(list)}})
                  << '\n';
        return;
    }
    for (auto const& it : faults) {
        std::cerr << file << ':' << it.line << ": " << it.reason << '\n';
    }
}

int serve(host_settings settings)
{
    start_logging(settings.log);
    auto code = exit_ok;
    try {
        entry_host host(std::move(settings));
        std::cout << "listening caller_port=" << host.caller_port()
                  << " operator_port=" << host.operator_port()
                  << " peer_port=" << host.peer_port() << std::endl;
        code = host.run() ? exit_ok : exit_failed;
    }
    catch (boost::system::system_error const& e) {
        log_error("cannot_listen", {{"reason", e.what()}});
        code = exit_unavailable;
    }
    stop_logging();
    return code;
}

} // namespace

int run_serve(int argc, char** argv)
{
    cxxopts::Options options("snipemill serve", "Runs an entry host.");
    options.add_options()("config", "settings file in YAML",
                          cxxopts::value<std::string>());
    add_common_options(options);
    auto const parsed = parse_arguments(options, argc, argv);
    if (auto const* code = std::get_if<int>(&parsed)) {
        return *code;
    }
    auto const& args = std::get<cxxopts::ParseResult>(parsed);
    if (args.count("config") == 0) {
        std::cerr << "snipemill: --config FILE is required\n";
        return exit_usage;
    }
    auto const file = args["config"].as<std::string>();
    auto settings = load_host_settings(file);
    if (auto const* faults =
            std::get_if<std::vector<settings_fault>>(&settings)) {
        print_faults(file, *faults, output_format::text);
        return exit_usage;
    }
    return serve(std::move(std::get<host_settings>(settings)));
}

int run_check_config(int argc, char** argv)
{
    cxxopts::Options options("snipemill check-config",
                             "Checks a settings file and reports every fault.");
    options.add_options()("file", "settings file in YAML",
                          cxxopts::value<std::string>());
    options.parse_positional("file");
    options.positional_help("FILE");
    add_common_options(options);
    auto const parsed = parse_arguments(options, argc, argv);
    if (auto const* code = std::get_if<int>(&parsed)) {
        return *code;
    }
    auto const& args = std::get<cxxopts::ParseResult>(parsed);
    auto const format = output_of(args);
    if (!format || args.count("file") == 0) {
        std::cerr << "snipemill: check-config needs a FILE\n";
        return exit_usage;
    }
    auto const file = args["file"].as<std::string>();
    auto const settings = load_host_settings(file);
    if (auto const* faults =
            std::get_if<std::vector<settings_fault>>(&settings)) {
        print_faults(file, *faults, *format);
        return exit_usage;
    }
    if (*format == output_format::json) {
        std::cout << "{\"faults\":[]}\n";
    }
    else {
        std::cout << file << ": correct\n";
    }
    return exit_ok;
}

int run_version(int argc, char** argv)
{
    cxxopts::Options options("snipemill version", "Prints the version.");
    add_common_options(options);
    auto const parsed = parse_arguments(options, argc, argv);
    if (auto const* code = std::get_if<int>(&parsed)) {
        return *code;
    }
    auto const format = output_of(std::get<cxxopts::ParseResult>(parsed));
    if (!format) {
        return exit_usage;
    }
    if (*format == output_format::json) {
        std::cout << "{\"version\":\"" << version() << "\"}\n";
    }
    else {
        std::cout << "snipemill " << version() << '\n';
    }
    return exit_ok;
}

} // namespace snipemill::cli
