#include "core/membership/member_list.hpp"

#include "core/membership/joiner.hpp"
#include "core/membership/probe_responder.hpp"
#include "core/membership/prober.hpp"
#include "core/membership/update_merger.hpp"

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

// Passes messages and timers to the parts of the protocol.
class member_list::impl
{
public:
    impl(member_list_settings const& settings, member_info self,
         std::uint64_t seed)
        : shared_(settings, std::move(self), seed), composer_(shared_),
          merger_(shared_), prober_(shared_, composer_),
          responder_(shared_, composer_), joiner_(shared_, composer_)
    {
        assert(settings.max_updates > 0);
    }

    void set_seeds(std::vector<member_seed> seeds)
    {
        prober_.set_seeds(std::move(seeds));
    }
    void on_message(time_point now, probe_message const& m,
                    member_actions& out);
    void on_timer(time_point now, member_actions& out);
    void join(time_point now, bool list_ended, member_actions& out);
    bool joined(time_point now) const { return joiner_.joined(now); }
    void leave(time_point now, member_actions& out);
    void announce(member_actions& out);
    time_point next_timer() const;

    membership_shared shared_;

private:
    void note_pause(time_point now);

    message_composer composer_;
    update_merger merger_;
    prober prober_;
    probe_responder responder_;
    joiner joiner_;
};

void member_list::impl::on_message(time_point now, probe_message const& m,
                                   member_actions& out)
{
    // A seed may lead back to this host.
    if (m.from.id == shared_.self.id || m.from.id.value.empty()) {
        return;
    }
    note_pause(now);
    auto const refuted_before = shared_.counters.refuted;
    merger_.merge(now, m, out);
    joiner_.on_message(now, m, out);
    if (shared_.members.find(m.from.id) == nullptr) {
        return;
    }
    shared_.members.on_contact(m.from.id);
    out.push_back(member_config{m.from.id, m.config_number});
    switch (m.kind) {
    case probe_kind::probe:
        responder_.on_probe(m, out);
        break;
    case probe_kind::ack:
        // An announcement carries no updates, so it tells nothing of others.
        if (m.sequence != no_probe) {
            joiner_.on_answer(m.from);
        }
        if (!prober_.on_ack(m)) {
            responder_.on_ack(m, out);
        }
        break;
    case probe_kind::indirect:
        responder_.on_indirect(now, m, out);
        break;
    }
    // The answer to a probe carries the new incarnation anyway.
    if (shared_.counters.refuted != refuted_before &&
        m.kind != probe_kind::probe) {
        send_to(shared_.members.find(m.from.id)->info,
                composer_.compose(probe_kind::ack, no_probe, m.from.id), out);
    }
}

void member_list::impl::note_pause(time_point now)
{
    auto const pause = prober_.note_pause(now);
    if (pause > duration{}) {
        joiner_.extend(pause);
        responder_.clear();
    }
}

void member_list::impl::join(time_point now, bool list_ended,
                             member_actions& out)
{
    joiner_.join(now, prober_.unknown_seeds(), list_ended, out);
}

void member_list::impl::on_timer(time_point now, member_actions& out)
{
    prober_.start(now);
    note_pause(now);
    merger_.expire(now, out);
    if (prober_.on_timer(now, out)) {
        responder_.expire(now);
    }
}

void member_list::impl::leave(time_point now, member_actions& out)
{
    note_pause(now);
    shared_.self.state = member_state::leaving;
    shared_.updates.push(shared_.self.id);
    prober_.probe_any(leave_fanout, out);
}

// Without updates, so that the cost per member stays small and the updates'
// own spread does not count these messages.
void member_list::impl::announce(member_actions& out)
{
    for (auto const& id : shared_.members.active()) {
        ++shared_.counters.announced;
        send_to(shared_.members.find(id)->info,
                composer_.bare(probe_kind::ack, no_probe), out);
    }
}

time_point member_list::impl::next_timer() const
{
    if (!prober_.started()) {
        return time_point{};
    }
    auto const next = prober_.next_timer();
    auto const expiry = shared_.members.next_expiry();
    return expiry ? std::min(next, *expiry) : next;
}

member_list::member_list(member_list_settings const& settings, member_info self,
                         std::uint64_t seed)
    : impl_(std::make_unique<impl>(settings, std::move(self), seed))
{}

member_list::~member_list() = default;

void member_list::set_seeds(std::vector<member_seed> seeds)
{
    impl_->set_seeds(std::move(seeds));
}

void member_list::join(time_point now, bool list_ended, member_actions& out)
{
    impl_->join(now, list_ended, out);
}

bool member_list::joined(time_point now) const
{
    return impl_->joined(now);
}

void member_list::set_config_number(std::uint64_t number)
{
    impl_->shared_.config_number = number;
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
    return impl_->shared_.self;
}

std::vector<member_info> member_list::members() const
{
    return impl_->shared_.members.all();
}

std::map<host_id, time_point> member_list::unreachable() const
{
    return impl_->shared_.members.unreachable();
}

member_counters const& member_list::counters() const
{
    return impl_->shared_.counters;
}

} // namespace snipemill
