#pragma once

#include "core/events/hybrid_clock.hpp"
#include "core/membership/member_list.hpp"
#include "core/quarantine/quarantine.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipemill {

// A membership datagram with what travels along.
struct probe_packet
{
    hybrid_time time;
    probe_message message;
    std::vector<crash_record> crashes;
};

// Sends and receives membership datagrams.
class probe_socket
{
public:
    // now gives the core's time, for the ages of crash records.
    probe_socket(boost::asio::io_context& io, std::string const& ip,
                 std::uint16_t port, std::function<time_point()> now,
                 std::function<void(probe_packet)> receive);
    ~probe_socket();
    probe_socket(probe_socket const&) = delete;
    probe_socket& operator=(probe_socket const&) = delete;

    void send(std::string const& ip, std::uint16_t port,
              probe_packet const& packet);
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;
    std::uint64_t malformed() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace snipemill
