#include "core/config/objects.hpp"

namespace snipemill {

namespace {

struct key_visitor
{
    std::string operator()(data_centre_object const& o) const
    {
        return "data_centre/" + o.name;
    }
    std::string operator()(group_object const& o) const
    {
        return "group/" + o.name;
    }
    std::string operator()(service_object const& o) const
    {
        return "service/" + o.name;
    }
    std::string operator()(upstream_object const& o) const
    {
        return "upstream/" + o.name;
    }
    std::string operator()(removed_object const& o) const { return o.key; }
};

} // namespace

std::string object_key(config_object const& object)
{
    return std::visit(key_visitor(), object);
}

} // namespace snipemill
