#pragma once

#include "core/rollouts/rollout_entry.hpp"
#include "core/rollouts/rollout_judge.hpp"
#include "core/rollouts/rollout_messages.hpp"
#include "core/rollouts/rollout_plan.hpp"
#include "ports/store_port.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipemill {

// What a host sees around it when it decides.
struct rollout_surroundings
{
    std::optional<std::size_t> rank; // of this host
    std::vector<std::string> hosts;  // live ones
    std::string in_use;              // version before the order
    std::size_t old_upstreams = 0;   // of the service
    std::size_t new_upstreams = 0;
    std::int64_t wall_clock_ms = 0;
};

// One rollout as a host of the fleet sees it: takes the right to decide when it
// is this host's turn, and then leads the rollout to its end. Failures: the
// deciding host dies, the store does not answer when a status is due, two hosts
// believe that they decide.
class rollout_run
{
public:
    struct options
    {
        std::string decider; // host and start of its process
        rollout_bounds bounds;
        // Writes a status on the condition that the entry has this revision.
        std::function<void(std::uint64_t revision, rollout_status)> write;
        std::function<void(rollout_instruction)> instruct; // all hosts
        // Reports a step: a name, and fields of the log line.
        std::function<void(char const*,
                           std::vector<std::pair<std::string, std::string>>)>
            log;
    };

    // ordered_at: when the order was given, as far as this host knows.
    rollout_run(options o, rollout_entry entry, time_point ordered_at);

    // The store shows the entry.
    void on_entry(rollout_entry const& entry, time_point now);
    void on_report(rollout_report const& report, time_point now);
    // Another host's instruction was accepted.
    void on_instruction(rollout_instruction const& it, time_point now);
    // `written`: the entry after a write that was done.
    void on_written(status_write result,
                    std::optional<rollout_entry> const& written,
                    time_point now);
    // To be called each 250 ms.
    void on_tick(rollout_surroundings const& around, time_point now);

    bool deciding() const { return token_ != 0; }
    // The rollout has ended and this host still tells the others.
    bool announcing() const;
    rollout_entry const& entry() const { return entry_; }
    // The rollout has ended in the store.
    bool ended() const;
    rollout_step const& step() const { return step_; }
    rollout_judge const& sums() const { return judge_; }

private:
    struct open_write
    {
        std::uint64_t revision = 0;
        std::uint64_t era = 0;
        rollout_status status;
    };

    void take_over(rollout_surroundings const& around, time_point now);
    void decide(rollout_surroundings const& around, time_point now);
    void judge(rollout_surroundings const& around, time_point now);
    void plan(rollout_surroundings const& around, time_point now);
    // Repeats an unchanged instruction at a longer interval.
    void send_instruction(time_point now);
    void write(rollout_status status, time_point now);
    void lose(std::uint64_t token, std::string const& decider);
    void adopt(rollout_status const& status, time_point now);
    rollout_status next_status(rollout_state state) const;
    void log(char const* name,
             std::vector<std::pair<std::string, std::string>> fields) const;
    std::uint64_t requests() const;
    std::uint64_t target_requests() const;

    options options_;
    rollout_entry entry_;
    time_point ordered_at_;
    rollout_judge judge_;
    rollout_plan plan_;
    rollout_step step_;
    time_point step_since_{};
    std::uint64_t token_ = 0; // of this host's right to decide; 0: none
    std::uint64_t instructions_ = 0;
    time_point instructed_at_{};
    std::pair<double, rollout_state> instructed_{}; // share and state
    std::uint64_t ended_instructions_ = 0;          // sent since the end
    // State that this host has decided on and not necessarily written.
    rollout_state decided_ = rollout_state::running;
    rollout_status own_status_; // last one that the store has confirmed
    std::optional<open_write> write_;
    time_point next_write_{};
    time_point gained_at_{};    // the right to decide
    time_point heard_at_{};     // last instruction of another host
    bool others_known_ = false; // heard_at_ is valid
};

} // namespace snipemill
