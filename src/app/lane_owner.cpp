#include "app/lane.hpp"

#include <utility>

namespace snipemill {

// The part of a lane that carries out the actions of the owner engine.

void lane::run_action(dispatch_query& a)
{
    pool_.query(std::move(a), [this](slot_handle handle, sub_result result) {
        with_owner([&](time_point now, owner_actions& out) {
            if (auto* answer = std::get_if<sub_answer>(&result)) {
                owner_.on_sub_answer(now, handle, std::move(*answer), out);
            }
            else {
                owner_.on_sub_failed(now, handle, std::get<sub_failure>(result),
                                     out);
            }
        });
    });
}

void lane::run_action(dispatch_submit& a)
{
    pool_.submit(std::move(a), [this](slot_handle handle, submit_result r) {
        with_owner([&](time_point now, owner_actions& out) {
            owner_.on_submit_result(now, handle, std::move(r), out);
        });
    });
}

void lane::run_action(cancel_dispatch& a)
{
    pool_.cancel(a);
}

void lane::run_action(poll_status& a)
{
    pool_.status(a.upstream, [this](upstream_id id, upstream_status status) {
        with_owner([&](time_point now, owner_actions& out) {
            owner_.on_status(now, id, status, out);
        });
    });
}

void lane::run_action(set_connections& a)
{
    pool_.configure(a);
}

void lane::run_action(report_crash& a)
{
    env_.control->report_crash(a.print, a.upstream);
}

// Answers of the owner engine go to the router that opened the request, which
// may belong to another lane.

void lane::run_action(send_part& a)
{
    env_.owners->reply(a.peer, std::move(a.part));
}

void lane::run_action(send_described& a)
{
    env_.owners->reply(a.peer, std::move(a.answer));
}

void lane::run_action(send_submit_result& a)
{
    env_.owners->reply(a.peer, std::move(a.result));
}

void lane::owner_batch(peer_handle peer, query_batch batch)
{
    with_owner([&](time_point now, owner_actions& out) {
        owner_.on_batch(now, peer, std::move(batch), out);
    });
}

void lane::owner_describe(peer_handle peer, describe_request const& request)
{
    with_owner([&](time_point now, owner_actions& out) {
        owner_.on_describe(now, peer, request, out);
    });
}

void lane::owner_submit(peer_handle peer, submit_forward request)
{
    with_owner([&](time_point now, owner_actions& out) {
        owner_.on_submit(now, peer, std::move(request), out);
    });
}

void lane::owner_cancel(peer_handle peer,
                        std::vector<upstream_id> const& targets)
{
    with_owner([&](time_point now, owner_actions& out) {
        owner_.on_cancel_targets(now, peer, targets, out);
    });
}

void lane::owner_gone(peer_handle peer)
{
    with_owner([&](time_point now, owner_actions& out) {
        owner_.on_peer_gone(now, peer, out);
    });
}

} // namespace snipemill
