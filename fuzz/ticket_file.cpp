#include "adapters/codec/config_json.hpp"
#include "fuzz.hpp"

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    using namespace snipemill;
    auto const parsed = parse_ticket_file(fuzz::text_of(data, size));
    if (auto const* it = std::get_if<ticket>(&parsed)) {
        auto const again = parse_ticket_file(write_ticket(*it));
        fuzz::require(again == parsed, "a written ticket reads back the same");
    }
    else {
        auto const& faults = std::get<std::vector<parse_fault>>(parsed);
        fuzz::require(!faults.empty(), "a refused ticket names a fault");
    }
    return 0;
}
