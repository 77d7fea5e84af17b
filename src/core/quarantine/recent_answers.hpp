#pragma once

#include "core/base/strong_id.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <unordered_map>

namespace snipemill {

struct recent_answers_settings
{
    // An answer tells at least this long that a request does not end the
    // upstreams that run it.
    duration lifetime = from_ms(5000);
    std::size_t max_entries = 4096;
};

// Requests that upstreams have run and answered a short time ago. Load pattern:
// a popular request runs at every upstream of a service at any moment, so that
// a loss of the service looks like its fault. A request that ends its upstreams
// is never answered.
class recent_answers
{
public:
    explicit recent_answers(recent_answers_settings const& settings = {})
        : settings_(settings)
    {}

    void add(fingerprint print, time_point now);
    // Whether the request has been answered in the lifetime before `now`.
    bool contains(fingerprint print, time_point now) const;
    std::size_t size() const { return newer_.size() + older_.size(); }

private:
    using table = std::unordered_map<fingerprint, time_point>;

    recent_answers_settings settings_;
    // Full tables and old ones are dropped as a whole. A request that is
    // answered often is in the newer one.
    table newer_;
    table older_;
    time_point begun_at_{}; // the newer one
};

} // namespace snipemill
