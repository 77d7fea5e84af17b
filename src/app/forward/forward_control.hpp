#pragma once

#include "adapters/settings/forward_settings.hpp"
#include "app/forward/floor_keeper.hpp"
#include "app/forward/forward_snapshot.hpp"
#include "app/forward/rollout_control.hpp"
#include "core/base/rng.hpp"
#include "core/forward/store_era.hpp"
#include "core/forward/store_mirror.hpp"
#include "ports/store_port.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace snipemill {

// Mirrors the platform's store and publishes a snapshot after each change.
// While the store is unavailable, the host serves from the last snapshot.
class forward_control
{
public:
    using publish_callback =
        std::function<void(std::shared_ptr<forward_snapshot const>)>;

    forward_control(boost::asio::io_context& io,
                    forward_settings const& settings, store_port& store,
                    publish_callback publish);
    forward_control(forward_control const&) = delete;
    forward_control& operator=(forward_control const&) = delete;

    // Sets how floors of the store reach other hosts. Before start().
    void pass_floors_with(floor_keeper::send_callback f)
    {
        send_floor_ = std::move(f);
    }
    void start();
    // A floor that another host has sent.
    void on_floor(floor_message const& message) { floors_.on_message(message); }
    // Null when rollouts are not carried out.
    rollout_control* rollouts() { return rollouts_.get(); }
    void report(forward_metrics& metrics) const;
    // Removes this host's entry from the store.
    void deregister();
    // Writes an entry to the store or removes it, and tries again until the
    // store has done so.
    void save_crash(crash_entry const& entry) { change_crash(entry, true); }
    void clear_crash(crash_entry const& entry) { change_crash(entry, false); }
    // Creates the entry of a trial, once. The callback tells whether the store
    // has confirmed that.
    void claim_trial(crash_entry const& entry, std::function<void(bool)> f);
    // Sends delayed calls at once when the store is available again.
    void on_store_available();

private:
    // Lists and watches the entries of one kind.
    struct watcher
    {
        watcher(boost::asio::io_context& io, store_kind k,
                store_mirror_settings const& settings)
            : kind(k), mirror(settings), timer(io)
        {}

        store_kind kind;
        store_mirror mirror;
        boost::asio::steady_timer timer;
        duration watch_timeout{};
        duration batch_delay{};     // from events to the next watch
        std::uint32_t failures = 0; // consecutive
        std::uint64_t epoch = 0;    // results of earlier epochs are ignored
        bool timer_armed = false;
    };

    // A change of a crash entry that the store has not confirmed.
    struct crash_change
    {
        crash_entry entry;
        bool add = true;
        bool sent = false; // a call is under way
    };

    // A confirmed change of a crash entry, made again when the store has lost
    // it in a restore.
    struct kept_crash_change
    {
        crash_entry entry;
        bool add = true;
        bool shown = false; // the store has shown the change
        time_point confirmed_at{};
    };

    floor_keeper::options floor_options(forward_settings const& settings);
    watcher& watcher_of(store_kind kind);
    // Applies events that the floor_keeper has read.
    void on_read(store_kind kind, store_events events);
    void plan_floors_for(std::vector<fleet_host> const& hosts);
    // Makes the first calls of all kinds but the manifests.
    void start_other_kinds();
    void call(watcher& it);
    void on_listed(watcher& it, std::variant<store_page, store_error> result);
    void on_watched(watcher& it,
                    std::variant<store_events, store_error> result);
    // Publishes a change and delays the next call by batch_delay.
    void on_success(watcher& it, bool changed, duration batch_delay);
    void on_failure(watcher& it, store_error error);
    // Logs entries that are used although they have just gone missing.
    void log_held(watcher& it);
    void on_history_gone();
    // An answer of the store has this era. Lists every kind again when it is a
    // newer one. Returns whether the answer may be used in the present era.
    bool see_era(std::uint64_t era);
    // The same for an answer to the watcher's own call, which is of no use
    // either when it has caused a new listing.
    bool use_answer(watcher& it, std::uint64_t era);
    // Another host has named a newer era. Returns whether it did so first.
    bool hear_era(std::uint64_t era);
    void enter_era(std::uint64_t era);
    void list_again(watcher& it);
    void call_after(watcher& it, duration delay);
    duration retry_delay(std::uint32_t failures);
    void apply_manifest(store_value const& value);
    void publish();
    void arm_expiry();
    std::vector<fleet_host> live_hosts();
    void renew_entry();
    void restore_entry();
    void change_crash(crash_entry const& entry, bool add);
    void send_crash_change(crash_entry const& entry);
    void send_crash_changes();
    void keep_crash_change(crash_entry const& entry, bool add);
    void compare_crashes(std::int64_t oldest_ms);
    // Whether entries of the kind are followed.
    bool follows(store_kind kind) const;
    void set_versions(forward_snapshot& out);
    std::vector<crash_entry> live_crashes(std::vector<fleet_host> const& hosts);

    store_port& store_;
    publish_callback publish_;
    rng random_;
    std::uint64_t key_seed_; // of the index of account keys
    // One for each kind, in the order of store_kind_names.
    std::array<std::unique_ptr<watcher>, store_kind_names.size()> watchers_;
    fleet_host host_;
    boost::asio::steady_timer expiry_timer_;
    boost::asio::steady_timer renewal_timer_;
    std::vector<crash_change> crash_changes_;
    std::vector<kept_crash_change> kept_crash_changes_;
    boost::asio::steady_timer crash_timer_;
    duration max_batch_delay_;  // for upstreams
    bool registered_ = false;   // this host's entry has been written
    time_point listed_until_{}; // by the last written entry
    bool entry_seen_ = false;   // the store has shown this host's entry
    store_era era_;
    // The store was restored, and its list of the kind is still to be compared
    // with what this host has written.
    bool entry_to_compare_ = false;
    bool crashes_to_compare_ = false;
    bool started_all_kinds_ = false;
    bool draining_ = false;
    std::shared_ptr<indexed_manifest const> manifest_;
    time_point listing_began_{};            // of the manifests
    std::vector<fleet_host> planned_hosts_; // of the last floor_plan
    floor_keeper::send_callback send_floor_;
    floor_keeper floors_;
    std::unique_ptr<rollout_control> rollouts_;
};

} // namespace snipemill
