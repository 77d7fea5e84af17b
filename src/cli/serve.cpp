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

void print_faults_json(std::string const& file,
                       std::vector<settings_fault> const& faults)
{
    boost::json::array list;
    for (auto const& it : faults) {
        list.push_back(boost::json::object{
            {"file", file}, {"line", it.line}, {"reason", it.reason}});
    }
    std::cout << boost::json::serialize(
                     boost::json::object{{"faults", std::move(list)}})
              << '\n';
}

leaf::result<host_settings> load(std::string const& file)
{
    auto settings = load_host_settings(file);
    if (auto* faults = std::get_if<std::vector<settings_fault>>(&settings)) {
        return leaf::new_error(
            file_faults{.file = file, .faults = std::move(*faults)});
    }
    return std::move(std::get<host_settings>(settings));
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

leaf::result<int> run_serve(int argc, char** argv)
{
    cxxopts::Options options("snipemill serve", "Runs an entry host.");
    options.add_options()("config", "settings file in YAML",
                          cxxopts::value<std::string>());
    BOOST_LEAF_AUTO(args, parse_arguments(options, argc, argv));
    BOOST_LEAF_AUTO(file, required(args, "config"));
    BOOST_LEAF_AUTO(settings, load(file));
    return serve(std::move(settings));
}

leaf::result<int> run_check_config(int argc, char** argv)
{
    cxxopts::Options options("snipemill check-config",
                             "Checks a settings file and reports every fault.");
    options.add_options()("file", "settings file in YAML",
                          cxxopts::value<std::string>());
    options.parse_positional("file");
    options.positional_help("FILE");
    BOOST_LEAF_AUTO(args, parse_arguments(options, argc, argv));
    BOOST_LEAF_AUTO(format, output_of(args));
    BOOST_LEAF_AUTO(file, required(args, "file"));
    if (format == output_format::text) {
        BOOST_LEAF_CHECK(load(file));
        std::cout << file << ": correct\n";
        return exit_ok;
    }
    auto const settings = load_host_settings(file);
    auto const* faults = std::get_if<std::vector<settings_fault>>(&settings);
    print_faults_json(file, faults ? *faults : std::vector<settings_fault>());
    return faults ? exit_usage : exit_ok;
}

leaf::result<int> run_version(int argc, char** argv)
{
    cxxopts::Options options("snipemill version", "Prints the version.");
    BOOST_LEAF_AUTO(args, parse_arguments(options, argc, argv));
    BOOST_LEAF_AUTO(format, output_of(args));
    if (format == output_format::json) {
        std::cout << "{\"version\":\"" << version() << "\"}\n";
    }
    else {
        std::cout << "snipemill " << version() << '\n';
    }
    return exit_ok;
}

} // namespace snipemill::cli
