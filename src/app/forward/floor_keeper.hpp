#pragma once

#include "adapters/codec/host_codec.hpp"
#include "adapters/settings/forward_settings.hpp"
#include "app/forward/forward_metrics.hpp"
#include "core/forward/floor_plan.hpp"
#include "core/forward/store_freshness.hpp"
#include "core/forward/store_mirror.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace snipemill {

// Makes the calls that store_freshness decides on, for the mirrors of a host:
// current reads of the whole store when it is this host's turn, and of single
// kinds that are behind. Passes floors on to other hosts.
class floor_keeper
{
public:
    using send_callback =
        std::function<void(fleet_host const&, floor_message const&)>;

    struct options
    {
        store_port* store = nullptr;
        duration bound{};
        std::function<store_mirror const&(store_kind)> mirror;
        // Applies the events of a read to the mirror of the kind.
        std::function<void(store_kind, store_events)> on_events;
        // An answer has this era. Returns whether it may be used.
        std::function<bool(std::uint64_t)> see_era;
        // Another host has named this era, which is newer. Returns whether it
        // is the first to do so.
        std::function<bool(std::uint64_t)> hear_era;
        // The store has dropped its history.
        std::function<void(store_kind)> on_history_gone;
        send_callback send; // may be null: then floors are not passed on
    };

    floor_keeper(boost::asio::io_context& io, options o);
    floor_keeper(floor_keeper const&) = delete;
    floor_keeper& operator=(floor_keeper const&) = delete;

    // The mirrors are as old as at `as_of`, when the store had this revision.
    void start(std::uint64_t revision, time_point as_of);
    void stop();
    // The mirrors are listed again in this era.
    void enter_era(std::uint64_t era);
    void set_plan(floor_plan plan);
    // From another host.
    void on_message(floor_message const& message);
    // The mirror of the kind has changed or was confirmed.
    void on_mirror(store_kind kind);
    // See store_freshness.
    std::optional<time_point> up_to_date_at(store_kind kind) const;
    // Time for which the store may have changed without this host's knowledge.
    duration age(time_point now) const { return freshness_.age(now); }
    void report(forward_metrics& metrics) const;

private:
    // A current read of all kinds. The first kind shows whether the store has
    // changed; the others are read only then.
    struct store_read
    {
        time_point began{};
        std::uint64_t revision = 0;
        std::size_t open = 0; // calls to read the other kinds
    };

    void arm();
    void on_timer();
    void read_store();
    void on_first_kind_read(std::optional<std::uint64_t> revision);
    void read_other_kinds();
    void finish_read();
    void fail_read();
    // Whether the copy of the kind is complete and is not being read.
    bool can_read(store_kind kind) const;
    void read_kind_if_behind(store_kind kind, time_point now);
    void read_kind(store_kind kind, read_age age);
    // Calls f with the revision of the answer after its events were applied, or
    // with no value when the call has failed.
    void call(store_kind kind, read_age age,
              std::function<void(std::optional<std::uint64_t>)> f);
    void send_to(std::vector<fleet_host> const& hosts,
                 floor_message const& message);
    void send_floor(std::vector<fleet_host> const& hosts, bool pass_on);

    options options_;
    store_freshness freshness_;
    floor_plan plan_;
    boost::asio::steady_timer timer_;
    std::optional<store_read> read_;
    std::array<bool, store_kind_names.size()> kind_open_{};
    bool started_ = false;
    std::uint64_t store_reads_ = 0;
    std::uint64_t kind_reads_ = 0; // current reads of kinds that were behind
    std::uint64_t read_failures_ = 0;
};

} // namespace snipemill
