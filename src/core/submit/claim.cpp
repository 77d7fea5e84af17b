#include "core/base/hash.hpp"
#include "core/submit/submit_engine.hpp"

#include <array>
#include <cstdio>

namespace snipemill {

// Two hashes of the key: with 64 bits, a collision of two keys with the same
// body, which would drop the second request, is not rare enough.
std::string claim_key(std::string_view group, std::string_view key)
{
    std::array<char, 33> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash_bytes(key, 0)),
                  static_cast<unsigned long long>(hash_bytes(key, 1)));
    std::string path("claims/");
    path.append(group).append("/").append(hex.data());
    return path;
}

} // namespace snipemill
