#include "adapters/codec/caller_json.hpp"

#include "fuzz.hpp"

#include <boost/json/parse.hpp>

namespace {

bool is_json_object(std::string_view text)
{
    boost::system::error_code ec;
    auto const value = boost::json::parse(text, ec);
    return !ec && value.is_object();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size)
{
    using namespace snipemill;
    auto const text = fuzz::text_of(data, size);
    auto const query = parse_caller_query(text);
    if (auto const* it = std::get_if<caller_query>(&query)) {
        fuzz::require(is_json_object(it->body), "a query stays an object");
    }
    else {
        auto const refusal = write_failure(std::get<failure>(query));
        fuzz::require(is_json_object(refusal), "a refusal is an object");
    }
    auto const submit = parse_caller_submit(text, "key");
    if (auto const* it = std::get_if<caller_submit>(&submit)) {
        fuzz::require(is_json_object(it->body), "a request stays an object");
    }
    return 0;
}
