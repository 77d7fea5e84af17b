#pragma once

#include "core/base/time.hpp"
#include "ports/store_port.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace snipemill {

// Kinds whose changes have to be in force at every host within a bound.
inline constexpr std::array bounded_kinds{
    store_kind::manifests, store_kind::upstreams, store_kind::evacuations,
    store_kind::crashes};

// What a current read of the store has shown. The copy of a kind that has an
// older revision than the kind's floor may lack changes.
struct store_floor
{
    std::uint64_t era = 0;      // of the store
    std::uint64_t revision = 0; // of the store when it was read
    std::array<std::uint64_t, bounded_kinds.size()> floors{};
    duration age{}; // since the read began
};

struct store_freshness_settings
{
    // Time after its confirmation by the store within which a change has to be
    // in force. Reads, takeover and catching up use three quarters of it; the
    // rest is for the calls themselves on a slow host.
    duration bound = from_ms(3000);
    double read_ratio = 1.0 / 3;     // interval of current reads
    double takeover_ratio = 1.0 / 4; // longest delay of a host that takes over
    // Longest time that a read takes while the store is well: the part of the
    // bound that is left for calls.
    double call_ratio = 1.0 / 4;
    // Time after an outage of the store within which running upstreams have
    // registered again.
    duration recovery = from_ms(2000);
    // Time that watches have to deliver what a floor shows to exist: they wait
    // for up to an eighth of the bound between two calls.
    double catch_up_ratio = 1.0 / 6;
};

// Bounds the age of a host's copy of the store, whatever calls that accept
// outdated data return. Load pattern: hundreds of hosts that follow a store in
// which a current call costs ten outdated ones. One host reads the store at an
// interval and passes the floors on. A host whose floors become too old reads
// the store itself, in the order of the fleet; a host whose copy stays below a
// floor reads that kind.
class store_freshness
{
public:
    explicit store_freshness(store_freshness_settings const& settings)
        : settings_(settings)
    {}

    // Place in the order in which hosts take over the reads, from 0 (reads
    // first) to 1 (last).
    void set_place(double place) { place_ = place; }

    // After a current read of the kind that began at `began`: the copy has this
    // revision and has not changed since changed_revision.
    void on_kind_read(store_kind kind, std::uint64_t revision,
                      std::uint64_t changed_revision, time_point began,
                      time_point now);
    // All kinds are as old as at `as_of`, when the store had this revision.
    void on_read(std::uint64_t revision, time_point as_of, time_point now);
    // Floors and revisions of the eras before are void.
    void enter_era(std::uint64_t era);
    // From another host. Returns whether it is newer than what is known. Only
    // floors of the same era count.
    bool on_floor(store_floor const& it, time_point now);
    // The copy of the kind has this revision.
    void on_copy(store_kind kind, std::uint64_t revision, time_point now);

    // Time at which this host has to read the store itself.
    time_point next_read() const;
    // No read is due for one interval, however the read ends.
    void read_started(time_point now);
    void read_ended(time_point now);
    // A call to the store has failed.
    void on_failure(time_point now) { disturbed_at_ = now; }
    // Latest time at which the copy of the kind was certainly up to date: an
    // entry that it has was in the store then. None while the store is
    // disturbed, because it may have lost entries of running upstreams, or
    // while nothing is known of the kind.
    std::optional<time_point> up_to_date_at(store_kind kind,
                                            time_point now) const;
    // Time at which a kind has to be read, if it is behind its floor.
    std::optional<time_point> read_kind_at(store_kind kind) const;
    // Delays the read of a kind that failed.
    void kind_read_failed(store_kind kind, time_point now);

    store_floor floor(time_point now) const;
    std::uint64_t floor_of(store_kind kind) const;
    std::uint64_t era() const { return era_; }
    // Revision that the store is known to have had.
    std::uint64_t revision() const { return revision_; }
    // Time for which the store may have changed without this host's knowledge.
    duration age(time_point now) const { return now - as_of_; }

private:
    struct kind_state
    {
        std::uint64_t floor = 0;
        std::uint64_t copy = 0;
        time_point raised_at{}; // the floor, last
        std::optional<time_point> behind_since;
        std::optional<time_point> up_to_date_at;
    };

    kind_state& state_of(store_kind kind);
    kind_state const& state_of(store_kind kind) const;
    duration part_of_bound(double ratio) const;
    bool read_is_slow(time_point now) const;
    // Whether the store is unavailable or slow, or was so a moment ago.
    bool disturbed(time_point now) const;
    void compare(kind_state& it, time_point now);

    store_freshness_settings settings_;
    std::array<kind_state, bounded_kinds.size()> kinds_;
    std::uint64_t era_ = 0;
    std::uint64_t revision_ = 0;
    time_point as_of_{};
    time_point not_before_{};              // of the next read
    std::optional<time_point> read_began_; // of the read that is under way
    std::optional<time_point> disturbed_at_;
    double place_ = 1;
};

// Whether changes of the kind have a bound.
bool is_bounded(store_kind kind);

} // namespace snipemill
