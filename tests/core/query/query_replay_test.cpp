#include "core/base/hash.hpp"
#include "core/query/route_table.hpp"
#include "query_world.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace snipemill;

namespace {

constexpr int run_ms = 1500;
constexpr int quiet_ms = 1500; // no new queries, so that all must end

struct delivery
{
    time_point at;
    std::uint64_t number = 0; // order among those of the same time
    std::variant<send_batch, send_describe> request;
    std::optional<query_part> part; // else the stream fails
};

// Runs random queries over a network that loses, repeats, delays and reorders
// messages, while views, holdings and hosts change.
class replay
{
public:
    explicit replay(std::uint64_t seed)
        : random_(seed), w_({.services = 5,
                             .replicas = 3,
                             .data_centres = 2,
                             .group = {.name = "orders",
                                       .deadline = from_ms(200),
                                       .min_coverage = 0.5,
                                       .hedge_budget = 0.3,
                                       .first_step = seed % 3 == 0},
                             .seed = seed})
    {}

    std::uint64_t run()
    {
        for (int ms = 0; ms < run_ms + quiet_ms; ++ms) {
            if (ms < run_ms) {
                disturb();
            }
            deliver();
            w_.advance(from_ms(1));
            react();
        }
        LONGS_EQUAL(0, w_.engine.in_flight());
        for (auto const& [caller, answers] : answers_) {
            LONGS_EQUAL(1, answers);
        }
        auto const& n = w_.engine.counters();
        LONGS_EQUAL(n.queries, n.answered + n.refused + gone_);
        return digest_;
    }

    std::uint64_t answered() const { return w_.engine.counters().answered; }
    query_counters const& counters() const { return w_.engine.counters(); }

private:
    bool one_in(std::uint32_t n) { return random_.below(n) == 0; }

    void disturb()
    {
        if (one_in(8)) {
            w_.engine.on_query(w_.now, ++caller_,
                               {.group = "orders",
                                .body = std::to_string(random_.below(20)),
                                .limit = 100,
                                .partial = one_in(2)},
                               w_.actions);
            answers_[caller_] = 0;
            react();
        }
        if (one_in(60) && answers_.contains(caller_) &&
            answers_[caller_] == 0) {
            w_.engine.on_caller_gone(w_.now, caller_, w_.actions);
            answers_.erase(caller_);
            ++gone_;
            react();
        }
        if (one_in(40)) {
            change_view();
        }
        if (one_in(15)) {
            change_holdings();
        }
        react();
    }

    void change_view()
    {
        auto const u = w_.id(random_.below(5), random_.below(3));
        auto& state = w_.upstream(u).state;
        state = state == upstream_state::active ? upstream_state::leaving
                                                : upstream_state::active;
        auto& dc = std::get<data_centre_object>(w_.objects["data_centre/dc1"]);
        dc.state = one_in(3) ? data_centre_state::out : data_centre_state::in;
        if (w_.hosts.size() > 4) {
            spare_host_ = w_.hosts.back();
            w_.hosts.pop_back();
        }
        else {
            w_.hosts.push_back(spare_host_);
        }
        w_.publish();
    }

    void change_holdings()
    {
        auto& held = w_.held[w_.id(random_.below(5), random_.below(3))];
        auto const next = index_version(held.back().value + 1);
        held.push_back(next);
        if (held.size() > 2) {
            held.erase(held.begin());
        }
    }

    void add(std::uint64_t value) { digest_ = hash_combine(digest_, value); }

    void react()
    {
        auto actions = std::move(w_.actions);
        w_.actions.clear();
        for (auto& it : actions) {
            add(it.index());
            std::visit([this](auto& action) { on(action); }, it);
        }
    }

    void on(send_batch& it)
    {
        CHECK(ids_.insert(it.batch.id).second);
        add(it.batch.id.value);
        add(it.batch.version.value);
        add(hash_bytes(it.to.value));
        route_table const routes(w_.view);
        for (auto const u : it.batch.targets) {
            add(u.value);
            CHECK(routes.can_serve(*routes.find(u)));
        }
        if (one_in(12)) {
            return; // lost without a trace
        }
        if (one_in(12)) {
            plan(it, std::nullopt);
            return;
        }
        auto targets = it.batch.targets;
        if (one_in(4)) {
            auto const half = targets.size() / 2;
            std::vector<upstream_id> some(targets.begin(),
                                          targets.begin() + half);
            plan(it, w_.part(it.batch, some, false));
            targets.erase(targets.begin(), targets.begin() + half);
        }
        plan(it, spoil(w_.part(it.batch, targets, true)));
    }

    query_part spoil(query_part part)
    {
        if (one_in(15)) {
            part.version = index_version(part.version.value + 1);
            for (auto& r : part.records) {
                r.body = std::to_string(part.version.value);
            }
        }
        if (one_in(15) && !part.results.empty()) {
            part.results.front().outcome = sub_outcome::reset;
        }
        return part;
    }

    void on(send_describe& it)
    {
        CHECK(ids_.insert(it.request.id).second);
        add(it.request.id.value);
        if (!one_in(10)) {
            plan(it, std::nullopt);
        }
    }

    void on(cancel_batch& it) { add(it.id.value); }

    void on(cancel_targets& it)
    {
        add(it.id.value);
        add(it.targets.front().value);
    }

    void on(answer_caller& it)
    {
        add(it.caller);
        CHECK(answers_.contains(it.caller));
        ++answers_[it.caller];
        if (auto const* answer = std::get_if<query_answer>(&it.result)) {
            check(*answer);
        }
    }

    // Every partition has three records and the limit is above them all, so
    // the records tell which partitions were merged.
    void check(query_answer const& it)
    {
        std::set<partition_id> merged;
        for (auto const& r : it.records) {
            merged.insert(r.partition);
            CHECK(r.body == std::to_string(it.snapshot.value));
            add(hash_bytes(r.key));
        }
        LONGS_EQUAL(merged.size(), it.coverage.merged);
        LONGS_EQUAL(3 * merged.size(), it.records.size());
        LONGS_EQUAL(3 * merged.size(), it.total);
        if (merged.empty()) {
            // The partition count may be unknown when nothing was merged.
            CHECK(it.coverage.fraction.value_or(0) == 0);
        }
        else {
            CHECK(it.coverage.fraction == merged.size() / 10.0);
        }
        CHECK(it.partial == (merged.size() < 5));
    }

    template <class Request>
    void plan(Request const& request, std::optional<query_part> part)
    {
        auto const slow = one_in(10) ? 250 : 15;
        auto const copies = one_in(10) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            auto const delay = from_ms(1 + random_.below(slow));
            network_.push_back({w_.now + delay, ++number_, request, part});
        }
    }

    void deliver()
    {
        std::sort(network_.begin(), network_.end(),
                  [](delivery const& a, delivery const& b) {
                      return std::tie(a.at, a.number) <
                             std::tie(b.at, b.number);
                  });
        while (!network_.empty() && network_.front().at <= w_.now) {
            auto const it = std::move(network_.front());
            network_.erase(network_.begin());
            arrive(it);
            react();
        }
    }

    void arrive(delivery const& it)
    {
        if (auto const* asked = std::get_if<send_describe>(&it.request)) {
            w_.engine.on_described(w_.now, asked->to,
                                   w_.description(asked->request), w_.actions);
            return;
        }
        auto const& sent = std::get<send_batch>(it.request);
        if (it.part) {
            w_.answer_part(sent.to, *it.part);
        }
        else {
            w_.fail_stream(sent);
        }
    }

    rng random_;
    query_world w_;
    std::vector<delivery> network_;
    std::map<caller_handle, int> answers_;
    std::set<request_id> ids_;
    live_host spare_host_;
    caller_handle caller_ = 0;
    std::uint64_t gone_ = 0;
    std::uint64_t number_ = 0;
    std::uint64_t digest_ = 0;
};

} // namespace

TEST_GROUP(query_replay){};

// Guards against decisions that depend on anything but the inputs and the
// seed, and against wrong answers under any order of failures; the checks are
// in the replay itself.
TEST(query_replay, same_seed_gives_the_same_actions)
{
    std::set<std::uint64_t> digests;
    query_counters sum;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        replay first(seed);
        replay second(seed);
        auto const digest = first.run();
        CHECK(digest == second.run());
        digests.insert(digest);
        auto const& n = first.counters();
        sum.answered += n.answered;
        sum.retries += n.retries;
        sum.hedges_won += n.hedges_won;
        sum.reruns += n.reruns;
        sum.late_parts += n.late_parts;
        sum.wrong_version += n.wrong_version;
        sum.duplicate_results += n.duplicate_results;
        sum.deadline_cuts += n.deadline_cuts;
    }
    LONGS_EQUAL(60, digests.size());
    // The scenarios must reach each kind of event.
    CHECK(sum.answered > 0 && sum.retries > 0 && sum.hedges_won > 0);
    CHECK(sum.reruns > 0 && sum.late_parts > 0 && sum.wrong_version > 0);
    CHECK(sum.duplicate_results > 0 && sum.deadline_cuts > 0);
}
