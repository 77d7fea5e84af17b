#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace snipemill {

// A value of type Rep that does not mix with ids of another kind.
template <class Tag, class Rep>
struct strong_id
{
    using rep = Rep;

    Rep value{};

    constexpr strong_id() = default;
    constexpr explicit strong_id(Rep v) : value(std::move(v)) {}

    friend auto operator<=>(strong_id const&, strong_id const&) = default;
    friend bool operator==(strong_id const&, strong_id const&) = default;
};

// Name of an entry host, unique in the fleet; a replacement host gets a name
// of its own or a higher incarnation.
using host_id = strong_id<struct host_tag, std::string>;

// Number of an upstream; unique and never used again for another upstream.
using upstream_id = strong_id<struct upstream_tag, std::uint32_t>;

// Number of a version of an index; a higher number is newer.
using index_version = strong_id<struct index_version_tag, std::uint64_t>;

// Number of a partition inside one version of an index.
using partition_id = strong_id<struct partition_tag, std::uint32_t>;

// Number of a query or submit attempt; unique per process and never reused.
using request_id = strong_id<struct request_tag, std::uint64_t>;

// Hash of a request's group and normalised body.
using fingerprint = strong_id<struct fingerprint_tag, std::uint64_t>;

} // namespace snipemill

template <class Tag, class Rep>
struct std::hash<snipemill::strong_id<Tag, Rep>>
{
    std::size_t operator()(snipemill::strong_id<Tag, Rep> const& id) const
    {
        return std::hash<Rep>()(id.value);
    }
};
