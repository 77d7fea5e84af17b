#include "core/membership/probe_responder.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace snipemill {

void probe_responder::on_probe(probe_message const& m, member_actions& out)
{
    ++shared_.counters.acks_sent;
    auto answer = composer_.compose(probe_kind::ack, m.sequence, m.from.id);
    // A host that started again with its clock set back takes a higher
    // incarnation when it learns of the one it had.
    auto const& known = shared_.members.find(m.from.id)->info;
    if (known.state == member_state::alive && supersedes(known, m.from)) {
        answer.updates.resize(std::min<std::size_t>(
            answer.updates.size(), shared_.settings.max_updates - 1));
        answer.updates.push_back(known);
    }
    // To the address in the message: what is known of the sender may be of
    // an earlier start.
    send_to(m.from, std::move(answer), out);
}

void probe_responder::on_indirect(time_point now, probe_message const& m,
                                  member_actions& out)
{
    auto const* target = shared_.members.find(m.target);
    if (target == nullptr || relayed_.full()) {
        return;
    }
    auto const sequence = shared_.next_sequence++;
    relayed_.add({.sequence = sequence,
                  .asked_sequence = m.sequence,
                  .target = m.target,
                  .asker = {m.from.ip, m.from.peer_port},
                  .expires = now + shared_.settings.probe_interval});
    ++shared_.counters.indirect_sent;
    send_to(target->info,
            composer_.compose(probe_kind::probe, sequence, m.target), out);
}

void probe_responder::on_ack(probe_message const& m, member_actions& out)
{
    auto const relayed = relayed_.take(m.sequence, m.from.id);
    if (!relayed) {
        return;
    }
    auto answer =
        composer_.compose(probe_kind::ack, relayed->asked_sequence, m.from.id);
    answer.target = relayed->target;
    out.push_back(
        send_probe{relayed->asker.ip, relayed->asker.port, std::move(answer)});
}

} // namespace snipemill
