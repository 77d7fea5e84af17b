#include "core/membership/probe_schedule.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

void probe_schedule::set_seeds(std::vector<member_seed> seeds)
{
    seeds_ = std::move(seeds);
    next_seed_ = seeds_.empty()
                     ? 0
                     : random_.below(static_cast<std::uint32_t>(seeds_.size()));
}

std::optional<host_id> probe_schedule::next_member(member_table const& members)
{
    if (!suspect_was_last_) {
        if (auto suspect = next_suspect(members)) {
            suspect_was_last_ = true;
            return suspect;
        }
    }
    suspect_was_last_ = false;
    // At most two rounds: what is left of the old one, then a new one.
    for (int i = 0; i < 2; ++i) {
        while (!round_.empty()) {
            auto const id = round_.back();
            round_.pop_back();
            auto const* known = members.find(id);
            if (known != nullptr && takes_part(known->info)) {
                return id;
            }
        }
        refill(members);
    }
    return std::nullopt;
}

std::optional<host_id> probe_schedule::next_suspect(member_table const& members)
{
    auto const suspects = members.own_suspects();
    if (suspects.empty()) {
        return std::nullopt;
    }
    return suspects[next_suspect_++ % suspects.size()];
}

std::optional<host_id> probe_schedule::next_dead(member_table const& members)
{
    auto const dead = members.dead();
    if (dead.empty()) {
        return std::nullopt;
    }
    // Starts anywhere, so that hosts that lost the same members do not all
    // probe the same one.
    if (next_dead_ == 0) {
        next_dead_ = random_.below(static_cast<std::uint32_t>(dead.size()));
    }
    return dead[next_dead_++ % dead.size()];
}

std::optional<member_seed>
probe_schedule::next_seed(member_table const& members, member_info const& self)
{
    for (std::size_t i = 0; i < seeds_.size(); ++i) {
        auto const& seed = seeds_[next_seed_++ % seeds_.size()];
        if (unknown(members, self, seed)) {
            return seed;
        }
    }
    return std::nullopt;
}

std::vector<member_seed>
probe_schedule::unknown_seeds(member_table const& members,
                              member_info const& self) const
{
    std::vector<member_seed> out;
    for (std::size_t i = 0; i < seeds_.size(); ++i) {
        auto const& seed = seeds_[(next_seed_ + i) % seeds_.size()];
        if (unknown(members, self, seed)) {
            out.push_back(seed);
        }
    }
    return out;
}

bool probe_schedule::unknown(member_table const& members,
                             member_info const& self, member_seed const& seed)
{
    auto const own = seed.ip == self.ip && seed.port == self.peer_port;
    return !own && !members.knows_address(seed);
}

std::vector<host_id> probe_schedule::relays(member_table const& members,
                                            host_id const& target,
                                            std::size_t n)
{
    auto ids = members.active();
    std::erase(ids, target);
    std::erase_if(ids, [&](host_id const& id) {
        return members.find(id)->info.state == member_state::suspect;
    });
    shuffle(ids);
    ids.resize(std::min(n, ids.size()));
    return ids;
}

void probe_schedule::refill(member_table const& members)
{
    round_ = members.active();
    shuffle(round_);
}

void probe_schedule::shuffle(std::vector<host_id>& ids)
{
    for (auto i = ids.size(); i > 1; --i) {
        auto const j = random_.below(static_cast<std::uint32_t>(i));
        std::swap(ids[i - 1], ids[j]);
    }
}

} // namespace snipemill
