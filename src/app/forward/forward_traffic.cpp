#include "app/forward/forward_traffic.hpp"

#include "adapters/forward/forward_text.hpp"
#include "adapters/http/error_body.hpp"
#include "adapters/logging/logger.hpp"
#include "app/core_time.hpp"
#include "core/base/overloaded.hpp"
#include "core/forward/serving_ability.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <random>
#include <utility>

namespace snipemill {

namespace asio = boost::asio;

namespace {

// A caller without a manifest to serve it comes back when a starting host has
// usually read one.
constexpr duration retry_without_manifest = from_ms(300);

// The answer reaches the caller before its deadline.
constexpr duration deadline_margin = from_ms(8);

// A caller may send a body slowly, but not stop; the limit is the idle time
// that callers are usually allowed.
constexpr duration body_timeout = from_ms(15'000);

// Time without a new host after which the size of the fleet has settled:
// machines of a fleet start within 0.3 s.
constexpr auto settle_time = std::chrono::milliseconds(700);

// Longest wait of a caller on a route without a timeout.
constexpr duration default_timeout = from_ms(30'000);

std::string ms_text(duration d)
{
    std::array<char, 32> buf{};
    auto const n = std::snprintf(buf.data(), buf.size(), "%.1f", to_ms(d));
    return {buf.data(), static_cast<std::size_t>(n)};
}

http_server_options server_options(listen_address const& address)
{
    return {.ip = address.ip,
            .port = address.port,
            .body_timeout = body_timeout,
            .max_connections = 3000};
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<duration> time_left_of(std::string const& text)
{
    std::uint32_t ms = 0;
    auto const* const end = text.data() + text.size();
    auto const [last, ec] = std::from_chars(text.data(), end, ms);
    if (text.empty() || ec != std::errc() || last != end) {
        return std::nullopt;
    }
    return from_ms(ms);
}

} // namespace

forward_traffic::forward_traffic(asio::io_context& io,
                                 forward_settings const& settings,
                                 forward_headers const& names,
                                 forward_metrics& metrics)
    : io_(io), settings_(settings), names_(names), metrics_(metrics),
      fleet_({.host = settings.name,
              .data_centre = settings.data_centre,
              .hosts = static_cast<double>(settings.hosts)},
             std::random_device()()),
      links_(io, fleet_, names, {}, core_now,
             [](upstream_view const& it, bool reachable) {
                 log_info(reachable ? "upstream_reachable"
                                    : "upstream_unreachable",
                          {{"instance", it.record.instance},
                           {"service", it.record.service},
                           {"data_centre", it.record.data_centre}});
             }),
      shared_{.fleet = fleet_,
              .exchanges = links_,
              .settings = {},
              .budget_settings = settings.repeats,
              .now = core_now},
      timer_(io), warm_timer_(io),
      callers_(io, server_options(settings.callers),
               [this](http_request request, http_responder f) {
                   return on_request(std::move(request), std::move(f));
               }),
      readiness_(io, server_options(settings.readiness),
                 [this](http_request const&,
                        http_responder const& f) -> std::function<void()> {
                     f(on_readiness());
                     return nullptr;
                 })
{}

void forward_traffic::adopt(std::shared_ptr<forward_snapshot const> snapshot)
{
    auto const now = core_now();
    bool const new_manifest =
        snapshot->current &&
        (!snapshot_ || snapshot_->current != snapshot->current);
    snapshot_ = std::move(snapshot);
    if (new_manifest) {
        auto const& state = *snapshot_->current->state;
        fleet_.set_services(state.services);
        callers_.set_limits(state.limits.max_header, state.limits.max_body,
                            state.limits.header_timeout,
                            state.limits.idle_timeout);
    }
    auto const changes =
        fleet_.update(snapshot_->upstreams, snapshot_->evacuated, now);
    set_hosts(snapshot_->hosts);
    if (warming_) {
        warm();
    }
    for (auto const& it : changes.removed) {
        links_.remove(it);
    }
    if (!changes.added.empty() || !changes.removed.empty()) {
        log_info("upstreams_changed",
                 {{"added", std::to_string(changes.added.size())},
                  {"removed", std::to_string(changes.removed.size())},
                  {"known", std::to_string(fleet_.all().size())},
                  {"revision", std::to_string(snapshot_->upstreams_revision)}});
    }
}

// Shares of the fleet follow the number of hosts. Connections are opened ahead
// of need once it has settled, because a starting fleet would otherwise open
// more than its upstreams take.
void forward_traffic::set_hosts(std::size_t n)
{
    if (n == 0 || static_cast<double>(n) == fleet_.settings().hosts) {
        return;
    }
    log_info("fleet_size", {{"hosts", std::to_string(n)}});
    fleet_.set_hosts(static_cast<double>(n));
    warm_timer_.expires_after(settle_time);
    warm_timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            warming_ = true;
            warm();
        }
    });
}

void forward_traffic::warm()
{
    for (auto const& it : fleet_.all()) {
        if (it->chosen) {
            links_.add(it);
        }
    }
}

void forward_traffic::set_repeats(repeat_budget_settings const& settings)
{
    shared_.budget_settings = settings;
    for (auto& [name, it] : shared_.budgets) {
        it.set(settings);
    }
}

http_response forward_traffic::on_readiness()
{
    bool ready = snapshot_ && snapshot_->complete && !leaving_;
    if (ready) {
        bool const isolated = cut_off(*snapshot_->current->state, fleet_);
        if (isolated != cut_off_) {
            cut_off_ = isolated;
            // Kept connections would bind their callers to this host.
            callers_.refuse_reuse(isolated);
            log_info(isolated ? "cut_off" : "cut_off_ended",
                     {{"data_centre", settings_.data_centre},
                      {"upstreams", std::to_string(fleet_.all().size())}});
        }
        ready = !isolated;
    }
    return {.status = ready ? 200U : 503U, .body = "{}"};
}

std::function<void()> forward_traffic::on_request(http_request request,
                                                  http_responder respond)
{
    auto const arrival = time_point(std::chrono::duration_cast<duration>(
        request.first_byte.time_since_epoch()));
    if (!snapshot_ || !snapshot_->current) {
        refuse(request, respond, 503, errc::no_configuration,
               retry_without_manifest);
        return nullptr;
    }
    auto const* const route = snapshot_->current->routes.find(
        request.header("host"), path_of(request.target));
    if (!route) {
        refuse(request, respond, 404, errc::unknown_route, {});
        return nullptr;
    }
    auto const stated = time_left_of(request.header(names_.time_left));
    auto wait =
        route->timeout > duration::zero() ? route->timeout : default_timeout;
    if (stated) {
        wait = std::min(wait, *stated - deadline_margin);
    }
    return start_run(std::move(request), std::move(respond), *route, arrival,
                     arrival + wait);
}

std::vector<std::string const*>
forward_traffic::services_of(forward_route const& route)
{
    return std::visit(overloaded{[](single_target const& it) {
                                     return std::vector{&it.service};
                                 },
                                 [&](weighted_target const& it) {
                                     auto const n =
                                         rotation_.next(route.name, it);
                                     return std::vector{&it.parts[n].service};
                                 },
                                 [](gather_target const& it) {
                                     std::vector<std::string const*> out;
                                     out.reserve(it.shards.size());
                                     for (auto const& shard : it.shards) {
                                         out.push_back(&shard);
                                     }
                                     return out;
                                 }},
                      route.target);
}

std::function<void()> forward_traffic::start_run(http_request&& request,
                                                 http_responder&& respond,
                                                 forward_route const& route,
                                                 time_point arrival,
                                                 time_point end)
{
    auto const number = next_number_++;
    auto text = std::make_shared<forward_request const>(
        make_forward_request(std::move(request), names_));
    auto& it = runs_[number];
    it.respond = std::move(respond);
    it.id = text->id;
    it.arrival = arrival;
    it.run = std::make_unique<request_run>(request_run::options{
        .shared = &shared_,
        .settings = &run_settings_,
        .state = snapshot_->current->state,
        .route = &route,
        .services = services_of(route),
        .request = std::move(text),
        .arrival = arrival,
        .end = end,
        .on_answer =
            [this, number](caller_answer answer) {
                on_answer(number, std::move(answer));
            },
        .on_wake_changed = [this, number] { schedule(number); }});
    it.run->start();
    schedule(number);
    return [this, number] { cancel(number); };
}

void forward_traffic::on_answer(std::uint64_t number, caller_answer answer)
{
    auto const found = runs_.find(number);
    if (found == runs_.end()) {
        return;
    }
    auto& it = found->second;
    std::string reason;
    if (auto const* const refused = std::get_if<refused_answer>(&answer)) {
        reason = refused->reason.detail;
    }
    auto response = write_caller_answer(std::move(answer), names_);
    auto const status = response.status;
    auto const respond = std::exchange(it.respond, nullptr);
    respond(std::move(response));
    log_request(it, status, reason);
    unschedule(number, it);
    erase_later(number);
}

void forward_traffic::log_request(open_run const& it, unsigned status,
                                  std::string_view reason) const
{
    auto const took = core_now() - it.arrival;
    auto const summary = it.run->summary();
    metrics_.request_ended(summary.route, status, to_ms(took) / 1000);
    log_info("request", {{"id", it.id},
                         {"route", summary.route},
                         {"manifest", std::to_string(summary.manifest_version)},
                         {"status", std::to_string(status)},
                         {"ms", ms_text(took)},
                         {"parts", std::to_string(summary.parts)},
                         {"in", std::to_string(summary.parts_in)},
                         {"sends", std::to_string(summary.sends)},
                         {"hedges", std::to_string(summary.hedges)},
                         {"missing", summary.faults},
                         {"attempts", summary.attempts},
                         {"reason", reason}});
}

void forward_traffic::refuse(http_request const& request,
                             http_responder const& respond, unsigned status,
                             errc code, duration retry_after)
{
    log_info(
        "request",
        {{"id", request.header(names_.request_id)},
         {"route", ""},
         {"manifest", snapshot_ && snapshot_->current
                          ? std::to_string(snapshot_->current->state->version)
                          : "none"},
         {"status", std::to_string(status)},
         {"reason", to_string(code)}});
    metrics_.request_ended("", status, 0);
    respond(write_caller_answer(
        refused_answer{.status = status,
                       .reason = {.code = code, .run = run_state::not_run},
                       .retry_after = retry_after},
        names_));
}

void forward_traffic::cancel(std::uint64_t number)
{
    auto const found = runs_.find(number);
    if (found == runs_.end() || !found->second.respond) {
        return;
    }
    auto& it = found->second;
    it.run->cancel();
    it.respond = nullptr;
    log_request(it, 499, "the caller has left");
    unschedule(number, it);
    erase_later(number);
}

// The run may be on the call stack.
void forward_traffic::erase_later(std::uint64_t number)
{
    asio::post(io_, [this, number] { runs_.erase(number); });
}

void forward_traffic::unschedule(std::uint64_t number, open_run& it)
{
    if (it.wake) {
        wakes_.erase({*it.wake, number});
        it.wake.reset();
    }
}

void forward_traffic::schedule(std::uint64_t number)
{
    auto const found = runs_.find(number);
    if (found == runs_.end()) {
        return;
    }
    auto& it = found->second;
    unschedule(number, it);
    it.wake = it.run->wake();
    if (it.wake) {
        wakes_.insert({*it.wake, number});
        arm_timer();
    }
}

void forward_traffic::arm_timer()
{
    if (wakes_.empty() || timer_at_ <= wakes_.begin()->first) {
        return;
    }
    timer_at_ = wakes_.begin()->first;
    timer_.expires_at(to_steady(timer_at_));
    timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            timer_at_ = time_point::max();
            on_timer();
        }
    });
}

void forward_traffic::on_timer()
{
    auto const now = core_now();
    while (!wakes_.empty() && wakes_.begin()->first <= now) {
        auto const number = wakes_.begin()->second;
        auto& it = runs_.at(number);
        unschedule(number, it);
        it.run->on_wake(now);
        schedule(number);
    }
    arm_timer();
}

void forward_traffic::start_leaving()
{
    leaving_ = true;
    callers_.refuse_reuse(true);
}

void forward_traffic::drain()
{
    callers_.drain();
}

bool forward_traffic::idle() const
{
    return callers_.open_connections() == 0;
}

void forward_traffic::report() const
{
    auto const& links = links_.counters();
    metrics_.set_counter("upstream_connects", links.connects);
    metrics_.set_counter("upstream_connect_failures", links.connect_failures);
    metrics_.set_counter("upstream_exchanges", links.exchanges);
    metrics_.set_counter("upstream_exchanges_lost", links.lost);
    metrics_.set_counter("hedges", shared_.hedges);
    metrics_.set_counter("retries", shared_.retries);
    metrics_.set_counter("repeats_over_budget", shared_.budget_refusals);
    metrics_.set_counter("bad_requests", callers_.bad_requests());
    metrics_.set_gauge("open_requests",
                       static_cast<double>(callers_.open_requests()));
    metrics_.set_gauge("upstreams", static_cast<double>(fleet_.all().size()));
}

} // namespace snipemill
