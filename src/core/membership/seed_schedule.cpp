#include "core/membership/seed_schedule.hpp"

namespace snipemill {

seed_schedule::seed_schedule(seed_schedule_settings const& settings,
                             std::uint64_t seed)
    : settings_(settings), random_(seed)
{}

void seed_schedule::start(time_point now)
{
    auto const factor = 1 + settings_.jitter * (2 * random_.unit() - 1);
    auto const mean = static_cast<double>(settings_.interval.count());
    next_ = now + duration(static_cast<duration::rep>(mean * factor));
}

bool seed_schedule::due(time_point now, bool reader)
{
    if (now < next_) {
        return false;
    }
    start(now);
    return reader;
}

} // namespace snipemill
