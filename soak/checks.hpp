#pragma once

#include "world.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace soak {

// What a caller asked for.
enum class ask : std::uint8_t
{
    wide, // all shards
    one,  // one upstream, may be repeated
    once  // one upstream, at most once
};

// One attempt of a caller, and how it ended.
struct attempt_end
{
    std::string id;
    ask kind = ask::wide;
    unsigned status = 0; // 0: no answer
    std::string stamps;
    std::string missing;
    std::string body;
    steady_time sent{};
    steady_time ended{};
};

// Checks the promises from what callers and upstreams see. Each broken one is
// kept as a line of text.
class checker
{
public:
    explicit checker(world& w) : world_(w) {}

    void on_end(attempt_end const& it);
    // Looks at what upstreams have seen; now and then.
    void look(steady_time now);
    // At the end: refusals that ran later, requests that ran twice, repeats.
    void finish();
    void fail(std::string line);

    std::vector<std::string> const& failures() const { return failures_; }
    std::size_t asked() const { return asked_; }
    std::size_t served() const { return served_; }

private:
    void check_wide(attempt_end const& it);
    void check_single(attempt_end const& it);
    void check_repeats();

    world& world_;
    std::size_t asked_ = 0;
    std::size_t served_ = 0;
    std::set<std::string> refused_; // with a promise that they did not run
    std::set<std::string> once_;
    std::map<std::string, std::vector<steady_time>> asked_at_; // by service
    std::vector<std::string> failures_;
};

// Statuses that promise that a request did not run and never will.
bool promises_not_run(unsigned status);

} // namespace soak
