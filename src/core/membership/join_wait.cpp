#include "core/membership/join_wait.hpp"

#include <algorithm>

namespace snipemill {

join_wait::join_wait(join_settings const& settings) : settings_(settings) {}

bool join_wait::ask(time_point now, member_seed const& host)
{
    if (asked_.size() >= settings_.max_asked ||
        std::find(asked_.begin(), asked_.end(), host) != asked_.end()) {
        return false;
    }
    asked_.push_back(host);
    awaited_.push_back(host);
    if (asked_.size() == 1) {
        limit_ = now + 2 * settings_.answer_time;
    }
    deadline_ = std::min(now + settings_.answer_time, limit_);
    return true;
}

void join_wait::on_answer(member_seed const& from)
{
    // Also of a host that was not asked: its answer tells of the others too.
    answered_ = true;
    std::erase(awaited_, from);
}

bool join_wait::over(time_point now) const
{
    return (answered_ || list_ended_) && (awaited_.empty() || deadline_ <= now);
}

} // namespace snipemill
