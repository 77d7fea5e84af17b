#include "load_simulation.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <utility>

namespace snipemill::test {

namespace {

constexpr double slow_factor = 2.5;
constexpr std::uint32_t data_centres = 3;
constexpr duration local_way = from_ms(0);
constexpr duration remote_way = std::chrono::microseconds(900);
constexpr std::array<double, 3> constant_speeds{0.8, 1.0, 1.3};

duration ms(double n)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(n));
}

class event_queue
{
public:
    void at(time_point t, std::function<void()> f)
    {
        events_.emplace(std::pair(t, next_++), std::move(f));
    }
    bool run_next()
    {
        if (events_.empty()) {
            return false;
        }
        auto node = events_.extract(events_.begin());
        now = std::max(now, node.key().first);
        node.mapped()();
        return true;
    }

    time_point now{from_ms(100'000)};

private:
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>>
        events_;
    std::uint64_t next_ = 0;
};

// A replica: a queue before a few slots, on a machine that is slowed at times
// and that pauses.
class replica
{
public:
    struct job
    {
        double work = 0;
        std::function<void(reported_load const&)> done;
    };

    replica(event_queue& events, load_scenario const& s, double constant,
            std::uint64_t seed)
        : events_(events), scenario_(s), constant_(constant), random_(seed),
          slow_until_(events.now),
          pause_at_(events.now + ms(to_ms(s.pause_period) * random_.unit()))
    {}

    void add(job it)
    {
        waiting_.push_back(std::move(it));
        start_jobs();
    }
    double busy_ms = 0;

private:
    // Advances the machine's state to the time t.
    void advance(time_point t)
    {
        while (slow_until_ <= t && scenario_.slow_share > 0) {
            slow_ = !slow_;
            auto const share = scenario_.slow_share;
            auto const mean =
                to_ms(scenario_.slow_for) * (slow_ ? 1 : (1 - share) / share);
            slow_until_ += ms(mean * (0.5 + random_.unit()));
        }
    }
    double speed() const { return slow_ ? slow_factor : 1; }
    void start_jobs()
    {
        while (running_ < scenario_.slots && !waiting_.empty()) {
            ++running_;
            auto it = std::make_shared<job>(std::move(waiting_.front()));
            waiting_.pop_front();
            busy_ms += it->work;
            run(it);
        }
    }
    // Runs a job in steps of a millisecond at the speed of each step.
    void run(std::shared_ptr<job> const& it)
    {
        auto const now = events_.now;
        advance(now);
        if (scenario_.pause > duration::zero() && now >= pause_at_) {
            auto const end = pause_at_ + scenario_.pause;
            if (now < end) {
                events_.at(end, [this, it] { run(it); });
                return;
            }
            pause_at_ += scenario_.pause_period;
        }
        if (it->work <= 0) {
            --running_;
            start_jobs();
            it->done(report());
            return;
        }
        auto const step = std::min(1.0, it->work * constant_ * speed());
        it->work -= step / (constant_ * speed());
        if (it->work < 1e-6) {
            it->work = 0;
        }
        events_.at(now + std::max(duration(1), ms(step)),
                   [this, it] { run(it); });
    }
    reported_load report()
    {
        reported_load out{.running = running_,
                          .waiting =
                              static_cast<std::uint32_t>(waiting_.size()),
                          .slots = scenario_.slots};
        if (scenario_.reports_speed) {
            out.speed = speed();
        }
        return out;
    }

    event_queue& events_;
    load_scenario const& scenario_;
    double constant_;
    rng random_;
    bool slow_ = false;
    time_point slow_until_;
    time_point pause_at_;
    std::uint32_t running_ = 0;
    std::deque<job> waiting_;
};

std::string data_centre(std::uint32_t n)
{
    return std::string(1, static_cast<char>('a' + n % data_centres));
}

// The replicas, and the exchanges of all hosts with them.
class network
{
public:
    network(event_queue& events, load_scenario const& s)
        : events_(events), scenario_(s)
    {
        for (std::uint32_t i = 0; i < s.services * s.replicas; ++i) {
            auto const constant =
                s.uneven ? constant_speeds[(i / data_centres) % 3] : 1;
            auto const name = "u" + std::to_string(i);
            replicas_.emplace(name, std::make_unique<replica>(
                                        events, s, constant, s.seed * 977 + i));
            records.push_back({.instance = name,
                               .service = "s" + std::to_string(i / s.replicas),
                               .data_centre = data_centre(i),
                               .slots = s.slots});
        }
    }
    void send(bool remote, std::string const& instance, double work,
              std::function<void(exchange_outcome)> const& f)
    {
        auto const way = remote ? remote_way : local_way;
        ++sends;
        remote_sends += remote ? 1 : 0;
        events_.at(events_.now + way, [=, this] {
            replicas_.at(instance)->add(
                {.work = work, .done = [=, this](reported_load const& load) {
                     events_.at(events_.now + way, [=] {
                         f(upstream_answer{.status = 200,
                                           .stamp = "p",
                                           .signals = {.load = load}});
                     });
                 }});
        });
    }
    double busy_ms() const
    {
        double out = 0;
        for (auto const& [name, it] : replicas_) {
            out += it->busy_ms;
        }
        return out;
    }

    std::vector<upstream_record> records;
    std::uint64_t sends = 0;
    std::uint64_t remote_sends = 0;

private:
    event_queue& events_;
    load_scenario const& scenario_;
    std::map<std::string, std::unique_ptr<replica>> replicas_;
};

class host : public exchange_port
{
public:
    host(event_queue& events, network& net, load_scenario const& s,
         std::uint32_t n)
        : events_(events), net_(net), random_(s.seed * 31 + n),
          fleet({.host = "h" + std::to_string(n),
                 .data_centre = data_centre(n),
                 .max_connections = 64},
                s.seed * 131 + n)
    {
        fleet.update(net.records, {}, events.now);
        for (auto const& it : fleet.all()) {
            bool const remote = it->record.data_centre != data_centre(n);
            fleet.on_connected(
                *it, from_ms(6) + 2 * (remote ? remote_way : local_way),
                events.now);
        }
    }
    exchange_id send(upstream_ptr to,
                     std::shared_ptr<forward_request const> request, time_point,
                     std::function<void(exchange_outcome)> f) override
    {
        net_.send(to->record.data_centre != fleet.settings().data_centre,
                  to->record.instance, std::stod(request->body), f);
        return ++last_id_;
    }
    void release(exchange_id, time_point) override {}

private:
    event_queue& events_;
    network& net_;
    rng random_;
    exchange_id last_id_ = 0;

public:
    upstream_fleet fleet;
    fetch_context shared{.fleet = fleet,
                         .exchanges = *this,
                         .settings = {},
                         .budget_settings = {},
                         .now = [this] { return events_.now; }};
};

class simulation
{
public:
    explicit simulation(load_scenario const& s)
        : scenario_(s), random_(s.seed), net_(events_, s),
          begin_(events_.now + s.length / 4), end_(events_.now + s.length)
    {
        for (std::uint32_t i = 0; i < s.hosts; ++i) {
            hosts_.push_back(std::make_unique<host>(events_, net_, s, i));
        }
        route_.name = "r";
        route_.kind = idempotency::idempotent;
        route_.timeout = from_ms(3000);
        route_.objective = s.objective;
        route_.attempts = 2;
        if (s.services == 1) {
            route_.target = single_target{"s0"};
            services_.push_back(
                &std::get<single_target>(route_.target).service);
        }
        else {
            gather_target target{
                .top = 2, .min_share = s.min_share, .record_bytes = 4};
            for (std::uint32_t i = 0; i < s.services; ++i) {
                target.shards.push_back("s" + std::to_string(i));
            }
            route_.target = std::move(target);
            for (auto const& it :
                 std::get<gather_target>(route_.target).shards) {
                services_.push_back(&it);
            }
        }
    }

    load_result run()
    {
        auto const mean =
            scenario_.work_ms *
            (1 + scenario_.heavy_share * (scenario_.heavy_factor - 1));
        auto const slots = scenario_.replicas * scenario_.slots;
        interval_ = mean / (scenario_.utilisation * slots);
        next_arrival();
        while (events_.now < end_ && events_.run_next()) {
        }
        auto const counted = end_;
        while (open_ > 0 && events_.now < counted + from_ms(4000) &&
               events_.run_next()) {
        }
        return result();
    }

private:
    void next_arrival()
    {
        if (scenario_.in_bursts) {
            events_.at(events_.now + ms(interval_ * scenario_.hosts), [this] {
                for (auto& it : hosts_) {
                    start(*it);
                }
                next_arrival();
            });
            return;
        }
        auto const wait = -interval_ * std::log(1 - random_.unit());
        events_.at(events_.now + std::max(duration(1), ms(wait)), [this] {
            start(*hosts_[random_.below(
                static_cast<std::uint32_t>(hosts_.size()))]);
            next_arrival();
        });
    }
    void start(host& at)
    {
        if (events_.now >= end_) {
            return;
        }
        bool const heavy = random_.unit() < scenario_.heavy_share;
        auto const factor = heavy ? scenario_.heavy_factor : 1;
        auto const spread =
            1 + scenario_.spread * (2 * random_.unit() - 1) * std::sqrt(3);
        auto const id = ++started_;
        auto const arrival = events_.now;
        auto& it = runs_[id];
        ++open_;
        it = std::make_unique<request_run>(request_run::options{
            .shared = &at.shared,
            .settings = &settings_,
            .state = state_,
            .route = &route_,
            .services = services_,
            .request = std::make_shared<forward_request const>(forward_request{
                .id = std::to_string(id),
                .body = std::to_string(scenario_.work_ms * factor * spread),
                .account = heavy ? "heavy" : "light"}),
            .arrival = arrival,
            .end = arrival + route_.timeout,
            .on_answer =
                [this, id, arrival](caller_answer const& answer) {
                    on_answer(id, arrival, answer);
                },
            .on_timer_changed = [this, id] { arm(id); }});
        it->start();
        arm(id);
    }
    void arm(std::uint64_t id)
    {
        auto const it = runs_.find(id);
        if (it == runs_.end()) {
            return;
        }
        if (auto const at = it->second->next_timer()) {
            events_.at(std::max(*at, events_.now), [this, id] {
                auto const found = runs_.find(id);
                if (found == runs_.end()) {
                    return;
                }
                auto const due = found->second->next_timer();
                if (due && *due <= events_.now) {
                    found->second->on_timer(events_.now);
                }
                arm(id);
            });
        }
    }
    void on_answer(std::uint64_t id, time_point arrival,
                   caller_answer const& answer)
    {
        --open_;
        // The run is still on the stack.
        events_.at(events_.now, [this, id] { runs_.erase(id); });
        if (arrival < begin_) {
            return;
        }
        auto const elapsed = to_ms(events_.now - arrival);
        latencies_.push_back(elapsed);
        bool const error = std::holds_alternative<error_answer>(answer);
        auto const* const merged = std::get_if<merged_answer>(&answer);
        complete_ += !error && (!merged || merged->missing == 0) ? 1 : 0;
        in_time_ += !error && elapsed <= to_ms(scenario_.objective) ? 1 : 0;
    }
    load_result result()
    {
        std::sort(latencies_.begin(), latencies_.end());
        auto const n = static_cast<double>(latencies_.size());
        auto const quantile = [&](double q) {
            return latencies_[static_cast<std::size_t>(q * (n - 1))];
        };
        double hedges = 0;
        for (auto const& it : hosts_) {
            hedges += static_cast<double>(it->shared.hedges);
        }
        auto const sends = static_cast<double>(net_.sends);
        return {.p50 = quantile(0.5),
                .p99 = quantile(0.99),
                .in_time = in_time_ / n,
                .complete = complete_ / n,
                .remote = static_cast<double>(net_.remote_sends) / sends,
                .hedges = hedges / sends,
                .busy = net_.busy_ms() /
                        (to_ms(scenario_.length) * scenario_.services *
                         scenario_.replicas * scenario_.slots)};
    }

    load_scenario const& scenario_;
    rng random_;
    event_queue events_;
    network net_;
    time_point begin_;
    time_point end_;
    forward_route route_;
    std::vector<std::string const*> services_;
    std::shared_ptr<manifest const> state_ = std::make_shared<manifest const>();
    request_run_settings settings_;
    std::vector<std::unique_ptr<host>> hosts_;
    std::map<std::uint64_t, std::unique_ptr<request_run>> runs_;
    std::uint64_t started_ = 0;
    std::size_t open_ = 0;
    double interval_ = 0; // ms between requests
    std::vector<double> latencies_;
    double in_time_ = 0;
    double complete_ = 0;
};

} // namespace

load_result simulate(load_scenario const& scenario)
{
    return simulation(scenario).run();
}

} // namespace snipemill::test
