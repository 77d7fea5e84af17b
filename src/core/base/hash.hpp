#pragma once

#include <cstdint>
#include <string_view>

namespace snipemill {

// XXH3 of a byte string, with a seed.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0);

// Mixes a value into a running hash; used for replay digests.
std::uint64_t hash_combine(std::uint64_t hash, std::uint64_t value);

} // namespace snipemill
