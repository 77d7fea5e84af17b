#include "common/program.hpp"
#include "platform/platform.hpp"

#include <cxxopts.hpp>

#include <exception>
#include <iostream>

namespace {

int run(int argc, char** argv)
{
    cxxopts::Options options("standin-platform",
                             "Stand-in for the platform's object API");
    standin::platform_options settings;
    options.add_options()("port", "port to listen on, 0 for a free one",
                          cxxopts::value(settings.port))(
        "writes-per-s", "writes allowed per second, 0 for no limit",
        cxxopts::value(settings.writes_per_s))(
        "reads-per-s", "reads allowed per second, 0 for no limit",
        cxxopts::value(settings.reads_per_s))("help", "print this text");
    if (options.parse(argc, argv).count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    std::vector<std::unique_ptr<boost::asio::io_context>> contexts;
    contexts.push_back(std::make_unique<boost::asio::io_context>(1));
    standin::platform server(*contexts.front(), settings);
    standin::announce(server.port());
    standin::run_until_signal(contexts);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    }
    catch (std::exception const& e) {
        std::cerr << "standin-platform: " << e.what() << '\n';
        return 1;
    }
}
