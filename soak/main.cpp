#include "fault_injector.hpp"
#include "fleet/test_fleet.hpp"
#include "invariant_checker.hpp"
#include "load_generator.hpp"

#include <cxxopts.hpp>

#include <filesystem>
#include <iostream>
#include <string>

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time for all hosts to become ready before the load starts.
constexpr seconds startup_time{6};

// Time after the last injected fault in which service must recover.
constexpr seconds recovery_time{12};

// Lowest accepted ratio of requests with status 200 after the recovery, and the
// time over which the ratio is measured.
constexpr double min_served_ratio = 0.97;
constexpr seconds measured_time{4};

constexpr milliseconds check_interval{100};

struct soak_run
{
    explicit soak_run(soak::fleet_options const& options)
        : fleet(io, options), checks(fleet),
          load(io, fleet, checks, options.seed),
          faults(io, fleet, checks, options.seed + 1)
    {}

    void run_for(std::chrono::duration<double> time)
    {
        auto const end =
            std::chrono::steady_clock::now() +
            std::chrono::duration_cast<std::chrono::nanoseconds>(time);
        while (std::chrono::steady_clock::now() < end) {
            io.run_for(check_interval);
            checks.check_draining(std::chrono::steady_clock::now());
        }
    }

    int run(double duration, bool inject)
    {
        run_for(startup_time);
        load.start();
        faults.start(inject);
        run_for(std::chrono::duration<double>(duration));
        faults.stop();
        load.stop_crashing();
        run_for(recovery_time);
        auto const completed = checks.completed();
        auto const served = checks.served();
        run_for(measured_time);
        auto const served_ratio =
            static_cast<double>(checks.served() - served) /
            static_cast<double>(checks.completed() - completed + 1);
        if (served_ratio < min_served_ratio) {
            checks.report_violation(
                "ratio of served requests after the recovery is " +
                std::to_string(served_ratio) + ", which is too low");
        }
        load.stop();
        run_for(seconds(2)); // open requests end by the client's 1.5 s time-out
        checks.finish();
        for (auto const& [kind, n] : faults.counts()) {
            std::cout << snipemill::name_of(soak::fault_kind_names, kind) << '='
                      << n << ' ';
        }
        std::cout << "\nrequests " << checks.completed() << ", served "
                  << checks.served() << ", violations "
                  << checks.violations().size() << '\n';
        return checks.violations().empty() ? 0 : 1;
    }

    boost::asio::io_context io;
    soak::test_fleet fleet;
    soak::invariant_checker checks;
    soak::load_generator load;
    soak::fault_injector faults;
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("snipemill-soak",
                             "Runs hosts under random faults and checks what "
                             "callers and upstreams see.");
    options.add_options()("program", "path of the snipemill program",
                          cxxopts::value<std::string>())(
        "folder", "folder for settings and logs",
        cxxopts::value<std::string>())(
        "seed", "seed of load and faults",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "hosts", "number of host processes",
        cxxopts::value<std::size_t>()->default_value("14"))(
        "seconds", "duration of load with faults, in seconds",
        cxxopts::value<double>()->default_value("20"))(
        "calm", "no faults but requests that crash upstreams")(
        "help", "print this help");
    auto const args = options.parse(argc, argv);
    if (args.count("help") > 0 || args.count("program") == 0 ||
        args.count("folder") == 0) {
        std::cout << options.help();
        return args.count("help") > 0 ? 0 : 2;
    }
    std::filesystem::path const folder = args["folder"].as<std::string>();
    std::filesystem::create_directories(folder);
    soak_run run({.program = args["program"].as<std::string>(),
                  .folder = folder,
                  .seed = args["seed"].as<std::uint64_t>(),
                  .hosts = args["hosts"].as<std::size_t>()});
    return run.run(args["seconds"].as<double>(), args.count("calm") == 0);
}
