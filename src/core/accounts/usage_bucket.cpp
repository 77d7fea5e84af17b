#include "core/accounts/usage_bucket.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace snipemill {

namespace {

// Sums of fractions miss a whole number by rounding.
constexpr double rounding = 1e-9;

// Callers that were promised a later time would have given up, and a burst of
// refusals must not drive the promises of the next hour.
constexpr duration max_promise = from_ms(20'000);

duration from_seconds(double s)
{
    return std::chrono::ceil<duration>(std::chrono::duration<double>(s));
}

} // namespace

usage_bucket::usage_bucket(bucket_shape shape, double tokens, time_point from)
    : shape_(shape), tokens_(std::min(tokens, shape.capacity)), refilled_(from),
      promised_(from)
{}

double usage_bucket::set_shape(bucket_shape shape, time_point now)
{
    if (shape == shape_) {
        return 0;
    }
    refill(now);
    shape_ = shape;
    auto const beyond = std::max(0.0, tokens_ - shape_.capacity);
    tokens_ -= beyond;
    promised_ = now;
    return beyond;
}

void usage_bucket::add(double tokens, time_point now)
{
    refill(now);
    tokens_ = std::min(tokens_ + tokens, shape_.capacity);
}

double usage_bucket::tokens_at(time_point now) const
{
    if (now <= refilled_) {
        return tokens_;
    }
    auto const passed = std::chrono::duration<double>(now - refilled_).count();
    return std::min(shape_.capacity, tokens_ + shape_.rate * passed);
}

void usage_bucket::refill(time_point now)
{
    tokens_ = tokens_at(now);
    refilled_ = std::max(refilled_, now);
}

std::uint32_t usage_bucket::take(std::uint32_t n, time_point now)
{
    refill(now);
    auto const whole = std::floor(tokens_ + rounding);
    auto const taken = std::min(static_cast<double>(n), std::max(0.0, whole));
    tokens_ = std::max(0.0, tokens_ - taken);
    return static_cast<std::uint32_t>(taken);
}

time_point usage_bucket::room_at(time_point now)
{
    refill(now);
    if (tokens_ + rounding >= 1) {
        return now;
    }
    if (shape_.rate <= 0 || shape_.capacity < 1) {
        return time_point::max();
    }
    return std::max(now, refilled_) + from_seconds((1 - tokens_) / shape_.rate);
}

duration usage_bucket::interval() const
{
    return shape_.rate > 0
               ? std::min(max_promise, from_seconds(1 / shape_.rate))
               : max_promise;
}

time_point usage_bucket::promise(std::uint32_t n, time_point now)
{
    auto const room = std::min(room_at(now), now + max_promise);
    auto const next = promised_ + interval();
    auto const first = next > room && next <= now + max_promise ? next : room;
    promised_ =
        std::min(first + interval() * (std::max(n, 1U) - 1), now + max_promise);
    return first;
}

duration usage_bucket::fills_in() const
{
    return shape_.rate > 0 && shape_.capacity > 1
               ? from_seconds((shape_.capacity - 1) / shape_.rate)
               : duration::zero();
}

bool usage_bucket::full(time_point now) const
{
    return tokens_at(now) + rounding >= shape_.capacity;
}

} // namespace snipemill
