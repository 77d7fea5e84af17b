#include "core/base/hash.hpp"
#include "core/base/rng.hpp"
#include "submit_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <functional>
#include <set>

using namespace snipemill;

namespace {

constexpr std::size_t engines = 3;
constexpr std::uint32_t keys = 4;

// A request that an engine has forwarded.
struct forwarded
{
    std::string key;
    std::uint64_t caller = 0;
    bool may_run = true; // as far as can be known
};

struct waiting_caller
{
    std::size_t engine = 0;
    std::string key;
};

// Several engines share one platform that loses and delays answers, and
// owners that fail in every way. Checks each forwarded request and answer.
class submit_replay
{
public:
    explicit submit_replay(std::uint64_t seed) : random_(seed)
    {
        for (std::size_t i = 0; i < engines; ++i) {
            replace(i);
        }
    }

    std::uint64_t run()
    {
        for (int i = 0; i < 400; ++i) {
            now_ += from_ms(random_.below(40));
            happen();
            if (random_.below(100) == 0) {
                replace(random_.below(engines));
            }
            submit();
        }
        for (int i = 0; i < 3000; ++i) {
            now_ += from_ms(10);
            happen();
        }
        CHECK(callers_.empty());
        for (auto const& it : engines_) {
            LONGS_EQUAL(0, it.engine->in_flight());
        }
        return digest_;
    }

    std::uint64_t ran = 0;
    std::uint64_t repeated = 0;
    std::uint64_t resolved = 0;
    std::uint64_t not_run = 0;

private:
    struct host
    {
        std::unique_ptr<submit_engine> engine;
        std::uint64_t epoch = 0; // of the process
    };
    struct process
    {
        std::size_t engine = 0;
        std::uint64_t epoch = 0;
    };
    using event = std::function<void()>;

    void replace(std::size_t i)
    {
        auto& it = engines_[i];
        if (it.engine != nullptr) {
            resolved += it.engine->counters().claims_resolved;
        }
        it.engine = std::make_unique<submit_engine>(
            submit_engine_settings{.max_submits = 64}, 0, 1, random_.next());
        it.engine->on_view(submit_view(std::string(1, "abc"[i])));
        ++it.epoch;
        // The callers of the process have lost their connections.
        std::erase_if(callers_,
                      [&](auto const& c) { return c.second.engine == i; });
    }

    void submit()
    {
        auto const engine = random_.below(engines);
        auto const key = "k" + std::to_string(random_.below(keys));
        for (auto const& [id, c] : callers_) {
            if (c.engine == engine && c.key == key) {
                return;
            }
        }
        auto request = submit_with(key);
        request.deadline = from_ms(100 + random_.below(1500));
        callers_[++last_caller_] = {engine, key};
        call(engine, [&](submit_engine& e, submit_actions& out) {
            e.on_submit(now_, 1, last_caller_, request, out);
        });
    }

    template <class F>
    void call(std::size_t engine, F f)
    {
        process const from{engine, engines_[engine].epoch};
        submit_actions out;
        f(*engines_[engine].engine, out);
        for (auto const& it : out) {
            digest_ = hash_combine(digest_, it.index());
            std::visit([&](auto const& a) { check(from, a); }, it);
        }
    }

    void later(event f)
    {
        auto const slow = random_.below(10) == 0;
        auto const wait = 1 + random_.below(slow ? 3000 : 30);
        events_.emplace(now_ + from_ms(wait), std::move(f));
    }
    // Delivered only to the process that asked.
    template <class F>
    void later_to(process to, F f)
    {
        later([this, to, f] {
            if (engines_[to.engine].epoch == to.epoch) {
                call(to.engine, f);
            }
        });
    }

    void happen()
    {
        while (!events_.empty() && events_.begin()->first <= now_) {
            auto const f = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            f();
        }
        for (std::size_t i = 0; i < engines; ++i) {
            call(i, [&](submit_engine& e, submit_actions& out) {
                e.on_timer(now_, out);
            });
        }
    }

    void tell_written(process from, request_id id, claim_write result,
                      std::uint64_t version)
    {
        later_to(from, [=, this](submit_engine& e, submit_actions& out) {
            e.on_claim_written(now_, id, result, version, out);
        });
    }

    void check(process from, put_claim const& p)
    {
        switch (random_.below(10)) {
        case 0:
            tell_written(from, p.id, claim_write::not_sent, 0);
            break;
        case 1: // lost on the way
            tell_written(from, p.id, claim_write::ambiguous, 0);
            break;
        case 2: // takes effect at some time
            tell_written(from, p.id, claim_write::ambiguous, 0);
            later([this, p] { store_.put(p); });
            break;
        default:
            later([this, from, p] { execute(from, p); });
            break;
        }
    }

    void execute(process from, put_claim const& p)
    {
        auto const version = store_.put(p);
        auto const result =
            version ? claim_write::written : claim_write::conflict;
        tell_written(from, p.id,
                     random_.below(8) == 0 ? claim_write::ambiguous : result,
                     version.value_or(0));
    }

    void check(process from, get_claim const& g)
    {
        auto const reachable = random_.below(6) != 0;
        later([this, from, g, reachable] {
            auto const found = store_.get(g.key);
            auto const value =
                found && reachable ? std::optional(found->value) : std::nullopt;
            auto const version = found ? found->version : 0;
            later_to(from, [=, this](submit_engine& e, submit_actions& out) {
                e.on_claim_read(now_, g.id, reachable, value, version, out);
            });
        });
    }

    void check(process from, forward_submit const& f)
    {
        CHECK(f.request.remaining > duration{});
        auto const& key = f.request.key;
        for (auto const& it : forwards_) {
            CHECK(it.key != key || !it.may_run);
        }
        std::uint64_t caller = 0;
        for (auto const& [id, c] : callers_) {
            caller = c.engine == from.engine && c.key == key ? id : caller;
        }
        CHECK(caller != 0);
        auto const i = forwards_.size();
        forwards_.push_back({key, caller, true});
        own(from, f.request.id, key, i);
    }

    // The owner and its upstream.
    void own(process from, request_id id, std::string const& key, std::size_t i)
    {
        auto const mode = random_.below(12);
        auto const runs = mode < 7;
        if (runs) {
            later([this, key] {
                ++ran;
                LONGS_EQUAL(1, ++runs_[key]);
            });
        }
        if (mode == 6 || mode == 7) {
            return; // no answer at all
        }
        later_to(from, [=, this](submit_engine& e, submit_actions& out) {
            if (mode < 4) {
                e.on_result(now_, {id, submit_answered{200, key}}, out);
            }
            else if (mode == 4 || mode == 8) {
                e.on_forward_failed(now_, id, true, out);
            }
            else if (mode == 5 || mode == 9) {
                e.on_result(now_, {id, submit_unknown{errc::upstream_reset}},
                            out);
            }
            else if (mode == 10) {
                forwards_[i].may_run = false;
                e.on_forward_failed(now_, id, false, out);
            }
            else {
                forwards_[i].may_run = false;
                e.on_result(now_, {id, submit_not_run{errc::upstream_shed}},
                            out);
            }
        });
    }

    void check(process, answer_submit const& a)
    {
        auto const caller = callers_.find(a.caller);
        CHECK(caller != callers_.end());
        digest_ = hash_combine(digest_, a.caller);
        repeated += a.repeated ? 1 : 0;
        if (auto const* ran_as = std::get_if<submit_answered>(&a.result)) {
            CHECK(ran_as->body == caller->second.key);
        }
        else if (std::get<failure>(a.result).run == run_state::not_run) {
            ++not_run;
            for (auto const& it : forwards_) {
                CHECK(it.caller != a.caller || !it.may_run);
            }
        }
        callers_.erase(caller);
    }

    rng random_;
    std::array<host, engines> engines_;
    claim_store store_;
    time_point now_{from_ms(1000)};
    std::multimap<time_point, event> events_;
    std::map<std::uint64_t, waiting_caller> callers_; // not answered
    std::uint64_t last_caller_ = 0;
    std::vector<forwarded> forwards_;
    std::map<std::string, int> runs_;
    std::uint64_t digest_ = 0;
};

} // namespace

TEST_GROUP(submit_replay){};

// Guards against a key that runs twice, "not run" for a request that may have
// run, and a caller that is answered twice or never, when the platform loses
// and delays answers, owners fail, hosts are replaced and several hosts get
// the same key; and against a replay that depends on more than its seed.
TEST(submit_replay, runs_each_key_at_most_once)
{
    std::uint64_t ran = 0;
    std::uint64_t repeated = 0;
    std::uint64_t resolved = 0;
    std::uint64_t not_run = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        submit_replay first(seed);
        submit_replay second(seed);
        CHECK(first.run() == second.run());
        ran += first.ran;
        repeated += first.repeated;
        resolved += first.resolved;
        not_run += first.not_run;
    }
    // The replay must reach the cases that it is there for.
    CHECK(ran > 200);
    CHECK(repeated > 200);
    CHECK(resolved > 50);
    CHECK(not_run > 200);
}
