#include "adapters/http/http_server.hpp"

namespace snipemill {

std::string const& http_request::header(std::string const& name) const
{
    static std::string const empty;
    for (auto const& [key, value] : headers) {
        if (key == name) {
            return value;
        }
    }
    return empty;
}

} // namespace snipemill
