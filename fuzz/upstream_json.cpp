#include "adapters/codec/upstream_json.hpp"

#include "fuzz.hpp"

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    auto const text = fuzz::text_of(data, size);
    snipemill::parse_sub_answer(text);
    snipemill::parse_upstream_status(text);
    snipemill::parse_held_versions(text);
    return 0;
}
