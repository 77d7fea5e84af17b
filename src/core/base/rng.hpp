#pragma once

#include <pcg_random.hpp>

#include <cassert>
#include <cstdint>

namespace snipemill {

// Seeded random numbers: the same seed gives the same sequence on every
// machine, which replays of the core depend on.
class rng
{
public:
    explicit rng(std::uint64_t seed) : engine_(seed) {}

    std::uint32_t next() { return engine_(); }

    // Uniform in [0, n).
    std::uint32_t below(std::uint32_t n)
    {
        assert(n > 0);
        return engine_(n);
    }

    // Uniform in [0, 1).
    double unit() { return engine_() * (1.0 / 4294967296.0); }

private:
    pcg32 engine_;
};

} // namespace snipemill
