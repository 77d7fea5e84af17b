#pragma once

#include "core/base/name_table.hpp"
#include "core/base/time.hpp"
#include "core/placement/reported_load.hpp"

#include <cstdint>
#include <optional>

namespace snipemill {

// What an upstream says about itself in the headers of an answer.
struct upstream_signals
{
    std::optional<reported_load> load;
    // The answer has a load report of another form.
    bool malformed_load = false;
    // Requests/s that it takes from all hosts together.
    std::optional<double> rate_limit;
    bool leaving = false; // it is shutting down
    // It rejects requests of this host for this long.
    std::optional<duration> retry_after;
};

// Hosts that send to an upstream. An upstream's limits hold for all of them
// together, and each keeps to its part without knowing what the others send.
struct sender_group
{
    double hosts = 1;
    double ratio = 1; // part of the limits that this group may use
};

// What an answer has changed.
enum class admission_change : std::uint8_t
{
    none,
    limited,
    limit_ended,
    leaving,
    retry_later
};

inline constexpr name_table<admission_change, 5> admission_change_names{{
    {admission_change::none, "none"},
    {admission_change::limited, "limited"},
    {admission_change::limit_ended, "limit_ended"},
    {admission_change::leaving, "leaving"},
    {admission_change::retry_later, "retry_later"},
}};

// Decides when this host may send a request to one upstream, from what the
// upstream has signalled. Load pattern: an upstream in need. A stated limit is
// divided among the hosts that send: each paces its requests at its part, and
// keeps no more than a second's part for a burst. When there are more hosts
// than the limit has requests a second, only some of them send, so that hosts
// which all become busy at once stay below it together.
class upstream_admission
{
public:
    // host_hash differs between hosts and between upstreams. It decides which
    // hosts send to an upstream with a low limit, and spreads first requests.
    explicit upstream_admission(std::uint64_t host_hash = 0)
        : host_hash_(host_hash)
    {}

    // An answer to a request that was sent at `sent` has arrived.
    admission_change on_answer(upstream_signals const& signals, time_point sent,
                               time_point now, sender_group const& senders);
    // A request is sent. cold_rate: requests/s that the upstream takes from all
    // hosts while it is cold; 0: no limit, or not cold.
    void on_sent(time_point now, sender_group const& senders, double cold_rate);
    // Earliest time at which a request may be sent, not before now.
    time_point next_send(time_point now, sender_group const& senders,
                         bool cold) const;

    bool leaving() const { return leaving_; }
    // The upstream's entry in the store says that it takes requests again.
    void stay() { leaving_ = false; }
    std::optional<double> rate_limit() const { return rate_limit_; }
    // Waiting requests in the last load report; 0 when it is outdated.
    double reported_waiting(time_point now) const;

private:
    double limited_rate(sender_group const& senders) const;
    double capacity(double rate) const;
    double tokens(time_point now, sender_group const& senders) const;

    std::uint64_t host_hash_;
    reported_load load_;
    time_point load_at_{};
    bool leaving_ = false;
    time_point retry_at_{};
    time_point next_cold_{}; // while the upstream is cold
    std::optional<double> rate_limit_;
    time_point limit_stated_at_{};
    // Requests that the limit allows at once, at the time tokens_at_.
    double tokens_ = 0;
    time_point tokens_at_{};
};

} // namespace snipemill
