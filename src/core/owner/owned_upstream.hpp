#pragma once

#include "core/owner/deadline_queue.hpp"
#include "core/owner/owner_engine.hpp"
#include "core/owner/survived_prints.hpp"
#include "core/owner/timer_queue.hpp"
#include "core/owner/upstream_limiter.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace snipemill {

enum class ownership_role : std::uint8_t
{
    none,   // lost; kept until the requests in flight have come back
    second, // takes retries only, one at a time
    first,
};

// What a view says about one upstream.
struct upstream_listing
{
    upstream_object object;
    std::uint32_t slots = 1;
    std::uint32_t connections = 0;
    bool data_centre_in = true;

    friend bool operator==(upstream_listing const&,
                           upstream_listing const&) = default;
};

// State of one upstream in the lane of its owner.
class owned_upstream
{
public:
    owned_upstream(owner_engine_settings const& settings,
                   upstream_listing listed, timer_id timer_of_upstream);

    upstream_id id() const { return listing.object.id; }
    // The state that the view and the draining mark ask for; no value: open.
    std::optional<limiter_state> closed_state() const;
    upstream_condition condition() const;
    upstream_gauge gauge() const;

    void on_dispatched();
    void on_polled(time_point now);
    // The regular poll, or an earlier one while the upstream is used and not
    // yet warm.
    time_point poll_due() const;
    // Requests that the upstream reports beyond those that this host can have
    // had in flight when the report was made.
    std::uint32_t excess_load(std::uint32_t reported) const;

    void set_draining(time_point now);
    // A report that was asked for before the mark was set does not clear it.
    bool report_is_newer_than_mark() const;

    void set_held(std::vector<held_version> versions);
    // The upstream holds these versions and no other. Of a new one only the
    // version is known until an answer or a report tells its partitions.
    void keep_held(std::vector<index_version> const& versions);
    void note_answer(sub_answer const& answer);

    upstream_listing listing;
    ownership_role role = ownership_role::none;
    upstream_limiter limiter;
    deadline_queue queue;
    survived_prints survived;
    std::uint32_t in_flight = 0;
    std::uint64_t view_sequence = 0; // of the last view that listed it
    bool draining = false;
    // A planned handover is accepted until this time.
    time_point handover_until = time_point::min();

    bool held_known = false;
    std::vector<held_version> held;
    std::vector<index_version> held_versions; // of held, in its order

    timer_id timer = 0;
    time_point timer_at = timer_queue::never;
    time_point next_poll = timer_queue::never;

private:
    held_version* find_held(index_version version);
    void list_held_versions();

    std::optional<time_point> last_poll_;
    owner_engine_settings const* settings_;
    bool used_since_poll_ = false;
    time_point draining_since_{};
    time_point peak_since_{};
    std::uint32_t peak_ = 0;      // highest in flight since peak_since_
    std::uint32_t last_peak_ = 0; // highest in flight in the period before
};

} // namespace snipemill
