#pragma once

#include "core/forward/relayed_run.hpp"
#include "core/forward/request_run.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>

namespace snipemill {

using run_ptr =
    std::variant<std::unique_ptr<request_run>, std::unique_ptr<relayed_run>>;

// Callbacks of a run.
struct run_callbacks
{
    std::function<void(caller_answer)> on_answer;
    std::function<void()> on_timer_changed;
};

// The open requests of this host, each with the time of its next timer.
class run_table
{
public:
    using deliver_callback =
        std::function<void(caller_answer, run_summary const&)>;

    explicit run_table(boost::asio::io_context& io);
    run_table(run_table const&) = delete;
    run_table& operator=(run_table const&) = delete;

    // Starts the run that make returns. The answer is passed to deliver,
    // possibly before start() returns.
    std::uint64_t start(std::function<run_ptr(run_callbacks)> const& make,
                        deliver_callback deliver);
    // Stops a run whose caller has disconnected. Returns the summary of the
    // run, or nothing when the answer has already been delivered.
    std::optional<run_summary> cancel(std::uint64_t number);
    // Answers every open run as one that has exceeded its deadline.
    void end_all();
    std::size_t size() const { return runs_.size(); }

private:
    struct entry
    {
        run_ptr run;
        deliver_callback deliver;
        std::optional<time_point> next_timer;
    };

    void on_answer(std::uint64_t number, caller_answer answer);
    void schedule(std::uint64_t number);
    void unschedule(std::uint64_t number, entry& it);
    void erase_later(std::uint64_t number);
    void arm_timer();
    void on_timer();

    boost::asio::io_context& io_;
    std::unordered_map<std::uint64_t, entry> runs_;
    std::set<std::pair<time_point, std::uint64_t>> timers_;
    boost::asio::steady_timer timer_;
    time_point timer_at_ = time_point::max();
    std::uint64_t next_number_ = 1;
};

} // namespace snipemill
