#pragma once

#include "core/base/name_table.hpp"
#include "core/forward/crash_guard.hpp"
#include "core/forward/manifest.hpp"
#include "core/forward/relay_plan.hpp"
#include "core/forward/upstream_record.hpp"
#include "core/rollouts/rollout_entry.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipemill {

// What the platform's store holds for the host.
enum class store_kind : std::uint8_t
{
    manifests,   // the newest state of routes and services
    upstreams,   // one entry for each upstream, written by itself
    evacuations, // data centres that are to get no requests
    hosts,       // one entry for each host of the fleet, written by itself
    crashes,     // upstreams that ended while they ran a request
    rollouts     // orders to change the version of a service, and their status
};

inline constexpr name_table<store_kind, 6> store_kind_names{{
    {store_kind::manifests, "manifests"},
    {store_kind::upstreams, "upstreams"},
    {store_kind::evacuations, "evacuations"},
    {store_kind::hosts, "hosts"},
    {store_kind::crashes, "crashes"},
    {store_kind::rollouts, "rollouts"},
}};

// An entry that another writer has spoilt.
struct unreadable_entry
{};

// A data centre that is named by the entry's name.
struct evacuation_entry
{};

// A host of the fleet.
struct host_entry
{
    std::int64_t renewed_ms = 0; // wall clock of the host when it wrote this
    fleet_host host{};

    friend bool operator==(host_entry const&, host_entry const&) = default;
};

using store_value =
    std::variant<unreadable_entry, std::shared_ptr<manifest const>,
                 upstream_record, evacuation_entry, host_entry, crash_entry,
                 rollout_entry>;

struct store_entry
{
    std::string name;
    store_value value;
};

struct store_page
{
    std::vector<store_entry> entries;
    bool truncated = false;     // more entries follow after the last name
    std::uint64_t revision = 0; // of the store when it was read
    std::uint64_t era = 0;      // of the store; revisions hold within one
};

struct store_event
{
    store_entry entry;
    bool deleted = false;
};

struct store_events
{
    std::vector<store_event> events;
    std::uint64_t revision = 0; // to watch from next
    std::uint64_t era = 0;      // of the store
};

enum class store_error : std::uint8_t
{
    history_gone, // events since the revision are lost; list again
    unavailable,  // no answer, or a refusal
    older_era     // the answer is older than the store's last restore
};

inline constexpr name_table<store_error, 3> store_error_names{{
    {store_error::history_gone, "history_gone"},
    {store_error::unavailable, "unavailable"},
    {store_error::older_era, "older_era"},
}};

// Whether a call may be answered with data that is a little old, which costs
// the platform less.
enum class read_age : std::uint8_t
{
    current,
    may_be_old
};

// Result of a conditional write of a rollout's status.
enum class status_write : std::uint8_t
{
    done,
    conflict, // the entry has changed; nothing was written
    refused,  // nothing was written
    unknown   // no answer: it may have been written, or be written later
};

inline constexpr name_table<status_write, 4> status_write_names{{
    {status_write::done, "done"},
    {status_write::conflict, "conflict"},
    {status_write::refused, "refused"},
    {status_write::unknown, "unknown"},
}};

template <class T>
using store_callback = std::function<void(std::variant<T, store_error>)>;

// Reads the platform's store. Callbacks run on the thread of the adapter's
// io_context, never inside the call.
class store_port
{
public:
    virtual ~store_port() = default;

    // Entries after the name, in the order of names; all when it is empty.
    virtual void list(store_kind kind, std::string after, read_age age,
                      store_callback<store_page> f) = 0;
    // Events after the revision; none after `wait`. The revision of an answer
    // without events is the one that the store has shown.
    virtual void watch(store_kind kind, std::uint64_t revision, duration wait,
                       read_age age, store_callback<store_events> f) = 0;
    // Writes the entry of a host, which is likely to exist or not: a wrong
    // guess costs one more call. The callback tells whether it was written.
    virtual void put_host(std::string name, host_entry entry,
                          bool likely_exists, std::function<void(bool)> f) = 0;
    // Removes the entry of a host. Not answered: the next host tries again.
    virtual void remove_host(std::string name) = 0;
    // Creates an entry. The callback tells whether the store holds it.
    virtual void put_crash(crash_entry entry, std::function<void(bool)> f) = 0;
    // Creates the entry of a trial. The callback tells whether this call has
    // created it; without an answer it may have done so.
    virtual void claim_trial(crash_entry entry,
                             std::function<void(bool)> f) = 0;
    // Removes an entry, if there is one. The callback tells whether it is gone.
    virtual void remove_crash(crash_entry entry,
                              std::function<void(bool)> f) = 0;
    // Writes the status of a rollout if the store's entry still has the
    // revision of this one. The callback gets the entry as it was written, if
    // the answer has it.
    virtual void put_rollout_status(
        rollout_entry entry,
        std::function<void(status_write, std::optional<rollout_entry>)> f) = 0;
};

} // namespace snipemill
