#include "core/forward/request_fingerprint.hpp"

#include "core/base/hash.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace snipemill {

fingerprint fingerprint_of(request_identity const& request)
{
    std::uint64_t hash = 0;
    for (auto const part : {request.method, request.host, request.target,
                            request.caller, request.body}) {
        // The size separates a part from the next one.
        hash = hash_combine(hash_bytes(part, hash), part.size());
    }
    return fingerprint(hash);
}

std::string to_text(fingerprint print)
{
    std::array<char, 17> buf{};
    std::snprintf(buf.data(), buf.size(), "%016" PRIx64, print.value);
    return buf.data();
}

} // namespace snipemill
