#pragma once

#include "core/base/name_table.hpp"
#include "core/base/strong_id.hpp"
#include "core/base/time.hpp"
#include "core/forward/upstream_record.hpp"
#include "core/quarantine/quarantine.hpp"
#include "core/quarantine/recent_answers.hpp"
#include "core/quarantine/trial_schedule.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipemill {

// One upstream that ended while it ran a request, or a trial of a refused
// request. The hosts share these entries through the store.
struct crash_entry
{
    fingerprint print;
    upstream_id upstream;     // see lifetime_id(); of a crash
    std::int64_t seen_ms = 0; // wall clock
    std::uint32_t trial = 0;  // number of the trial; 0: a crash
    std::string host;         // that makes the trial

    // Entries that two hosts made of the same crash differ only in the time.
    bool same_crash(crash_entry const& other) const
    {
        return print == other.print && upstream == other.upstream &&
               trial == other.trial;
    }
    friend bool operator==(crash_entry const&, crash_entry const&) = default;
};

// Identifies one start of an upstream, equally on all hosts.
upstream_id lifetime_id(upstream_record const& record);

enum class crash_verdict : std::uint8_t
{
    clear,
    // Upstreams ended under the request, but no more than may be a coincidence.
    // It gets one attempt at one upstream.
    suspect,
    refused
};

inline constexpr name_table<crash_verdict, 3> crash_verdict_names{{
    {crash_verdict::clear, "clear"},
    {crash_verdict::suspect, "suspect"},
    {crash_verdict::refused, "refused"},
}};

struct crash_guard_settings
{
    quarantine_settings records{.distinct_upstreams = 3};
    recent_answers_settings answers;
    trial_settings trials;
    // A lost exchange counts when the end of its upstream is noticed at most
    // this long after or before the loss: an entry of the store lapses three
    // intervals of 1.2 s after the upstream's last report.
    duration confirm_within = from_ms(5000);
    std::size_t max_unconfirmed = 2048;
    std::size_t max_counted_runs = 256;
};

struct crash_guard_options
{
    crash_guard_settings settings{};
    std::string host;                            // name of this host
    std::function<std::int64_t()> wall_clock_ms; // null: always 0
    // Called for each new entry, and for each entry of a request that has been
    // answered. May be null.
    std::function<void(crash_entry const&)> on_added;
    std::function<void(crash_entry const&)> on_cleared;
    // Creates the entry of a trial in the store; on_claimed() tells the result.
    // Null: no trials.
    std::function<void(crash_entry const&)> claim_trial;
};

// Finds requests that end the upstreams that run them. A request is counted
// against each upstream that was lost with it and whose process has ended,
// and is refused from a number of distinct upstreams on. Other requests that
// the same upstreams ran are lost with it, but are answered when they are sent
// again: an answer from any upstream clears a request, and a request that has
// been answered lately is not counted at all. A refused request gets a few
// trials; the store decides which host makes one.
class crash_guard
{
public:
    explicit crash_guard(crash_guard_options o);

    // An exchange of the request ended without an answer, and not by this host.
    // A query over many shards loses many upstreams at once, which counts as
    // one: `run` identifies the query, 0 stands for a request to one service.
    void on_lost(fingerprint print, upstream_id upstream, std::uint64_t run,
                 time_point now);
    // The process of the upstream has ended: it refuses connections, or its
    // entry in the store is gone or names a later start.
    void on_ended(upstream_id upstream, time_point now);
    // The upstream accepts connections.
    void on_connected(upstream_id upstream) { ended_.erase(upstream); }
    // An upstream ran the request and answered it. A failure clears the request
    // too, but does not show that it is harmless: the upstream may be at fault.
    void on_answered(fingerprint print, bool success, time_point now);
    // Replaces the entries that the store holds.
    void set_shared(std::vector<crash_entry> const& entries, time_point now);

    crash_verdict verdict(fingerprint print, time_point now) const;
    // Time until the request may be tried again; zero while a trial is due or
    // under way.
    duration refused_for(fingerprint print, time_point now) const;
    // Whether this host may send a refused request to one upstream now. Claims
    // a trial that is due, for a later call. `available` is the number of
    // upstreams of the service that can take it.
    bool take_trial(fingerprint print, std::size_t available, time_point now);
    // The request of the trial was not sent.
    void return_trial(fingerprint print);
    // Whether the store has created the entry for this host; not when it may
    // have done so without an answer.
    void on_claimed(crash_entry const& entry, bool created, time_point now);
    std::size_t size() const { return own_.size() + shared_.size(); }

private:
    struct unconfirmed_loss
    {
        fingerprint print;
        upstream_id upstream;
        std::uint64_t run = 0;
        time_point at{};
    };

    enum class claim_state : std::uint8_t
    {
        none,
        asked,   // the store has not answered
        unknown, // the store may hold the entry
        granted, // this host may make the trial
        used
    };
    // Of a request that has entries.
    struct trial_state
    {
        std::uint32_t made = 0;    // trials of all hosts
        time_point news_at{};      // last time at which an entry was added
        time_point made_at{};      // the last trial, as far as this host knows
        std::uint32_t claimed = 0; // number of this host's last claim
        claim_state claim = claim_state::none;
    };

    void add(unconfirmed_loss const& it, time_point now);
    void note_news(crash_entry const& entry, time_point now);
    void rebuild(time_point now);
    void expire(time_point now);
    // Delay that differs between hosts, so that one of them claims a trial
    // before the others.
    duration claim_delay(fingerprint print) const;

    crash_guard_options options_;
    std::deque<unconfirmed_loss> unconfirmed_; // in order of time
    // Upstreams that ended lately.
    std::unordered_map<upstream_id, time_point> ended_;
    std::deque<std::uint64_t> counted_runs_;
    // Entries that this host made and the store does not hold yet.
    std::vector<crash_entry> own_;
    std::vector<crash_entry> shared_;  // of the store
    std::vector<crash_entry> cleared_; // may still be in the store
    quarantine records_;               // of own_ and shared_
    recent_answers answered_;
    trial_schedule schedule_;
    std::unordered_map<fingerprint, trial_state> trials_;
};

} // namespace snipemill
