#include "core/base/hash.hpp"

#include <xxhash.h>

namespace snipemill {

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash_combine(std::uint64_t hash, std::uint64_t value)
{
    return XXH3_64bits_withSeed(&value, sizeof value, hash);
}

} // namespace snipemill
