#pragma once

#include "core/base/name_table.hpp"
#include "fleet/test_fleet.hpp"
#include "invariant_checker.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <random>

namespace soak {

enum class fault_kind : std::uint8_t
{
    host_kill,
    host_pause,
    host_term,
    all_kill,
    store_link,
    store_down,
    store_lost,
    store_compact,
    store_restore,
    upstream_link,
    upstream_crash,
    upstream_drain,
    upstream_slow,
    upstream_fail,
    manifest_change,
    reshard,
    odd_entries
};

inline constexpr snipemill::name_table<fault_kind, 17> fault_kind_names{{
    {fault_kind::host_kill, "host_kill"},
    {fault_kind::host_pause, "host_pause"},
    {fault_kind::host_term, "host_term"},
    {fault_kind::all_kill, "all_kill"},
    {fault_kind::store_link, "store_link"},
    {fault_kind::store_down, "store_down"},
    {fault_kind::store_lost, "store_lost"},
    {fault_kind::store_compact, "store_compact"},
    {fault_kind::store_restore, "store_restore"},
    {fault_kind::upstream_link, "upstream_link"},
    {fault_kind::upstream_crash, "upstream_crash"},
    {fault_kind::upstream_drain, "upstream_drain"},
    {fault_kind::upstream_slow, "upstream_slow"},
    {fault_kind::upstream_fail, "upstream_fail"},
    {fault_kind::manifest_change, "manifest_change"},
    {fault_kind::reshard, "reshard"},
    {fault_kind::odd_entries, "odd_entries"},
}};

// Injects random faults, reproducible by the seed, and ends each after a time.
// Several faults, also of the same kind, can be active at once.
class fault_injector
{
public:
    fault_injector(boost::asio::io_context& io, test_fleet& fleet,
                   invariant_checker& checks, std::uint64_t seed);
    fault_injector(fault_injector const&) = delete;
    fault_injector& operator=(fault_injector const&) = delete;

    // Without faults, processes that exit are still restarted.
    void start(bool faults);
    // Injects no further faults. Active faults still end at their time.
    void stop();
    std::map<fault_kind, int> const& counts() const { return counts_; }

private:
    using seconds = std::chrono::duration<double>;

    void schedule_next();
    void inject(fault_kind kind);
    void run_after(seconds delay, std::function<void()> f);
    void restart_exited();

    void kill_host(host& it);
    void pause_host(host& it);
    void terminate_host(host& it);
    void set_store_link_fault(host& it);
    void set_upstream_link_fault(upstream_entry& it);
    void crash_upstream(upstream_entry& it);
    void drain_upstream(upstream_entry& it);
    void restore_store();
    void change_manifest();
    void reshard();
    void write_invalid_entries();

    double uniform(double from, double to);
    host& random_host();
    upstream_entry* random_upstream();

    boost::asio::io_context& io_;
    test_fleet& fleet_;
    invariant_checker& checks_;
    std::mt19937_64 random_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer restart_timer_;
    std::map<fault_kind, int> counts_;
    std::uint64_t next_shard_ = 100;
    bool stopped_ = false;
};

} // namespace soak
