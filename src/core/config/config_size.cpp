#include "core/config/config_size.hpp"

namespace snipemill {

namespace {

// Member names, quotes, numbers and punctuation of one JSON object.
constexpr std::size_t data_centre_frame = 64;
constexpr std::size_t group_frame = 256;
constexpr std::size_t service_frame = 128;
constexpr std::size_t upstream_frame = 128;
constexpr std::size_t removed_frame = 32;
constexpr std::size_t ticket_frame = 96;

struct size_visitor
{
    std::size_t operator()(data_centre_object const& o) const
    {
        return data_centre_frame + o.name.size() + o.region.size();
    }
    std::size_t operator()(group_object const& o) const
    {
        return group_frame + o.name.size();
    }
    std::size_t operator()(service_object const& o) const
    {
        return service_frame + o.name.size() + o.group.size();
    }
    std::size_t operator()(upstream_object const& o) const
    {
        return upstream_frame + o.name.size() + o.service.size() +
               o.data_centre.size() + o.address.size();
    }
    std::size_t operator()(removed_object const& o) const
    {
        return removed_frame + o.key.size();
    }
};

} // namespace

std::size_t estimated_size(config_object const& object)
{
    return std::visit(size_visitor(), object);
}

std::size_t estimated_size(ticket_summary const& summary)
{
    return ticket_frame + summary.author.size() + summary.reason.size() +
           summary.nonce.size();
}

std::size_t estimated_size(ticket const& change)
{
    auto size = ticket_frame + change.author.size() + change.reason.size() +
                change.nonce.size();
    for (auto const& it : change.objects) {
        size += estimated_size(it);
    }
    return size;
}

std::size_t estimated_size(config_snapshot const& state)
{
    std::size_t size = ticket_frame;
    for (auto const& [key, object] : state.objects) {
        size += estimated_size(object);
    }
    for (auto const& it : state.history) {
        size += estimated_size(it);
    }
    return size;
}

} // namespace snipemill
