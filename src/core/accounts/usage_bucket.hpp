#pragma once

#include "core/base/time.hpp"

#include <cstdint>

namespace snipemill {

// Requests that may run, gained at a constant rate up to a capacity.
struct bucket_shape
{
    double rate = 0; // tokens/s
    double capacity = 0;

    friend bool operator==(bucket_shape const&, bucket_shape const&) = default;
};

// Token bucket of one account at one host, and the times promised to callers
// that were refused.
class usage_bucket
{
public:
    // Gains tokens from `from` on, which may lie ahead.
    usage_bucket(bucket_shape shape, double tokens, time_point from);

    // Keeps the tokens, up to the new capacity. Returns those beyond it.
    double set_shape(bucket_shape shape, time_point now);
    void add(double tokens, time_point now);
    // Takes up to n whole tokens and returns how many.
    std::uint32_t take(std::uint32_t n, time_point now);
    // Time at which there is a whole token; time_point::max(): never.
    time_point room_at(time_point now);
    // Promises n successive times at the bucket's rate, so that refused callers
    // return in the order in which they were refused. Returns the first.
    time_point promise(std::uint32_t n, time_point now);
    // Time between two promised times.
    duration interval() const;
    bool full(time_point now) const;
    // Time from one token to the capacity.
    duration fills_in() const;

private:
    void refill(time_point now);
    double tokens_at(time_point now) const;

    bucket_shape shape_;
    double tokens_;
    time_point refilled_;
    time_point promised_; // the last one
};

} // namespace snipemill
