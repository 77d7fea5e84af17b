#include "app/entry_host.hpp"

#include "app/core_time.hpp"

#include <csignal>
#include <random>
#include <thread>
#include <utility>

namespace snipemill {

namespace {

std::uint64_t random_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
}

} // namespace

entry_host::entry_host(host_settings settings)
    : settings_(std::move(settings)),
      events_(settings_.name, settings_.event_capacity),
      control_(settings_, events_, *this, random_seed()),
      signals_(control_.io(), SIGINT, SIGTERM),
      planned_stop_(control_.io(),
                    {.accept_for = settings_.drain_linger,
                     .stop_within = settings_.drain_timeout},
                    stop_steps())
{
    for (std::uint32_t i = 0; i < settings_.traffic_threads; ++i) {
        lanes_.push_back(
            std::make_unique<lane>(lane_environment{.settings = &settings_,
                                                    .lane = i,
                                                    .seed = random_seed(),
                                                    .owners = this,
                                                    .control = &control_,
                                                    .events = &events_,
                                                    .metrics = &metrics_}));
    }
    lanes_[0]->listen(settings_.caller_port, settings_.peer_port);
    for (std::size_t i = 1; i < lanes_.size(); ++i) {
        lanes_[i]->listen(caller_port(), peer_port());
    }
    operators_ = std::make_unique<operator_api>(
        settings_, control_, events_, metrics_,
        [this](std::function<void(lane_status)> f) { collect(std::move(f)); });
}

entry_host::~entry_host() = default;

std::uint16_t entry_host::caller_port() const
{
    return lanes_[0]->caller_port();
}

std::uint16_t entry_host::operator_port() const
{
    return operators_->port();
}

std::uint16_t entry_host::peer_port() const
{
    return lanes_[0]->peer_port();
}

bool entry_host::run()
{
    events_.report(event_kind::host_started, settings_.name, "");
    control_.start(peer_port(), operator_port());
    signals_.async_wait([this](boost::system::error_code ec, int) {
        if (!ec) {
            on_signal();
        }
    });
    std::vector<std::jthread> threads;
    threads.reserve(lanes_.size());
    for (auto& it : lanes_) {
        threads.emplace_back([&it] { it->run(); });
    }
    control_.run();
    for (auto& it : lanes_) {
        it->stop();
    }
    threads.clear();
    events_.report(event_kind::host_stopped, settings_.name,
                   clean_ ? "" : "requests were cut off");
    return clean_;
}

// Owner lanes

std::uint32_t entry_host::lanes() const
{
    return settings_.traffic_threads;
}

lane& entry_host::lane_of(peer_handle peer)
{
    return *lanes_[peer % lanes_.size()];
}

void entry_host::batch(std::uint32_t lane, peer_handle peer, query_batch batch)
{
    auto& to = *lanes_[lane];
    to.post([&to, peer, batch = std::move(batch)]() mutable {
        to.owner_batch(peer, std::move(batch));
    });
}

void entry_host::describe(std::uint32_t lane, peer_handle peer,
                          describe_request request)
{
    auto& to = *lanes_[lane];
    to.post([&to, peer, request = std::move(request)] {
        to.owner_describe(peer, request);
    });
}

void entry_host::submit(std::uint32_t lane, peer_handle peer,
                        submit_forward request)
{
    auto& to = *lanes_[lane];
    to.post([&to, peer, request = std::move(request)]() mutable {
        to.owner_submit(peer, std::move(request));
    });
}

void entry_host::cancel(std::uint32_t lane, peer_handle peer,
                        std::vector<upstream_id> targets)
{
    auto& to = *lanes_[lane];
    to.post([&to, peer, targets = std::move(targets)] {
        to.owner_cancel(peer, targets);
    });
}

void entry_host::gone(std::uint32_t lane, peer_handle peer)
{
    auto& to = *lanes_[lane];
    to.post([&to, peer] { to.owner_gone(peer); });
}

void entry_host::reply(peer_handle peer, query_part part)
{
    auto& to = lane_of(peer);
    to.post([&to, peer, part = std::move(part)]() mutable {
        to.router().on_part(peer, std::move(part));
    });
}

void entry_host::reply(peer_handle peer, describe_answer answer)
{
    auto& to = lane_of(peer);
    to.post([&to, peer, answer = std::move(answer)]() mutable {
        to.router().on_described(peer, std::move(answer));
    });
}

void entry_host::reply(peer_handle peer, submit_result result)
{
    auto& to = lane_of(peer);
    to.post([&to, peer, result = std::move(result)]() mutable {
        to.router().on_submit_result(peer, std::move(result));
    });
}

// What the control thread tells the lanes

void entry_host::publish(std::shared_ptr<routing_view const> view)
{
    for (auto& it : lanes_) {
        it->post([&it, view] { it->set_view(view); });
    }
}

void entry_host::publish(std::vector<fingerprint> const& refused)
{
    for (auto& it : lanes_) {
        it->post([&it, refused] { it->set_quarantine(refused); });
    }
}

void entry_host::handover(std::vector<upstream_gauge> const& gauges)
{
    for (auto& it : lanes_) {
        it->post([&it, gauges] { it->set_handover(gauges); });
    }
}

void entry_host::give_up(std::shared_ptr<routing_view const> view,
                         std::function<void(std::vector<upstream_gauge>)> done)
{
    struct gathering
    {
        std::vector<upstream_gauge> gauges;
        std::size_t missing = 0;
        std::function<void(std::vector<upstream_gauge>)> done;
    };
    auto const all = std::make_shared<gathering>();
    all->missing = lanes_.size();
    all->done = std::move(done);
    for (auto& it : lanes_) {
        it->post([this, &it, view, all] {
            auto const one = it->give_up(view);
            boost::asio::post(control_.io(), [all, one] {
                all->gauges.insert(all->gauges.end(), one.begin(), one.end());
                if (--all->missing == 0) {
                    all->done(std::move(all->gauges));
                }
            });
        });
    }
}

void entry_host::collect(std::function<void(lane_status)> f)
{
    struct gathering
    {
        lane_status sum;
        std::size_t missing = 0;
        std::function<void(lane_status)> done;
    };
    auto const all = std::make_shared<gathering>();
    all->missing = lanes_.size();
    all->done = std::move(f);
    for (auto& it : lanes_) {
        it->post([this, &it, all] {
            boost::asio::post(control_.io(), [all, one = it->status()] {
                add(all->sum, one);
                if (--all->missing == 0) {
                    all->done(std::move(all->sum));
                }
            });
        });
    }
}

// Shutdown

void entry_host::on_signal()
{
    if (planned_stop_.started()) {
        stop(false);
        return;
    }
    signals_.async_wait([this](boost::system::error_code ec, int) {
        if (!ec) {
            on_signal();
        }
    });
    planned_stop_.start();
}

planned_stop_steps entry_host::stop_steps()
{
    auto const post_to_lanes = [this](auto f) {
        for (auto& it : lanes_) {
            it->post([&it, f] { f(*it); });
        }
    };
    return {
        .begin =
            [this, post_to_lanes](drain_times const& times) {
                events_.report(event_kind::host_draining, settings_.name, "");
                control_.leave();
                post_to_lanes([times](lane& it) { it.start_draining(times); });
            },
        .stop_accepting =
            [post_to_lanes] {
                post_to_lanes([](lane& it) { it.drain_callers(); });
            },
        .end_requests =
            [post_to_lanes] {
                post_to_lanes([](lane& it) { it.end_requests(); });
            },
        .report =
            [this](std::function<void(open_work)> f) {
                collect([f = std::move(f)](lane_status const& status) {
                    f({.requests = status.open_requests,
                       .idle = status.idle()});
                });
            },
        .stop =
            [this](std::size_t open_requests) { stop(open_requests == 0); }};
}

void entry_host::stop(bool clean)
{
    clean_ = clean;
    control_.stop();
}

} // namespace snipemill
