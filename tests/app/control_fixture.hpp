#pragma once

#include "adapters/codec/config_json.hpp"
#include "adapters/http/http_server.hpp"
#include "app/control_plane.hpp"
#include "app/core_time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace snipemill::test {

class no_lanes : public lane_group
{
public:
    void publish(std::shared_ptr<routing_view const>) override {}
    void publish(std::vector<fingerprint> const&) override {}
    void handover(std::vector<upstream_gauge> const&) override {}
    void give_up(std::shared_ptr<routing_view const>,
                 std::function<void(std::vector<upstream_gauge>)>) override
    {}
};

inline std::uint16_t free_port()
{
    using boost::asio::ip::udp;
    boost::asio::io_context io;
    udp::socket const socket(
        io, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    return socket.local_endpoint().port();
}

// The platform's object with one ticket.
inline std::string head_object()
{
    ticket const first{
        .number = 1,
        .author = "ops",
        .reason = "start",
        .nonce = "n1",
        .objects = {data_centre_object{.name = "colombo", .region = "r"}}};
    boost::json::object const out{
        {"key", "config/head"},
        {"version", 1},
        {"revision", 1},
        {"value", write_config_head({.number = 1, .tickets = {first}})}};
    return boost::json::serialize(out);
}

// The platform's list with these hosts, by name and peer port.
inline std::string
host_list(std::vector<std::pair<std::string, std::uint16_t>> const& hosts)
{
    boost::json::array list;
    for (auto const& [name, port] : hosts) {
        list.push_back(boost::json::object{{"name", name},
                                           {"data_centre", "kelaniya"},
                                           {"ip", "127.0.0.1"},
                                           {"peer_port", port},
                                           {"leaving", false}});
    }
    return boost::json::serialize(
        boost::json::object{{"hosts", std::move(list)}});
}

// A host of the membership that knows nobody else and answers probes. It is in
// another data centre, so that the host under test is a reader.
class answering_peer
{
public:
    answering_peer(boost::asio::io_context& io, event_log& events,
                   std::string name, std::uint16_t port,
                   std::chrono::milliseconds delay)
        : io_(&io), events_(&events), self_{.id = host_id(std::move(name)),
                                            .data_centre = "kelaniya",
                                            .ip = "127.0.0.1",
                                            .peer_port = port,
                                            .operator_port = 1,
                                            .incarnation = 1},
          delay_(delay),
          socket_(io, "127.0.0.1", port, core_now,
                  [this](probe_packet const& it) { on_probe(it.message); })
    {}

private:
    void on_probe(probe_message const& probe)
    {
        auto const timer =
            std::make_shared<boost::asio::steady_timer>(*io_, delay_);
        timer->async_wait([this, timer, probe](boost::system::error_code) {
            socket_.send(probe.from.ip, probe.from.peer_port,
                         {.time = events_->stamp(),
                          .message = {.kind = probe_kind::ack,
                                      .sequence = probe.sequence,
                                      .from = self_}});
        });
    }

    boost::asio::io_context* io_;
    event_log* events_;
    member_info self_;
    std::chrono::milliseconds delay_;
    probe_socket socket_;
};

// A control plane with a platform and peers, all on one thread. The platform
// answers at once with one ticket.
class control_world
{
public:
    control_world()
    {
        start_platform();
        settings.platform.port = platform->port();
    }

    // The second start takes the port of the first.
    void start_platform()
    {
        platform = std::make_unique<http_server>(
            io, http_server_options{.port = settings.platform.port},
            [this](http_request const& request, http_responder respond) {
                serve(request.target, std::move(respond));
                return std::function<void()>();
            });
    }

    void start_host()
    {
        control = std::make_unique<control_plane>(settings, events, lanes, 1);
        control->start(free_port(), 1);
    }

    void add_peer(std::string name, std::uint16_t port,
                  std::chrono::milliseconds delay = {})
    {
        peers.push_back(std::make_unique<answering_peer>(
            io, events, std::move(name), port, delay));
    }

    // Runs until f is true; false when the time is over first.
    template <class F>
    bool run_until(F f, std::chrono::milliseconds limit)
    {
        auto const end = std::chrono::steady_clock::now() + limit;
        while (!f()) {
            if (std::chrono::steady_clock::now() >= end) {
                return false;
            }
            control->io().run_for(std::chrono::milliseconds(1));
            io.restart(); // it has no work while there is no platform
            io.poll();
        }
        return true;
    }

    bool ready_within(std::chrono::milliseconds limit)
    {
        return run_until([this] { return control->ready(); }, limit);
    }

    std::size_t routed_hosts() const
    {
        return control->status().view->owners->hosts().size();
    }

    host_settings settings{.name = "self", .data_centre = "colombo"};
    event_log events{"self", 256};
    no_lanes lanes;
    boost::asio::io_context io;
    std::string hosts = host_list({}); // empty: no answer
    std::vector<http_responder> waiting;
    std::unique_ptr<http_server> platform;
    std::vector<std::unique_ptr<answering_peer>> peers;
    std::unique_ptr<control_plane> control;

private:
    void serve(std::string const& target, http_responder respond)
    {
        if (target == "/hosts" && !hosts.empty()) {
            respond({.body = hosts});
        }
        else if (target == "/objects/config%2Fhead") {
            respond({.body = head_object()});
        }
        else {
            waiting.push_back(std::move(respond)); // watches
        }
    }
};

} // namespace snipemill::test
