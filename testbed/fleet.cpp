#include "testbed/fleet.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace testbed {

namespace {

namespace json = boost::json;
using namespace snipemill;

constexpr auto poll_interval = std::chrono::milliseconds(50);

std::string program(std::string const& name)
{
    return std::string(SNIPEMILL_BIN_DIR) + "/" + name;
}

std::filesystem::path make_folder()
{
    static std::atomic<int> count{0};
    auto path = std::filesystem::temp_directory_path() /
                ("snipemill-" + std::to_string(getpid()) + "-" +
                 std::to_string(++count));
    std::filesystem::create_directories(path);
    return path;
}

std::uint16_t listening_port(child_process& process)
{
    auto const line = process.read_line();
    unsigned port = 0;
    if (std::sscanf(line.c_str(), "listening on %u", &port) != 1) {
        throw std::runtime_error("unexpected line: " + line);
    }
    return static_cast<std::uint16_t>(port);
}

std::optional<json::object> get_object(std::uint16_t port,
                                       std::string const& target)
{
    auto const body = http_request_body(port, "GET", target);
    if (!body) {
        return std::nullopt;
    }
    boost::system::error_code ec;
    auto value = json::parse(*body, ec);
    if (ec || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
}

} // namespace

bool wait_until(std::function<bool()> const& f, std::chrono::milliseconds limit)
{
    auto const deadline = std::chrono::steady_clock::now() + limit;
    while (!f()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

std::optional<std::string> http_request_body(std::uint16_t port,
                                             std::string const& method,
                                             std::string const& target,
                                             std::string const& body)
{
    boost::asio::io_context io;
    http_client client(io, {.ip = "127.0.0.1", .port = port});
    std::optional<std::string> out;
    client.send({.method = method, .target = target, .body = body},
                from_ms(3000), [&](http_result const& result) {
                    auto const* response = std::get_if<http_response>(&result);
                    if (response != nullptr && response->status / 100 == 2) {
                        out = response->body;
                    }
                    io.stop();
                });
    io.run();
    return out;
}

fleet::fleet(fleet_options const& options)
    : options_(options), folder_(make_folder())
{
    start_platform();
    start_upstreams();
    add_hosts();
    auto const result = submit(first_ticket());
    if (result.code != 0) {
        throw std::runtime_error("the first ticket was refused: " +
                                 result.output);
    }
    if (!wait_until([this] { return settled(1); })) {
        throw std::runtime_error("the hosts did not settle, logs are in " +
                                 folder_.string());
    }
}

void fleet::add_hosts()
{
    auto const centres = options_.data_centres.size();
    auto const count = options_.hosts != 0
                           ? options_.hosts
                           : options_.hosts_per_data_centre * centres;
    for (std::size_t i = 0; i < centres; ++i) {
        auto const& dc = options_.data_centres[i];
        for (auto n = i; n < count; n += centres) {
            hosts_.push_back(
                {.name = dc + "-" + std::to_string(n / centres + 1),
                 .data_centre = dc});
            start_host(hosts_.size() - 1);
        }
    }
}

fleet::~fleet()
{
    // Hosts first: they talk to the others until their end.
    hosts_.clear();
    upstreams_.reset();
    platform_.reset();
    std::error_code ec;
    std::filesystem::remove_all(folder_, ec);
}

void fleet::start_platform()
{
    platform_ = std::make_unique<child_process>(
        std::vector<std::string>{program("standin-platform")},
        folder_ / "platform.log");
    platform_port_ = listening_port(*platform_);
}

void fleet::start_upstreams()
{
    auto const count = options_.services * options_.replicas;
    std::vector<std::string> arguments{
        program("standin-upstream"),
        "--count",
        std::to_string(count),
        "--replicas",
        std::to_string(options_.replicas),
        "--services",
        std::to_string(options_.services),
        "--threads",
        std::to_string(options_.upstream_threads),
        "--slots",
        std::to_string(options_.slots),
        "--connections",
        std::to_string(options_.connections)};
    arguments.insert(arguments.end(), options_.upstream_arguments.begin(),
                     options_.upstream_arguments.end());
    upstreams_ =
        std::make_unique<child_process>(arguments, folder_ / "upstreams.log");
    for (std::uint32_t i = 0; i < count; ++i) {
        upstream_ports_.push_back(listening_port(*upstreams_));
    }
}

std::string fleet::settings_of(fleet_host const& host) const
{
    std::ostringstream out;
    out << "host: {name: " << host.name << ", data_centre: " << host.data_centre
        << "}\n"
        << "listen: {caller_port: " << host.caller_port
        << ", operator_port: " << host.operator_port
        << ", peer_port: " << host.peer_port << "}\n"
        << "platform: {port: " << platform_port_ << "}\n"
        << "traffic_threads: " << options_.traffic_threads << "\n"
        << "seeds:\n";
    for (auto const& it : hosts_) {
        if (it.name != host.name && it.peer_port != 0) {
            out << "  - {ip: 127.0.0.1, peer_port: " << it.peer_port
                << ", data_centre: " << it.data_centre << "}\n";
        }
    }
    out << options_.host_settings;
    return out.str();
}

namespace {

// Empty when the program ends before it has printed a line.
std::string first_line(child_process& p)
{
    try {
        return p.read_line();
    }
    catch (std::runtime_error const&) {
        return {};
    }
}

} // namespace

void fleet::start_host(std::size_t i)
{
    auto& host = hosts_[i];
    auto const file = folder_ / (host.name + ".yaml");
    std::ofstream(file) << settings_of(host);
    std::string line;
    // While a host is down, another program's connection may be given one of
    // its ports for a moment; the host then cannot listen.
    auto const started = wait_until([&] {
        host.process = std::make_unique<child_process>(
            std::vector<std::string>{program("snipemill"), "serve", "--config",
                                     file.string()},
            folder_ / (host.name + ".log"));
        line = first_line(*host.process);
        return !line.empty();
    });
    if (!started) {
        throw std::runtime_error("the host does not start, logs are in " +
                                 folder_.string());
    }
    unsigned caller = 0;
    unsigned operators = 0;
    unsigned peer = 0;
    if (std::sscanf(line.c_str(),
                    "listening caller_port=%u operator_port=%u peer_port=%u",
                    &caller, &operators, &peer) != 3) {
        throw std::runtime_error("unexpected line: " + line);
    }
    host.caller_port = static_cast<std::uint16_t>(caller);
    host.operator_port = static_cast<std::uint16_t>(operators);
    host.peer_port = static_cast<std::uint16_t>(peer);
}

void fleet::kill_host(std::size_t i)
{
    hosts_[i].process.reset();
}

std::string fleet::address_of_upstream(std::size_t i) const
{
    return "127.0.0.1:" + std::to_string(upstream_ports_[i]);
}

std::string fleet::upstream_object(std::size_t i,
                                   std::string const& state) const
{
    auto const service = i / options_.replicas;
    auto const replica = i % options_.replicas;
    auto const& dc =
        options_
            .data_centres[(service + replica) % options_.data_centres.size()];
    std::ostringstream out;
    out << "  - {kind: upstream, id: " << i + 1 << ", name: " << options_.group
        << "-" << service + 1 << "-" << replica + 1
        << ", service: " << options_.group << "-" << service + 1
        << ", data_centre: " << dc << ", address: \"" << address_of_upstream(i)
        << "\", state: " << state << "}\n";
    return out.str();
}

std::string fleet::data_centre_object(std::string const& name,
                                      std::string const& state) const
{
    return "  - {kind: data_centre, name: " + name +
           ", region: western-province, state: " + state + "}\n";
}

std::string fleet::first_ticket() const
{
    std::ostringstream out;
    for (auto const& it : options_.data_centres) {
        out << data_centre_object(it, "in");
    }
    out << "  - {kind: group, " << options_.group_settings
        << "name: " << options_.group << "}\n";
    for (std::uint32_t i = 0; i < options_.services; ++i) {
        out << "  - {kind: service, name: " << options_.group << "-" << i + 1
            << ", group: " << options_.group << ", slots: " << options_.slots
            << ", connections: " << options_.connections << "}\n";
    }
    for (std::size_t i = 0; i < upstream_ports_.size(); ++i) {
        out << upstream_object(i, "active");
    }
    return out.str();
}

program_result fleet::submit(std::string const& objects,
                             std::string const& author,
                             std::string const& number)
{
    auto const file =
        folder_ / ("ticket-" + std::to_string(++tickets_) + ".yaml");
    std::ofstream out(file);
    if (!number.empty()) {
        out << "number: " << number << "\n";
    }
    out << "author: " << author << "\nreason: test\nobjects:\n" << objects;
    out.close();
    return run({"ticket", "submit", file.string(), "--platform",
                "127.0.0.1:" + std::to_string(platform_port_)});
}

program_result fleet::run(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), program("snipemill"));
    return run_program(std::move(arguments), folder_ / "commands.log");
}

std::optional<json::object> fleet::host_status(std::size_t i)
{
    return get_object(hosts_[i].operator_port, "/v1/status");
}

std::optional<json::object> fleet::upstream_counters(std::size_t i)
{
    return get_object(upstream_ports_[i], "/control/counters");
}

void fleet::control_upstream(std::size_t i, std::string const& body)
{
    http_request_body(upstream_ports_[i], "POST", "/control", body);
}

void fleet::control_upstreams(std::string const& body)
{
    for (std::size_t i = 0; i < upstream_ports_.size(); ++i) {
        control_upstream(i, body);
    }
}

void fleet::control_platform(std::string const& body)
{
    http_request_body(platform_port_, "POST", "/control", body);
}

std::optional<json::object> fleet::platform_counters()
{
    return get_object(platform_port_, "/control/counters");
}

std::uint64_t fleet::sum_upstreams(std::string const& counter)
{
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < upstream_ports_.size(); ++i) {
        std::optional<json::object> counters;
        // It has no listener for a time after a crash.
        if (!wait_until([&] {
                counters = upstream_counters(i);
                return counters.has_value();
            })) {
            throw std::runtime_error("upstream " + std::to_string(i + 1) +
                                     " does not report its counters");
        }
        sum += counters->at(counter).to_number<std::uint64_t>();
    }
    return sum;
}

std::uint64_t fleet::ticket_in_force(std::size_t i)
{
    auto const status = host_status(i);
    return status ? status->at("config")
                        .as_object()
                        .at("number")
                        .to_number<std::uint64_t>()
                  : 0;
}

bool fleet::ready(std::size_t i)
{
    return http_request_body(hosts_[i].operator_port, "GET", "/readyz")
        .has_value();
}

bool fleet::settled(std::uint64_t ticket)
{
    std::size_t owned = 0;
    std::size_t running = 0;
    for (auto const& it : hosts_) {
        running += it.process ? 1 : 0;
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (!hosts_[i].process) {
            continue;
        }
        auto const status = host_status(i);
        if (!status || !status->at("ready").as_bool() ||
            status->at("config")
                    .as_object()
                    .at("number")
                    .to_number<std::uint64_t>() < ticket) {
            return false;
        }
        std::size_t alive = 1;
        for (auto const& it : status->at("members").as_array()) {
            alive += it.as_object().at("state").as_string() == "alive" ? 1 : 0;
        }
        // Routing follows the member list after a pause; until then the host
        // knows no owner for upstreams of other data centres.
        auto const routed = status->at("routed_hosts").to_number<std::size_t>();
        if (alive != running || routed != running) {
            return false;
        }
        owned += status->at("upstreams").as_array().size();
    }
    return owned == upstream_ports_.size();
}

std::vector<load_target> fleet::caller_targets() const
{
    std::vector<load_target> out;
    for (auto const& it : hosts_) {
        if (it.process) {
            out.push_back({.port = it.caller_port});
        }
    }
    return out;
}

std::vector<std::uint16_t> fleet::operator_ports() const
{
    std::vector<std::uint16_t> out;
    for (auto const& it : hosts_) {
        out.push_back(it.operator_port);
    }
    return out;
}

} // namespace testbed
