#pragma once

#include "core/base/time.hpp"
#include "ports/store_port.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace snipemill {

struct store_mirror_settings
{
    // Time for which an upstream is still used after its entry has disappeared
    // although the entry did not say that the upstream is draining: the store
    // drops entries during an outage, and running upstreams have registered
    // again about 2 s after the store is back.
    duration missing_hold = from_ms(2000);
    // Longest such time when the store was available throughout, counted from
    // the last time at which the store certainly had the entry: below the bound
    // of 3 s after which a stopped upstream may get no more requests.
    duration use_after_up_to_date = from_ms(2250);
    // Time for which the entry of a host is kept after the listing of a
    // restored store that lacks it. A host counts on being in the lists of the
    // others until its entry expires, also when it is cut off from the store.
    duration missing_host_hold = from_ms(180'000);
};

struct list_action
{
    std::string after; // last name of the previous page; empty: first page
    // The first listing may be slightly outdated, unless it turns out to be
    // older than the required revision. A listing after lost history has to be
    // current.
    read_age age = read_age::current;
};

struct watch_action
{
    std::uint64_t revision = 0;
};

using mirror_action = std::variant<list_action, watch_action>;

// An entry that is used although the store does not have it any more.
struct held_entry
{
    std::string name;
    time_point until{};
};

// Local copy of all objects of one kind in the store, kept up to date by a list
// and then by watches. Decides which call comes next; the caller makes the call
// and reports the result.
class store_mirror
{
public:
    explicit store_mirror(store_mirror_settings const& settings)
        : settings_(settings)
    {}

    mirror_action next_action() const;
    // up_to_date_at: latest time at which this copy was up to date, as far as
    // that is known and the store was available since; see store_freshness.
    void on_page(store_page&& page, time_point now,
                 std::optional<time_point> up_to_date_at = {});
    // Events after any revision that this copy has had. An answer that ends
    // before this copy's revision is ignored: an outdated watch may answer
    // after a current one.
    void on_events(store_events&& events, time_point now,
                   std::optional<time_point> up_to_date_at = {});
    // The store was restored from an older copy: revisions count from there,
    // and all is listed again. Returns false when the first page of a current
    // listing is awaited, which serves for that.
    bool enter_era(std::uint64_t era);
    // The era of the first answer, which begins nothing new.
    void start_in_era(std::uint64_t era) { era_ = era; }
    // failures: consecutive failed calls, including this one.
    void on_error(store_error error, std::uint32_t failures);

    // A first listing that is older than this revision is followed by a current
    // one: an outdated copy may contain upstreams and lack evacuations that
    // this process knew otherwise before a restart.
    void require_revision(std::uint64_t revision)
    {
        required_revision_ = revision;
    }
    // Whether a listing has completed that is recent enough, or the store has
    // failed to give one.
    bool ready() const { return listed_; }
    std::uint64_t revision() const { return revision_; }
    // No entry has changed from this revision on, as far as this copy knows.
    std::uint64_t changed_revision() const { return changed_revision_; }
    // Whether the copy is complete and no listing is under way.
    bool listed() const { return listed_ && !listing_; }
    // Grows with each listing.
    std::uint64_t listing_number() const { return generation_; }
    std::uint64_t era() const { return era_; }
    // Removes entries whose hold time is over. Returns whether there were any.
    bool expire(time_point now);
    // Earliest end of a hold time.
    std::optional<time_point> next_expiry() const;
    // Entries that have gone missing and are held since the last call.
    std::vector<held_entry> take_held() { return std::exchange(held_, {}); }

    template <class F>
    void for_each(F f) const
    {
        for (auto const& [name, it] : entries_) {
            f(name, it.value);
        }
    }

    // Calls f for the entries that the store has, without those that are held.
    template <class F>
    void for_each_present(F f) const
    {
        for (auto const& [name, it] : entries_) {
            if (!it.held_until) {
                f(name, it.value);
            }
        }
    }

private:
    struct mirror_entry
    {
        store_value value;
        std::uint64_t generation = 0; // last listing that contained the entry
        // Set when the entry is missing; the entry is used until then.
        std::optional<time_point> held_until;
    };

    void put(store_entry&& entry);
    void remove(std::string const& name, time_point until, time_point now);
    void restart_listing();
    // Time until which entries that are found missing now are used.
    time_point use_until(time_point now,
                         std::optional<time_point> up_to_date_at) const;
    bool held_when_missing(store_value const& value) const;
    bool outdated_renewal(store_entry const& entry) const;

    store_mirror_settings settings_;
    std::map<std::string, mirror_entry> entries_;
    std::string after_;
    std::uint64_t generation_ = 1;
    std::uint64_t revision_ = 0;
    std::uint64_t changed_revision_ = 0;
    std::vector<held_entry> held_;      // not taken yet
    std::uint64_t oldest_revision_ = 0; // minimum over the pages of a listing
    std::uint64_t required_revision_ = 0;
    std::uint64_t era_ = 0;
    // No listing has completed in this era, which is not the first.
    bool new_era_ = false;
    bool listing_ = true;
    bool listed_ = false;
    bool current_listing_ = false; // the listing may not be outdated
    // An outdated listing has completed; its entries are used if the store does
    // not give a current one.
    bool outdated_ = false;
    // The store has been unavailable since its last answer.
    bool outage_ = false;
};

} // namespace snipemill
