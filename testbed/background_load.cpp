#include "testbed/background_load.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

namespace testbed {

namespace {

constexpr double chunk_seconds = 0.25;
constexpr auto pause = std::chrono::milliseconds(50);

} // namespace

background_load::background_load(background_options options)
    : options_(std::move(options)),
      thread_([this](std::stop_token const& stop) { run(stop); })
{}

background_load::~background_load() = default;

void background_load::run(std::stop_token const& stop)
{
    auto const count =
        std::max(1U, static_cast<std::uint32_t>(options_.rate * chunk_seconds));
    while (!stop.stop_requested()) {
        auto targets = options_.targets();
        if (targets.empty()) {
            std::this_thread::sleep_for(pause);
            continue;
        }
        auto const some = run_load({.targets = std::move(targets),
                                    .body = options_.body,
                                    .rate = options_.rate,
                                    .count = count});
        std::lock_guard const lock(mutex_);
        samples_.insert(samples_.end(), some.begin(), some.end());
    }
}

std::vector<query_sample> background_load::finish()
{
    thread_.request_stop();
    if (thread_.joinable()) {
        thread_.join();
    }
    return samples();
}

std::vector<query_sample> background_load::samples() const
{
    std::lock_guard const lock(mutex_);
    return samples_;
}

std::size_t failures(std::vector<query_sample> const& samples)
{
    return static_cast<std::size_t>(
        std::count_if(samples.begin(), samples.end(),
                      [](query_sample const& it) { return it.status != 200; }));
}

std::size_t cut_off(std::vector<query_sample> const& samples)
{
    return static_cast<std::size_t>(
        std::count_if(samples.begin(), samples.end(),
                      [](query_sample const& it) { return it.status == 0; }));
}

} // namespace testbed
