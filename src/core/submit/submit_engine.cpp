#include "core/submit/submit_engine.hpp"

#include "core/submit/submit_engine_impl.hpp"

#include <utility>

namespace snipemill {

submit_engine::submit_engine(submit_engine_settings const& settings,
                             std::uint32_t lane, std::uint32_t lanes,
                             std::uint64_t seed)
    : impl_(std::make_unique<impl>(settings, lane, lanes, seed))
{}

submit_engine::~submit_engine() = default;

void submit_engine::on_view(std::shared_ptr<routing_view const> view)
{
    impl_->on_view(std::move(view));
}

void submit_engine::on_submit(time_point now, std::uint64_t wall_ms,
                              std::uint64_t caller, caller_submit request,
                              submit_actions& out)
{
    impl_->on_submit(now, wall_ms, caller, std::move(request), out);
}

void submit_engine::on_claim_written(time_point now, request_id id,
                                     claim_write result, std::uint64_t version,
                                     submit_actions& out)
{
    impl_->on_claim_written(now, id, result, version, out);
}

void submit_engine::on_claim_read(time_point now, request_id id, bool reachable,
                                  std::optional<claim> found,
                                  std::uint64_t version, submit_actions& out)
{
    impl_->on_claim_read(now, id, reachable, std::move(found), version, out);
}

void submit_engine::on_result(time_point now, submit_result result,
                              submit_actions& out)
{
    impl_->on_result(now, std::move(result), out);
}

void submit_engine::on_forward_failed(time_point now, request_id id, bool sent,
                                      submit_actions& out)
{
    impl_->on_forward_failed(now, id, sent, out);
}

void submit_engine::on_timer(time_point now, submit_actions& out)
{
    impl_->on_timer(now, out);
}

std::optional<time_point> submit_engine::next_timer() const
{
    return impl_->runs.next_timer();
}

std::size_t submit_engine::in_flight() const
{
    return impl_->runs.size();
}

submit_counters const& submit_engine::counters() const
{
    return impl_->counters;
}

} // namespace snipemill
