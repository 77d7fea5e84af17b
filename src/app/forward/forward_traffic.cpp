#include "app/forward/forward_traffic.hpp"

#include "adapters/forward/forward_text.hpp"
#include "adapters/http/error_body.hpp"
#include "adapters/logging/logger.hpp"
#include "app/core_time.hpp"
#include "core/base/overloaded.hpp"
#include "core/forward/cut_off.hpp"
#include "core/forward/request_fingerprint.hpp"
#include "core/forward/shard_changes.hpp"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

namespace snipemill {

namespace asio = boost::asio;

namespace {

// Retry-After of requests that arrive before the first manifest. A starting
// host has usually read a manifest by then.
constexpr duration no_manifest_retry_after = from_ms(300);

// Retry-After of requests that a draining host does not start. Other hosts can
// take them at once.
constexpr duration draining_retry_after = from_ms(5);

// Taken off the caller's deadline, so that the answer arrives in time.
constexpr duration deadline_margin = from_ms(8);

// A caller may send a body slowly, but not pause for longer than this. Equals
// the usual idle timeout of callers.
constexpr duration body_timeout = from_ms(15'000);

// Time without a change of the hosts after which the size of the fleet has
// settled. The hosts of a fleet start within 0.3 s.
constexpr auto settle_time = std::chrono::milliseconds(700);

// Timeout of routes that state none.
constexpr duration default_timeout = from_ms(30'000);

http_server_options server_options(listen_address const& address,
                                   std::shared_ptr<receive_budget> memory)
{
    return {.ip = address.ip,
            .port = address.port,
            .body_timeout = body_timeout,
            .memory = std::move(memory),
            .max_connections = 3000};
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::optional<duration> parse_milliseconds(std::string const& text)
{
    std::uint32_t ms = 0;
    auto const* const end = text.data() + text.size();
    auto const [last, ec] = std::from_chars(text.data(), end, ms);
    if (text.empty() || ec != std::errc() || last != end) {
        return std::nullopt;
    }
    return from_ms(ms);
}

void log_relay_state(relay_state const& it)
{
    log_info(it.usable ? "relay_usable" : "relay_lost",
             {{"relay", it.host.name},
              {"data_centre", it.host.data_centre},
              {"open", std::to_string(it.open)}});
}

} // namespace

forward_traffic::forward_traffic(asio::io_context& io,
                                 forward_settings const& settings,
                                 forward_headers const& names,
                                 forward_metrics& metrics,
                                 host_memory const& memory)
    : io_(io), settings_(settings), names_(names), metrics_(metrics),
      memory_(memory), fleet_({.host = settings.name,
                               .data_centre = settings.data_centre,
                               .expected_finish = settings.expected_finish,
                               .report_delay = settings.report_interval +
                                               settings.shortest_bound()},
                              std::random_device()()),
      links_(io, fleet_, names, {.memory = memory.upstreams}, core_now,
             [this](upstream_view const& it, bool reachable) {
                 on_reach(it, reachable);
             }),
      shared_{.fleet = fleet_,
              .exchanges = links_,
              .settings = {},
              .budget_settings = settings.retry_budget,
              .min_hosts = static_cast<double>(settings.hosts),
              .retry_slack = settings.retry_slack,
              .crashes = crash_guard(crash_options()),
              .now = core_now,
              .versions = settings.rollouts ? &versions_ : nullptr},
      relay_link_(io, memory.relayed_queries),
      relays_({.data_centre = settings.data_centre}, relay_link_,
              std::random_device()(), log_relay_state),
      runs_(io), probe_timer_(io), preconnect_timer_(io),
      callers_(io, server_options(settings.callers, memory.callers),
               [this](http_request request, http_responder f) {
                   return on_request(std::move(request), std::move(f));
               }),
      readiness_(io, server_options(settings.readiness, memory.readiness),
                 [this](http_request const&,
                        http_responder const& f) -> std::function<void()> {
                     f(on_readiness());
                     return nullptr;
                 })
{
    fleet_.set_sharing({.hosts = static_cast<double>(settings.hosts)});
    fleet_.on_admission([](upstream_view const& it, admission_change change) {
        auto const limit = it.admission.rate_limit();
        log_info("upstream_signal",
                 {{"instance", it.record.instance},
                  {"service", it.record.service},
                  {"change", name_of(admission_change_names, change)},
                  {"limit", limit ? std::to_string(*limit) : "none"}});
    });
    if (settings.usage_caps) {
        caps_.emplace(io,
                      usage_caps::options{.host = settings.name,
                                          .data_centre = settings.data_centre,
                                          .tolerance = *settings.usage_caps,
                                          .metrics = &metrics});
    }
    links_.on_malformed_load(
        [](upstream_view const& it, std::string_view value) {
            log_info("malformed_load", {{"instance", it.record.instance},
                                        {"service", it.record.service},
                                        {"value", value}});
        });
    if (settings.relay) {
        relay_service_.emplace(
            io, *settings.relay, runs_,
            [this](request_run::options o) {
                return make_direct_run(std::move(o));
            },
            memory.relay_queries);
    }
}

void forward_traffic::apply_snapshot(
    std::shared_ptr<forward_snapshot const> snapshot)
{
    auto const now = core_now();
    bool const new_manifest =
        snapshot->current &&
        (!snapshot_ || snapshot_->current != snapshot->current);
    auto const former = std::exchange(snapshot_, std::move(snapshot));
    if (new_manifest) {
        auto const& state = *snapshot_->current->state;
        if (former && former->current) {
            for (auto const& it :
                 routes_with_other_shards(*former->current->state, state)) {
                shared_.costs.forget(it);
            }
        }
        fleet_.set_services(state.services);
        callers_.set_limits(state.limits.max_header, state.limits.max_body,
                            state.limits.header_timeout,
                            state.limits.idle_timeout);
    }
    set_versions(snapshot_->versions, snapshot_->rollout_targets);
    auto const changes =
        fleet_.update(snapshot_->upstreams, snapshot_->evacuated, now);
    update_fleet_sharing(snapshot_->hosts);
    if (caps_) {
        caps_->apply_snapshot(*snapshot_);
    }
    if (relay_service_) {
        relay_service_->set_manifest(snapshot_->current);
    }
    if (preconnecting_) {
        preconnect();
    }
    for (auto const& it : changes.removed) {
        links_.remove(it);
        if (!it->leaving()) {
            shared_.crashes.on_ended(lifetime_id(it->record), now);
        }
    }
    links_.end_waiting_for_leaving();
    shared_.crashes.set_shared(snapshot_->crashes, now);
    if (!changes.added.empty() || !changes.removed.empty()) {
        log_info("upstreams_changed",
                 {{"added", std::to_string(changes.added.size())},
                  {"removed", std::to_string(changes.removed.size())},
                  {"known", std::to_string(fleet_.all().size())},
                  {"revision", std::to_string(snapshot_->upstreams_revision)}});
    }
}

crash_guard_options forward_traffic::crash_options()
{
    auto const report = [this](crash_entry const& it, bool added) {
        log_info(added ? "crash_recorded" : "crash_cleared",
                 {{"print", to_text(it.print)},
                  {"verdict",
                   name_of(crash_verdict_names,
                           shared_.crashes.verdict(it.print, core_now()))}});
        if (on_crash_) {
            on_crash_(it, added);
        }
    };
    return {
        .settings = {.trials = {.first_delay = settings_.shortest_bound()}},
        .host = settings_.name,
        .wall_clock_ms =
            [] {
                return std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                    .count();
            },
        .on_added = [report](crash_entry const& it) { report(it, true); },
        .on_cleared = [report](crash_entry const& it) { report(it, false); },
        .claim_trial =
            [this](crash_entry const& it) {
                if (claim_trial_) {
                    claim_trial_(it);
                }
            }};
}

void forward_traffic::on_trial_claimed(crash_entry const& entry, bool created)
{
    log_info("crash_trial", {{"print", to_text(entry.print)},
                             {"number", std::to_string(entry.trial)},
                             {"granted", created ? "yes" : "no"}});
    shared_.crashes.on_claimed(entry, created, core_now());
}

void forward_traffic::on_reach(upstream_view const& it, bool reachable)
{
    log_info(reachable ? "upstream_reachable" : "upstream_unreachable",
             {{"instance", it.record.instance},
              {"service", it.record.service},
              {"data_centre", it.record.data_centre}});
    auto const id = lifetime_id(it.record);
    if (reachable) {
        shared_.crashes.on_connected(id);
    }
    else if (!it.leaving()) {
        shared_.crashes.on_ended(id, core_now());
    }
}

// Updates this host's share of the upstreams and of the retry budget, and its
// relays. Connections to upstreams are opened in advance only after the number
// of hosts has settled, because a starting fleet would otherwise open more
// connections than its upstreams accept.
void forward_traffic::update_fleet_sharing(std::vector<fleet_host> const& hosts)
{
    if (hosts.empty()) {
        return;
    }
    // Data centres are left out only when all upstreams are known.
    std::set<std::string> with_shards;
    if (snapshot_->complete) {
        with_shards =
            shard_data_centres(snapshot_->upstreams,
                               snapshot_->current->gathers.single_services());
    }
    auto plan =
        plan_relays(hosts, settings_.name, settings_.data_centre, with_shards);
    fleet_sharing next{.hosts = static_cast<double>(hosts.size()),
                       .relays = static_cast<double>(plan.relays),
                       .relay = plan.is_relay};
    if (snapshot_->current) {
        next.single_services = snapshot_->current->gathers.single_services();
    }
    if (next == fleet_.sharing() && plan == relay_plan_) {
        return;
    }
    relay_plan_ = std::move(plan);
    log_info("fleet_shared",
             {{"hosts", std::to_string(hosts.size())},
              {"relays", std::to_string(relay_plan_.relays)},
              {"relay", relay_plan_.is_relay ? "self" : "others"},
              {"known", std::to_string(relay_plan_.candidates.size())}});
    fleet_.set_sharing(std::move(next));
    shared_.update_budgets();
    relays_.set_relays(relay_plan_.is_relay ? std::vector<fleet_host>()
                                            : relay_plan_.candidates,
                       core_now());
    probe_relays();
    preconnect_timer_.expires_after(settle_time);
    preconnect_timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            preconnecting_ = true;
            preconnect();
        }
    });
}

void forward_traffic::probe_relays()
{
    if (relays_.empty()) {
        probe_timer_.cancel();
        return;
    }
    probe_timer_.expires_at(to_steady(relays_.probe(core_now())));
    probe_timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            probe_relays();
        }
    });
}

void forward_traffic::set_versions(
    version_shares versions, std::map<std::string, std::string> const& targets)
{
    if (!settings_.rollouts) {
        return;
    }
    versions_.set_targets(targets);
    fleet_.set_versions(std::move(versions));
    if (preconnecting_) {
        preconnect();
    }
}

void forward_traffic::preconnect()
{
    for (auto const& it : fleet_.all()) {
        if (it->in_subset) {
            links_.add(it);
        }
    }
}

void forward_traffic::set_retry_budget(retry_budget_settings const& settings)
{
    shared_.budget_settings = settings;
    shared_.update_budgets();
}

http_response forward_traffic::on_readiness()
{
    bool ready = snapshot_ && snapshot_->complete && !draining_;
    if (ready) {
        bool const now_cut_off =
            is_cut_off(*snapshot_->current->state, fleet_) || relays_.cut_off();
        if (now_cut_off != cut_off_) {
            cut_off_ = now_cut_off;
            // Callers that reuse a connection would stay on this host.
            callers_.refuse_reuse(now_cut_off);
            if (relay_service_) {
                relay_service_->set_cut_off(now_cut_off);
            }
            log_info(now_cut_off ? "cut_off" : "cut_off_ended",
                     {{"data_centre", settings_.data_centre},
                      {"upstreams", std::to_string(fleet_.all().size())}});
        }
        ready = !now_cut_off;
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
               no_manifest_retry_after);
        return nullptr;
    }
    auto const* const route = snapshot_->current->routes.find(
        request.header("host"), path_of(request.target));
    if (!route) {
        refuse(request, respond, 404, errc::unknown_route, {});
        return nullptr;
    }
    auto const caller = identify(
        snapshot_->current->accounts ? &*snapshot_->current->accounts : nullptr,
        request.values("authorization"));
    if (!is_authorised(caller, route->is_public)) {
        refuse(request, respond, 401, errc::unauthorised, {});
        return nullptr;
    }
    auto const caller_time_left =
        parse_milliseconds(request.header(names_.time_left));
    auto time_limit =
        route->timeout > duration::zero() ? route->timeout : default_timeout;
    if (caller_time_left) {
        time_limit = std::min(time_limit, *caller_time_left - deadline_margin);
    }
    auto const end = arrival + time_limit;
    if (!admission_.admits(route->kind, core_now(), end)) {
        refuse(request, respond, 503, errc::shutting_down,
               draining_retry_after);
        return nullptr;
    }
    request_place place{.manifest = snapshot_->current,
                        .route = route,
                        .caller = caller,
                        .arrival = arrival,
                        .end = end};
    if (caps_ && caller.account && caller.account->cap.limited()) {
        return start_within_cap(std::move(request), std::move(respond),
                                std::move(place));
    }
    return start_run(std::move(request), std::move(respond), place);
}

std::vector<std::string const*>
forward_traffic::services_of(forward_route const& route)
{
    return std::visit(
        overloaded{
            [](single_target const& it) { return std::vector{&it.service}; },
            [&](weighted_target const& it) {
                auto const n = rotation_.next(route.name, it);
                return std::vector{&it.services[n].service};
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

bool forward_traffic::uses_relay(forward_route const& route) const
{
    auto const& sharing = fleet_.sharing();
    return sharing.relays > 0 && !sharing.relay &&
           std::holds_alternative<gather_target>(route.target);
}

request_run::options forward_traffic::with_context(request_run::options o)
{
    o.shared = &shared_;
    o.settings = &run_settings_;
    o.services = services_of(*o.route);
    return o;
}

run_ptr forward_traffic::make_direct_run(request_run::options o)
{
    return std::make_unique<request_run>(with_context(std::move(o)));
}

std::function<void()> forward_traffic::start_run(http_request&& request,
                                                 http_responder&& respond,
                                                 request_place const& place)
{
    auto forwarded = std::make_shared<forward_request const>(
        make_forward_request(std::move(request), names_, place.caller));
    auto const account =
        place.caller.account ? place.caller.account->name : std::string();
    auto const arrival = place.arrival;
    auto const id = forwarded->id;
    request_run::options o{.state = place.manifest->state,
                           .route = place.route,
                           .request = std::move(forwarded),
                           .arrival = place.arrival,
                           .end = place.end};
    auto const make = [&](run_callbacks callbacks) -> run_ptr {
        o.on_answer = std::move(callbacks.on_answer);
        o.on_timer_changed = std::move(callbacks.on_timer_changed);
        if (!uses_relay(*place.route)) {
            return make_direct_run(std::move(o));
        }
        return std::make_unique<relayed_run>(relayed_run::options{
            .pool = &relays_,
            .fingerprint = place.manifest->gathers.fingerprint(*place.route),
            .direct = with_context(std::move(o))});
    };
    auto const number = runs_.start(
        make, [this, id, account, arrival, respond = std::move(respond)](
                  caller_answer answer, run_summary const& summary) {
            std::string reason;
            if (auto const* const it = std::get_if<error_answer>(&answer)) {
                reason = it->reason.detail;
            }
            auto response = write_caller_answer(std::move(answer), names_);
            auto const status = response.status;
            respond(std::move(response));
            record_request(id, summary,
                           {.status = status,
                            .latency = core_now() - arrival,
                            .reason = reason,
                            .account = account});
        });
    return [this, number, id, account, arrival] {
        if (auto const summary = runs_.cancel(number)) {
            record_request(id, *summary,
                           {.status = 499,
                            .latency = core_now() - arrival,
                            .reason = "the caller disconnected",
                            .account = account});
        }
    };
}

void forward_traffic::start_draining(drain_times const& times)
{
    draining_ = true;
    admission_.begin(times);
    callers_.refuse_reuse(true);
    if (relay_service_) {
        relay_service_->start_draining();
    }
}

void forward_traffic::stop_accepting()
{
    callers_.drain();
    if (relay_service_) {
        relay_service_->stop_accepting();
    }
}

open_work forward_traffic::work() const
{
    auto const relayed = relay_service_ ? relay_service_->open() : 0;
    return {.requests = callers_.open_requests() + relayed,
            .idle = callers_.open_connections() == 0 && relayed == 0};
}

} // namespace snipemill
