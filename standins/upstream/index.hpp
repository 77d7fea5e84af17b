#pragma once

#include "upstream/settings.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace standin {

// What a search asks for.
struct search_request
{
    std::optional<double> min_rank;
    std::optional<double> max_rank;
    std::string prefix;
    std::uint64_t limit = 20;
    bool descending = false;
};

// The deterministic index. Record n is in partition n / records_per_partition;
// its key is "order-<n>", its rank ((n * 7919) mod 100003) / 10. Partition p of
// version v belongs to service (p + v) mod services.
class index
{
public:
    explicit index(upstream_settings const& settings) : settings_(&settings) {}

    // Answer to a search, as JSON.
    std::string search(std::uint64_t version,
                       search_request const& request) const;
    // What is held of the version, as JSON.
    std::string describe(std::uint64_t version) const;

private:
    bool holds(std::uint64_t version, std::uint32_t partition) const;

    upstream_settings const* settings_;
};

} // namespace standin
