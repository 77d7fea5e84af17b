#pragma once

#include "core/base/time.hpp"
#include "ports/store_port.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace snipemill {

struct store_mirror_settings
{
    // An upstream's entry that vanishes without notice is used for this long:
    // the store drops entries while it is away, and living upstreams are back
    // about 2 s after its return.
    duration missing_hold = from_ms(2000);
    // The same after lost history, counted from the last time at which the
    // entry was known to exist; below the bound for leaving upstreams (3 s).
    duration known_hold = from_ms(2200);
};

struct list_action
{
    std::string after;
    // The first listing may be a little old, since the watch that follows
    // tells of what has changed since. One after lost history may not.
    read_age age = read_age::current;
};

struct watch_action
{
    std::uint64_t revision = 0;
};

using mirror_action = std::variant<list_action, watch_action>;

// Copy of one kind of the store's objects, kept by a list and then by watches.
// Decides which call comes next; the caller makes it and reports the result.
class store_mirror
{
public:
    explicit store_mirror(store_mirror_settings const& settings)
        : settings_(settings)
    {}

    mirror_action next() const;
    void on_page(store_page&& page, time_point now);
    void on_events(store_events&& events, time_point now);
    // failures: calls that failed in a row, this one included.
    void on_error(store_error error, std::uint32_t failures);

    // Whether the kind has been listed once.
    bool ready() const { return listed_; }
    std::uint64_t revision() const { return revision_; }
    // Drops entries whose hold is over. Returns whether there were any.
    bool expire(time_point now);
    // When the next entry's hold is over.
    std::optional<time_point> next_expiry() const;

    template <class F>
    void for_each(F f) const
    {
        for (auto const& [name, it] : entries_) {
            f(name, it.value);
        }
    }

private:
    struct mirror_entry
    {
        store_value value;
        std::uint64_t generation = 0;         // of the listing that has it
        std::optional<time_point> held_until; // missing; used until then
    };

    void put(store_entry&& entry);
    void remove(std::string const& name, time_point until);

    store_mirror_settings settings_;
    std::map<std::string, mirror_entry> entries_;
    std::string after_;
    std::uint64_t generation_ = 1;
    std::uint64_t revision_ = 0;
    std::uint64_t oldest_revision_ = 0; // of the pages of a listing
    bool listing_ = true;
    bool listed_ = false;
    bool history_lost_ = false;
    bool outage_ = false;       // since the last answer
    time_point confirmed_at_{}; // entries were known to be current until then
};

} // namespace snipemill
