#include "core/config/reader_rank.hpp"

#include "core/base/hash.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

namespace {

// Hosts that watch over the readers. A constant, so that neither the
// announcements nor the platform's load grow with the data centre.
constexpr std::size_t standbys = 3;

// A rank of its own, independent of the ownership of upstreams.
constexpr std::uint64_t rank_seed = 0x7265616465720001ULL;

bool is_live(member_info const& m)
{
    return m.state == member_state::alive || m.state == member_state::suspect;
}

} // namespace

reader_rank::reader_rank(config_spread_settings const& settings,
                         member_info const& self, rng& random)
    : settings_(settings), self_(self.id), data_centre_(self.data_centre),
      random_(random)
{}

void reader_rank::set_members(time_point now,
                              std::vector<member_info> const& members)
{
    std::vector<std::pair<std::uint64_t, host_id>> scored;
    scored.emplace_back(hash_bytes(self_.value, rank_seed), self_);
    for (auto const& it : members) {
        if (it.data_centre == data_centre_ && is_live(it) && it.id != self_) {
            scored.emplace_back(hash_bytes(it.id.value, rank_seed), it.id);
        }
    }
    std::sort(scored.begin(), scored.end());
    auto const own =
        std::find_if(scored.begin(), scored.end(),
                     [&](auto const& it) { return it.second == self_; });
    auto const was_standby = known_ && standby();
    rank_ = static_cast<std::size_t>(own - scored.begin());
    known_ = true;
    auto const kept = std::min(scored.size(), settings_.readers + standbys);
    ranked_.clear();
    for (std::size_t i = 0; i < kept; ++i) {
        ranked_.push_back(scored[i].second);
    }
    if (!standby()) {
        taken_over_ = false;
        silent_at_ = time_point::max();
    }
    else if (!was_standby) {
        expect_news(now);
    }
}

bool reader_rank::on_announced(time_point now, host_id const& from)
{
    auto const it = std::find(ranked_.begin(), ranked_.end(), from);
    if (it == ranked_.end() || from == self_) {
        return false;
    }
    auto const rank = static_cast<std::size_t>(it - ranked_.begin());
    // Two hosts that took over at the same time: the lower rank stays.
    if (standby() && rank < rank_) {
        taken_over_ = false;
        expect_news(now);
    }
    return true;
}

void reader_rank::on_timer(time_point now)
{
    if (standby() && !taken_over_ && silent_at_ <= now) {
        taken_over_ = true;
        silent_at_ = time_point::max();
    }
}

time_point reader_rank::takeover_at() const
{
    return standby() && !taken_over_ ? silent_at_ : time_point::max();
}

std::vector<host_id> reader_rank::listeners() const
{
    auto others = ranked_;
    std::erase(others, self_);
    return others;
}

bool reader_rank::standby() const
{
    return known_ && !elected() && rank_ < settings_.readers + standbys;
}

void reader_rank::expect_news(time_point now)
{
    auto const jitter = std::chrono::duration_cast<duration>(
        settings_.takeover_jitter * random_.unit());
    silent_at_ = now + settings_.reader_silence + jitter;
}

} // namespace snipemill
