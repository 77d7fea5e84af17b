#include "common/program.hpp"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <thread>

namespace standin {

void announce(std::uint16_t port)
{
    std::cout << "listening on " << port << std::endl;
}

void run_until_signal(
    std::vector<std::unique_ptr<boost::asio::io_context>> const& contexts)
{
    boost::asio::signal_set signals(*contexts.front(), SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) {
        for (auto const& it : contexts) {
            it->stop();
        }
    });
    std::vector<std::jthread> threads;
    threads.reserve(contexts.size());
    for (auto const& it : contexts) {
        threads.emplace_back([&io = *it] { io.run(); });
    }
}

} // namespace standin
