#include "forward_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace snipemill;
using namespace snipemill::test;

namespace {

constexpr fingerprint crashing{7};

// Upstreams that a request may reach after it has ended the third one.
constexpr std::size_t max_after_third = 3;

} // namespace

TEST_GROUP(crashing_request)
{
    forward_fixture f{4};

    void setup() override
    {
        // Upstreams that crash may not run out before the test ends.
        f.shared.budget_settings = {.floor = 1000};
    }
    // Ends all exchanges from n on as a crash of their upstreams does: the
    // connections close, and the upstreams come back as new processes.
    void crash_from(std::size_t n)
    {
        for (; n < f.exchanges.all.size(); ++n) {
            auto const instance = f.exchanges.instance(n);
            if (f.exchanges.all[n].on_outcome) {
                f.exchanges.end(n, exchange_lost{});
            }
            for (auto& it : f.records) {
                it.started_ms += it.instance == instance ? 1 : 0;
            }
        }
        f.update();
    }
    // Sends the request as its caller does, again and again.
    std::size_t sends_of_repeated_request(forward_route const& route)
    {
        for (int i = 0; i < 8; ++i) {
            auto const n = f.exchanges.all.size();
            run_driver run(f, route, crashing);
            crash_from(n);
            run.pass(from_ms(1000));
            crash_from(n);
            f.now += from_ms(1000);
        }
        return f.exchanges.all.size();
    }
};

// Guards against sending a request to upstreams for as long as its caller
// repeats it, although it ends every upstream that runs it.
TEST(crashing_request, is_not_sent_again_after_it_ended_three_upstreams)
{
    auto const n =
        sends_of_repeated_request(f.single_route(idempotency::idempotent));
    CHECK(n >= 3);
    CHECK_COMPARE(n, <=, 3 + max_after_third);
}

// The same for a query over many shards, which reaches all shards at once.
TEST(crashing_request, a_query_ends_at_most_one_replica_of_each_shard)
{
    auto const n = sends_of_repeated_request(f.gather_route());
    CHECK_COMPARE(n, <=, f.names.size() + max_after_third);
}
