#include "core/membership/update_merger.hpp"

#include <algorithm>
#include <cstddef>

namespace snipemill {

void update_merger::merge(time_point now, probe_message const& m,
                          member_actions& out)
{
    learn(now, m.from, out);
    auto const n =
        std::min<std::size_t>(m.updates.size(), shared_.settings.max_updates);
    for (std::size_t i = 0; i < n; ++i) {
        learn(now, m.updates[i], out);
    }
}

void update_merger::learn(time_point now, member_info const& news,
                          member_actions& out)
{
    if (news.id == shared_.self.id) {
        if (refute(news)) {
            shared_.updates.push(shared_.self.id);
        }
        return;
    }
    auto const* before = shared_.members.find(news.id);
    auto const old_state =
        before == nullptr ? member_state::alive : before->info.state;
    auto const result = shared_.members.apply(now, news);
    if (result == member_table::outcome::ignored) {
        return;
    }
    shared_.updates.push(news.id);
    if (result == member_table::outcome::changed) {
        shared_.counters.suspected += news.state == member_state::suspect &&
                                              old_state != member_state::suspect
                                          ? 1
                                          : 0;
        out.push_back(member_changed{news});
    }
}

// Returns whether others held something older or wrong about this host.
bool update_merger::refute(member_info const& news)
{
    if (!supersedes(news, shared_.self) || news.incarnation > max_incarnation) {
        return false;
    }
    shared_.self.incarnation = news.incarnation + 1;
    ++shared_.counters.refuted;
    return true;
}

void update_merger::expire(time_point now, member_actions& out)
{
    for (auto const& it : shared_.members.expire(now)) {
        ++shared_.counters.declared_dead;
        shared_.updates.push(it.id);
        out.push_back(member_changed{it});
    }
}

} // namespace snipemill
