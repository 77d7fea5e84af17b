#pragma once

#include "core/forward/exchange.hpp"
#include "core/forward/manifest.hpp"
#include "core/forward/retry_budget.hpp"
#include "core/forward/route_latency.hpp"
#include "core/forward/upstream_fleet.hpp"

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
    // Part of the objective after which a second upstream is asked while the
    // latency of a route is not known.
    double default_hedge_share = 0.25;
    // Bounds of the time until a second upstream is asked: below 3 ms most
    // answers are on their way; above 0.4 of the objective a second answer
    // would be late.
    duration min_hedge_delay = from_ms(3);
    double max_hedge_share = 0.4;
    // Pause before an upstream that refused is asked again: a few service
    // times of a short request.
    duration retry_delay = from_ms(15);
    // Sends of one part, refused ones included.
    std::uint32_t max_attempts = 4;
    // Time for which an exchange that nobody waits for may still end: longer
    // than the pauses of upstreams (150 ms), and below half a second, after
    // which work for a caller that has left counts as a fault.
    duration release_grace = from_ms(350);
    // An exchange that cannot end in this time is not begun.
    duration min_exchange_time = from_ms(2);
};

// What all fetches of a host share. Outlives them.
struct fetch_context
{
    upstream_fleet& fleet;
    exchange_port& exchanges;
    service_fetch_settings settings;
    retry_budget_settings budget_settings;
    // Hosts that share the extra sends at least; see retry_floor.
    double min_hosts = 8;
    double retry_slack = 0; // of the fleet; 0: each budget has its own floor
    std::unordered_map<std::string, retry_budget> budgets;    // by service
    std::unordered_map<std::string, route_latency> latencies; // by route
    std::function<time_point()> now;
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
    // Divides the extra sends anew after the fleet has changed.
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
    no_upstream, // none of the service may be used
    saturated,   // all have as many requests as they may get
    refused,     // each upstream that was asked refused
    failed,      // the upstream's failure is the answer
    lost,        // sent, and no whole answer came
};

inline constexpr name_table<fetch_fault, 5> fetch_fault_names{{
    {fetch_fault::no_upstream, "no_upstream"},
    {fetch_fault::saturated, "saturated"},
    {fetch_fault::refused, "refused"},
    {fetch_fault::failed, "failed"},
    {fetch_fault::lost, "lost"},
}};

// How one send of a request ended.
enum class attempt_outcome : std::uint8_t
{
    open, // not yet, or not waited for
    answered,
    not_sent,
    lost,
    refused,        // the upstream did not run it
    failed,         // the upstream's own failure
    wrong_instance, // another instance has the address
    no_stamp        // a success that proves nothing
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
    std::optional<upstream_answer> answer; // with fault failed
};

using fetch_result = std::variant<upstream_answer, fetch_failure>;

// Gets one good answer to a request from the upstreams of one service: chooses
// replicas, hedges, and retries. A request that may run at most once is only
// sent again when it is certain that it did not run.
class service_fetch
{
public:
    struct options
    {
        fetch_context* shared = nullptr;
        forward_route const* route = nullptr;
        std::string const* service = nullptr;
        std::shared_ptr<forward_request const> request;
        std::uint32_t attempts = 1; // upstreams that may run it
        time_point end{};           // no exchange lasts longer
        // Further hedges that the request may make; null: any number.
        std::uint32_t* remaining_hedges = nullptr;
        std::function<void()> on_done;
        std::function<void()> on_timer_changed; // wake() became earlier
    };

    explicit service_fetch(options o);
    ~service_fetch();
    service_fetch(service_fetch const&) = delete;
    service_fetch& operator=(service_fetch const&) = delete;

    void start();
    // Lets go of exchanges that are still open.
    void stop();
    // Time of the next step, if there is one.
    std::optional<time_point> next_timer() const;
    void on_timer(time_point now);

    bool done() const { return result_.has_value(); }
    fetch_result& result() { return *result_; }
    // Whether an upstream may have begun to run the request.
    bool may_have_run() const { return possible_runs_ > 0; }
    bool was_attempted() const { return attempt_count_ > 0; }
    std::uint32_t attempt_count() const { return attempt_count_; }
    std::uint32_t hedges() const { return hedges_; }
    // The sends in order, as "instance=outcome@ms".
    void append_attempts(std::string& out) const;

private:
    struct attempt
    {
        upstream_ptr upstream;
        exchange_id id = 0;
        time_point start{};
        bool open = true;
        bool overdue_reported = false; // has been reported so
        attempt_outcome outcome = attempt_outcome::open;
        duration elapsed{};
    };

    upstream_ptr choose(time_point now, choice_failure& why);
    void start_attempt(upstream_ptr const& upstream, time_point now);
    void start_extra_attempt(retry_budget::attempt_kind kind, time_point now);
    void on_outcome(std::size_t attempt, exchange_outcome outcome);
    void on_answer(attempt const& it, upstream_answer&& answer, time_point now);
    void on_success(attempt const& it, upstream_answer&& answer,
                    time_point now);
    void retry_or_finish(time_point now);
    bool may_start_extra_attempt(time_point now) const;
    void schedule_hedge(time_point now);
    void finish(fetch_result result);
    std::size_t open_attempts() const;
    bool idempotent() const
    {
        return options_.route->kind == idempotency::idempotent;
    }

    options options_;
    std::vector<attempt> attempts_;
    std::vector<upstream_ptr> excluded_;
    std::optional<fetch_result> result_;
    fetch_failure failure_; // of the last failed attempt
    std::optional<time_point> hedge_at_;
    std::optional<time_point> retry_at_;
    std::uint32_t attempt_count_ = 0; // that may have arrived
    std::uint32_t possible_runs_ = 0; // attempts that may have run
    std::uint32_t hedges_ = 0;
    std::uint32_t connect_failures_ = 0;
    // Exchanges that outlive the fetch find it gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snipemill
