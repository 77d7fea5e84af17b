#include "core/config/config_store.hpp"

#include "core/config/config_size.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace snipemill {

namespace {

void trim_history(std::vector<ticket_summary>& history)
{
    if (history.size() > max_history) {
        auto const excess = history.size() - max_history;
        history.erase(
            history.begin(),
            std::next(history.begin(), static_cast<std::ptrdiff_t>(excess)));
    }
}

// Keeps the newest tickets that fit the limits of the head.
void trim_recent(std::vector<ticket>& recent)
{
    std::size_t bytes = 0;
    std::size_t kept = 0;
    for (auto it = recent.rbegin(); it != recent.rend(); ++it) {
        bytes += estimated_size(*it);
        if (bytes > max_head_bytes || kept == max_head_tickets) {
            break;
        }
        ++kept;
    }
    recent.erase(recent.begin(),
                 std::prev(recent.end(), static_cast<std::ptrdiff_t>(kept)));
}

} // namespace

void apply_ticket(config_snapshot& state, ticket const& change)
{
    for (auto const& it : change.objects) {
        if (std::holds_alternative<removed_object>(it)) {
            state.objects.erase(object_key(it));
        }
        else {
            state.objects.insert_or_assign(object_key(it), it);
        }
    }
    state.number = change.number;
    state.history.push_back(
        {change.number, change.author, change.reason, change.nonce});
    trim_history(state.history);
}

bool config_store::adopt(config_snapshot state)
{
    if (state.number <= state_.number) {
        return false;
    }
    state_ = std::move(state);
    trim_history(state_.history);
    recent_.clear();
    return true;
}

bool config_store::adopt(std::vector<ticket> const& tickets)
{
    auto const before = state_.number;
    for (auto const& it : tickets) {
        if (it.number <= state_.number) {
            continue;
        }
        if (it.number != state_.number + 1) {
            break;
        }
        apply_ticket(state_, it);
        recent_.push_back(it);
    }
    trim_recent(recent_);
    return state_.number > before;
}

bool config_store::adopt(config_push push)
{
    if (auto const* tickets = std::get_if<std::vector<ticket>>(&push)) {
        return adopt(*tickets);
    }
    return adopt(std::get<config_snapshot>(std::move(push)));
}

config_push config_store::since(std::uint64_t number) const
{
    if (number >= state_.number) {
        return std::vector<ticket>();
    }
    auto const missing = state_.number - number;
    if (missing > recent_.size()) {
        return state_;
    }
    auto const first =
        std::prev(recent_.end(), static_cast<std::ptrdiff_t>(missing));
    return std::vector<ticket>(first, recent_.end());
}

} // namespace snipemill
