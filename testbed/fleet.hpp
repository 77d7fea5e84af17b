#pragma once

#include "testbed/child_process.hpp"
#include "testbed/load.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace testbed {

// What a fleet for a test or measurement consists of. Replica r of service s
// is placed in data centre (s + r) modulo their number.
struct fleet_options
{
    std::vector<std::string> data_centres = {"colombo", "kelaniya", "gampaha"};
    std::uint32_t hosts_per_data_centre = 2;
    // Hosts in all, placed in the data centres in turn; 0: the number above in
    // each. There must be one in each data centre.
    std::uint32_t hosts = 0;
    std::string group = "stores-desk";
    std::string group_settings; // YAML members of the group, "key: value, "
    std::uint32_t services = 20;
    std::uint32_t replicas = 2;
    std::uint32_t slots = 2; // declared, and of the stand-ins
    std::uint32_t connections = 25;
    std::uint32_t upstream_threads = 2;
    std::vector<std::string> upstream_arguments; // of standin-upstream
    std::string host_settings; // further YAML sections of every host
    std::uint32_t traffic_threads = 2;
};

struct fleet_host
{
    std::string name;
    std::string data_centre;
    std::uint16_t caller_port = 0;
    std::uint16_t operator_port = 0;
    std::uint16_t peer_port = 0;
    std::unique_ptr<child_process> process; // empty while it is not running
};

// The platform's stand-in, upstreams and entry hosts on loopback.
class fleet
{
public:
    // Starts everything, submits the first ticket and waits until it is in
    // force on all hosts and every upstream has an owner.
    explicit fleet(fleet_options const& options);
    ~fleet();
    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;

    std::vector<fleet_host>& hosts() { return hosts_; }
    std::vector<std::uint16_t> const& upstream_ports() const
    {
        return upstream_ports_;
    }
    std::uint16_t platform_port() const { return platform_port_; }
    std::filesystem::path const& folder() const { return folder_; }

    // Starts a host that has been stopped, on its old ports.
    void start_host(std::size_t i);
    // Ends a host at once.
    void kill_host(std::size_t i);

    // Runs "snipemill ticket submit" on objects in YAML and returns its exit
    // code and output.
    program_result submit(std::string const& objects,
                          std::string const& author = "testbed",
                          std::string const& number = {});
    // Objects of a ticket in YAML.
    std::string data_centre_object(std::string const& name,
                                   std::string const& state) const;
    std::string upstream_object(std::size_t i, std::string const& state) const;

    // Runs the snipemill program.
    program_result run(std::vector<std::string> arguments);

    // Requests that return a JSON object; no value when there is no answer.
    std::optional<boost::json::object> host_status(std::size_t i);
    std::optional<boost::json::object> upstream_counters(std::size_t i);
    void control_upstream(std::size_t i, std::string const& body);
    void control_upstreams(std::string const& body);
    void control_platform(std::string const& body);
    std::optional<boost::json::object> platform_counters();

    // Sum of one counter over all upstreams. Waits for those that have
    // crashed to listen again; throws when one does not.
    std::uint64_t sum_upstreams(std::string const& counter);
    // Ticket in force at a host, 0 when it does not answer.
    std::uint64_t ticket_in_force(std::size_t i);
    bool ready(std::size_t i);
    // Whether all running hosts are ready with this ticket, know each other
    // and own every upstream.
    bool settled(std::uint64_t ticket);

    std::vector<load_target> caller_targets() const;
    std::vector<std::uint16_t> operator_ports() const;

private:
    void add_hosts();
    void start_platform();
    void start_upstreams();
    std::string settings_of(fleet_host const& host) const;
    std::string first_ticket() const;
    std::string address_of_upstream(std::size_t i) const;

    fleet_options options_;
    std::filesystem::path folder_;
    std::uint16_t platform_port_ = 0;
    std::vector<std::uint16_t> upstream_ports_;
    std::unique_ptr<child_process> platform_;
    std::unique_ptr<child_process> upstreams_;
    std::vector<fleet_host> hosts_;
    std::uint32_t tickets_ = 0;
};

// Calls f until it returns true; false when the time is over first.
bool wait_until(
    std::function<bool()> const& f,
    std::chrono::milliseconds limit = std::chrono::milliseconds(20'000));

// One HTTP request on loopback; the body of a 200, else no value.
std::optional<std::string> http_request_body(std::uint16_t port,
                                             std::string const& method,
                                             std::string const& target,
                                             std::string const& body = {});

} // namespace testbed
