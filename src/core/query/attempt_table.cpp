#include "core/query/attempt_table.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipemill {

void attempt_table::reset(std::size_t services)
{
    attempts_.clear();
    batches_.clear();
    services_.assign(services, {});
    // First attempts, with room for hedges and retries.
    attempts_.reserve(services + services / 8);
    closed_ = 0;
}

std::uint32_t attempt_table::add_batch(sent_batch batch)
{
    batch.first = static_cast<std::uint32_t>(attempts_.size());
    batch.size = 0;
    batch.open = 0;
    batches_.push_back(std::move(batch));
    return static_cast<std::uint32_t>(batches_.size() - 1);
}

void attempt_table::add_attempt(upstream_id upstream, topology_index position,
                                std::uint32_t service)
{
    assert(!batches_.empty());
    auto& progress = services_[service];
    assert(progress.tried_count < service_progress::max_attempts);
    progress.tried[progress.tried_count] = upstream;
    progress.attempts[progress.tried_count] =
        static_cast<std::uint32_t>(attempts_.size());
    ++progress.tried_count;
    ++progress.open;
    auto& batch = batches_.back();
    ++batch.size;
    ++batch.open;
    attempts_.push_back(
        {.upstream = upstream,
         .position = position,
         .service = service,
         .batch = static_cast<std::uint32_t>(batches_.size() - 1)});
}

sub_attempt* attempt_table::find(sent_batch const& batch, upstream_id upstream)
{
    auto const range = attempts(batch);
    auto const it = std::lower_bound(
        range.begin(), range.end(), upstream,
        [](sub_attempt const& a, upstream_id v) { return a.upstream < v; });
    return it != range.end() && it->upstream == upstream ? &*it : nullptr;
}

std::vector<upstream_id>
attempt_table::tried_except_refused_hedges(std::uint32_t s) const
{
    auto const& service = services_[s];
    std::vector<upstream_id> out;
    for (std::size_t i = 0; i < service.tried_count; ++i) {
        auto const& it = attempts_[service.attempts[i]];
        auto const refused = it.state == attempt_state::reported &&
                             it.outcome == sub_outcome::hedge_refused;
        if (!refused) {
            out.push_back(it.upstream);
        }
    }
    return out;
}

sub_attempt const* attempt_table::last_not_owned(std::uint32_t s) const
{
    auto const& service = services_[s];
    for (std::size_t i = service.tried_count; i > 0; --i) {
        auto const& it = attempts_[service.attempts[i - 1]];
        auto const reported = it.state == attempt_state::reported;
        if (reported && it.outcome == sub_outcome::not_owner) {
            return &it;
        }
    }
    return nullptr;
}

void attempt_table::close(sub_attempt& attempt, attempt_state state)
{
    assert(state != attempt_state::open);
    if (attempt.state == attempt_state::open) {
        --batches_[attempt.batch].open;
        --services_[attempt.service].open;
    }
    attempt.state = state;
}

void attempt_table::close_service(std::uint32_t s)
{
    if (!services_[s].closed) {
        services_[s].closed = true;
        ++closed_;
    }
}

} // namespace snipemill
