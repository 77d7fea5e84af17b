#include "core/submit/submit_runs.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipemill {

namespace {

// Layout of a request id: a bit that tells submits from queries, the lane,
// the index and the generation of the run.
constexpr std::uint64_t submit_bit = std::uint64_t{1} << 63U;
constexpr unsigned lane_shift = 53;
constexpr std::uint32_t max_lanes = 1024;
constexpr unsigned generation_shift = 21;
constexpr std::uint64_t generation_mask = 0xffffffffU;
constexpr std::uint64_t index_mask = (std::uint64_t{1} << generation_shift) - 1;

} // namespace

submit_runs::submit_runs(std::size_t capacity, std::uint32_t lane)
    : timers_(capacity), runs_(capacity), lane_(lane)
{
    assert(capacity < index_mask && lane < max_lanes);
}

slot_handle submit_runs::add(submit_run run)
{
    auto const h = runs_.insert(std::move(run));
    auto& added = *runs_.find(h);
    added.timer =
        timers_.add(timer_queue::never, {timer_kind::submit, h.packed()});
    schedule(added);
    return h;
}

std::optional<slot_handle> submit_runs::fire(time_point now)
{
    auto const tag = timers_.fire(now);
    if (!tag) {
        return std::nullopt;
    }
    return slot_handle::unpack(tag->subject);
}

request_id submit_runs::id_of(slot_handle h) const
{
    return request_id(submit_bit | (std::uint64_t{lane_} << lane_shift) |
                      (std::uint64_t{h.generation} << generation_shift) |
                      h.index);
}

slot_handle submit_runs::handle_of(request_id id) const
{
    auto const lane = (id.value & ~submit_bit) >> lane_shift;
    if ((id.value & submit_bit) == 0 || lane != lane_) {
        return {};
    }
    return {static_cast<std::uint32_t>(id.value & index_mask),
            static_cast<std::uint32_t>((id.value >> generation_shift) &
                                       generation_mask)};
}

slot_handle submit_runs::renew(slot_handle h)
{
    auto run = std::move(*runs_.find(h));
    runs_.erase(h);
    timers_.remove(run.timer);
    auto const next = runs_.insert(std::move(run));
    auto& moved = *runs_.find(next);
    moved.timer =
        timers_.add(timer_queue::never, {timer_kind::submit, next.packed()});
    schedule(moved);
    return next;
}

void submit_runs::schedule(submit_run& run)
{
    auto at = run.answered ? run.give_up : run.deadline;
    if (run.phase == submit_phase::read_pause ||
        run.phase == submit_phase::record_pause) {
        at = std::min(at, run.resume);
    }
    timers_.move(run.timer, at);
}

void submit_runs::end(slot_handle h)
{
    timers_.remove(runs_.find(h)->timer);
    runs_.erase(h);
}

} // namespace snipemill
