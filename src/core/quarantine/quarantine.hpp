#pragma once

#include "core/base/strong_id.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipemill {

struct quarantine_settings
{
    std::uint32_t distinct_upstreams = 2; // crashed before it is refused
    duration expiry = from_ms(600'000);
    std::size_t max_entries = 1024;
};

// What is known of a fingerprint that crashed upstreams.
struct crash_record
{
    fingerprint print;
    std::vector<upstream_id> upstreams; // distinct, ascending
    time_point last_seen{};
    bool manual = false; // added by an operator
    // How often operators removed it. A record with more removals replaces
    // one with fewer, so that peers do not bring a removed entry back.
    std::uint32_t removals = 0;

    // Whether only the removal is left of it.
    bool removed() const { return upstreams.empty() && !manual; }

    friend bool operator==(crash_record const&, crash_record const&) = default;
};

// Fingerprint of a query or submit: group and normalised body.
fingerprint fingerprint_of(std::string_view group, std::string_view body);

// Bounded record of requests that crashed upstreams. Records merge in any
// order to the same result, so hosts can exchange them freely.
class quarantine
{
public:
    explicit quarantine(quarantine_settings const& settings);

    // Returns whether the fingerprint is now refused and was not before.
    bool on_crash(time_point now, fingerprint print, upstream_id upstream);
    bool merge(time_point now, crash_record const& record);
    bool refused(time_point now, fingerprint print) const;
    void add(time_point now, fingerprint print); // by an operator
    // Keeps the record as removed until it expires, for the peers.
    bool remove(fingerprint print);
    void expire(time_point now);

    std::optional<crash_record> find(fingerprint print) const;
    std::vector<crash_record> records() const; // ascending by fingerprint
    std::vector<fingerprint> refused_prints(time_point now) const;

private:
    std::vector<crash_record>::iterator lower_bound(fingerprint print);
    std::uint32_t removals_of(fingerprint print);
    void drop_least();

    quarantine_settings settings_;
    std::vector<crash_record> records_; // ascending by fingerprint
};

} // namespace snipemill
