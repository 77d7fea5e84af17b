#include "core/config/config_spread.hpp"

#include "core/config/platform_reader.hpp"
#include "core/config/pull_schedule.hpp"
#include "core/config/reader_rank.hpp"
#include "core/config/start_quorum.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

namespace {

// Announcements of a reader per silence that makes a standby take over.
constexpr int announcements_per_silence = 5;

// Time for a first round of announcements and pulls to go through a fleet.
constexpr duration repeat_after = from_ms(700);

bool is_live(member_info const& m)
{
    return m.state == member_state::alive || m.state == member_state::suspect;
}

} // namespace

class config_spread::impl
{
public:
    impl(config_spread_settings const& settings, member_info self,
         std::uint64_t seed)
        : settings_(settings), self_(std::move(self)), random_(seed),
          rank_(settings, self_, random_), quorum_(self_),
          pulls_(settings.pull_retry), platform_(settings, random_)
    {}

    void adopt(time_point now, config_push push, spread_actions& out);
    void adopt_read(time_point now, config_read read, spread_actions& out);
    void on_push(time_point now, host_id const& from, config_push push,
                 spread_actions& out);
    // Starts whatever is due after an input.
    void run(time_point now, spread_actions& out);
    time_point next_timer() const;

    config_spread_settings settings_;
    member_info self_;
    rng random_;
    config_store store_;
    reader_rank rank_;
    start_quorum quorum_;
    pull_schedule pulls_;
    platform_reader platform_;
    std::vector<member_info> members_; // live ones, of all data centres
    bool started_ = false;
    bool ready_ = false;
    time_point confirmed_at_{};

private:
    void announce_adoption(spread_actions& out);
    host_id take_random(std::vector<host_id>& ids);
    void repeat_announcement(time_point now, spread_actions& out);
    void announce_as_reader(time_point now, spread_actions& out);
    void update_ready(spread_actions& out);
    void run_pulls(time_point now, spread_actions& out);
    std::optional<host_id> next_unheard(time_point now) const;

    time_point next_announcement_ = time_point::max(); // as a reader
    time_point repeat_at_ = time_point::max();
};

void config_spread::impl::adopt(time_point now, config_push push,
                                spread_actions& out)
{
    if (!store_.adopt(std::move(push))) {
        return;
    }
    out.push_back(config_adopted{store_.number()});
    announce_adoption(out);
    repeat_at_ = now + repeat_after;
}

// The next host of this data centre in the order of ids, so that each host is
// told by one other even when the random choice misses it; one host elsewhere,
// so that a data centre without the platform hears of the ticket too; else
// random hosts of this data centre.
void config_spread::impl::announce_adoption(spread_actions& out)
{
    std::vector<host_id> local;
    std::vector<host_id> others;
    for (auto const& it : members_) {
        (it.data_centre == self_.data_centre ? local : others).push_back(it.id);
    }
    std::vector<host_id> chosen;
    if (!local.empty()) {
        auto const next =
            std::upper_bound(local.begin(), local.end(), self_.id);
        chosen.push_back(next == local.end() ? local.front() : *next);
    }
    if (!others.empty()) {
        chosen.push_back(take_random(others));
    }
    std::erase(local, chosen.empty() ? host_id() : chosen.front());
    while (chosen.size() < settings_.push_fanout &&
           local.size() + others.size() > 0) {
        chosen.push_back(take_random(local.empty() ? others : local));
    }
    chosen.resize(std::min<std::size_t>(chosen.size(), settings_.push_fanout));
    for (auto const& id : chosen) {
        out.push_back(announce_config{id, store_.number()});
    }
}

host_id config_spread::impl::take_random(std::vector<host_id>& ids)
{
    auto const i = random_.below(static_cast<std::uint32_t>(ids.size()));
    std::swap(ids[i], ids.back());
    auto id = std::move(ids.back());
    ids.pop_back();
    return id;
}

// A second round reaches hosts whose announcement was lost or whose
// predecessor is paused, well within the 3 s for a ticket.
void config_spread::impl::repeat_announcement(time_point now,
                                              spread_actions& out)
{
    if (repeat_at_ <= now) {
        repeat_at_ = time_point::max();
        announce_adoption(out);
    }
}

void config_spread::impl::adopt_read(time_point now, config_read read,
                                     spread_actions& out)
{
    if (read.state) {
        adopt(now, std::move(*read.state), out);
    }
    adopt(now, std::move(read.head.tickets), out);
    if (store_.number() < read.head.number) {
        // The head was cut between the two reads.
        platform_.on_gap(now);
        return;
    }
    platform_.on_read(read.revision);
    confirmed_at_ = now;
}

void config_spread::impl::on_push(time_point now, host_id const& from,
                                  config_push push, spread_actions& out)
{
    pulls_.on_answer(from);
    quorum_.on_answer(from);
    auto const before = store_.number();
    adopt(now, std::move(push), out);
    if (store_.number() == before) {
        // Not ahead after all; asking again at once would not help.
        pulls_.on_peer_number(from, before);
    }
}

void config_spread::impl::run(time_point now, spread_actions& out)
{
    if (!started_) {
        return;
    }
    rank_.on_timer(now);
    update_ready(out);
    auto const wanted = rank_.reader() || (!ready_ && !platform_.has_read());
    platform_.run(now, wanted, store_.number(), out);
    announce_as_reader(now, out);
    repeat_announcement(now, out);
    run_pulls(now, out);
}

void config_spread::impl::update_ready(spread_actions& out)
{
    if (ready_ || store_.number() == 0) {
        return;
    }
    if (platform_.has_read() || quorum_.reached()) {
        ready_ = true;
        out.push_back(config_ready{true});
    }
}

void config_spread::impl::announce_as_reader(time_point now,
                                             spread_actions& out)
{
    if (!rank_.reader() || !platform_.healthy()) {
        next_announcement_ = time_point::max();
        return;
    }
    if (next_announcement_ != time_point::max() && next_announcement_ > now) {
        return;
    }
    next_announcement_ =
        now + settings_.reader_silence / announcements_per_silence;
    for (auto const& id : rank_.listeners()) {
        out.push_back(announce_config{id, store_.number()});
    }
}

void config_spread::impl::run_pulls(time_point now, spread_actions& out)
{
    pulls_.expire(now);
    if (pulls_.busy()) {
        return;
    }
    auto from = pulls_.ahead(now, store_.number());
    if (!from && !ready_) {
        from = next_unheard(now);
    }
    if (from) {
        pulls_.start(now, *from);
        out.push_back(pull_config{*from, store_.number()});
    }
}

// A host of this data centre that has not yet answered a starting host.
std::optional<host_id> config_spread::impl::next_unheard(time_point now) const
{
    for (auto const& it : members_) {
        if (it.data_centre == self_.data_centre && !quorum_.answered(it.id) &&
            pulls_.allowed(now, it.id)) {
            return it.id;
        }
    }
    return std::nullopt;
}

time_point config_spread::impl::next_timer() const
{
    if (!started_) {
        return time_point::max();
    }
    auto next = std::min(platform_.next_timer(), rank_.takeover_at());
    next = std::min({next, next_announcement_, repeat_at_});
    if (pulls_.busy() || !ready_ || pulls_.any_ahead(store_.number())) {
        next = std::min(next, pulls_.next_timer());
    }
    return next;
}

config_spread::config_spread(config_spread_settings const& settings,
                             member_info self, std::uint64_t seed)
    : impl_(std::make_unique<impl>(settings, std::move(self), seed))
{}

config_spread::~config_spread() = default;

void config_spread::start(time_point now, std::vector<member_seed> local_seeds,
                          spread_actions& out)
{
    impl_->started_ = true;
    impl_->quorum_.set_seeds(std::move(local_seeds));
    impl_->run(now, out);
}

void config_spread::on_members(time_point now,
                               std::vector<member_info> const& members,
                               spread_actions& out)
{
    impl_->members_.clear();
    std::copy_if(members.begin(), members.end(),
                 std::back_inserter(impl_->members_), is_live);
    std::erase_if(impl_->members_, [&](member_info const& m) {
        return m.id == impl_->self_.id;
    });
    std::sort(impl_->members_.begin(), impl_->members_.end(),
              [](auto const& a, auto const& b) { return a.id < b.id; });
    impl_->rank_.set_members(now, members);
    impl_->quorum_.set_members(members);
    impl_->pulls_.forget_others(members);
    impl_->run(now, out);
}

void config_spread::on_peer_number(time_point now, host_id const& peer,
                                   std::uint64_t number, spread_actions& out)
{
    impl_->pulls_.on_peer_number(peer, number);
    impl_->run(now, out);
}

void config_spread::on_announced(time_point now, host_id const& peer,
                                 std::uint64_t number, spread_actions& out)
{
    // An announcement confirms only the number that it names.
    if (impl_->rank_.on_announced(now, peer) &&
        number == impl_->store_.number()) {
        impl_->confirmed_at_ = now;
    }
    on_peer_number(now, peer, number, out);
}

void config_spread::on_push(time_point now, host_id const& from,
                            config_push push, spread_actions& out)
{
    impl_->on_push(now, from, std::move(push), out);
    impl_->run(now, out);
}

void config_spread::on_pull_failed(time_point now, host_id const& from,
                                   spread_actions& out)
{
    impl_->pulls_.on_failed(now, from);
    impl_->run(now, out);
}

void config_spread::on_read(time_point now, config_read read,
                            spread_actions& out)
{
    impl_->adopt_read(now, std::move(read), out);
    impl_->run(now, out);
}

void config_spread::on_platform_failed(time_point now, spread_actions& out)
{
    impl_->platform_.on_failed(now);
    impl_->run(now, out);
}

void config_spread::on_watch(time_point now, bool changed,
                             std::uint64_t revision, spread_actions& out)
{
    impl_->platform_.on_watch(changed, revision);
    if (!changed) {
        impl_->confirmed_at_ = now;
    }
    impl_->run(now, out);
}

void config_spread::on_timer(time_point now, spread_actions& out)
{
    impl_->run(now, out);
}

std::optional<config_push> config_spread::answer(std::uint64_t have) const
{
    if (!impl_->ready_) {
        return std::nullopt;
    }
    return impl_->store_.since(have);
}

time_point config_spread::next_timer() const
{
    return impl_->next_timer();
}

config_store const& config_spread::store() const
{
    return impl_->store_;
}

bool config_spread::ready() const
{
    return impl_->ready_;
}

bool config_spread::reader() const
{
    return impl_->rank_.reader();
}

time_point config_spread::confirmed_at() const
{
    return impl_->confirmed_at_;
}

} // namespace snipemill
