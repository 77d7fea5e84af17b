#include "core/membership/prober.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

prober::prober(membership_shared& shared, message_composer& composer)
    : shared_(shared), composer_(composer), schedule_(shared.random)
{}

void prober::set_seeds(std::vector<member_seed> seeds)
{
    schedule_.set_seeds(std::move(seeds));
}

std::vector<member_seed> prober::unknown_seeds() const
{
    return schedule_.unknown_seeds(shared_.members, shared_.self);
}

void prober::start(time_point now)
{
    if (started_) {
        return;
    }
    started_ = true;
    next_tick_ = now;
    // Hosts started together spread their low-rate probes.
    next_dead_probe_ = now + shared_.settings.dead_probe_interval *
                                 (shared_.random.below(1000) + 1) / 1000;
}

duration prober::note_pause(time_point now)
{
    if (!started_ || now <= next_tick_ + shared_.settings.probe_interval) {
        return duration{};
    }
    auto const pause = now - next_tick_;
    shared_.members.extend(pause);
    probe_.reset();
    next_tick_ = now;
    return pause;
}

bool prober::on_timer(time_point now, member_actions& out)
{
    if (probe_ && !probe_->indirect_sent && probe_->indirect_at <= now) {
        send_indirect(out);
    }
    auto const interval_begins = next_tick_ <= now;
    if (interval_begins) {
        end_probe(now, out);
        start_probe(now, out);
        next_tick_ += shared_.settings.probe_interval;
        if (next_tick_ <= now) {
            next_tick_ = now + shared_.settings.probe_interval;
        }
    }
    if (next_dead_probe_ <= now) {
        next_dead_probe_ = now + shared_.settings.dead_probe_interval;
        shared_.members.forget(now);
        probe_unreachable(out);
    }
    return interval_begins;
}

bool prober::on_ack(probe_message const& m)
{
    if (!probe_ || probe_->sequence != m.sequence ||
        (m.from.id != probe_->target && m.target != probe_->target)) {
        return false;
    }
    probe_.reset();
    return true;
}

void prober::end_probe(time_point now, member_actions& out)
{
    if (!probe_) {
        return;
    }
    auto const target = probe_->target;
    probe_.reset();
    if (!shared_.members.suspect(now, target)) {
        return;
    }
    ++shared_.counters.suspected;
    shared_.updates.push(target);
    out.push_back(member_changed{shared_.members.find(target)->info});
}

void prober::start_probe(time_point now, member_actions& out)
{
    auto const target = schedule_.next_member(shared_.members);
    if (!target) {
        if (auto const seed =
                schedule_.next_seed(shared_.members, shared_.self)) {
            probe_seed(*seed, out);
        }
        return;
    }
    auto const sequence = shared_.next_sequence++;
    probe_ =
        current_probe{*target, sequence, now + shared_.settings.ack_timeout};
    probe_member(*target, sequence, out);
}

void prober::send_indirect(member_actions& out)
{
    probe_->indirect_sent = true;
    auto const relays = schedule_.relays(shared_.members, probe_->target,
                                         shared_.settings.indirect_probes);
    for (auto const& id : relays) {
        auto m = composer_.compose(probe_kind::indirect, probe_->sequence, id);
        m.target = probe_->target;
        ++shared_.counters.indirect_sent;
        send_to(shared_.members.find(id)->info, std::move(m), out);
    }
}

// Members lost in a partition, and seeds that belong to a part of the fleet
// that this host has never met, are tried at one low rate together.
void prober::probe_unreachable(member_actions& out)
{
    auto const seed = schedule_.next_seed(shared_.members, shared_.self);
    auto const dead = schedule_.next_dead(shared_.members);
    if (!seed && !dead) {
        return;
    }
    auto const use_seed = seed && (seed_is_next_ || !dead);
    seed_is_next_ = !use_seed;
    if (use_seed) {
        probe_seed(*seed, out);
        return;
    }
    probe_member(*dead, shared_.next_sequence++, out);
}

void prober::probe_any(std::size_t n, member_actions& out)
{
    for (auto const& id : schedule_.relays(shared_.members, {}, n)) {
        probe_member(id, shared_.next_sequence++, out);
    }
}

void prober::probe_member(host_id const& id, std::uint64_t sequence,
                          member_actions& out)
{
    ++shared_.counters.probes_sent;
    send_to(shared_.members.find(id)->info,
            composer_.compose(probe_kind::probe, sequence, id), out);
}

void prober::probe_seed(member_seed const& seed, member_actions& out)
{
    ++shared_.counters.probes_sent;
    out.push_back(send_probe{
        seed.ip, seed.port,
        composer_.compose(probe_kind::probe, shared_.next_sequence++, {})});
}

time_point prober::next_timer() const
{
    auto next = std::min(next_tick_, next_dead_probe_);
    if (probe_ && !probe_->indirect_sent) {
        next = std::min(next, probe_->indirect_at);
    }
    return next;
}

} // namespace snipemill
