#include "core/rollouts/rollout_run.hpp"

#include "core/rollouts/decider_rank.hpp"

#include <algorithm>

namespace snipemill {

namespace {

// Time between writes of a status that the store has not confirmed.
constexpr duration write_retry = from_ms(150);

// A call of the store that has no answer yet is not repeated for this long.
constexpr duration write_timeout = from_ms(1500);

// A host that takes over decides nothing before it has had two rounds of
// reports.
constexpr duration report_time = from_ms(600);

// Ticks for which the end of a rollout is told to hosts that the store does not
// reach; then the status in the store is enough.
constexpr std::uint64_t last_instructions = 20;

// An unchanged instruction is repeated at this interval, a third of the time
// for which hosts obey it.
constexpr duration repeat_interval = from_ms(500);

bool is_end(rollout_state it)
{
    return it == rollout_state::succeeded || it == rollout_state::rolled_back;
}

} // namespace

rollout_run::rollout_run(options o, rollout_entry entry, time_point ordered_at)
    : options_(std::move(o)), entry_(std::move(entry)), ordered_at_(ordered_at),
      plan_(options_.bounds)
{}

bool rollout_run::ended() const
{
    return is_end(entry_.state());
}

std::uint64_t rollout_run::requests() const
{
    return std::max(judge_.requests(), entry_.status.requests);
}

std::uint64_t rollout_run::target_requests() const
{
    return std::max(judge_.target_requests(), entry_.status.target_requests);
}

void rollout_run::log(
    char const* name,
    std::vector<std::pair<std::string, std::string>> fields) const
{
    if (!options_.log) {
        return;
    }
    fields.insert(fields.begin(), {{"rollout", entry_.name},
                                   {"service", entry_.service},
                                   {"target", entry_.target_version}});
    options_.log(name, std::move(fields));
}

// A status of this process with a token that it does not hold comes from a
// write that was unanswered and has been executed after all.
void rollout_run::adopt(rollout_status const& status, time_point now)
{
    if (entry_.state() == rollout_state::ordered) {
        return;
    }
    if (status.decider == options_.decider) {
        if (status.token >= token_) {
            own_status_ = status;
        }
        if (token_ == 0 && !is_end(status.state)) {
            token_ = status.token;
            instructions_ = 0;
            gained_at_ = now;
            log("rollout_decider",
                {{"token", std::to_string(token_)}, {"right", "gained"}});
        }
        return;
    }
    if (token_ != 0 && status.token >= token_) {
        lose(status.token, status.decider);
    }
}

void rollout_run::lose(std::uint64_t token, std::string const& decider)
{
    log("rollout_decider", {{"token", std::to_string(token_)},
                            {"right", "lost"},
                            {"newer_token", std::to_string(token)},
                            {"newer_decider", decider}});
    token_ = 0;
    write_.reset();
    if (decided_ == rollout_state::succeeded) {
        decided_ = rollout_state::running;
    }
}

void rollout_run::on_entry(rollout_entry const& entry, time_point now)
{
    if (std::pair(entry.era, entry.revision) <
        std::pair(entry_.era, entry_.revision)) {
        return;
    }
    entry_ = entry;
    adopt(entry_.status, now);
}

void rollout_run::on_report(rollout_report const& report, time_point now)
{
    if (report.target_version == entry_.target_version) {
        judge_.on_report(report, now);
    }
}

void rollout_run::on_instruction(rollout_instruction const& it, time_point now)
{
    if (it.target_version != entry_.target_version ||
        it.decider == options_.decider) {
        return;
    }
    if (it.token < std::max(token_, entry_.status.token)) {
        return;
    }
    heard_at_ = now;
    others_known_ = true;
    if (it.state == rollout_state::rolled_back) {
        // Holds also for this host, should it take over before the status has
        // been written.
        decided_ = rollout_state::rolled_back;
    }
    if (token_ != 0 && it.token > token_) {
        lose(it.token, it.decider);
    }
}

void rollout_run::on_written(status_write result,
                             std::optional<rollout_entry> const& written,
                             time_point now)
{
    auto const sent = std::exchange(write_, std::nullopt);
    next_write_ = now + write_retry;
    if (!sent) {
        return;
    }
    log("rollout_status_write",
        {{"result", std::string(name_of(status_write_names, result))},
         {"state",
          std::string(name_of(rollout_state_names, sent->status.state))},
         {"token", std::to_string(sent->status.token)},
         {"revision", std::to_string(sent->revision)}});
    if (result == status_write::done && written) {
        auto entry = *written;
        entry.era = sent->era;
        on_entry(entry, now);
    }
}

rollout_status rollout_run::next_status(rollout_state state) const
{
    // A restored store may show an older status than this host has written.
    auto out = token_ != 0 ? own_status_ : entry_.status;
    out.state = state;
    out.target_version = entry_.target_version;
    out.requests = requests();
    out.target_requests = target_requests();
    return out;
}

void rollout_run::write(rollout_status status, time_point now)
{
    if (write_ || now < next_write_) {
        return;
    }
    next_write_ = now + write_timeout;
    write_ = open_write{
        .revision = entry_.revision, .era = entry_.era, .status = status};
    options_.write(entry_.revision, std::move(status));
}

void rollout_run::on_tick(rollout_surroundings const& around, time_point now)
{
    if (write_ && now >= next_write_) {
        write_.reset(); // no answer; the condition protects a repetition
    }
    if (token_ != 0) {
        decide(around, now);
    }
    else if (!ended()) {
        take_over(around, now);
    }
}

// The first host takes an order at once. A rollout that another host leads is
// taken over when that host has been silent.
void rollout_run::take_over(rollout_surroundings const& around, time_point now)
{
    if (!around.rank) {
        return;
    }
    if (!others_known_) {
        heard_at_ = now;
        others_known_ = true;
    }
    bool const first =
        *around.rank == 0 && entry_.state() == rollout_state::ordered;
    if (!first && now < heard_at_ + takeover_delay(*around.rank)) {
        return;
    }
    auto status = next_status(rollout_state::running);
    if (entry_.state() == rollout_state::ordered) {
        status.previous_version = around.in_use;
        status.started_ms =
            around.wall_clock_ms -
            std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                  ordered_at_)
                .count();
        status.requests = judge_.requests();
        status.target_requests = judge_.target_requests();
    }
    status.token = std::max(status.token, entry_.status.token) + 1;
    status.decider = options_.decider;
    write(std::move(status), now);
}

void rollout_run::decide(rollout_surroundings const& around, time_point now)
{
    if (ended()) {
        decided_ = entry_.state();
        step_.share = decided_ == rollout_state::succeeded ? 1 : 0;
        if (announcing()) {
            ++ended_instructions_;
            send_instruction(now);
        }
        return;
    }
    if (decided_ != rollout_state::rolled_back) {
        judge(around, now);
    }
    if (decided_ == rollout_state::rolled_back) {
        step_.share = 0;
    }
    send_instruction(now);
    bool const status_lost = entry_.status.token < token_;
    if (decided_ != rollout_state::running || status_lost) {
        write(next_status(decided_), now);
    }
}

// Also judges a version whose success has been decided on, until the store has
// confirmed it.
void rollout_run::judge(rollout_surroundings const& around, time_point now)
{
    if (auto const it = judge_.verdict()) {
        decided_ = rollout_state::rolled_back;
        log("rollout_judged",
            {{"verdict", "bad"},
             {"route", it->route},
             {"reason", it->reason},
             {"bad", std::to_string(it->bad)},
             {"answers", std::to_string(it->answers)},
             {"usual_rate", std::to_string(it->usual)},
             {"requests", std::to_string(requests())},
             {"target_requests", std::to_string(target_requests())}});
        return;
    }
    if (decided_ == rollout_state::running) {
        plan(around, now);
    }
}

void rollout_run::plan(rollout_surroundings const& around, time_point now)
{
    // Without the reports of the other hosts a bad version looks good.
    if (entry_.status.token > 1 && now < gained_at_ + report_time) {
        step_.share = 0;
        return;
    }
    auto const elapsed = now - ordered_at_;
    auto const next = plan_.step({.elapsed = elapsed,
                                  .time_limit = entry_.time_limit,
                                  .requests = requests(),
                                  .target_requests = target_requests(),
                                  .old_upstreams = around.old_upstreams,
                                  .new_upstreams = around.new_upstreams});
    if (next.phase != step_.phase || step_since_ == time_point{}) {
        step_since_ = now;
        log("rollout_step",
            {{"phase", std::string(name_of(rollout_phase_names, next.phase))},
             {"share", std::to_string(next.share)},
             {"elapsed_ms",
              std::to_string(static_cast<std::int64_t>(to_ms(elapsed)))},
             {"requests", std::to_string(requests())},
             {"target_requests", std::to_string(target_requests())},
             {"token", std::to_string(token_)}});
    }
    step_ = next;
    auto const last = entry_.time_limit - plan_.end_margin();
    if (step_.phase != rollout_phase::all) {
        // Without upstreams of the new version nothing can be moved.
        if (elapsed >= last && around.new_upstreams == 0) {
            decided_ = rollout_state::rolled_back;
            log("rollout_judged", {{"verdict", "bad"},
                                   {"reason", "no upstreams of the version"}});
        }
        return;
    }
    bool const moved = judge_.moved(around.hosts, step_since_);
    if ((moved && now > step_since_) || elapsed >= last) {
        decided_ = rollout_state::succeeded;
        log("rollout_judged",
            {{"verdict", "good"},
             {"moved", moved ? "confirmed" : "not confirmed"},
             {"requests", std::to_string(requests())},
             {"target_requests", std::to_string(target_requests())}});
    }
}

bool rollout_run::announcing() const
{
    return ended() && token_ != 0 && instructions_ > 0 &&
           ended_instructions_ < last_instructions;
}

void rollout_run::send_instruction(time_point now)
{
    // Hosts learn of `succeeded` when the store has confirmed it: the write
    // may fail, and a rollback may be due after all.
    bool const announced = decided_ != rollout_state::succeeded || ended();
    auto const state = announced ? decided_ : rollout_state::running;
    if (instructed_ == std::pair(step_.share, state) &&
        now < instructed_at_ + repeat_interval) {
        return;
    }
    instructed_ = {step_.share, state};
    instructed_at_ = now;
    options_.instruct({.service = entry_.service,
                       .target_version = entry_.target_version,
                       .token = token_,
                       .number = ++instructions_,
                       .state = state,
                       .share = step_.share,
                       .decider = options_.decider});
}

} // namespace snipemill
