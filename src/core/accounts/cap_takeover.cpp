#include "core/accounts/cap_takeover.hpp"

namespace snipemill {

namespace {

constexpr duration contact_interval = from_ms(250);

// After a longer time without messages one lost message must not count as
// silence, so the silence begins anew.
constexpr duration longest_gap = from_ms(1000);

} // namespace

bool cap_takeover::contact_due(time_point now)
{
    if (now < sent_ + contact_interval) {
        return false;
    }
    if (now >= sent_ + longest_gap) {
        end(now);
    }
    if (!unanswered_since_) {
        unanswered_since_ = now;
    }
    sent_ = now;
    return true;
}

void cap_takeover::on_heard(time_point now)
{
    end(now);
}

usage_bucket* cap_takeover::bucket(bucket_shape shape, duration silence,
                                   time_point now)
{
    if (!unanswered_since_ || now < *unanswered_since_ + silence) {
        return nullptr;
    }
    if (!bucket_) {
        bucket_.emplace(shape, 0, now);
    }
    bucket_->set_shape(shape, now);
    return &*bucket_;
}

bool cap_takeover::lasted_within(duration d, time_point now) const
{
    return bucket_ || (ended_ && now < *ended_ + d);
}

void cap_takeover::end(time_point now)
{
    unanswered_since_.reset();
    if (bucket_) {
        bucket_.reset();
        ended_ = now;
    }
}

} // namespace snipemill
