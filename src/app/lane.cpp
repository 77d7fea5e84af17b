#include "app/lane.hpp"

#include "app/core_time.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

namespace {

// Lets Asio leave out locks and wake-ups between threads that run handlers;
// other threads may still post.
constexpr int one_thread = 1;

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
    : env_(environment), io_(one_thread),
      work_(boost::asio::make_work_guard(io_)), timer_(io_), watch_timer_(io_),
      query_(env_.settings->query, env_.lane, env_.owners->lanes(), env_.seed),
      owner_(env_.settings->owner, env_.lane, env_.owners->lanes(),
             env_.seed + 1),
      submit_(env_.settings->submit, env_.lane, env_.owners->lanes(),
              env_.seed + 2),
      router_(env_.lane, *env_.owners), pool_(io_, pool_options()),
      watch_(*env_.events), peers_(io_, peer_options(*env_.settings))
{
    peers_.watch_silence([this](host_id const& peer, bool silent) {
        on_peer_silence(peer, silent);
    });
    pool_.watch_lost_connections([this](upstream_id upstream) {
        with_owner([&](time_point now, owner_actions& out) {
            owner_.on_connections_lost(now, upstream, out);
        });
    });
}

lane::~lane() = default;

void lane::listen(std::uint16_t caller_port, std::uint16_t peer_port)
{
    auto http = env_.settings->http;
    http.ip = env_.settings->ip;
    http.port = caller_port;
    http.reuse_port = env_.owners->lanes() > 1;
    callers_ = std::make_unique<http_server>(
        io_, http, [this](http_request const& request, http_responder respond) {
            return on_http(request, std::move(respond));
        });

    auto peer = peer_options(*env_.settings);
    peer.port = peer_port;
    peer.control_paths = {"/peer/config", "/peer/handover"};
    peer_server_ = std::make_unique<peer_server>(
        io_, peer, [this](peer_request const& request) { on_peer(request); });
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
    s.peer.bytes_sent += served.bytes_sent - served.control_bytes_sent;
    s.peer.bytes_received +=
        served.bytes_received - served.control_bytes_received;
    s.peer.control_bytes_sent += served.control_bytes_sent;
    s.peer.control_bytes_received += served.control_bytes_received;
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

} // namespace snipemill
