#pragma once

#include "core/membership/member_list.hpp"

#include <cstdint>
#include <vector>

namespace snipemill {

struct join_settings
{
    // Hosts, whatever the fleet's size. An answer names 8 others; asking those
    // as well finds all hosts of a fleet of about this size.
    std::uint32_t max_asked = 32;
    // Longer than a probe interval, so that the ordinary probe of the next
    // interval makes up for a lost datagram to the only seed.
    duration answer_time = from_ms(1500);
};

// Decides when a starting host has joined: each seed, and each host that the
// answers name, has answered or has had the time to. Without an answer it also
// waits for the end of the first read of the platform's host list, which may
// name further seeds.
class join_wait
{
public:
    explicit join_wait(join_settings const& settings);

    // Returns whether the host is to be asked; it then counts as asked.
    bool ask(time_point now, member_seed const& host);
    // The host at this address has answered a probe.
    void on_answer(member_seed const& from);
    // The first read of the platform's host list has ended, well or not.
    void on_list_ended() { list_ended_ = true; }
    // This host was paused: the others get the lost time to answer.
    void extend(duration pause)
    {
        deadline_ += pause;
        limit_ += pause;
    }
    bool over(time_point now) const;

private:
    join_settings settings_;
    std::vector<member_seed> asked_;
    std::vector<member_seed> awaited_; // of those asked
    time_point deadline_{};
    time_point limit_{}; // of the deadline, however many hosts are found
    bool answered_ = false;
    bool list_ended_ = false;
};

} // namespace snipemill
