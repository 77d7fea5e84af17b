#include "core/config/pull_schedule.hpp"

#include <algorithm>
#include <set>

namespace snipemill {

namespace {

// A paused peer keeps its connection open; a ticket has to get round it well
// within the 3 s in which it must be in force.
constexpr duration pull_timeout = from_ms(1000);

} // namespace

void pull_schedule::on_peer_number(host_id const& peer, std::uint64_t number)
{
    numbers_[peer] = number;
}

void pull_schedule::forget_others(std::vector<member_info> const& members)
{
    std::set<host_id> known;
    for (auto const& it : members) {
        if (it.state != member_state::dead) {
            known.insert(it.id);
        }
    }
    std::erase_if(numbers_,
                  [&](auto const& it) { return !known.contains(it.first); });
    std::erase_if(not_before_,
                  [&](auto const& it) { return !known.contains(it.first); });
}

void pull_schedule::start(time_point now, host_id const& from)
{
    from_ = from;
    gives_up_at_ = now + pull_timeout;
}

void pull_schedule::on_answer(host_id const& from)
{
    if (from_ == from) {
        from_.reset();
    }
    not_before_.erase(from);
}

void pull_schedule::on_failed(time_point now, host_id const& from)
{
    not_before_[from] = now + retry_;
    if (from_ == from) {
        from_.reset();
    }
}

void pull_schedule::expire(time_point now)
{
    if (from_ && gives_up_at_ <= now) {
        on_failed(now, host_id(*from_));
    }
    std::erase_if(not_before_,
                  [&](auto const& it) { return it.second <= now; });
}

bool pull_schedule::allowed(time_point now, host_id const& from) const
{
    auto const it = not_before_.find(from);
    return it == not_before_.end() || it->second <= now;
}

std::optional<host_id> pull_schedule::ahead(time_point now,
                                            std::uint64_t number) const
{
    std::optional<host_id> best;
    auto highest = number;
    for (auto const& [peer, n] : numbers_) {
        if (n > highest && allowed(now, peer)) {
            best = peer;
            highest = n;
        }
    }
    return best;
}

bool pull_schedule::any_ahead(std::uint64_t number) const
{
    return std::any_of(numbers_.begin(), numbers_.end(),
                       [&](auto const& it) { return it.second > number; });
}

time_point pull_schedule::next_timer() const
{
    if (from_) {
        return gives_up_at_;
    }
    auto next = time_point::max();
    for (auto const& [peer, at] : not_before_) {
        next = std::min(next, at);
    }
    return next;
}

} // namespace snipemill
