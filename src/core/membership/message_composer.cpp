#include "core/membership/message_composer.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace snipemill {

probe_message message_composer::bare(probe_kind kind,
                                     std::uint64_t sequence) const
{
    return {.kind = kind,
            .sequence = sequence,
            .from = shared_.self,
            .config_number = shared_.config_number};
}

probe_message message_composer::compose(probe_kind kind, std::uint64_t sequence,
                                        host_id const& to)
{
    auto m = bare(kind, sequence);
    add_updates(m, to);
    add_background(m, to);
    return m;
}

void message_composer::add_updates(probe_message& m, host_id const& to)
{
    // The receiver itself first, when others hold it for anything but alive:
    // only it can refute that.
    auto const* receiver = shared_.members.find(to);
    if (receiver != nullptr && receiver->info.state != member_state::alive) {
        m.updates.push_back(receiver->info);
    }
    auto const room = shared_.settings.max_updates - m.updates.size();
    auto const fleet_size = shared_.members.active_count() + 1;
    for (auto const& id : shared_.updates.take(room, fleet_size)) {
        add_member(m, id, to);
    }
}

// Fills the rest of the message with any members, so that a host that has
// just started or that missed an update learns of all.
void message_composer::add_background(probe_message& m, host_id const& to)
{
    auto const ids = shared_.members.active();
    if (ids.empty()) {
        return;
    }
    auto const first =
        shared_.random.below(static_cast<std::uint32_t>(ids.size()));
    for (std::size_t i = 0; i < ids.size(); ++i) {
        if (m.updates.size() >= shared_.settings.max_updates) {
            return;
        }
        add_member(m, ids[(first + i) % ids.size()], to);
    }
}

void message_composer::add_member(probe_message& m, host_id const& id,
                                  host_id const& to)
{
    auto const* known = shared_.members.find(id);
    auto const present =
        std::any_of(m.updates.begin(), m.updates.end(),
                    [&](member_info const& it) { return it.id == id; });
    if (known != nullptr && !present && id != to) {
        m.updates.push_back(known->info);
    }
}

void send_to(member_info const& to, probe_message m, member_actions& out)
{
    out.push_back(send_probe{to.ip, to.peer_port, std::move(m)});
}

} // namespace snipemill
