#include "adapters/forward/upstream_links.hpp"

#include <algorithm>
#include <utility>

namespace snipemill {

// The part of upstream_links that chooses connections for exchanges.

// A connection that has carried the request is left to other requests. When no
// other one is idle, the longest idle one is closed, so that the connection
// that is opened instead is not one more.
upstream_links::connection_ptr upstream_links::take_idle(upstream_link& it,
                                                         std::string const& id)
{
    auto const oldest = now_() - it.idle_timeout;
    std::vector<idle_connection> passed_over;
    connection_ptr out;
    while (!out && !it.idle.empty()) {
        auto last = std::move(it.idle.back());
        it.idle.pop_back();
        if (last.since <= oldest || !last.connection->usable()) {
            last.connection->discard();
        }
        else if (last.connection->has_carried(id)) {
            passed_over.push_back(std::move(last));
        }
        else {
            out = std::move(last.connection);
        }
    }
    if (!out && !passed_over.empty()) {
        ++counters_.retry_connects;
        passed_over.back().connection->discard();
        passed_over.pop_back();
    }
    it.idle.insert(it.idle.end(), passed_over.rbegin(), passed_over.rend());
    return out;
}

// Takes the first waiting exchange whose request the connection has not
// carried. One that is passed over gets the connection that is being opened for
// it.
std::optional<exchange_id>
upstream_links::take_waiting(upstream_link& it, client_connection const& for_it)
{
    auto const found =
        std::find_if(it.waiting.begin(), it.waiting.end(), [&](exchange_id id) {
            return !for_it.has_carried(exchanges_.at(id).request->id);
        });
    if (found == it.waiting.end()) {
        return std::nullopt;
    }
    auto const out = *found;
    it.waiting.erase(found);
    return out;
}

void upstream_links::add_idle(link_ptr const& it,
                              connection_ptr const& connection)
{
    if (it->removed || !connection->open()) {
        connection->discard();
        return;
    }
    it->idle.push_back({connection, now_()});
}

} // namespace snipemill
