#pragma once

#include "app/forward/forward_control.hpp"
#include "support/raw_peer.hpp"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipemill::test {

// A store whose calls are answered by the test.
class scripted_store : public store_port
{
public:
    void list(store_kind kind, std::string, read_age age,
              store_callback<store_page> f) override
    {
        ++list_counts[kind];
        list_ages[kind] = age;
        on_list[kind] = std::move(f);
    }
    void watch(store_kind kind, std::uint64_t revision, duration wait,
               read_age age, store_callback<store_events> f) override
    {
        if (wait == duration::zero()) {
            reads.push_back({kind, revision, age, std::move(f)});
            return;
        }
        ++watch_counts[kind];
        watch_timeouts[kind] = wait;
        on_watch[kind] = std::move(f);
    }

    void put_host(std::string name, host_entry, bool,
                  std::function<void(bool)> f) override
    {
        put_hosts.push_back(std::move(name));
        on_put = std::move(f);
    }
    void remove_host(std::string name) override
    {
        removed_hosts.push_back(std::move(name));
    }
    void put_crash(crash_entry entry, std::function<void(bool)> f) override
    {
        put_crashes.push_back(entry);
        on_crash_change = std::move(f);
    }
    void claim_trial(crash_entry entry, std::function<void(bool)> f) override
    {
        claimed_trials.push_back(entry);
        on_claim = std::move(f);
    }
    void remove_crash(crash_entry entry, std::function<void(bool)> f) override
    {
        removed_crashes.push_back(entry);
        on_crash_change = std::move(f);
    }

    void put_rollout_status(
        rollout_entry entry,
        std::function<void(status_write, std::optional<rollout_entry>)> f)
        override
    {
        put_statuses.push_back(std::move(entry));
        on_status_put = std::move(f);
    }

    // The callback is moved out first: it makes the next call, which stores a
    // new callback.
    void complete_list(store_kind kind,
                       std::variant<store_page, store_error> result)
    {
        auto const f = std::move(on_list.at(kind));
        f(std::move(result));
    }
    void complete_watch(store_kind kind,
                        std::variant<store_events, store_error> result)
    {
        auto const f = std::move(on_watch.at(kind));
        f(std::move(result));
    }

    // A watch that does not wait.
    struct read
    {
        store_kind kind{};
        std::uint64_t revision = 0;
        read_age age{};
        store_callback<store_events> f;
    };
    void complete_read(std::variant<store_events, store_error> result)
    {
        auto const it = std::move(reads.front());
        reads.pop_front();
        it.f(std::move(result));
    }

    std::deque<read> reads;
    std::vector<std::string> put_hosts;
    std::vector<std::string> removed_hosts;
    std::function<void(bool)> on_put;
    std::vector<crash_entry> put_crashes;
    std::vector<crash_entry> removed_crashes;
    std::vector<crash_entry> claimed_trials;
    std::function<void(bool)> on_claim;
    std::function<void(bool)> on_crash_change;
    std::vector<rollout_entry> put_statuses;
    std::function<void(status_write, std::optional<rollout_entry>)>
        on_status_put;
    std::map<store_kind, int> list_counts;
    std::map<store_kind, read_age> list_ages;
    std::map<store_kind, duration> watch_timeouts;
    std::map<store_kind, int> watch_counts;
    std::map<store_kind, store_callback<store_page>> on_list;
    std::map<store_kind, store_callback<store_events>> on_watch;
};

inline store_entry manifest_entry(std::uint64_t version)
{
    auto it = std::make_shared<manifest>();
    it->version = version;
    return {.name = "main",
            .value = std::shared_ptr<manifest const>(std::move(it))};
}

struct forward_control_fixture : Utest
{
    boost::asio::io_context io;
    scripted_store store;
    forward_settings settings{.name = "h1"};
    std::shared_ptr<forward_snapshot const> last_snapshot;
    forward_control control{io, settings, store,
                            [this](auto it) { last_snapshot = std::move(it); }};

    void start()
    {
        control.start();
        store.complete_list(
            store_kind::manifests,
            store_page{.entries = {manifest_entry(5)}, .revision = 10});
        store.complete_list(store_kind::upstreams, store_page{.revision = 10});
        store.complete_list(store_kind::evacuations,
                            store_page{.revision = 10});
    }
    bool wait_list(store_kind kind, int n)
    {
        return run_until(io, [&] { return store.list_counts[kind] == n; });
    }
    bool wait_read()
    {
        return run_until(io, [&] { return !store.reads.empty(); });
    }
    bool wait_watch(store_kind kind, int n)
    {
        return run_until(io, [&] { return store.watch_counts[kind] == n; });
    }
};

} // namespace snipemill::test
