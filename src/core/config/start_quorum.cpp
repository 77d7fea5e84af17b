#include "core/config/start_quorum.hpp"

namespace snipemill {

start_quorum::start_quorum(member_info const& self)
    : self_(self.ip, self.peer_port), data_centre_(self.data_centre)
{}

void start_quorum::set_seeds(std::vector<member_seed> seeds)
{
    seeds_.clear();
    for (auto& it : seeds) {
        seeds_.emplace(std::move(it.ip), it.port);
    }
}

void start_quorum::set_members(std::vector<member_info> const& members)
{
    members_.clear();
    for (auto const& it : members) {
        if (it.data_centre == data_centre_) {
            members_.push_back(it);
        }
    }
}

void start_quorum::on_answer(host_id const& from)
{
    answered_.insert(from);
}

bool start_quorum::reached() const
{
    auto listed = seeds_;
    listed.insert(self_);
    std::set<address> heard{self_};
    for (auto const& it : members_) {
        listed.emplace(it.ip, it.peer_port);
        if (answered_.contains(it.id)) {
            heard.emplace(it.ip, it.peer_port);
        }
    }
    return 2 * heard.size() > listed.size();
}

} // namespace snipemill
