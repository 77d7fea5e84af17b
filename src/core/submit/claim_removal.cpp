#include "core/submit/claim_removal.hpp"

#include "core/base/hash.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace snipemill {

namespace {

// Parts of a group's claims: three hexadecimal digits. At 200 submits/s a part
// holds about 4,600 claims, some 2 MB, which is one listing.
constexpr std::size_t parts_per_group = 4096;

std::string part_prefix(std::string_view group, std::size_t part)
{
    std::array<char, 4> digits{};
    std::snprintf(digits.data(), digits.size(), "%03x",
                  static_cast<unsigned>(part));
    std::string out("claims/");
    out.append(group).append("/").append(digits.data());
    return out;
}

// Whether this host lists the part. One host of the view does.
bool is_mine(routing_view const& view, std::string_view prefix)
{
    auto const& hosts = view.owners->hosts();
    return !hosts.empty() &&
           hosts[hash_bytes(prefix) % hosts.size()].id == view.self;
}

} // namespace

void claim_removal::on_timer(time_point now, routing_view const& view,
                             claim_removal_actions& out)
{
    while (!old_.empty() && may_remove(now)) {
        removals_.push_back(now);
        out.emplace_back(std::move(old_.back()));
        old_.pop_back();
    }
    if (old_.empty() && !listing_ && now >= next_list_) {
        list_next(now, view, out);
    }
}

bool claim_removal::may_remove(time_point now)
{
    while (!removals_.empty() &&
           removals_.front() + std::chrono::seconds(1) <= now) {
        removals_.pop_front();
    }
    return removals_.size() < settings_.removals_per_second;
}

void claim_removal::list_next(time_point now, routing_view const& view,
                              claim_removal_actions& out)
{
    auto const& groups = view.config->groups();
    auto const parts = groups.size() * parts_per_group;
    next_list_ = now + settings_.list_interval;
    for (std::size_t i = 0; i < parts; ++i) {
        auto const at = next_part_++ % parts;
        auto const& group = groups[at / parts_per_group].object.name;
        auto prefix = part_prefix(group, at % parts_per_group);
        if (!is_mine(view, prefix)) {
            continue;
        }
        auto const own =
            std::max<std::size_t>(1, parts / view.owners->hosts().size());
        auto const share =
            settings_.sweep_interval / static_cast<std::int64_t>(own);
        next_list_ = now + std::max(settings_.list_interval, share);
        listing_ = true;
        out.emplace_back(list_claims{.prefix = std::move(prefix)});
        return;
    }
}

void claim_removal::on_listed(std::uint64_t wall_ms,
                              std::vector<listed_claim> const& found)
{
    listing_ = false;
    auto const age = std::max(settings_.claim_age, min_claim_age);
    auto const limit = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
    for (auto const& it : found) {
        // A time of 0 is not a clock reading; a later time than now is that of
        // a host whose clock is ahead.
        if (it.created != 0 && it.created <= wall_ms &&
            wall_ms - it.created >= limit) {
            old_.push_back({.key = it.key, .version = it.version});
        }
    }
}

void claim_removal::on_failed()
{
    listing_ = false;
    old_.clear();
}

} // namespace snipemill
