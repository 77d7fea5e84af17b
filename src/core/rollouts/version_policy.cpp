#include "core/rollouts/version_policy.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace snipemill {

void version_policy::update(std::vector<upstream_record> const& upstreams,
                            std::vector<rollout_entry> const& entries,
                            bool complete)
{
    entries_.clear();
    for (auto const& it : entries) {
        entries_[it.service] = it;
    }
    std::erase_if(instructions_, [this](auto const& it) {
        auto const entry = entries_.find(it.first);
        return entry != entries_.end() &&
               (entry->second.target_version !=
                    it.second.value.target_version ||
                entry->second.state() == rollout_state::ordered);
    });
    if (!complete_) {
        in_use_.clear();
    }
    complete_ = complete_ || complete;
    learn(upstreams);
    for (auto const& it : entries) {
        apply_status(it);
    }
}

// The upstream that started first has the version in use: the platform starts
// those of a new version beside it. The target of an order that no host has
// begun is not in use, unless it is the only version.
void version_policy::learn(std::vector<upstream_record> const& upstreams)
{
    struct oldest
    {
        std::pair<bool, std::int64_t> rank{
            true, std::numeric_limits<std::int64_t>::max()};
        std::string version;
        bool found = false;
    };
    std::unordered_map<std::string, oldest> found;
    for (auto const& it : upstreams) {
        if (in_use_.contains(it.service)) {
            continue;
        }
        auto const entry = entries_.find(it.service);
        bool const is_target = entry != entries_.end() &&
                               entry->second.target_version == it.version;
        auto& best = found[it.service];
        auto const rank = std::pair(is_target, it.started_ms);
        if (!best.found || rank < best.rank) {
            best = {.rank = rank, .version = it.version, .found = true};
        }
    }
    for (auto& [service, it] : found) {
        in_use_[service] = std::move(it.version);
    }
}

void version_policy::apply_status(rollout_entry const& entry)
{
    auto const& status = entry.status;
    switch (status.state) {
    case rollout_state::ordered:
        return;
    case rollout_state::succeeded:
        in_use_[entry.service] = status.target_version;
        return;
    case rollout_state::running:
    case rollout_state::rolled_back:
        if (status.previous_version != status.target_version) {
            in_use_[entry.service] = status.previous_version;
        }
        return;
    }
}

bool version_policy::on_instruction(rollout_instruction const& it,
                                    time_point now)
{
    auto const entry = entries_.find(it.service);
    if (entry != entries_.end() &&
        (entry->second.target_version != it.target_version ||
         entry->second.status.token > it.token)) {
        return false;
    }
    auto& held = instructions_[it.service];
    if (held.value.target_version != it.target_version) {
        held = {};
    }
    if (std::pair(it.token, it.number) <=
        std::pair(held.value.token, held.value.number)) {
        return false;
    }
    held.value = it;
    held.until = now + settings_.lease;
    held.moved = held.moved || it.share >= 1;
    held.rolled_back =
        held.rolled_back || it.state == rollout_state::rolled_back;
    return true;
}

version_share version_policy::share_of(std::string const& service,
                                       std::string const& used,
                                       time_point now) const
{
    version_share out{.serving = used};
    auto const held = instructions_.find(service);
    if (held == instructions_.end() ||
        held->second.value.target_version == used || is_ended(service)) {
        return out;
    }
    auto const& it = held->second;
    auto const& target = it.value.target_version;
    bool const expired = now >= it.until;
    if (it.value.state == rollout_state::succeeded ||
        (!it.rolled_back && !expired && it.value.share >= 1)) {
        out.serving = target;
    }
    else if (!it.rolled_back && (!expired || it.moved)) {
        out.canary = target;
        out.has_canary = true;
        out.fallback = expired;
        out.share = expired ? 0 : it.value.share;
    }
    return out;
}

// The status in the store outweighs the instructions before it.
bool version_policy::is_ended(std::string const& service) const
{
    auto const entry = entries_.find(service);
    if (entry == entries_.end()) {
        return false;
    }
    auto const state = entry->second.state();
    return state == rollout_state::succeeded ||
           state == rollout_state::rolled_back;
}

version_shares version_policy::shares(time_point now) const
{
    version_shares out;
    for (auto const& [service, used] : in_use_) {
        out.emplace(service, share_of(service, used, now));
    }
    return out;
}

std::optional<time_point> version_policy::next_change(time_point now) const
{
    std::optional<time_point> out;
    for (auto const& [service, it] : instructions_) {
        if (it.until > now) {
            out = out ? std::min(*out, it.until) : it.until;
        }
    }
    return out;
}

std::string version_policy::in_use(std::string const& service) const
{
    auto const it = in_use_.find(service);
    return it != in_use_.end() ? it->second : std::string();
}

std::string version_policy::decider(std::string const& service) const
{
    rollout_status known;
    auto const entry = entries_.find(service);
    if (entry != entries_.end()) {
        known = entry->second.status;
    }
    auto const held = instructions_.find(service);
    auto const& out =
        held != instructions_.end() && held->second.value.token >= known.token
            ? held->second.value.decider
            : known.decider;
    return out.substr(0, out.rfind('/'));
}

} // namespace snipemill
