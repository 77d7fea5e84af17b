#include "app/lane.hpp"

#include "app/core_time.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

namespace {

constexpr auto watch_interval = std::chrono::milliseconds(200);

upstream_pool_options pool_options()
{
    return {};
}

peer_link_options peer_options(host_settings const& settings)
{
    return {.ip = settings.ip, .reuse_port = settings.traffic_threads > 1};
}

} // namespace

lane::lane(lane_environment const& environment)
    : env_(environment), work_(boost::asio::make_work_guard(io_)), timer_(io_),
      watch_timer_(io_),
      query_(env_.settings->query, env_.lane, env_.owners->lanes(), env_.seed),
      owner_(env_.settings->owner, env_.lane, env_.owners->lanes(),
             env_.seed + 1),
      submit_(env_.settings->submit, env_.lane, env_.owners->lanes(),
              env_.seed + 2),
      router_(env_.lane, *env_.owners), pool_(io_, pool_options()),
      watch_(*env_.events), peers_(io_, peer_options(*env_.settings))
{}

lane::~lane() = default;

void lane::listen(std::uint16_t caller_port, std::uint16_t peer_port)
{
    auto http = env_.settings->http;
    http.ip = env_.settings->ip;
    http.port = caller_port;
    http.reuse_port = env_.owners->lanes() > 1;
    callers_ = std::make_unique<http_server>(
        io_, http, [this](http_request request, http_responder respond) {
            return on_http(std::move(request), std::move(respond));
        });

    auto peer = peer_options(*env_.settings);
    peer.port = peer_port;
    peer_server_ =
        std::make_unique<peer_server>(io_, peer, [this](peer_request request) {
            on_peer(std::move(request));
        });
}

void lane::run()
{
    watch_upstreams();
    io_.run();
}

void lane::stop()
{
    io_.stop();
}

void lane::set_view(std::shared_ptr<routing_view const> view)
{
    view_ = view;
    addresses_.clear();
    for (auto const& it : view->owners->hosts()) {
        addresses_[it.id] = {.id = it.id, .ip = it.ip, .port = it.peer_port};
    }
    with_owner([&](time_point now, owner_actions& out) {
        owner_.on_view(now, view, out);
    });
    with_query([&](time_point now, query_actions& out) {
        query_.on_view(now, view, out);
    });
    submit_.on_view(view);
}

std::vector<upstream_gauge>
lane::give_up(std::shared_ptr<routing_view const> const& view)
{
    auto gauges = owner_.gauges();
    set_view(view);
    return gauges;
}

void lane::set_quarantine(std::vector<fingerprint> const& prints)
{
    owner_.set_quarantine(prints);
}

void lane::set_handover(std::vector<upstream_gauge> const& gauges)
{
    with_owner([&](time_point now, owner_actions& out) {
        owner_.on_handover(now, gauges, out);
    });
}

void lane::drain_callers()
{
    callers_->drain();
}

void lane::drain_peers()
{
    peer_server_->drain();
}

lane_status lane::status() const
{
    lane_status s;
    s.query = query_.counters();
    s.owner = owner_.counters();
    s.submit = submit_.counters();
    s.upstream = pool_.counters();
    s.peer = peers_.counters();
    auto const& served = peer_server_->counters();
    s.peer.streams_served += served.streams_served;
    s.peer.streams_failed += served.streams_failed;
    s.peer.bytes_sent += served.bytes_sent;
    s.peer.bytes_received += served.bytes_received;
    s.peer.protocol_errors += served.protocol_errors;
    s.bad_requests = callers_->bad_requests();
    s.queries_in_flight = query_.in_flight();
    s.submits_in_flight = submit_.in_flight();
    s.sub_requests_in_flight = owner_.in_flight() + router_.open();
    s.open_requests = callers_->open_requests();
    s.gauges = owner_.gauges();
    return s;
}

void lane::arm_timer()
{
    std::optional<time_point> next;
    auto const consider = [&](std::optional<time_point> t) {
        if (t && (!next || *t < *next)) {
            next = t;
        }
    };
    consider(query_.next_timer());
    consider(owner_.next_timer());
    consider(submit_.next_timer());
    if (!next || (armed_ && *armed_ <= *next)) {
        return;
    }
    armed_ = next;
    timer_.expires_at(to_steady(*next));
    timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            on_timer();
        }
    });
}

void lane::on_timer()
{
    armed_.reset();
    auto const due = [](std::optional<time_point> t) {
        return t && *t <= core_now();
    };
    if (due(query_.next_timer())) {
        with_query([&](time_point now, query_actions& out) {
            query_.on_timer(now, out);
        });
    }
    if (due(owner_.next_timer())) {
        with_owner([&](time_point now, owner_actions& out) {
            owner_.on_timer(now, out);
        });
    }
    if (due(submit_.next_timer())) {
        with_submit([&](time_point now, submit_actions& out) {
            submit_.on_timer(now, out);
        });
    }
    arm_timer();
}

void lane::watch_upstreams()
{
    if (view_) {
        watch_.look(*view_, owner_.gauges());
    }
    watch_timer_.expires_after(watch_interval);
    watch_timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            watch_upstreams();
        }
    });
}

peer_address const* lane::address_of(host_id const& id) const
{
    auto const it = addresses_.find(id);
    return it == addresses_.end() ? nullptr : &it->second;
}

bool lane::is_self(host_id const& id) const
{
    return id.value == env_.settings->name;
}

// Query actions

void lane::run_action(send_batch& a)
{
    auto const id = a.batch.id;
    auto const to = a.to;
    if (is_self(to)) {
        auto const local =
            router_.open_batch(std::move(a.batch), [this, to](query_part part) {
                if (part.final) {
                    outgoing_.erase(part.id);
                }
                with_query([&](time_point now, query_actions& out) {
                    query_.on_part(now, to, std::move(part), out);
                });
            });
        outgoing_[id] = {.local = local};
        return;
    }
    auto const* address = address_of(to);
    if (address == nullptr) {
        post([this, to, id] {
            with_query([&](time_point now, query_actions& out) {
                query_.on_stream_failed(now, to, id, errc::peer_unreachable,
                                        out);
            });
        });
        return;
    }
    auto stream = peers_.open(*address, "/peer/query",
                              encode(env_.events->stamp(), a.batch),
                              [this, to, id](stream_event event) {
                                  on_batch_event(to, id, std::move(event));
                              });
    outgoing_[id] = {.stream = std::move(stream)};
}

void lane::on_batch_event(host_id const& to, request_id id, stream_event event)
{
    auto* message = std::get_if<std::string>(&event);
    if (message != nullptr) {
        auto part = decode_query_part(*message);
        if (part) {
            env_.events->received(part->time);
            if (part->message.final) {
                outgoing_.erase(id);
            }
            with_query([&](time_point now, query_actions& out) {
                query_.on_part(now, to, std::move(part->message), out);
            });
            return;
        }
    }
    auto const open = outgoing_.find(id);
    if (open == outgoing_.end()) {
        return; // the final part has been seen
    }
    if (message != nullptr) {
        open->second.stream->cancel();
    }
    outgoing_.erase(open);
    auto const* failed = std::get_if<stream_failed>(&event);
    auto const reason = failed ? failed->reason : errc::peer_protocol;
    with_query([&](time_point now, query_actions& out) {
        query_.on_stream_failed(now, to, id, reason, out);
    });
}

void lane::run_action(cancel_batch& a)
{
    auto const it = outgoing_.find(a.id);
    if (it == outgoing_.end()) {
        return;
    }
    auto const open = std::move(it->second);
    outgoing_.erase(it);
    if (open.local) {
        router_.close(*open.local);
    }
    else {
        open.stream->cancel();
    }
}

void lane::run_action(cancel_targets& a)
{
    if (is_self(a.to)) {
        router_.cancel_targets(a.id, a.targets);
        return;
    }
    auto const* address = address_of(a.to);
    if (address == nullptr) {
        return;
    }
    cancel_request const request{.id = a.id, .targets = a.targets};
    peers_.open(*address, "/peer/cancel", encode(env_.events->stamp(), request),
                [](stream_event) {});
}

void lane::run_action(send_describe& a)
{
    auto const id = a.request.id;
    auto const to = a.to;
    if (is_self(to)) {
        router_.open_describe(
            std::move(a.request), [this, to](describe_answer answer) {
                with_query([&](time_point now, query_actions& out) {
                    query_.on_described(now, to, std::move(answer), out);
                });
            });
        return;
    }
    auto const* address = address_of(to);
    if (address == nullptr) {
        return; // the engine's own time limit ends the wait
    }
    auto stream = peers_.open(*address, "/peer/describe",
                              encode(env_.events->stamp(), a.request),
                              [this, to, id](stream_event event) {
                                  on_describe_event(to, id, std::move(event));
                              });
    outgoing_[id] = {.stream = std::move(stream)};
}

void lane::on_describe_event(host_id const& to, request_id id,
                             stream_event event)
{
    if (outgoing_.erase(id) == 0) {
        return;
    }
    auto const* message = std::get_if<std::string>(&event);
    auto answer = message ? decode_describe_answer(*message) : std::nullopt;
    if (answer) {
        env_.events->received(answer->time);
        with_query([&](time_point now, query_actions& out) {
            query_.on_described(now, to, std::move(answer->message), out);
        });
        return;
    }
    with_query([&](time_point now, query_actions& out) {
        query_.on_stream_failed(now, to, id, errc::peer_protocol, out);
    });
}

void lane::run_action(answer_caller& a)
{
    auto const it = callers_pending_.find(a.caller);
    if (it == callers_pending_.end()) {
        return;
    }
    auto const pending = std::move(it->second);
    callers_pending_.erase(it);
    if (auto const* answer = std::get_if<query_answer>(&a.result)) {
        env_.metrics->answered(*answer, core_now() - pending.started);
        pending.respond({.body = write_query_answer(*answer)});
        return;
    }
    auto const& failed = std::get<failure>(a.result);
    env_.metrics->refused(failed.code);
    pending.respond(
        {.status = http_status(failed.code), .body = write_failure(failed)});
}

// Owner actions

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

// Submit actions

void lane::run_action(put_claim& a)
{
    auto const id = a.id;
    env_.control->put_claim(
        a.key, write_claim(a.value), a.if_version,
        [this, id](platform_result<platform_object> result) {
            post([this, id, result = std::move(result)]() mutable {
                on_claim_written(id, std::move(result));
            });
        });
}

void lane::on_claim_written(request_id id,
                            platform_result<platform_object> result)
{
    auto outcome = claim_write::written;
    std::uint64_t version = 0;
    if (auto const* object = std::get_if<platform_object>(&result)) {
        version = object->version;
    }
    else {
        switch (std::get<platform_error>(result)) {
        case platform_error::conflict:
        case platform_error::not_found:
            outcome = claim_write::conflict;
            break;
        case platform_error::ambiguous:
            outcome = claim_write::ambiguous;
            break;
        case platform_error::not_sent:
        case platform_error::refused:
            outcome = claim_write::not_sent;
            break;
        }
    }
    with_submit([&](time_point now, submit_actions& out) {
        submit_.on_claim_written(now, id, outcome, version, out);
    });
}

void lane::run_action(get_claim& a)
{
    auto const id = a.id;
    env_.control->get_claim(
        a.key, [this, id](platform_result<platform_object> result) {
            post([this, id, result = std::move(result)]() mutable {
                on_claim_read(id, std::move(result));
            });
        });
}

void lane::on_claim_read(request_id id, platform_result<platform_object> result)
{
    std::optional<claim> found;
    std::uint64_t version = 0;
    auto reachable = true;
    if (auto const* object = std::get_if<platform_object>(&result)) {
        found = parse_claim(object->value);
        version = object->version;
        reachable = found.has_value();
    }
    else {
        reachable =
            std::get<platform_error>(result) == platform_error::not_found;
    }
    with_submit([&](time_point now, submit_actions& out) {
        submit_.on_claim_read(now, id, reachable, std::move(found), version,
                              out);
    });
}

void lane::run_action(forward_submit& a)
{
    auto const id = a.request.id;
    if (is_self(a.to)) {
        router_.open_submit(std::move(a.request), [this](submit_result result) {
            with_submit([&](time_point now, submit_actions& out) {
                submit_.on_result(now, std::move(result), out);
            });
        });
        return;
    }
    auto const* address = address_of(a.to);
    if (address == nullptr) {
        post([this, id] {
            with_submit([&](time_point now, submit_actions& out) {
                submit_.on_forward_failed(now, id, false, out);
            });
        });
        return;
    }
    auto stream = peers_.open(*address, "/peer/submit",
                              encode(env_.events->stamp(), a.request),
                              [this, id](stream_event event) {
                                  on_submit_event(id, std::move(event));
                              });
    outgoing_[id] = {.stream = std::move(stream)};
}

void lane::on_submit_event(request_id id, stream_event event)
{
    if (outgoing_.erase(id) == 0) {
        return;
    }
    auto const* message = std::get_if<std::string>(&event);
    auto result = message ? decode_submit_result(*message) : std::nullopt;
    if (result) {
        env_.events->received(result->time);
        with_submit([&](time_point now, submit_actions& out) {
            submit_.on_result(now, std::move(result->message), out);
        });
        return;
    }
    auto const* failed = std::get_if<stream_failed>(&event);
    auto const sent = failed == nullptr || failed->sent;
    with_submit([&](time_point now, submit_actions& out) {
        submit_.on_forward_failed(now, id, sent, out);
    });
}

void lane::run_action(answer_submit& a)
{
    auto const it = submits_pending_.find(a.caller);
    if (it == submits_pending_.end()) {
        return;
    }
    auto const respond = std::move(it->second);
    submits_pending_.erase(it);
    http_response response;
    if (a.repeated) {
        response.headers.emplace_back("idempotent-replayed", "true");
    }
    if (auto* answered = std::get_if<submit_answered>(&a.result)) {
        response.status = answered->status;
        response.body = std::move(answered->body);
    }
    else {
        auto const& failed = std::get<failure>(a.result);
        env_.metrics->refused(failed.code);
        response.status = http_status(failed.code);
        response.body = write_failure(failed);
    }
    respond(std::move(response));
}

} // namespace snipemill
