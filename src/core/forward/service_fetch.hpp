#pragma once

#include "core/forward/crash_guard.hpp"
#include "core/forward/exchange.hpp"
#include "core/forward/manifest.hpp"
#include "core/forward/retry_budget.hpp"
#include "core/forward/route_latency.hpp"
#include "core/forward/upstream_fleet.hpp"
#include "core/rollouts/version_counters.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace snipemill {

struct service_fetch_settings
{
    // Delay of the first hedge, as a ratio of the objective, while the latency
    // of the route is unknown.
    double default_hedge_share = 0.25;
    // Bounds of the hedge delay, the upper one as a ratio of the objective.
    // Below 3 ms most answers are already on their way; above 0.4 of the
    // objective the answer to a hedge would be late.
    duration min_hedge_delay = from_ms(3);
    double max_hedge_share = 0.4;
    // Delay before a retry on upstreams that refused the request: a few service
    // times of a short request.
    duration retry_delay = from_ms(15);
    // Limit of the attempts of one fetch, including refused ones.
    std::uint32_t max_attempts = 4;
    // How long an exchange whose answer is no longer needed may stay open:
    // longer than the longest pause of an upstream (150 ms), and below 500 ms,
    // after which work for a caller that has disconnected counts as a fault.
    duration release_grace = from_ms(350);
    // No extra attempt is started with less time than this to the deadline.
    duration min_exchange_time = from_ms(2);
};

// State that all fetches of a host share. Must outlive the fetches.
struct fetch_context
{
    upstream_fleet& fleet;
    exchange_port& exchanges;
    service_fetch_settings settings;
    retry_budget_settings budget_settings;
    // Lower bound of the number of hosts that the retry slack is divided among;
    // see retry_floor.
    double min_hosts = 8;
    double retry_slack = 0; // of the fleet; 0: use the configured floor
    std::unordered_map<std::string, retry_budget> budgets;    // by service
    std::unordered_map<std::string, route_latency> latencies; // by route
    cost_estimate costs;
    crash_guard crashes{crash_guard_options{}};
    std::function<time_point()> now;
    version_counters* versions = nullptr; // null: not counted
    std::uint64_t quarantined = 0;        // requests refused by crashes
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t budget_refusals = 0;

    retry_budget& budget(std::string const& service)
    {
        auto const found = budgets.find(service);
        return found != budgets.end()
                   ? found->second
                   : budgets.emplace(service, settings_for(service))
                         .first->second;
    }
    // Recomputes the floors of all budgets after the fleet has changed.
    void update_budgets()
    {
        for (auto& [service, it] : budgets) {
            it.set_settings(settings_for(service));
        }
    }

private:
    retry_budget_settings settings_for(std::string const& service) const
    {
        auto out = budget_settings;
        if (retry_slack > 0) {
            out.floor =
                retry_floor(retry_slack,
                            std::max(min_hosts, fleet.retrying_hosts(service)));
        }
        return out;
    }
};

enum class fetch_fault : std::uint8_t
{
    no_upstream, // the service has no usable upstream
    saturated,   // all usable upstreams are at their limits
    refused,     // every attempted upstream refused the request
    failed,      // an upstream answered with an error
    lost,        // no complete answer arrived, or a success without a stamp
};

inline constexpr name_table<fetch_fault, 5> fetch_fault_names{{
    {fetch_fault::no_upstream, "no_upstream"},
    {fetch_fault::saturated, "saturated"},
    {fetch_fault::refused, "refused"},
    {fetch_fault::failed, "failed"},
    {fetch_fault::lost, "lost"},
}};

// Attempts of all fetches of one query over many shards.
struct query_attempts
{
    std::uint32_t open = 0;
    std::uint32_t lost = 0; // ended without an answer
    bool answered = false;  // an upstream has answered the query
};

// Outcome of one attempt.
enum class attempt_outcome : std::uint8_t
{
    open, // not ended, or abandoned
    answered,
    not_sent,
    lost,
    refused,        // the upstream did not run the request
    failed,         // the upstream answered with an error
    wrong_instance, // the address belongs to another instance
    no_stamp        // a success without a stamp
};

inline constexpr name_table<attempt_outcome, 8> attempt_outcome_names{{
    {attempt_outcome::open, "open"},
    {attempt_outcome::answered, "answered"},
    {attempt_outcome::not_sent, "not_sent"},
    {attempt_outcome::lost, "lost"},
    {attempt_outcome::refused, "refused"},
    {attempt_outcome::failed, "failed"},
    {attempt_outcome::wrong_instance, "wrong_instance"},
    {attempt_outcome::no_stamp, "no_proof"},
}};

struct fetch_failure
{
    fetch_fault fault = fetch_fault::no_upstream;
    std::optional<upstream_answer> answer; // set when the fault is `failed`
};

using fetch_result = std::variant<upstream_answer, fetch_failure>;

// Gets one successful answer to a request from the upstreams of one service:
// chooses upstreams, hedges and retries. A request that may run at most once is
// retried only when it certainly did not run.
class service_fetch
{
public:
    struct options
    {
        fetch_context* shared = nullptr;
        forward_route const* route = nullptr;
        std::string const* service = nullptr;
        std::shared_ptr<forward_request const> request;
        // Limit of upstreams that may run the request.
        std::uint32_t attempts = 1;
        bool suspect = false; // of crash_guard
        // A trial of crash_guard: is sent to one upstream only, also when that
        // one refuses to run it.
        bool trial = false;
        time_point end{}; // deadline of all exchanges
        // Hedges that the whole request may still start; null: no limit.
        std::uint32_t* remaining_hedges = nullptr;
        // Of the query over many shards that this fetch belongs to, and the
        // query's identification for crash_guard; null and 0 for a request to
        // one service.
        query_attempts* query = nullptr;
        std::uint64_t query_id = 0;
        std::function<void()> on_done;
        std::function<void()> on_timer_changed; // next_timer() became earlier
    };

    explicit service_fetch(options o);
    ~service_fetch();
    service_fetch(service_fetch const&) = delete;
    service_fetch& operator=(service_fetch const&) = delete;

    void start();
    // Releases exchanges that are still open.
    void stop();
    // Time at which on_timer() has to be called next, if any.
    std::optional<time_point> next_timer() const;
    void on_timer(time_point now);

    bool done() const { return result_.has_value(); }
    fetch_result& result() { return *result_; }
    // True when an upstream may have begun to run the request.
    bool may_have_run() const { return possible_runs_ > 0; }
    bool was_attempted() const { return attempt_count_ > 0; }
    // Whether an upstream ended an exchange without a complete answer.
    bool lost_attempt() const;
    std::uint32_t attempt_count() const { return attempt_count_; }
    std::uint32_t hedges() const { return hedges_; }
    // Whether an upstream answered later than its predicted tail.
    bool late() const;
    // Appends the attempts in order, as "instance=outcome@ms", followed by
    // "~ms" where a finish was predicted; with rollouts the version follows the
    // instance in parentheses.
    void append_attempts(std::string& out) const;

private:
    struct attempt
    {
        upstream_ptr upstream;
        exchange_id id = 0;
        time_point start{};
        bool open = true;
        bool unresponsive_reported = false;
        attempt_outcome outcome = attempt_outcome::open;
        duration elapsed{};
        finish_prediction predicted;
    };

    upstream_ptr choose(time_point now, choice_failure& why,
                        std::optional<double> latest_finish = {});
    cost_key key() const;
    void estimate_cost();
    // Latest expected finish of a hedge that is worth its work; none when the
    // open attempts have no prediction.
    std::optional<double> latest_hedge_finish(time_point now) const;
    void start_attempt(upstream_ptr const& upstream, time_point now);
    void start_extra_attempt(retry_budget::attempt_kind kind, time_point now);
    void on_outcome(std::size_t attempt, exchange_outcome outcome);
    void on_answer(attempt const& it, upstream_answer&& answer, time_point now);
    void on_success(attempt const& it, upstream_answer&& answer,
                    time_point now);
    void retry_or_finish(time_point now);
    bool may_start_extra_attempt(time_point now) const;
    // Whether the query may have ended the upstreams that it lost, and no
    // upstream has shown the contrary by an answer.
    bool held() const;
    void end_attempt(attempt& it);
    void schedule_hedge(time_point now);
    void on_hedge_timer(time_point now);
    void finish(fetch_result result);
    std::size_t open_attempts() const;
    bool idempotent() const
    {
        return options_.route->kind == idempotency::idempotent;
    }

    options options_;
    std::vector<attempt> attempts_;
    std::vector<upstream_ptr> excluded_;
    request_cost cost_; // zero while no upstream reports its speed
    std::optional<fetch_result> result_;
    // Of the last failed attempt. A refusal does not replace `failed` or
    // `lost`, and an attempt that was not sent changes nothing.
    fetch_failure failure_;
    std::optional<time_point> hedge_at_;
    std::optional<time_point> retry_at_;
    // Attempts of which a byte may have been sent.
    std::uint32_t attempt_count_ = 0;
    // Attempts in which the upstream may have run the request.
    std::uint32_t possible_runs_ = 0;
    std::uint32_t hedges_ = 0;
    std::uint32_t connect_failures_ = 0;
    // Callbacks of exchanges that outlive the fetch check this flag.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snipemill
