#include "core/owner/owner_engine_impl.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace snipemill {

namespace {

constexpr std::size_t expected_timers = 2048;

// A describe request waits this long for the first status of an upstream,
// which a host that has just become its owner does not have yet.
constexpr duration describe_wait = from_ms(50);

// A planned handover may arrive this much before the view that it belongs to.
constexpr duration handover_lifetime = from_ms(10'000);

} // namespace

owner_engine::impl::impl(owner_engine_settings const& engine_settings,
                         std::uint32_t lane, std::uint32_t lanes,
                         std::uint64_t seed)
    : settings(engine_settings), timers(expected_timers),
      work(timers, counters), dispatcher(roster, work, timers, counters),
      lane_(lane), lanes_(lanes), random_(seed)
{
    assert(lanes > 0 && lane < lanes);
}

void owner_engine::impl::on_view(time_point now,
                                 std::shared_ptr<routing_view const> view,
                                 owner_actions& out)
{
    assert(view != nullptr);
    previous_ = std::exchange(view_, std::move(view));
    ++views_;
    if (view_->config != nullptr && view_->owners != nullptr) {
        auto const& upstreams = view_->config->upstreams();
        for (topology_index i = 0; i < upstreams.size(); ++i) {
            auto const role = role_in(*view_, i);
            if (pinned(upstreams[i].object.id)) {
                list(now, *view_, i, role, out);
            }
        }
    }
    lose_unlisted(now, out);
    previous_.reset();
    answer_describes(out);
    work.send_parts(now, out);
}

ownership_role owner_engine::impl::role_in(routing_view const& view,
                                           topology_index i) const
{
    auto const& owners = view.owners->owners(i);
    auto const& hosts = view.owners->hosts();
    if (owners.first && hosts[*owners.first].id == view.self) {
        return ownership_role::first;
    }
    if (owners.second && hosts[*owners.second].id == view.self) {
        return ownership_role::second;
    }
    return ownership_role::none;
}

// Whether another host may have sent requests to the upstream until now. The
// first view of a host that replaces another one does not tell.
bool owner_engine::impl::had_other_owner(upstream_id id) const
{
    if (previous_ == nullptr || previous_->config == nullptr) {
        return true;
    }
    return previous_->config->find_upstream(id) != nullptr;
}

void owner_engine::impl::list(time_point now, routing_view const& view,
                              topology_index i, ownership_role role,
                              owner_actions& out)
{
    auto const& config = *view.config;
    auto const& it = config.upstreams()[i];
    auto* u = roster.find(it.object.id);
    if (u == nullptr && role == ownership_role::none) {
        return;
    }
    auto const& service = config.services()[it.service].object;
    upstream_listing listed{.object = it.object,
                            .slots = service.slots,
                            .connections = service.connections,
                            .data_centre_in =
                                config.data_centres()[it.data_centre].in};
    if (u == nullptr) {
        auto const timer = timers.add(
            timer_queue::never, {timer_kind::upstream, it.object.id.value});
        u = &roster.add(
            std::make_unique<owned_upstream>(settings, listed, timer));
    }
    u->view_sequence = views_;
    if (u->listing != listed) {
        change_listing(now, *u, std::move(listed), out);
    }
    if (u->role != role) {
        change_role(now, *u, role, out);
    }
    dispatcher.apply_state(now, *u, out);
}

void owner_engine::impl::change_listing(time_point now, owned_upstream& u,
                                        upstream_listing listed,
                                        owner_actions& out)
{
    auto const moved = listed.object.address != u.listing.object.address;
    auto const changed = listed.object != u.listing.object;
    u.listing = std::move(listed);
    u.limiter.set_slots(u.listing.slots);
    if (changed) {
        u.draining = false;
    }
    if (moved) {
        dispatcher.health().turn_cold(now, u);
    }
    if (u.role != ownership_role::none) {
        connect(u, out);
    }
}

void owner_engine::impl::change_role(time_point now, owned_upstream& u,
                                     ownership_role role, owner_actions& out)
{
    if (u.role == ownership_role::first) {
        lose(now, u, sub_outcome::not_owner, out);
    }
    u.role = role;
    switch (role) {
    case ownership_role::first:
        gain(now, u, out);
        break;
    case ownership_role::second:
        u.limiter.hold(time_point::max());
        u.limiter.on_start(now);
        connect(u, out);
        break;
    case ownership_role::none:
        dispatcher.refuse_queue(u, sub_outcome::not_owner, out);
        connect(u, out);
        break;
    }
}

// The previous owner, which may be this host, may have started a request just
// now, so the pace of a cold upstream counts from here.
void owner_engine::impl::gain(time_point now, owned_upstream& u,
                              owner_actions& out)
{
    ++counters.ownership_gained;
    u.limiter.turn_cold();
    u.survived.on_lost(now); // it may have restarted meanwhile
    u.limiter.hold(time_point::min());
    u.limiter.on_start(now);
    if (auto const state = handovers_.take(now, u.id())) {
        u.limiter.adopt(*state);
    }
    else if (had_other_owner(u.id())) {
        u.handover_until = now + settings.handover_hold;
        u.limiter.hold(u.handover_until);
    }
    connect(u, out);
    poll(now, u, out);
    // Later polls are spread, also when many upstreams are gained at once.
    auto const us = std::min<std::int64_t>(poll_interval().count(), UINT32_MAX);
    auto const phase = random_.below(static_cast<std::uint32_t>(us));
    u.next_poll = now + duration(phase + 1);
}

void owner_engine::impl::lose(time_point now, owned_upstream& u,
                              sub_outcome outcome, owner_actions& out)
{
    ++counters.ownership_lost;
    u.next_poll = timer_queue::never;
    u.handover_until = time_point::min();
    u.held_known = false;
    dispatcher.refuse_queue(u, outcome, out);
    dispatcher.pump(now, u, out);
}

// Upstreams that are gone from the view.
void owner_engine::impl::lose_unlisted(time_point now, owner_actions& out)
{
    for (std::size_t i = roster.size(); i-- > 0;) {
        auto& u = roster.at(i);
        if (u.view_sequence != views_ && u.role != ownership_role::none) {
            if (u.role == ownership_role::first) {
                lose(now, u, sub_outcome::draining, out);
            }
            u.role = ownership_role::none;
            dispatcher.refuse_queue(u, sub_outcome::draining, out);
            connect(u, out);
        }
        dispatcher.retire(u);
    }
}

// A second owner opens a connection only for a request, and only one.
void owner_engine::impl::connect(owned_upstream const& u,
                                 owner_actions& out) const
{
    set_connections request{.upstream = u.id(),
                            .address = u.listing.object.address};
    if (u.role == ownership_role::first) {
        request.warm = std::min(u.listing.slots, u.listing.connections);
        request.max = u.listing.connections;
    }
    else if (u.role == ownership_role::second) {
        request.max = std::min(1U, u.listing.connections);
    }
    out.emplace_back(std::move(request));
}

void owner_engine::impl::on_handover(time_point now,
                                     std::vector<upstream_gauge> const& state,
                                     owner_actions& out)
{
    for (auto const& it : state) {
        if (!pinned(it.upstream)) {
            continue;
        }
        auto* const u = roster.find(it.upstream);
        if (u == nullptr || u->role != ownership_role::first) {
            handovers_.put(now, handover_lifetime, it);
            continue;
        }
        if (now < u->handover_until) {
            u->handover_until = time_point::min();
            u->limiter.adopt(it);
            dispatcher.pump(now, *u, out);
        }
    }
    work.send_parts(now, out);
}

void owner_engine::impl::on_status(time_point now, upstream_id upstream,
                                   upstream_status const& status,
                                   owner_actions& out)
{
    auto* const u = roster.find(upstream);
    if (u == nullptr || u->role != ownership_role::first) {
        return;
    }
    u->set_held(status.held);
    if (status.draining) {
        u->set_draining(now);
    }
    else if (u->draining && u->report_is_newer_than_mark()) {
        u->draining = false;
    }
    if (status.starting) {
        dispatcher.health().turn_cold(now, *u);
    }
    u->limiter.on_reported_load(now, u->excess_load(status.in_flight));
    dispatcher.apply_state(now, *u, out);
    answer_describes(out);
    work.send_parts(now, out);
}

// No request was reset, so the upstream was idle when it restarted. Without
// this it would count as warm until a request fails or the next poll.
void owner_engine::impl::on_connections_lost(time_point now,
                                             upstream_id upstream,
                                             owner_actions& out)
{
    auto* const u = roster.find(upstream);
    if (u == nullptr || u->role != ownership_role::first) {
        return;
    }
    dispatcher.health().turn_cold(now, *u);
    poll(now, *u, out);
    dispatcher.pump(now, *u, out);
    work.send_parts(now, out);
}

duration owner_engine::impl::poll_interval() const
{
    return std::max(settings.status_interval, duration(1));
}

void owner_engine::impl::poll(time_point now, owned_upstream& u,
                              owner_actions& out)
{
    u.on_polled(now);
    out.emplace_back(poll_status{u.id()});
}

void owner_engine::impl::on_upstream_timer(time_point now, upstream_id id,
                                           owner_actions& out)
{
    auto& u = *roster.find(id);
    u.timer_at = timer_queue::never;
    if (now >= u.poll_due()) {
        poll(now, u, out);
    }
    if (now >= u.next_poll) {
        // Polls that were missed while the process was paused are left out.
        auto const interval = poll_interval();
        auto const next = u.next_poll + interval;
        u.next_poll = next > now ? next : now + interval;
    }
    dispatcher.pump(now, u, out);
    work.send_parts(now, out);
}

void owner_engine::impl::on_timer(time_point now, owner_actions& out)
{
    while (auto const tag = timers.fire(now)) {
        auto const handle = slot_handle::unpack(tag->subject);
        switch (tag->kind) {
        case timer_kind::batch:
            dispatcher.on_batch_timer(now, handle, out);
            break;
        case timer_kind::submit:
            dispatcher.on_submit_timer(handle, out);
            break;
        case timer_kind::upstream:
            on_upstream_timer(
                now, upstream_id(static_cast<std::uint32_t>(tag->subject)),
                out);
            break;
        case timer_kind::describe:
            work.finish_describe(handle,
                                 describe(work.describe(handle)->request), out);
            break;
        }
    }
}

void owner_engine::impl::on_describe(time_point now, peer_handle peer,
                                     describe_request const& request,
                                     owner_actions& out)
{
    auto const h = work.add_describe(now + describe_wait, peer, request);
    if (describable(request)) {
        work.finish_describe(h, describe(request), out);
    }
}

// Whether the first status of every owned target is known.
bool owner_engine::impl::describable(describe_request const& request)
{
    return std::all_of(
        request.targets.begin(), request.targets.end(), [&](upstream_id id) {
            auto const* const u = roster.find(id);
            return u == nullptr || u->role != ownership_role::first ||
                   u->held_known;
        });
}

describe_answer owner_engine::impl::describe(describe_request const& request)
{
    describe_answer answer{.id = request.id};
    answer.upstreams.reserve(request.targets.size());
    for (auto const id : request.targets) {
        auto const* const u = roster.find(id);
        if (u == nullptr || u->role != ownership_role::first) {
            answer.upstreams.push_back({.upstream = id});
            continue;
        }
        answer.upstreams.push_back(
            {.upstream = id, .condition = u->condition(), .held = u->held});
    }
    return answer;
}

void owner_engine::impl::answer_describes(owner_actions& out)
{
    handles_.clear();
    work.list_describes(handles_);
    for (auto const h : handles_) {
        auto const& request = work.describe(h)->request;
        if (describable(request)) {
            work.finish_describe(h, describe(request), out);
        }
    }
}

std::vector<upstream_gauge> owner_engine::impl::gauges() const
{
    std::vector<upstream_gauge> all;
    for (std::size_t i = 0; i < roster.size(); ++i) {
        if (roster.at(i).role == ownership_role::first) {
            all.push_back(roster.at(i).gauge());
        }
    }
    return all;
}

} // namespace snipemill
