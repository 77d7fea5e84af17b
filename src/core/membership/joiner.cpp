#include "core/membership/joiner.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace snipemill {

void joiner::join(time_point now, std::vector<member_seed> const& seeds,
                  bool list_ended, member_actions& out)
{
    if (list_ended) {
        wait_.on_list_ended();
    }
    for (auto const& it : seeds) {
        ask(now, it, out);
    }
    joining_ = true;
}

void joiner::on_message(time_point now, probe_message const& m,
                        member_actions& out)
{
    joining_ = joining_ && !wait_.over(now);
    if (!joining_) {
        return;
    }
    ask_alive(now, m.from.id, out);
    auto const n =
        std::min<std::size_t>(m.updates.size(), shared_.settings.max_updates);
    for (std::size_t i = 0; i < n; ++i) {
        ask_alive(now, m.updates[i].id, out);
    }
}

void joiner::on_answer(member_info const& from)
{
    wait_.on_answer({from.ip, from.peer_port});
}

void joiner::ask_alive(time_point now, host_id const& id, member_actions& out)
{
    auto const* const known = shared_.members.find(id);
    if (known != nullptr && known->info.state == member_state::alive) {
        ask(now, {known->info.ip, known->info.peer_port}, out);
    }
}

void joiner::ask(time_point now, member_seed const& host, member_actions& out)
{
    if (!wait_.ask(now, host)) {
        return;
    }
    ++shared_.counters.probes_sent;
    out.push_back(send_probe{
        host.ip, host.port,
        composer_.compose(probe_kind::probe, shared_.next_sequence++, {})});
}

} // namespace snipemill
