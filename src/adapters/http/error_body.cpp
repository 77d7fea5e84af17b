#include "adapters/http/error_body.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace snipemill {

namespace json = boost::json;

std::string write_error_body(failure const& f)
{
    json::object error;
    error["code"] = to_string(f.code);
    error["run"] = to_string(f.run);
    error["detail"] = f.detail;
    json::object body;
    body["error"] = std::move(error);
    return json::serialize(body);
}

} // namespace snipemill
