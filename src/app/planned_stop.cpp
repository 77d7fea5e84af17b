#include "app/planned_stop.hpp"

#include "app/core_time.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

namespace {

// Time for the last answers to leave the host, at most this and a fraction of
// the whole stop.
constexpr duration max_answer_margin = from_ms(250);
constexpr int answer_margin_divisor = 10;

constexpr duration poll_interval = from_ms(20);

} // namespace

planned_stop::planned_stop(boost::asio::io_context& io,
                           planned_stop_options options,
                           planned_stop_steps steps)
    : options_(options), steps_(std::move(steps)), timer_(io)
{}

void planned_stop::start()
{
    started_ = true;
    auto const now = core_now();
    end_ = now + options_.stop_within;
    times_ = {.accept_until = now + options_.accept_for,
              .answer_by = end_ - std::min(max_answer_margin,
                                           options_.stop_within /
                                               answer_margin_divisor)};
    steps_.begin(times_);
    wait(std::min(options_.accept_for, options_.stop_within), [this] {
        steps_.stop_accepting();
        poll();
    });
}

void planned_stop::wait(duration d, std::function<void()> f)
{
    timer_.expires_after(d);
    timer_.async_wait([f = std::move(f)](boost::system::error_code ec) {
        if (!ec) {
            f();
        }
    });
}

void planned_stop::poll()
{
    steps_.report([this](open_work const& work) { on_report(work); });
}

void planned_stop::on_report(open_work const& work)
{
    auto const now = core_now();
    if (work.idle || now >= end_) {
        steps_.stop(work.requests);
        return;
    }
    if (now >= times_.answer_by && !std::exchange(requests_ended_, true)) {
        steps_.end_requests();
    }
    wait(poll_interval, [this] { poll(); });
}

} // namespace snipemill
