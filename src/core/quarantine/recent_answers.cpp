#include "core/quarantine/recent_answers.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

void recent_answers::add(fingerprint print, time_point now)
{
    if (newer_.size() >= std::max<std::size_t>(1, settings_.max_entries / 2) ||
        now - begun_at_ >= settings_.lifetime) {
        older_ = std::exchange(newer_, {});
        begun_at_ = now;
    }
    newer_[print] = now;
}

bool recent_answers::contains(fingerprint print, time_point now) const
{
    auto const holds = [&](table const& it) {
        auto const found = it.find(print);
        return found != it.end() && now - found->second < settings_.lifetime;
    };
    return holds(newer_) || holds(older_);
}

} // namespace snipemill
