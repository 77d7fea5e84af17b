#include "app/forward/forward_host.hpp"

#include "adapters/logging/logger.hpp"
#include "app/core_time.hpp"
#include "core/base/overloaded.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/system_error.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <thread>
#include <utility>
#include <variant>

namespace snipemill {

namespace asio = boost::asio;

namespace {

// A load balancer that checks readiness each second removes a host after two
// failed checks. New connections arrive until then.
constexpr duration accept_after_signal = from_ms(2600);

// Time between the end of draining and the time at which the host is killed.
constexpr duration stop_margin = from_ms(600);

// The settings file may change without a SIGHUP.
constexpr auto settings_poll = std::chrono::seconds(2);

// Longest time for which a log line is buffered.
constexpr auto log_flush = std::chrono::milliseconds(250);

std::int64_t modification_time(std::string const& file)
{
    std::error_code ec;
    auto const time = std::filesystem::last_write_time(file, ec);
    return ec ? 0 : time.time_since_epoch().count();
}

} // namespace

forward_host::forward_host(forward_settings settings, std::string settings_file,
                           forward_platform const& platform, line_queue& log)
    : settings_(std::move(settings)), settings_file_(std::move(settings_file)),
      log_(log), memory_(settings_.memory),
      signals_(control_io_, SIGINT, SIGTERM, SIGHUP),
      settings_timer_(control_io_), log_timer_(control_io_),
      planned_stop_(control_io_, stop_options(), stop_steps())
{
    traffic_ = std::make_unique<forward_traffic>(
        traffic_io_, settings_, *platform.headers, metrics_, memory_);
    store_ = platform.make_store(
        control_io_, settings_.store, memory_.store, [this](bool reachable) {
            log_info(reachable ? "store_reachable" : "store_unreachable",
                     {{"address", settings_.store.ip}});
            if (reachable && control_) {
                control_->on_store_available();
            }
        });
    control_ = std::make_unique<forward_control>(
        control_io_, settings_, *store_,
        [this](std::shared_ptr<forward_snapshot const> snapshot) {
            asio::post(traffic_io_, [this, snapshot = std::move(snapshot)] {
                traffic_->apply_snapshot(snapshot);
            });
        });
    open_host_link();
    connect_rollouts();
    traffic_->on_crash([this](crash_entry const& entry, bool added) {
        asio::post(control_io_, [this, entry, added] {
            added ? control_->save_crash(entry) : control_->clear_crash(entry);
        });
    });
    traffic_->claim_trials_with([this](crash_entry const& entry) {
        asio::post(control_io_, [this, entry] {
            control_->claim_trial(entry, [this, entry](bool created) {
                asio::post(traffic_io_, [this, entry, created] {
                    traffic_->on_trial_claimed(entry, created);
                });
            });
        });
    });
    metrics_server_ = std::make_unique<http_server>(
        control_io_,
        http_server_options{.ip = settings_.metrics.ip,
                            .port = settings_.metrics.port,
                            .memory = memory_.metrics,
                            .max_connections = 20},
        [this](http_request const&,
               http_responder const& f) -> std::function<void()> {
            asio::post(traffic_io_, [this, f] {
                traffic_->report();
                metrics_.set_counter("log_lines_dropped", log_.dropped());
                if (host_link_) {
                    metrics_.set_counter("malformed_datagrams",
                                         host_link_->malformed());
                }
                asio::post(control_io_, [this, f] {
                    control_->report(metrics_);
                    f({.content_type = "text/plain; version=0.0.4",
                       .body = metrics_.text()});
                });
            });
            return nullptr;
        });
    settings_modified_ = modification_time(settings_file_);
}

forward_host::~forward_host() = default;

// A host that cannot use the port reads the store itself. The socket belongs to
// the traffic thread, because callers wait for cap requests.
void forward_host::open_host_link()
{
    if (!settings_.relay) {
        return;
    }
    try {
        host_link_ = std::make_unique<host_link>(
            traffic_io_, settings_.relay->ip, settings_.relay->port,
            [this](host_message const& it) { on_host_message(it); });
    }
    catch (boost::system::system_error const& e) {
        log_error("host_link_unavailable", {{"reason", e.what()}});
        return;
    }
    traffic_->send_with(
        [this](fleet_host const& to, host_message const& message) {
            host_link_->send(to, message);
        });
    control_->pass_floors_with(
        [this](fleet_host const& to, floor_message const& message) {
            asio::post(traffic_io_,
                       [this, to, message] { host_link_->send(to, message); });
        });
}

// Datagrams of rollouts pass through the traffic thread, which owns the socket
// and the counters.
void forward_host::connect_rollouts()
{
    if (!control_->rollouts()) {
        return;
    }
    rollout_control::links links;
    links.publish = [this](version_shares shares,
                           std::map<std::string, std::string> targets) {
        asio::post(traffic_io_, [this, shares = std::move(shares),
                                 targets = std::move(targets)] {
            traffic_->set_versions(shares, targets);
        });
    };
    links.collect = [this](auto f) {
        asio::post(traffic_io_, [this, f = std::move(f)] {
            asio::post(control_io_,
                       [f, it = traffic_->version_reports()] { f(it); });
        });
    };
    links.send = [this](fleet_host const& to, rollout_message const& it) {
        asio::post(traffic_io_, [this, to, it] {
            if (host_link_) {
                std::visit(
                    [&](auto const& each) { host_link_->send(to, each); }, it);
            }
        });
    };
    control_->rollouts()->connect(std::move(links));
}

void forward_host::on_rollout_message(rollout_message const& message)
{
    asio::post(control_io_, [this, message] {
        if (control_->rollouts()) {
            control_->rollouts()->on_message(message);
        }
    });
}

void forward_host::on_host_message(host_message const& message)
{
    std::visit(
        overloaded{
            [this](floor_message const& it) {
                asio::post(control_io_, [this, it] { control_->on_floor(it); });
            },
            [this](rollout_report const& it) { on_rollout_message(it); },
            [this](rollout_instruction const& it) { on_rollout_message(it); },
            [this](auto const& it) {
                traffic_->on_host_message(it,
                                          [this](host_message const& response) {
                                              host_link_->reply(response);
                                          });
            }},
        message);
}

bool forward_host::run()
{
    log_info("started", {{"host", settings_.name},
                         {"data_centre", settings_.data_centre}});
    control_->start();
    wait_signal();
    watch_settings();
    flush_log();
    auto const work = asio::make_work_guard(traffic_io_);
    std::jthread const traffic([this] { traffic_io_.run(); });
    control_io_.run();
    traffic_io_.stop();
    return clean_;
}

void forward_host::flush_log()
{
    log_.flush();
    log_timer_.expires_after(log_flush);
    log_timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            flush_log();
        }
    });
}

void forward_host::wait_signal()
{
    signals_.async_wait([this](boost::system::error_code ec, int number) {
        if (!ec) {
            wait_signal();
            on_signal(number);
        }
    });
}

void forward_host::on_signal(int number)
{
    if (number == SIGHUP) {
        reload();
        return;
    }
    if (!planned_stop_.started()) {
        planned_stop_.start();
    }
}

void forward_host::watch_settings()
{
    settings_timer_.expires_after(settings_poll);
    settings_timer_.async_wait([this](boost::system::error_code ec) {
        if (ec) {
            return;
        }
        if (modification_time(settings_file_) != settings_modified_) {
            reload();
        }
        watch_settings();
    });
}

// Applies the settings that can change at run time. Changes of addresses and of
// the host's name need a restart.
void forward_host::reload()
{
    settings_modified_ = modification_time(settings_file_);
    auto result = load_forward_settings(settings_file_);
    if (auto const* const faults =
            std::get_if<std::vector<settings_fault>>(&result)) {
        log_error("settings_refused", {{"file", settings_file_},
                                       {"reason", faults->front().reason}});
        return;
    }
    auto const& next = std::get<forward_settings>(result);
    bool const same =
        next.callers == settings_.callers && next.store == settings_.store;
    log_info("settings_reloaded", {{"file", settings_file_},
                                   {"addresses", same ? "same" : "ignored"}});
    asio::post(traffic_io_, [this, retry_budget = next.retry_budget] {
        traffic_->set_retry_budget(retry_budget);
    });
}

planned_stop_options forward_host::stop_options() const
{
    return {.accept_for =
                std::min(accept_after_signal, settings_.stop_within / 2),
            .stop_within = settings_.stop_within - stop_margin};
}

planned_stop_steps forward_host::stop_steps()
{
    return {
        .begin =
            [this](drain_times const& times) {
                log_info("leaving", {{"host", settings_.name}});
                control_->deregister();
                asio::post(traffic_io_,
                           [this, times] { traffic_->start_draining(times); });
            },
        .stop_accepting =
            [this] {
                asio::post(traffic_io_, [this] { traffic_->stop_accepting(); });
            },
        .end_requests =
            [this] {
                asio::post(traffic_io_, [this] { traffic_->end_requests(); });
            },
        .report =
            [this](std::function<void(open_work)> f) {
                asio::post(traffic_io_, [this, f = std::move(f)] {
                    asio::post(control_io_,
                               [f, work = traffic_->work()] { f(work); });
                });
            },
        .stop = [this](std::size_t open_requests) { stop(open_requests); }};
}

void forward_host::stop(std::size_t open_requests)
{
    clean_ = open_requests == 0;
    log_info("stopped", {{"host", settings_.name},
                         {"open_requests", clean_ ? "none" : "cut off"},
                         {"cut_off", std::to_string(open_requests)}});
    log_.flush();
    control_io_.stop();
}

} // namespace snipemill
