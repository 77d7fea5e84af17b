#include "core/membership/member_list.hpp"

#include "core/membership/join_wait.hpp"
#include "core/membership/member_table.hpp"
#include "core/membership/probe_schedule.hpp"
#include "core/membership/relay_list.hpp"
#include "core/membership/update_queue.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipemill {

namespace {

// Members told at once when this host leaves; gossip does the rest.
constexpr std::size_t leave_fanout = 3;

// Sequence of acks that answer no probe; probes count from 1.
constexpr std::uint64_t no_probe = 0;

} // namespace

class member_list::impl
{
public:
    impl(member_list_settings const& settings, member_info self,
         std::uint64_t seed)
        : settings_(settings), self_(std::move(self)), random_(seed),
          members_(settings, self_.data_centre), schedule_(random_)
    {
        assert(settings.max_updates > 0);
    }

    void on_message(time_point now, probe_message const& m,
                    member_actions& out);
    void on_timer(time_point now, member_actions& out);
    void join(time_point now, bool list_ended, member_actions& out);
    void leave(time_point now, member_actions& out);
    void announce(member_actions& out);
    time_point next_timer() const;

    member_list_settings settings_;
    member_info self_;
    rng random_;
    member_table members_;
    probe_schedule schedule_;
    join_wait join_{{}};
    update_queue updates_;
    member_counters counters_;
    std::uint64_t config_number_ = 0;

private:
    // The probe of this interval.
    struct current_probe
    {
        host_id target;
        std::uint64_t sequence = 0;
        time_point indirect_at{};
        bool indirect_sent = false;
    };

    void note_pause(time_point now);
    void learn(time_point now, member_info const& news, member_actions& out);
    bool refute(member_info const& news);
    void on_probe(probe_message const& m, member_actions& out);
    void on_ack(probe_message const& m, member_actions& out);
    void on_indirect(time_point now, probe_message const& m,
                     member_actions& out);
    void expire(time_point now, member_actions& out);
    void tick(time_point now, member_actions& out);
    void end_probe(time_point now, member_actions& out);
    void start_probe(time_point now, member_actions& out);
    void send_indirect(member_actions& out);
    void probe_unreachable(member_actions& out);
    probe_message compose(probe_kind kind, std::uint64_t sequence,
                          host_id const& to);
    void add_updates(probe_message& m, host_id const& to);
    void add_background(probe_message& m, host_id const& to);
    void add_member(probe_message& m, host_id const& id, host_id const& to);
    void send(member_seed const& to, probe_message m, member_actions& out);

    void ask(time_point now, member_seed const& host, member_actions& out);

    bool started_ = false;
    bool joining_ = false;
    time_point next_tick_{};
    time_point next_dead_probe_{};
    bool seed_is_next_ = false;
    std::uint64_t next_sequence_ = 1;
    std::optional<current_probe> probe_;
    relay_list relayed_;
};

void member_list::impl::on_message(time_point now, probe_message const& m,
                                   member_actions& out)
{
    // A seed may lead back to this host.
    if (m.from.id == self_.id || m.from.id.value.empty()) {
        return;
    }
    note_pause(now);
    joining_ = joining_ && !join_.over(now);
    auto const refuted_before = counters_.refuted;
    learn(now, m.from, out);
    auto const n =
        std::min<std::size_t>(m.updates.size(), settings_.max_updates);
    for (std::size_t i = 0; i < n; ++i) {
        learn(now, m.updates[i], out);
    }
    if (members_.find(m.from.id) == nullptr) {
        return;
    }
    members_.on_contact(m.from.id);
    out.push_back(member_config{m.from.id, m.config_number});
    switch (m.kind) {
    case probe_kind::probe:
        on_probe(m, out);
        break;
    case probe_kind::ack:
        on_ack(m, out);
        break;
    case probe_kind::indirect:
        on_indirect(now, m, out);
        break;
    }
    // The answer to a probe carries the new incarnation anyway.
    if (counters_.refuted != refuted_before && m.kind != probe_kind::probe) {
        auto const& from = members_.find(m.from.id)->info;
        send({from.ip, from.peer_port},
             compose(probe_kind::ack, no_probe, m.from.id), out);
    }
}

// A host that was paused has missed answers; they say nothing about others.
void member_list::impl::note_pause(time_point now)
{
    if (!started_ || now <= next_tick_ + settings_.probe_interval) {
        return;
    }
    auto const pause = now - next_tick_;
    members_.extend(pause);
    join_.extend(pause);
    probe_.reset();
    relayed_.clear();
    next_tick_ = now;
}

void member_list::impl::learn(time_point now, member_info const& news,
                              member_actions& out)
{
    if (news.id == self_.id) {
        if (refute(news)) {
            updates_.push(self_.id);
        }
        return;
    }
    auto const* before = members_.find(news.id);
    auto const old_state =
        before == nullptr ? member_state::alive : before->info.state;
    auto const result = members_.apply(now, news);
    if (result == member_table::outcome::ignored) {
        return;
    }
    updates_.push(news.id);
    if (joining_ && news.state == member_state::alive) {
        ask(now, {news.ip, news.peer_port}, out);
    }
    if (result == member_table::outcome::changed) {
        counters_.suspected += news.state == member_state::suspect &&
                                       old_state != member_state::suspect
                                   ? 1
                                   : 0;
        out.push_back(member_changed{news});
    }
}

// Returns whether others held something older or wrong about this host.
bool member_list::impl::refute(member_info const& news)
{
    if (!supersedes(news, self_) || news.incarnation > max_incarnation) {
        return false;
    }
    self_.incarnation = news.incarnation + 1;
    ++counters_.refuted;
    return true;
}

void member_list::impl::on_probe(probe_message const& m, member_actions& out)
{
    ++counters_.acks_sent;
    auto answer = compose(probe_kind::ack, m.sequence, m.from.id);
    // A host that started again with its clock set back takes a higher
    // incarnation when it learns of the one it had.
    auto const& known = members_.find(m.from.id)->info;
    if (known.state == member_state::alive && supersedes(known, m.from)) {
        answer.updates.resize(std::min<std::size_t>(answer.updates.size(),
                                                    settings_.max_updates - 1));
        answer.updates.push_back(known);
    }
    // To the address in the message: what is known of the sender may be of
    // an earlier start.
    send({m.from.ip, m.from.peer_port}, std::move(answer), out);
}

void member_list::impl::on_ack(probe_message const& m, member_actions& out)
{
    // An announcement carries no updates, so it tells nothing of the others.
    if (m.sequence != no_probe) {
        join_.on_answer({m.from.ip, m.from.peer_port});
    }
    if (probe_ && probe_->sequence == m.sequence &&
        (m.from.id == probe_->target || m.target == probe_->target)) {
        probe_.reset();
        return;
    }
    auto const relayed = relayed_.take(m.sequence, m.from.id);
    if (!relayed) {
        return;
    }
    auto answer = compose(probe_kind::ack, relayed->asked_sequence, m.from.id);
    answer.target = relayed->target;
    send(relayed->asker, std::move(answer), out);
}

void member_list::impl::on_indirect(time_point now, probe_message const& m,
                                    member_actions& out)
{
    auto const* target = members_.find(m.target);
    if (target == nullptr || relayed_.full()) {
        return;
    }
    auto const sequence = next_sequence_++;
    relayed_.add({.sequence = sequence,
                  .asked_sequence = m.sequence,
                  .target = m.target,
                  .asker = {m.from.ip, m.from.peer_port},
                  .expires = now + settings_.probe_interval});
    ++counters_.indirect_sent;
    send({target->info.ip, target->info.peer_port},
         compose(probe_kind::probe, sequence, m.target), out);
}

void member_list::impl::on_timer(time_point now, member_actions& out)
{
    if (!started_) {
        started_ = true;
        next_tick_ = now;
        // Hosts started together spread their low-rate probes.
        next_dead_probe_ = now + settings_.dead_probe_interval *
                                     (random_.below(1000) + 1) / 1000;
    }
    note_pause(now);
    expire(now, out);
    if (probe_ && !probe_->indirect_sent && probe_->indirect_at <= now) {
        send_indirect(out);
    }
    if (next_tick_ <= now) {
        tick(now, out);
    }
    if (next_dead_probe_ <= now) {
        next_dead_probe_ = now + settings_.dead_probe_interval;
        members_.forget(now);
        probe_unreachable(out);
    }
}

void member_list::impl::expire(time_point now, member_actions& out)
{
    for (auto const& it : members_.expire(now)) {
        ++counters_.declared_dead;
        updates_.push(it.id);
        out.push_back(member_changed{it});
    }
}

void member_list::impl::tick(time_point now, member_actions& out)
{
    end_probe(now, out);
    relayed_.expire(now);
    start_probe(now, out);
    next_tick_ += settings_.probe_interval;
    if (next_tick_ <= now) {
        next_tick_ = now + settings_.probe_interval;
    }
}

void member_list::impl::end_probe(time_point now, member_actions& out)
{
    if (!probe_) {
        return;
    }
    auto const target = probe_->target;
    probe_.reset();
    if (!members_.suspect(now, target)) {
        return;
    }
    ++counters_.suspected;
    updates_.push(target);
    out.push_back(member_changed{members_.find(target)->info});
}

void member_list::impl::start_probe(time_point now, member_actions& out)
{
    auto const target = schedule_.next_member(members_);
    if (!target) {
        if (auto const seed = schedule_.next_seed(members_, self_)) {
            ++counters_.probes_sent;
            send(*seed, compose(probe_kind::probe, next_sequence_++, {}), out);
        }
        return;
    }
    probe_ =
        current_probe{*target, next_sequence_++, now + settings_.ack_timeout};
    ++counters_.probes_sent;
    auto const& info = members_.find(*target)->info;
    send({info.ip, info.peer_port},
         compose(probe_kind::probe, probe_->sequence, *target), out);
}

void member_list::impl::send_indirect(member_actions& out)
{
    probe_->indirect_sent = true;
    auto const relays =
        schedule_.relays(members_, probe_->target, settings_.indirect_probes);
    for (auto const& id : relays) {
        auto const& info = members_.find(id)->info;
        auto m = compose(probe_kind::indirect, probe_->sequence, id);
        m.target = probe_->target;
        ++counters_.indirect_sent;
        send({info.ip, info.peer_port}, std::move(m), out);
    }
}

// Members lost in a partition, and seeds that belong to a part of the fleet
// that this host has never met, are tried at one low rate together.
void member_list::impl::probe_unreachable(member_actions& out)
{
    auto const seed = schedule_.next_seed(members_, self_);
    auto const dead = schedule_.next_dead(members_);
    if (!seed && !dead) {
        return;
    }
    auto const use_seed = seed && (seed_is_next_ || !dead);
    seed_is_next_ = !use_seed;
    ++counters_.probes_sent;
    if (use_seed) {
        send(*seed, compose(probe_kind::probe, next_sequence_++, {}), out);
        return;
    }
    auto const& info = members_.find(*dead)->info;
    send({info.ip, info.peer_port},
         compose(probe_kind::probe, next_sequence_++, *dead), out);
}

void member_list::impl::join(time_point now, bool list_ended,
                             member_actions& out)
{
    if (list_ended) {
        join_.on_list_ended();
    }
    for (auto const& seed : schedule_.unknown_seeds(members_, self_)) {
        ask(now, seed, out);
    }
    joining_ = true;
}

void member_list::impl::ask(time_point now, member_seed const& host,
                            member_actions& out)
{
    if (join_.ask(now, host)) {
        ++counters_.probes_sent;
        send(host, compose(probe_kind::probe, next_sequence_++, {}), out);
    }
}

void member_list::impl::leave(time_point now, member_actions& out)
{
    note_pause(now);
    self_.state = member_state::leaving;
    updates_.push(self_.id);
    for (auto const& id : schedule_.relays(members_, {}, leave_fanout)) {
        auto const& info = members_.find(id)->info;
        ++counters_.probes_sent;
        send({info.ip, info.peer_port},
             compose(probe_kind::probe, next_sequence_++, id), out);
    }
}

// Without updates, so that the cost per member stays small and the updates'
// own spread does not count these messages.
void member_list::impl::announce(member_actions& out)
{
    for (auto const& id : members_.active()) {
        auto const& info = members_.find(id)->info;
        ++counters_.announced;
        send({info.ip, info.peer_port},
             {.kind = probe_kind::ack,
              .sequence = no_probe,
              .from = self_,
              .config_number = config_number_},
             out);
    }
}

probe_message member_list::impl::compose(probe_kind kind,
                                         std::uint64_t sequence,
                                         host_id const& to)
{
    probe_message m{.kind = kind,
                    .sequence = sequence,
                    .from = self_,
                    .config_number = config_number_};
    add_updates(m, to);
    add_background(m, to);
    return m;
}

void member_list::impl::add_updates(probe_message& m, host_id const& to)
{
    // The receiver itself first, when others hold it for anything but alive:
    // only it can refute that.
    auto const* receiver = members_.find(to);
    if (receiver != nullptr && receiver->info.state != member_state::alive) {
        m.updates.push_back(receiver->info);
    }
    auto const room = settings_.max_updates - m.updates.size();
    for (auto const& id : updates_.take(room, members_.active_count() + 1)) {
        add_member(m, id, to);
    }
}

// Fills the rest of the message with any members, so that a host that has
// just started or that missed an update learns of all.
void member_list::impl::add_background(probe_message& m, host_id const& to)
{
    auto const ids = members_.active();
    if (ids.empty()) {
        return;
    }
    auto const first = random_.below(static_cast<std::uint32_t>(ids.size()));
    for (std::size_t i = 0; i < ids.size(); ++i) {
        if (m.updates.size() >= settings_.max_updates) {
            return;
        }
        add_member(m, ids[(first + i) % ids.size()], to);
    }
}

void member_list::impl::add_member(probe_message& m, host_id const& id,
                                   host_id const& to)
{
    auto const* known = members_.find(id);
    auto const present =
        std::any_of(m.updates.begin(), m.updates.end(),
                    [&](member_info const& it) { return it.id == id; });
    if (known != nullptr && !present && id != to) {
        m.updates.push_back(known->info);
    }
}

void member_list::impl::send(member_seed const& to, probe_message m,
                             member_actions& out)
{
    out.push_back(send_probe{to.ip, to.port, std::move(m)});
}

time_point member_list::impl::next_timer() const
{
    if (!started_) {
        return time_point{};
    }
    auto next = std::min(next_tick_, next_dead_probe_);
    if (probe_ && !probe_->indirect_sent) {
        next = std::min(next, probe_->indirect_at);
    }
    if (auto const expiry = members_.next_expiry()) {
        next = std::min(next, *expiry);
    }
    return next;
}

member_list::member_list(member_list_settings const& settings, member_info self,
                         std::uint64_t seed)
    : impl_(std::make_unique<impl>(settings, std::move(self), seed))
{}

member_list::~member_list() = default;

void member_list::set_seeds(std::vector<member_seed> seeds)
{
    impl_->schedule_.set_seeds(std::move(seeds));
}

void member_list::join(time_point now, bool list_ended, member_actions& out)
{
    impl_->join(now, list_ended, out);
}

bool member_list::joined(time_point now) const
{
    return impl_->join_.over(now);
}

void member_list::set_config_number(std::uint64_t number)
{
    impl_->config_number_ = number;
}

void member_list::on_message(time_point now, probe_message const& message,
                             member_actions& out)
{
    impl_->on_message(now, message, out);
}

void member_list::on_timer(time_point now, member_actions& out)
{
    impl_->on_timer(now, out);
}

void member_list::leave(time_point now, member_actions& out)
{
    impl_->leave(now, out);
}

void member_list::announce(member_actions& out)
{
    impl_->announce(out);
}

time_point member_list::next_timer() const
{
    return impl_->next_timer();
}

member_info const& member_list::self() const
{
    return impl_->self_;
}

std::vector<member_info> member_list::members() const
{
    return impl_->members_.all();
}

std::map<host_id, time_point> member_list::unreachable() const
{
    return impl_->members_.unreachable();
}

member_counters const& member_list::counters() const
{
    return impl_->counters_;
}

} // namespace snipemill
