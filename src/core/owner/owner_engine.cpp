#include "core/owner/owner_engine.hpp"

#include "core/owner/owner_engine_impl.hpp"

#include <utility>

namespace snipemill {

owner_engine::owner_engine(owner_engine_settings const& settings,
                           std::uint32_t lane, std::uint32_t lanes,
                           std::uint64_t seed)
    : impl_(std::make_unique<impl>(settings, lane, lanes, seed))
{}

owner_engine::~owner_engine() = default;

void owner_engine::on_view(time_point now,
                           std::shared_ptr<routing_view const> view,
                           owner_actions& out)
{
    impl_->on_view(now, std::move(view), out);
}

void owner_engine::on_handover(time_point now,
                               std::vector<upstream_gauge> const& state,
                               owner_actions& out)
{
    impl_->on_handover(now, state, out);
}

void owner_engine::on_batch(time_point now, peer_handle peer, query_batch batch,
                            owner_actions& out)
{
    impl_->dispatcher.on_batch(now, peer, std::move(batch), out);
}

void owner_engine::on_describe(time_point now, peer_handle peer,
                               describe_request const& request,
                               owner_actions& out)
{
    impl_->on_describe(now, peer, request, out);
}

void owner_engine::on_submit(time_point now, peer_handle peer,
                             submit_forward request, owner_actions& out)
{
    impl_->dispatcher.on_submit(now, peer, std::move(request), out);
}

void owner_engine::on_cancel_targets(time_point now, peer_handle peer,
                                     std::vector<upstream_id> const& targets,
                                     owner_actions& out)
{
    impl_->dispatcher.on_cancel_targets(now, peer, targets, out);
}

void owner_engine::on_peer_gone(time_point now, peer_handle peer,
                                owner_actions& out)
{
    impl_->dispatcher.on_peer_gone(now, peer, out);
}

void owner_engine::on_sub_answer(time_point now, slot_handle handle,
                                 sub_answer answer, owner_actions& out)
{
    impl_->dispatcher.on_sub_answer(now, handle, std::move(answer), out);
}

void owner_engine::on_sub_failed(time_point now, slot_handle handle,
                                 sub_failure const& failed, owner_actions& out)
{
    impl_->dispatcher.on_sub_failed(now, handle, failed, out);
}

void owner_engine::on_submit_result(time_point now, slot_handle handle,
                                    submit_result result, owner_actions& out)
{
    impl_->dispatcher.on_submit_result(now, handle, std::move(result), out);
}

void owner_engine::on_status(time_point now, upstream_id upstream,
                             upstream_status const& status, owner_actions& out)
{
    impl_->on_status(now, upstream, status, out);
}

void owner_engine::on_connections_lost(time_point now, upstream_id upstream,
                                       owner_actions& out)
{
    impl_->on_connections_lost(now, upstream, out);
}

void owner_engine::set_quarantine(std::vector<fingerprint> const& prints)
{
    impl_->dispatcher.set_quarantine(prints);
}

void owner_engine::on_timer(time_point now, owner_actions& out)
{
    impl_->on_timer(now, out);
}

std::optional<time_point> owner_engine::next_timer() const
{
    return impl_->timers.next();
}

std::size_t owner_engine::in_flight() const
{
    return impl_->dispatcher.jobs();
}

std::vector<upstream_gauge> owner_engine::gauges() const
{
    return impl_->gauges();
}

owner_counters const& owner_engine::counters() const
{
    return impl_->counters;
}

} // namespace snipemill
