#include "adapters/logging/line_queue.hpp"
#include "adapters/logging/logger.hpp"
#include "app/forward/forward_host.hpp"
#include "cli/arguments.hpp"
#include "cli/commands.hpp"
#include "platform/platform.hpp"

#include <boost/system/system_error.hpp>

#include <malloc.h>
#include <unistd.h>

#include <cstddef>
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>

namespace snipemill::cli {

namespace {

leaf::result<forward_settings> load(std::string const& file)
{
    auto settings = load_forward_settings(file);
    if (auto* faults = std::get_if<std::vector<settings_fault>>(&settings)) {
        return leaf::new_error(
            file_faults{.file = file, .faults = std::move(*faults)});
    }
    return std::move(std::get<forward_settings>(settings));
}

// A page of a listing holds about 1 MB and one object of at most 1 MB; a watch
// that was delayed may return several versions of a large manifest.
constexpr std::size_t max_store_answer = 16 * 1024 * 1024; // bytes

// Calls to the store: a starting host makes three, a change of the store one
// for each kind.
platform_client_options const store_options{.call_timeout = from_ms(1000),
                                            .calls_per_second = 40,
                                            .burst = 60,
                                            .breaker_failures = 4,
                                            .breaker_open = from_ms(300),
                                            .breaker_max = from_ms(1000),
                                            .silence_limit = from_ms(2000),
                                            .max_answer = max_store_answer};

std::unique_ptr<store_port> make_store(boost::asio::io_context& io,
                                       listen_address const& address,
                                       std::shared_ptr<receive_budget> memory,
                                       std::function<void(bool)> on_state)
{
    auto options = store_options;
    options.ip = address.ip;
    options.port = address.port;
    options.memory = std::move(memory);
    return std::make_unique<platform::object_store>(io, options,
                                                    std::move(on_state));
}

// The C library raises this limit to the size of the blocks that are freed, and
// then keeps the memory of large messages. A constant limit returns it to the
// system.
constexpr int mapped_block = 128 * 1024; // bytes

[[noreturn]] void serve(forward_settings settings, std::string const& file)
{
    mallopt(M_MMAP_THRESHOLD, mapped_block);
    line_queue lines(STDOUT_FILENO, {});
    start_logging(log_format::json, lines);
    auto code = exit_ok;
    try {
        forward_host host(
            std::move(settings), file,
            {.make_store = make_store, .headers = &platform::headers()}, lines);
        code = host.run() ? exit_ok : exit_failed;
    }
    catch (boost::system::system_error const& e) {
        log_error("cannot_listen", {{"reason", e.what()}});
        code = exit_unavailable;
    }
    lines.flush();
    // The logging library joins a pool of threads when it stops, which can
    // take longer than a host may take to leave. Nothing is left to be
    // written, so its shutdown is skipped.
    std::quick_exit(code);
}

} // namespace

leaf::result<int> run_forward(int argc, char** argv)
{
    cxxopts::Options options("snipemill forward",
                             "Runs a host that forwards by itself.");
    options.add_options()("config", "settings file in YAML",
                          cxxopts::value<std::string>());
    BOOST_LEAF_AUTO(args, parse_arguments(options, argc, argv));
    BOOST_LEAF_AUTO(file, required(args, "config"));
    BOOST_LEAF_AUTO(settings, load(file));
    serve(std::move(settings), file);
}

leaf::result<int> run_check_forward(int argc, char** argv)
{
    cxxopts::Options options("snipemill check-forward",
                             "Checks the settings of a forwarding host.");
    options.add_options()("file", "settings file in YAML",
                          cxxopts::value<std::string>());
    options.parse_positional("file");
    options.positional_help("FILE");
    BOOST_LEAF_AUTO(args, parse_arguments(options, argc, argv));
    BOOST_LEAF_AUTO(file, required(args, "file"));
    BOOST_LEAF_CHECK(load(file));
    std::cout << file << ": correct\n";
    return exit_ok;
}

} // namespace snipemill::cli
