#pragma once

#include "fleet/documents.hpp"
#include "fleet/fault_proxy.hpp"
#include "fleet/store.hpp"
#include "fleet/upstream.hpp"
#include "testbed/child_process.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace soak {

using standin::manifest_state;
using standin::single_service;
using standin::steady_time;

// Program, folder, seed and sizes of the fleet under test.
struct fleet_options
{
    std::string program; // path of snipemill
    std::filesystem::path folder;
    std::uint64_t seed = 1;
    std::size_t hosts = 14; // above 12, hosts use relays for fan-out queries
    std::size_t shards = 6;
    std::size_t replicas = 2;
    std::string extra_settings; // lines of the settings file of each host
    std::size_t memory_mb = 0; // of each host; 0: not stated
};

// One host: a process of the program under test.
struct host
{
    std::string name;
    std::string data_centre;
    std::uint16_t caller_port = 0;
    std::uint16_t readiness_port = 0;
    std::filesystem::path settings;
    std::filesystem::path log;
    std::unique_ptr<standin::fault_proxy> store_proxy; // between host and store
    std::optional<testbed::child_process> process;
    bool paused = false;
    bool draining = false;       // SIGTERM was sent
    steady_time last_fault_at{}; // on the host or its links
    steady_time started{};
    unsigned starts = 0;
};

// One upstream: a stand-in server, reached through a proxy. Both are null after
// the upstream has stopped.
struct upstream_entry
{
    std::unique_ptr<standin::upstream> server;
    std::unique_ptr<standin::fault_proxy> proxy;
    std::string instance;
    std::string data_centre;
    bool draining = false;
    steady_time draining_since{}; // time at which the state was stored
    bool stopped = false;
};

// The hosts under test with a stand-in store and stand-in upstreams, all on
// loopback.
class test_fleet
{
public:
    test_fleet(boost::asio::io_context& io, fleet_options options);
    test_fleet(test_fleet const&) = delete;
    test_fleet& operator=(test_fleet const&) = delete;

    void start_host(host& it);
    // Kills the process. start_host() starts it again.
    void kill_process(host& it);
    void publish(manifest_state next);
    void add_upstream(std::string const& service, std::size_t number);
    void start_drain(upstream_entry& it);
    // Stops the server at once. Its entry stays in the store until the caller
    // removes it.
    void stop_upstream(upstream_entry& it);
    void remove_entry(upstream_entry const& it);
    // Writes the newest manifest and the entries of the upstreams that run,
    // after the store has lost writes.
    void write_again();
    // Removes the entries of upstreams that have stopped.
    void remove_stopped_entries();

    // Sets what ends an upstream that has run a crashing request.
    void on_crash(std::function<void(upstream_entry&, std::string const&)> f)
    {
        on_crash_ = std::move(f);
    }

    // Sets last_store_fault() to now. To be called when a fault of the store
    // begins and when it ends.
    void record_store_fault();
    steady_time last_store_fault() const { return last_store_fault_; }

    fleet_options const& options() const { return options_; }
    standin::store& store() { return store_; }
    standin::run_log& runs() { return runs_; }
    std::vector<std::unique_ptr<host>>& hosts() { return hosts_; }
    std::vector<std::unique_ptr<upstream_entry>>& upstreams()
    {
        return upstreams_;
    }
    manifest_state const& manifest() const { return manifests_.back(); }
    std::vector<manifest_state> const& manifests() const { return manifests_; }
    steady_time published_at() const { return published_at_; }

private:
    void add_host(std::size_t number);
    void write_settings(host const& it, std::uint16_t metrics,
                        std::uint16_t relay, double cores) const;
    void register_upstream(upstream_entry const& it);
    void crash(std::string const& instance, std::string const& id);

    boost::asio::io_context& io_;
    fleet_options options_;
    standin::store store_;
    standin::run_log runs_;
    std::vector<std::unique_ptr<host>> hosts_;
    std::vector<std::unique_ptr<upstream_entry>> upstreams_;
    std::vector<manifest_state> manifests_;
    steady_time published_at_{};
    steady_time last_store_fault_{};
    std::uint64_t next_instance_ = 1;
    std::function<void(upstream_entry&, std::string const&)> on_crash_;
};

// Name of the service of shard n.
inline std::string shard_name(std::size_t n)
{
    return "shard-" + std::to_string(n);
}

} // namespace soak
