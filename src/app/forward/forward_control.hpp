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
    void leave();
    // The store works again after an outage.
    void store_returned();

private:
    struct follower
    {
        follower(boost::asio::io_context& io, store_kind k,
                 store_mirror_settings const& settings)
            : kind(k), mirror(settings), timer(io)
        {}

        store_kind kind;
        store_mirror mirror;
        boost::asio::steady_timer timer;
        duration wait{};            // of a watch
        duration pause{};           // after events, before the next watch
        std::uint32_t failures = 0; // in a row
        std::uint64_t epoch = 0;    // results of earlier calls are ignored
        bool waiting = false;       // for the timer
    };

    void call(follower& it);
    void on_listed(follower& it, std::variant<store_page, store_error> result);
    void on_watched(follower& it,
                    std::variant<store_events, store_error> result);
    // The next call comes after the pause when something changed.
    void on_done(follower& it, bool changed, duration pause);
    void on_failed(follower& it, store_error error);
    void on_history_gone();
    void call_after(follower& it, duration delay);
    duration retry_delay(std::uint32_t failures);
    void adopt(store_value const& value);
    void publish();
    void arm_expiry();
    std::vector<fleet_host> hosts_of_fleet();
    void renew();

    store_port& store_;
    publish_callback publish_;
    rng random_;
    std::array<std::unique_ptr<follower>, 4> followers_;
    fleet_host host_;
    boost::asio::steady_timer expiry_;
    boost::asio::steady_timer renewal_;
    duration longest_pause_;  // after changes of upstreams
    bool registered_ = false; // the entry has been written once
    bool leaving_ = false;
    std::shared_ptr<indexed_manifest const> current_;
};

} // namespace snipemill
