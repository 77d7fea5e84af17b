#pragma once

#include "core/base/rng.hpp"
#include "core/config/config_spread.hpp"

#include <map>
#include <optional>
#include <vector>

namespace snipemill {

// Chooses from whom to pull; one pull at a time.
class pull_schedule
{
public:
    explicit pull_schedule(duration retry) : retry_(retry) {}

    void on_peer_number(host_id const& peer, std::uint64_t number);
    void forget_others(std::vector<member_info> const& members);
    void start(time_point now, host_id const& from);
    void on_answer(host_id const& from);
    void on_failed(time_point now, host_id const& from);
    // Gives up a pull that was not answered in time, and ends waits.
    void expire(time_point now);

    bool busy() const { return from_.has_value(); }
    bool allowed(time_point now, host_id const& from) const;
    // A peer known to be ahead of this number, the furthest first.
    std::optional<host_id> ahead(time_point now, std::uint64_t number) const;
    // Whether any peer is ahead, also one that has to wait.
    bool any_ahead(std::uint64_t number) const;
    time_point next_timer() const;

private:
    duration retry_;
    std::map<host_id, std::uint64_t> numbers_;
    std::map<host_id, time_point> not_before_; // after failures
    std::optional<host_id> from_;
    time_point gives_up_at_{};
};

} // namespace snipemill
