#pragma once

#include "core/base/rng.hpp"
#include "core/config/config_spread.hpp"

#include <cstddef>
#include <vector>

namespace snipemill {

// Decides whether this host reads from the platform. The lowest ranked live
// hosts of a data centre are its readers; the next ones are standbys, which
// take over when no reader announces itself.
class reader_rank
{
public:
    reader_rank(config_spread_settings const& settings, member_info const& self,
                rng& random);

    void set_members(time_point now, std::vector<member_info> const& members);
    // A host announced that the platform confirms its number. Returns whether
    // it is a reader or a standby that has taken over.
    bool on_announced(time_point now, host_id const& from);
    void on_timer(time_point now);

    bool reader() const { return elected() || taken_over_; }
    // When this host takes over; the maximum when it is no standby.
    time_point takeover_at() const;
    // Other hosts that have to hear from a reader.
    std::vector<host_id> listeners() const;

private:
    bool elected() const { return rank_ < settings_.readers; }
    bool standby() const;
    void expect_news(time_point now);

    config_spread_settings settings_;
    host_id self_;
    std::string data_centre_;
    rng& random_;
    std::vector<host_id> ranked_; // readers and standbys, with this host
    std::size_t rank_ = 0;
    bool known_ = false; // a member list has arrived
    bool taken_over_ = false;
    time_point silent_at_ = time_point::max();
};

} // namespace snipemill
