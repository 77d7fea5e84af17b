#pragma once

#include "adapters/settings/forward_settings.hpp"
#include "app/forward/forward_snapshot.hpp"
#include "core/base/rng.hpp"
#include "core/forward/store_mirror.hpp"
#include "ports/store_port.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipemill {

// Follows the platform's store and publishes what is in force. Service goes on
// with the last state while the store is away.
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

    void start();
    // Removes this host's entry from the store.
    void deregister();
    // The store works again after an outage.
    void on_store_available();

private:
    struct watcher
    {
        watcher(boost::asio::io_context& io, store_kind k,
                store_mirror_settings const& settings)
            : kind(k), mirror(settings), timer(io)
        {}

        store_kind kind;
        store_mirror mirror;
        boost::asio::steady_timer timer;
        duration watch_timeout{};   // of a watch
        duration batch_delay{};     // after events, before the next watch
        std::uint32_t failures = 0; // in a row
        std::uint64_t epoch = 0;    // results of earlier calls are ignored
        bool timer_armed = false;   // for the timer
    };

    void call(watcher& it);
    void on_listed(watcher& it, std::variant<store_page, store_error> result);
    void on_watched(watcher& it,
                    std::variant<store_events, store_error> result);
    // The next call comes after the pause when something changed.
    void on_success(watcher& it, bool changed, duration batch_delay);
    void on_failure(watcher& it, store_error error);
    void on_history_gone();
    void call_after(watcher& it, duration delay);
    duration retry_delay(std::uint32_t failures);
    void apply_manifest(store_value const& value);
    void publish();
    void arm_expiry();
    std::vector<fleet_host> live_hosts();
    void renew_entry();

    store_port& store_;
    publish_callback publish_;
    rng random_;
    std::array<std::unique_ptr<watcher>, 4> watchers_;
    fleet_host host_;
    boost::asio::steady_timer expiry_timer_;
    boost::asio::steady_timer renewal_timer_;
    duration max_batch_delay_; // after changes of upstreams
    bool registered_ = false;  // the entry has been written once
    bool draining_ = false;
    std::shared_ptr<indexed_manifest const> manifest_;
};

} // namespace snipemill
