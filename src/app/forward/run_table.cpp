#include "app/forward/run_table.hpp"

#include "app/core_time.hpp"

#include <boost/asio/post.hpp>

namespace snipemill {

namespace asio = boost::asio;

run_table::run_table(asio::io_context& io) : io_(io), timer_(io) {}

std::uint64_t
run_table::start(std::function<run_ptr(run_callbacks)> const& make,
                 deliver_callback deliver)
{
    auto const number = next_number_++;
    auto& it = runs_[number];
    it.deliver = std::move(deliver);
    it.run = make({.on_answer =
                       [this, number](caller_answer answer) {
                           on_answer(number, std::move(answer));
                       },
                   .on_timer_changed = [this, number] { schedule(number); }});
    std::visit([](auto& run) { run->start(); }, it.run);
    schedule(number);
    return number;
}

void run_table::on_answer(std::uint64_t number, caller_answer answer)
{
    auto const found = runs_.find(number);
    if (found == runs_.end()) {
        return;
    }
    auto& it = found->second;
    if (auto const deliver = std::exchange(it.deliver, nullptr)) {
        auto const summary =
            std::visit([](auto& run) { return run->summary(); }, it.run);
        deliver(std::move(answer), summary);
    }
    unschedule(number, it);
    erase_later(number);
}

std::optional<run_summary> run_table::cancel(std::uint64_t number)
{
    auto const found = runs_.find(number);
    if (found == runs_.end() || !found->second.deliver) {
        return std::nullopt;
    }
    auto& it = found->second;
    it.deliver = nullptr;
    std::visit([](auto& run) { run->cancel(); }, it.run);
    unschedule(number, it);
    erase_later(number);
    return std::visit([](auto& run) { return run->summary(); }, it.run);
}

void run_table::end_all()
{
    for (auto& [number, it] : runs_) {
        if (it.deliver) {
            std::visit([](auto& run) { run->time_out(); }, it.run);
        }
    }
}

// Deferred, because the run may be on the call stack.
void run_table::erase_later(std::uint64_t number)
{
    asio::post(io_, [this, number] { runs_.erase(number); });
}

void run_table::unschedule(std::uint64_t number, entry& it)
{
    if (it.next_timer) {
        timers_.erase({*it.next_timer, number});
        it.next_timer.reset();
    }
}

void run_table::schedule(std::uint64_t number)
{
    auto const found = runs_.find(number);
    if (found == runs_.end()) {
        return;
    }
    auto& it = found->second;
    unschedule(number, it);
    it.next_timer =
        std::visit([](auto& run) { return run->next_timer(); }, it.run);
    if (it.next_timer) {
        timers_.insert({*it.next_timer, number});
        arm_timer();
    }
}

void run_table::arm_timer()
{
    if (timers_.empty() || timer_at_ <= timers_.begin()->first) {
        return;
    }
    timer_at_ = timers_.begin()->first;
    timer_.expires_at(to_steady(timer_at_));
    timer_.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            timer_at_ = time_point::max();
            on_timer();
        }
    });
}

void run_table::on_timer()
{
    auto const now = core_now();
    while (!timers_.empty() && timers_.begin()->first <= now) {
        auto const number = timers_.begin()->second;
        auto& it = runs_.at(number);
        unschedule(number, it);
        std::visit([now](auto& run) { run->on_timer(now); }, it.run);
        schedule(number);
    }
    arm_timer();
}

} // namespace snipemill
