#pragma once

#include "testbed/fleet.hpp"
#include "testbed/load.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace testbed {

enum class submit_kind
{
    answered,
    not_run,
    unknown,
    no_answer // the connection failed or the time was over
};

// One keyed request, as its caller saw it.
struct submit_sample
{
    std::string key;
    submit_kind kind = submit_kind::no_answer;
    unsigned status = 0; // HTTP status, 0: no answer
    std::string code;    // error code of a refusal
    std::string body;    // of an answer
    bool repeated = false;
    double ended_ms = 0; // after the start of the load
};

struct submit_load_options
{
    std::vector<load_target> targets;
    std::string prefix = "key"; // key i is "<prefix>-<i>"
    double rate = 100;          // keys per second, open loop
    std::uint32_t keys = 100;
    // Each key is sent once and again after each of these times, every time
    // to another target than the time before.
    std::vector<std::chrono::milliseconds> resends;
    std::uint32_t deadline_ms = 2000;
    std::uint64_t seed = 1;
    // Called before each request with the elapsed time.
    std::function<void(std::chrono::milliseconds)> before = {};
};

// Sends keyed requests at a fixed rate and returns one sample for each, in the
// order of sending. Blocks until all have ended.
std::vector<submit_sample> run_submits(submit_load_options const& options);

// How often each key ran, over the run logs of all upstreams.
std::map<std::string, std::uint64_t> run_log(fleet& f);

// Comparison of what callers saw with the run logs; counts keys. A key has
// certainly not run when a request was refused as not_run and all others, if
// any, as not_run or in_progress: the latter only says that another request
// has claimed the key, and that request is among them.
struct submit_check
{
    std::uint64_t keys = 0;
    std::uint64_t ran = 0;
    std::uint64_t duplicates = 0;      // ran more than once
    std::uint64_t false_not_run = 0;   // certainly not run, yet it ran
    std::uint64_t changed_answers = 0; // answered in two different ways
    std::uint64_t false_answers = 0;   // answered, but did not run
    std::uint64_t answered = 0;        // at least once
    std::uint64_t unknown = 0;         // never answered, and may have run
    std::uint64_t not_run = 0;         // certainly not run
};
submit_check check_submits(std::vector<submit_sample> const& samples,
                           std::map<std::string, std::uint64_t> const& runs);

// Keys that were answered in first, but not in the same way in later.
std::vector<std::string> lost_answers(std::vector<submit_sample> const& first,
                                      std::vector<submit_sample> const& later);
std::uint64_t count_lost_answers(std::vector<submit_sample> const& first,
                                 std::vector<submit_sample> const& later);

} // namespace testbed
