#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

// Entry point that libFuzzer calls with each input.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size);

namespace fuzz {

inline std::string_view text_of(std::uint8_t const* data, std::size_t size)
{
    return {reinterpret_cast<char const*>(data), size};
}

// Ends the run with the input that broke the rule.
inline void require(bool ok, char const* rule)
{
    if (!ok) {
        std::fprintf(stderr, "violated: %s\n", rule);
        std::abort();
    }
}

} // namespace fuzz
