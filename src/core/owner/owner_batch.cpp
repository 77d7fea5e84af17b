#include "core/owner/owner_batch.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipemill {

time_point deadline_after(time_point now, duration remaining)
{
    return now + std::clamp(remaining, duration{}, max_remaining);
}

owner_batch::owner_batch(time_point now, peer_handle peer, query_batch request)
    : peer_(peer), request_(std::move(request))
{
    auto& ids = request_.targets;
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    targets_.reserve(ids.size());
    for (auto const id : ids) {
        targets_.push_back({.upstream = id});
    }
    open_ = targets_.size();
    results_.reserve(open_);
    runs_.reserve(open_);
    deadline_ = deadline_after(now, request_.remaining);
    auto const flushes = request_.flush_after > duration{} &&
                         request_.flush_after < request_.remaining;
    flush_at_ = flushes ? deadline_after(now, request_.flush_after) : deadline_;
}

std::optional<std::size_t> owner_batch::position(upstream_id id) const
{
    auto const it = std::lower_bound(
        targets_.begin(), targets_.end(), id,
        [](batch_target const& t, upstream_id u) { return t.upstream < u; });
    if (it == targets_.end() || it->upstream != id) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(it - targets_.begin());
}

void owner_batch::finish(std::size_t i, target_result result, sub_answer answer)
{
    assert(!targets_[i].done);
    targets_[i].done = true;
    targets_[i].job = {};
    --open_;
    if (result.outcome == sub_outcome::merged) {
        result.partition_count = answer.partition_count;
        result.partitions = std::move(answer.partitions);
        if (!answer.records.empty()) {
            runs_.push_back(std::move(answer.records));
        }
    }
    results_.push_back(std::move(result));
}

bool owner_batch::part_due(time_point now) const
{
    return done() || (now >= flush_at_ && !results_.empty());
}

time_point owner_batch::next_due(time_point now) const
{
    return now < flush_at_ ? flush_at_ : deadline_;
}

query_part owner_batch::take_part(run_merger& merger)
{
    query_part part;
    part.id = request_.id;
    part.version = request_.version;
    part.records = merger.merge(runs_, request_.order, request_.limit);
    runs_.clear();
    part.results = std::exchange(results_, {});
    part.final = done();
    return part;
}

} // namespace snipemill
