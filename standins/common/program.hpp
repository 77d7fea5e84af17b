#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace standin {

// Prints the line that tells a test which port is ready.
void announce(std::uint16_t port);

// Runs each io_context on a thread of its own until SIGTERM or SIGINT.
void run_until_signal(
    std::vector<std::unique_ptr<boost::asio::io_context>> const& contexts);

} // namespace standin
