#include "core/membership/member_table.hpp"

#include <algorithm>

namespace snipemill {

namespace {

// Several times the target of 480 hosts with a day's replacements of 520; a
// bound on memory when a faulty peer makes members up.
constexpr std::size_t max_members = 4096;

bool valid(member_info const& m)
{
    return !m.id.value.empty() && !m.ip.empty() && m.peer_port != 0 &&
           m.incarnation <= max_incarnation;
}

bool same_place(member_info const& a, member_info const& b)
{
    return a.ip == b.ip && a.peer_port == b.peer_port &&
           a.operator_port == b.operator_port && a.data_centre == b.data_centre;
}

} // namespace

int state_rank(member_state s)
{
    return static_cast<int>(s);
}

bool supersedes(member_info const& news, member_info const& known)
{
    if (news.incarnation != known.incarnation) {
        return news.incarnation > known.incarnation;
    }
    return state_rank(news.state) > state_rank(known.state);
}

bool takes_part(member_info const& m)
{
    return m.state != member_state::dead;
}

member_table::member_table(member_list_settings const& settings,
                           std::string data_centre)
    : settings_(settings), data_centre_(std::move(data_centre))
{}

member_table::outcome member_table::apply(time_point now,
                                          member_info const& news)
{
    if (!valid(news)) {
        return outcome::ignored;
    }
    auto it = records_.find(news.id);
    if (it == records_.end()) {
        // News of the death of an unknown member has no use, and would bring
        // back members that were forgotten.
        if (!takes_part(news) || records_.size() >= max_members) {
            return outcome::ignored;
        }
        it = records_.emplace(news.id, member_record{news, now, {}}).first;
        set_timer(now, it->second);
        return outcome::changed;
    }
    auto& known = it->second;
    if (!supersedes(news, known.info)) {
        return outcome::ignored;
    }
    auto const changed =
        news.state != known.info.state || !same_place(news, known.info);
    known.info = news;
    known.changed_at = now;
    set_timer(now, known);
    return changed ? outcome::changed : outcome::refreshed;
}

void member_table::note_reachable(time_point now, member_record& r)
{
    auto const unreachable = r.info.state == member_state::suspect ||
                             r.info.state == member_state::dead;
    if (!unreachable) {
        r.unreachable_since.reset();
    }
    else if (!r.unreachable_since) {
        r.unreachable_since = now;
    }
}

std::map<host_id, time_point> member_table::unreachable() const
{
    std::map<host_id, time_point> out;
    for (auto const& [id, r] : records_) {
        if (r.unreachable_since) {
            out.emplace(id, *r.unreachable_since);
        }
    }
    return out;
}

void member_table::set_timer(time_point now, member_record& r)
{
    note_reachable(now, r);
    if (r.info.state != member_state::suspect) {
        r.dead_at.reset();
        r.own_suspicion = false;
        return;
    }
    auto const local = r.info.data_centre == data_centre_;
    r.dead_at =
        now + (local ? settings_.local_suspicion : settings_.remote_suspicion);
}

bool member_table::suspect(time_point now, host_id const& id)
{
    auto const it = records_.find(id);
    if (it == records_.end() || !takes_part(it->second.info)) {
        return false;
    }
    auto& r = it->second;
    r.own_suspicion = true;
    if (r.info.state == member_state::alive) {
        r.info.state = member_state::suspect;
        r.changed_at = now;
        set_timer(now, r);
        return true;
    }
    // A leaving member keeps its state, so that its end is not taken for a
    // failure before the time is over.
    if (r.info.state == member_state::leaving && !r.dead_at) {
        auto const local = r.info.data_centre == data_centre_;
        r.dead_at = now + (local ? settings_.local_suspicion
                                 : settings_.remote_suspicion);
    }
    return false;
}

void member_table::on_contact(host_id const& id)
{
    auto const it = records_.find(id);
    if (it != records_.end() &&
        it->second.info.state == member_state::leaving) {
        it->second.dead_at.reset();
        it->second.own_suspicion = false;
    }
}

std::vector<member_info> member_table::expire(time_point now)
{
    std::vector<member_info> expired;
    for (auto& [id, r] : records_) {
        if (r.dead_at && *r.dead_at <= now) {
            r.info.state = member_state::dead;
            r.changed_at = now;
            set_timer(now, r);
            expired.push_back(r.info);
        }
    }
    return expired;
}

void member_table::forget(time_point now)
{
    std::erase_if(records_, [&](auto const& it) {
        return it.second.info.state == member_state::dead &&
               it.second.changed_at + settings_.forget_dead_after <= now;
    });
}

void member_table::extend(duration pause)
{
    for (auto& [id, r] : records_) {
        if (r.dead_at) {
            *r.dead_at += pause;
        }
    }
}

member_record const* member_table::find(host_id const& id) const
{
    auto const it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second;
}

std::optional<time_point> member_table::next_expiry() const
{
    std::optional<time_point> next;
    for (auto const& [id, r] : records_) {
        if (r.dead_at && (!next || *r.dead_at < *next)) {
            next = r.dead_at;
        }
    }
    return next;
}

std::vector<member_info> member_table::all() const
{
    std::vector<member_info> found;
    found.reserve(records_.size());
    for (auto const& [id, r] : records_) {
        found.push_back(r.info);
    }
    return found;
}

std::vector<host_id> member_table::active() const
{
    std::vector<host_id> found;
    for (auto const& [id, r] : records_) {
        if (takes_part(r.info)) {
            found.push_back(id);
        }
    }
    return found;
}

std::vector<host_id> member_table::dead() const
{
    std::vector<host_id> found;
    for (auto const& [id, r] : records_) {
        if (!takes_part(r.info)) {
            found.push_back(id);
        }
    }
    return found;
}

std::vector<host_id> member_table::own_suspects() const
{
    std::vector<host_id> found;
    for (auto const& [id, r] : records_) {
        if (r.own_suspicion && r.dead_at) {
            found.push_back(id);
        }
    }
    return found;
}

std::size_t member_table::active_count() const
{
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(), [](auto const& it) {
            return takes_part(it.second.info);
        }));
}

bool member_table::knows_address(member_seed const& address) const
{
    return std::any_of(records_.begin(), records_.end(), [&](auto const& it) {
        return takes_part(it.second.info) && it.second.info.ip == address.ip &&
               it.second.info.peer_port == address.port;
    });
}

} // namespace snipemill
