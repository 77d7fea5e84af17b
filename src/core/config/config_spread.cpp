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

    void adopt(config_push push, spread_actions& out);
    void adopt_read(time_point now, config_read read, spread_actions& out);
    void on_push(host_id const& from, config_push push, spread_actions& out);
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
    void announce_as_reader(time_point now, spread_actions& out);
    void update_ready(spread_actions& out);
    void run_pulls(time_point now, spread_actions& out);
    std::optional<host_id> next_unheard(time_point now) const;

    time_point next_announcement_ = time_point::max();
};

void config_spread::impl::adopt(config_push push, spread_actions& out)
{
    if (!store_.adopt(std::move(push))) {
        return;
    }
    out.push_back(config_adopted{store_.number()});
    announce_adoption(out);
}

// Random peers, most of them of this data centre; one elsewhere, so that a
// data centre without the platform hears of the ticket too.
void config_spread::impl::announce_adoption(spread_actions& out)
{
    auto peers = members_;
    for (auto i = peers.size(); i > 1; --i) {
        auto const j = random_.below(static_cast<std::uint32_t>(i));
        std::swap(peers[i - 1], peers[j]);
    }
    auto const middle = std::stable_partition(
        peers.begin(), peers.end(), [&](member_info const& m) {
            return m.data_centre == self_.data_centre;
        });
    auto const elsewhere = middle != peers.end();
    auto const local_room = settings_.push_fanout - (elsewhere ? 1 : 0);
    auto const local = std::min<std::size_t>(
        local_room, static_cast<std::size_t>(middle - peers.begin()));
    std::rotate(peers.begin() + static_cast<std::ptrdiff_t>(local), middle,
                peers.end());
    auto const n = std::min<std::size_t>(settings_.push_fanout, peers.size());
    for (std::size_t i = 0; i < n; ++i) {
        out.push_back(announce_config{peers[i].id, store_.number()});
    }
}

void config_spread::impl::adopt_read(time_point now, config_read read,
                                     spread_actions& out)
{
    if (read.state) {
        adopt(std::move(*read.state), out);
    }
    adopt(std::move(read.head.tickets), out);
    if (store_.number() < read.head.number) {
        // The head was cut between the two reads.
        platform_.on_gap(now);
        return;
    }
    platform_.on_read(read.revision);
    confirmed_at_ = now;
}

void config_spread::impl::on_push(host_id const& from, config_push push,
                                  spread_actions& out)
{
    pulls_.on_answer(from);
    quorum_.on_answer(from);
    auto const before = store_.number();
    adopt(std::move(push), out);
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
    next = std::min(next, next_announcement_);
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
    impl_->on_push(from, std::move(push), out);
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
