#include "fleet/test_fleet.hpp"

#include "platform/names.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

#include <fstream>
#include <utility>

namespace soak {

namespace asio = boost::asio;
namespace names = snipemill::platform::names;
using asio::ip::tcp;

namespace {

// Host ports lie below the range that the system uses for outgoing connections.
// Otherwise such a connection could take the port of a host while the host
// restarts. The search starts at a port derived from the process id, so that
// concurrent runs use different ports.
constexpr unsigned first_port = 10'000;
constexpr unsigned port_span = 20'000;
constexpr unsigned ports_per_run = 100;

std::vector<std::uint16_t> free_ports(asio::io_context& io, std::size_t n)
{
    static unsigned next =
        static_cast<unsigned>(getpid()) * ports_per_run % port_span;
    std::vector<std::uint16_t> out;
    while (out.size() < n) {
        auto const port =
            static_cast<std::uint16_t>(first_port + next++ % port_span);
        boost::system::error_code ec;
        tcp::acceptor probe(io);
        probe.open(tcp::v4(), ec);
        probe.bind({asio::ip::address_v4::loopback(), port}, ec);
        if (!ec) {
            out.push_back(port);
        }
    }
    return out;
}

tcp::endpoint local(std::uint16_t port)
{
    return {asio::ip::address_v4::loopback(), port};
}

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

test_fleet::test_fleet(asio::io_context& io, fleet_options options)
    : io_(io), options_(std::move(options)), store_(io)
{
    manifest_state first{.version = 2};
    for (std::size_t i = 0; i < options_.shards; ++i) {
        first.shards.insert(shard_name(i));
    }
    publish(first);
    for (std::size_t i = 0; i < options_.shards; ++i) {
        for (std::size_t j = 0; j < options_.replicas; ++j) {
            add_upstream(shard_name(i), j);
        }
    }
    for (std::size_t j = 0; j < options_.replicas + 1; ++j) {
        add_upstream(single_service, j);
    }
    for (std::size_t i = 0; i < options_.hosts; ++i) {
        add_host(i);
    }
}

void test_fleet::add_host(std::size_t number)
{
    auto it = std::make_unique<host>();
    it->name = "h" + std::to_string(number);
    it->data_centre = number % 2 == 0 ? "a" : "b";
    auto const ports = free_ports(io_, 4);
    it->caller_port = ports[0];
    it->readiness_port = ports[1];
    it->settings = options_.folder / (it->name + ".yaml");
    it->log = options_.folder / (it->name + ".log");
    it->store_proxy =
        std::make_unique<standin::fault_proxy>(io_, local(store_.port()));
    // The first two hosts of each data centre have enough cores to be relays.
    write_settings(*it, ports[2], ports[3], number < 4 ? 0.5 : 0.12);
    start_host(*it);
    hosts_.push_back(std::move(it));
}

void test_fleet::write_settings(host const& it, std::uint16_t metrics,
                                std::uint16_t relay, double cores) const
{
    auto const memory =
        options_.memory_mb > 0
            ? ", memory_mb: " + std::to_string(options_.memory_mb)
            : std::string();
    std::ofstream(it.settings)
        << "host: {name: " << it.name << ", data_centre: " << it.data_centre
        << ", cores: " << cores << memory << "}\nlisten:\n  callers: \""
        << address(it.caller_port) << "\"\n  readiness: \""
        << address(it.readiness_port) << "\"\n  metrics: \"" << address(metrics)
        << "\"\n  relay: \"" << address(relay) << "\"\nstore: {address: \""
        << address(it.store_proxy->port()) << "\"}\n"
        << options_.extra_settings;
}

void test_fleet::start_host(host& it)
{
    it.process.emplace(std::vector<std::string>{options_.program, "forward",
                                                "--config",
                                                it.settings.string()},
                       std::string(), it.log.string());
    it.started = std::chrono::steady_clock::now();
    it.last_fault_at = it.started;
    it.paused = false;
    it.draining = false;
    ++it.starts;
}

void test_fleet::kill_process(host& it)
{
    it.process.reset();
    it.last_fault_at = std::chrono::steady_clock::now();
}

void test_fleet::publish(manifest_state next)
{
    store_.put(names::manifests, names::newest_manifest,
               standin::manifest_document(next));
    published_at_ = std::chrono::steady_clock::now();
    manifests_.push_back(std::move(next));
}

void test_fleet::add_upstream(std::string const& service, std::size_t number)
{
    auto it = std::make_unique<upstream_entry>();
    auto const n = next_instance_++;
    auto const instance = "i-" + std::to_string(n);
    it->server = std::make_unique<standin::upstream>(
        io_,
        standin::upstream_options{.instance = instance,
                                  .service = service,
                                  .on_crash =
                                      [this, instance](std::string const& id) {
                                          crash(instance, id);
                                      }},
        runs_, options_.seed * 1000 + n);
    it->proxy =
        std::make_unique<standin::fault_proxy>(io_, local(it->server->port()));
    it->instance = instance;
    it->data_centre = number % 2 == 0 ? "a" : "b";
    register_upstream(*it);
    upstreams_.push_back(std::move(it));
}

void test_fleet::register_upstream(upstream_entry const& it)
{
    auto const& o = it.server->options();
    store_.put(names::upstreams, o.instance,
               standin::upstream_document(o, address(it.proxy->port()),
                                          it.data_centre, it.draining));
}

void test_fleet::crash(std::string const& instance, std::string const& id)
{
    for (auto const& it : upstreams_) {
        if (!it->stopped && it->server->options().instance == instance) {
            on_crash_(*it, id);
            return;
        }
    }
}

void test_fleet::start_drain(upstream_entry& it)
{
    it.draining = true;
    it.draining_since = std::chrono::steady_clock::now();
    register_upstream(it);
}

void test_fleet::stop_upstream(upstream_entry& it)
{
    it.stopped = true;
    it.proxy.reset();
    it.server.reset();
}

void test_fleet::remove_entry(upstream_entry const& it)
{
    if (it.server) {
        store_.remove(names::upstreams, it.server->options().instance);
    }
}

void test_fleet::write_again()
{
    store_.put(names::manifests, names::newest_manifest,
               standin::manifest_document(manifest()));
    for (auto const& it : upstreams_) {
        if (!it->stopped) {
            register_upstream(*it);
        }
    }
}

void test_fleet::remove_stopped_entries()
{
    for (auto const& it : upstreams_) {
        if (it->stopped) {
            store_.remove(names::upstreams, it->instance);
        }
    }
}

void test_fleet::record_store_fault()
{
    last_store_fault_ = std::chrono::steady_clock::now();
}

} // namespace soak
