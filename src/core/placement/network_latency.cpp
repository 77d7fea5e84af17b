#include "core/placement/network_latency.hpp"

namespace snipemill {

namespace {

// A change of the network shows after one to two periods.
constexpr duration period = from_ms(60'000);

} // namespace

void network_latency::on_connected(std::string const& data_centre,
                                   duration elapsed, time_point now)
{
    auto& it = by_data_centre_[data_centre];
    if (now - it.period_began >= period) {
        it.previous = it.current;
        it.current = duration::max();
        it.period_began = now;
    }
    it.current = std::min(it.current, elapsed);
    least_ = duration::max();
    for (auto const& [name, other] : by_data_centre_) {
        least_ = std::min(least_, other.value());
    }
}

duration network_latency::extra(std::string const& data_centre) const
{
    auto const it = by_data_centre_.find(data_centre);
    return it == by_data_centre_.end() ? duration::zero()
                                       : it->second.value() - least_;
}

} // namespace snipemill
