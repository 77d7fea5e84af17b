#include "upstream/capacity.hpp"

#include <algorithm>
#include <cmath>

namespace standin {

namespace {

clock_type::duration ms(double n)
{
    return std::chrono::duration_cast<clock_type::duration>(
        std::chrono::duration<double, std::milli>(n));
}

} // namespace

response shed_response(int retry_after_s)
{
    return {.status = 503,
            .headers = {{"Retry-After", std::to_string(retry_after_s)}}};
}

capacity::capacity(boost::asio::io_context& io, upstream_settings& settings,
                   upstream_counters& counters)
    : io_(io), settings_(settings), counters_(counters), random_(settings.seed),
      cold_left_ms_(settings.cold_ms)
{}

void capacity::submit(job_ptr const& j)
{
    auto const concurrent = in_flight() + 1;
    counters_.max_in_flight = std::max(counters_.max_in_flight, concurrent);
    if (concurrent > settings_.slots) {
        ++counters_.slot_violations;
    }
    if (refuse(*j)) {
        return;
    }
    if (running_ < limit()) {
        run(j);
        return;
    }
    wait(j);
    auto const most = cold() ? settings_.cold_limit : settings_.collapse_at;
    if (most != 0 && in_flight() > most) {
        collapse();
    }
}

bool capacity::refuse(job const& j)
{
    if (collapsed() || waiting_.size() >= settings_.queue) {
        ++counters_.shed;
        j.request->reply(shed_response(collapsed() ? 2 : 1));
        return true;
    }
    if (clock_type::now() >= j.deadline) {
        ++counters_.expired;
        j.request->reply({.status = 504});
        return true;
    }
    return false;
}

// Everything that waits fails, later requests fail for a time and the warm-up
// starts again.
void capacity::collapse()
{
    ++counters_.collapses;
    collapsed_until_ = clock_type::now() + ms(settings_.collapse_ms);
    turn_cold();
    for (auto const& it : waiting_) {
        it->timer->cancel();
        it->request->reply(shed_response(2));
    }
    waiting_.clear();
}

void capacity::turn_cold()
{
    cold_left_ms_ = settings_.cold_ms;
}

void capacity::wait(job_ptr const& j)
{
    waiting_.push_back(j);
    j->timer = std::make_unique<boost::asio::steady_timer>(io_, j->deadline);
    j->timer->async_wait([this, j](boost::system::error_code ec) {
        auto const it = std::find(waiting_.begin(), waiting_.end(), j);
        if (ec || it == waiting_.end()) {
            return;
        }
        waiting_.erase(it);
        ++counters_.expired;
        j->request->reply({.status = 504});
    });
}

void capacity::run(job_ptr const& j)
{
    ++running_;
    ++counters_.ran;
    active_.push_back(j);
    j->running = true;
    j->work_ms = service_time();
    j->timer = std::make_unique<boost::asio::steady_timer>(io_, ms(j->work_ms));
    j->timer->async_wait([this, j](boost::system::error_code ec) {
        if (!ec && j->running) {
            done(j);
        }
    });
    j->start();
}

void capacity::done(job_ptr const& j)
{
    if (hold_) {
        j->parked = true;
        return;
    }
    j->running = false;
    --running_;
    active_.remove(j);
    cold_left_ms_ = std::max(0.0, cold_left_ms_ - j->work_ms);
    j->finish();
    start_waiting();
}

void capacity::start_waiting()
{
    while (!waiting_.empty() && running_ < limit()) {
        auto const j = waiting_.front();
        waiting_.pop_front();
        j->timer->cancel();
        run(j);
    }
}

bool capacity::cancel(std::uint64_t id)
{
    auto const same = [id](job_ptr const& j) { return j->id == id; };
    auto const w = std::find_if(waiting_.begin(), waiting_.end(), same);
    auto const a = std::find_if(active_.begin(), active_.end(), same);
    job_ptr j;
    if (w != waiting_.end()) {
        j = *w;
        waiting_.erase(w);
    }
    else if (a != active_.end()) {
        j = *a;
        active_.erase(a);
        --running_;
    }
    else {
        return false;
    }
    j->running = false;
    j->timer->cancel();
    ++counters_.cancelled;
    j->request->reply({.status = 499});
    start_waiting();
    return true;
}

void capacity::hold(bool on)
{
    hold_ = on;
    if (on) {
        return;
    }
    auto const all = active_;
    for (auto const& it : all) {
        if (it->parked && it->running) {
            done(it);
        }
    }
}

void capacity::clear()
{
    for (auto const& it : active_) {
        it->running = false;
        it->timer->cancel();
    }
    for (auto const& it : waiting_) {
        it->timer->cancel();
    }
    active_.clear();
    waiting_.clear();
    running_ = 0;
}

std::size_t capacity::limit() const
{
    return cold() ? 1 : settings_.slots;
}

double capacity::service_time()
{
    std::normal_distribution<double> normal(0, settings_.latency_sigma);
    double time = settings_.latency_ms * std::exp(normal(random_));
    if (settings_.straggle_one_in > 0 &&
        random_() % settings_.straggle_one_in == 0) {
        time *= settings_.straggle_factor;
    }
    return cold() ? time * settings_.cold_factor : time;
}

} // namespace standin
