#include "core/quarantine/crash_bursts.hpp"

#include <algorithm>
#include <iterator>

namespace snipemill {

namespace {

constexpr duration window = from_ms(1000);

// More records than this wait for probes instead.
constexpr std::size_t max_waiting = 64;

} // namespace

crash_bursts::crash_bursts(crash_burst_settings const& settings)
    : settings_(settings)
{}

void crash_bursts::add(fingerprint print)
{
    auto const known = std::find(waiting_.begin(), waiting_.end(), print);
    if (known == waiting_.end() && waiting_.size() < max_waiting &&
        settings_.per_second > 0) {
        waiting_.push_back(print);
    }
}

std::vector<fingerprint> crash_bursts::take(time_point now)
{
    std::erase_if(sent_, [&](time_point at) { return at + window <= now; });
    if (waiting_.empty() || sent_.size() >= settings_.per_second) {
        return {};
    }
    sent_.push_back(now);
    auto const n = std::min(settings_.max_records, waiting_.size());
    auto const end = waiting_.begin() + static_cast<std::ptrdiff_t>(n);
    std::vector<fingerprint> out(waiting_.begin(), end);
    waiting_.erase(waiting_.begin(), end);
    return out;
}

} // namespace snipemill
