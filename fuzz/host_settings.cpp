#include "adapters/settings/host_settings.hpp"

#include "fuzz.hpp"

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    using namespace snipemill;
    auto const parsed = parse_host_settings(fuzz::text_of(data, size));
    if (auto const* it = std::get_if<std::vector<settings_fault>>(&parsed)) {
        fuzz::require(!it->empty(), "refused settings name a fault");
    }
    return 0;
}
