#pragma once

#include "core/accounts/usage_bucket.hpp"
#include "core/base/time.hpp"

#include <optional>

namespace snipemill {

// What a deputy knows about the owner of an account, and the bucket from which
// it grants while the owner is silent.
class cap_takeover
{
public:
    // True at most every 250 ms: the caller then sends the owner a message.
    bool contact_due(time_point now);
    // The owner responded or sent a message.
    void on_heard(time_point now);
    // Null until the owner has been silent for this long.
    usage_bucket* bucket(bucket_shape shape, duration silence, time_point now);
    bool active() const { return bucket_.has_value(); }
    // A take-over lasts, or ended this short a time ago.
    bool lasted_within(duration d, time_point now) const;

private:
    void end(time_point now);

    std::optional<time_point> unanswered_since_;
    time_point sent_{}; // the last message
    std::optional<usage_bucket> bucket_;
    std::optional<time_point> ended_;
};

} // namespace snipemill
