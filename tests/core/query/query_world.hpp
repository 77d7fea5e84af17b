#pragma once

#include "core/query/query_engine.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace snipemill {

struct world_settings
{
    std::uint32_t services = 4;
    std::uint32_t replicas = 2;
    std::uint32_t data_centres = 1; // replica r is in data centre r mod n
    std::uint32_t hosts = 3;        // per data centre
    std::uint32_t partitions = 2;   // per service
    group_object group{.name = "orders"};
    query_engine_settings engine{};
    std::uint32_t lane = 0;
    std::uint32_t lanes = 1;
    std::uint64_t seed = 1;
};

// An engine, the configuration that it routes by, and upstreams that all hold
// the same versions unless a test says otherwise. Partition p of version v has
// the records "p<p>-<i>" with the rank 10 * i + p and the body v, for i below
// 3.
class query_world
{
public:
    explicit query_world(world_settings const& settings);

    // Builds and passes on a view from objects and hosts.
    void publish();
    // Ends the describe round that the first query starts.
    void describe_all();
    // Runs a query to its first batches with a known catalogue.
    std::vector<send_batch> open_query(caller_handle caller,
                                       caller_query query);

    upstream_id id(std::uint32_t service, std::uint32_t replica) const
    {
        return upstream_id(1 + service * settings.replicas + replica);
    }
    std::uint32_t service_of(upstream_id u) const
    {
        return (u.value - 1) / settings.replicas;
    }
    std::uint32_t partition_count() const
    {
        return settings.services * settings.partitions;
    }
    upstream_object& upstream(upstream_id u);

    target_result merged(upstream_id u) const;
    target_result failed(upstream_id u, sub_outcome outcome) const;
    std::vector<record> records(upstream_id u, index_version version) const;
    // A well-formed part that answers these targets of a batch.
    query_part part(query_batch const& batch,
                    std::vector<upstream_id> const& targets, bool final) const;
    query_part whole_part(query_batch const& batch) const
    {
        return part(batch, batch.targets, true);
    }
    describe_answer description(describe_request const& request) const;

    void answer(send_batch const& sent);
    void answer_part(host_id const& from, query_part it);
    void fail_targets(send_batch const& sent, sub_outcome outcome);
    void fail_stream(send_batch const& sent);
    void advance(duration d); // fires timers that fall due

    // Removes the actions of one kind and returns them.
    template <class T>
    std::vector<T> take()
    {
        std::vector<T> out;
        std::erase_if(actions, [&](query_action& it) {
            auto* found = std::get_if<T>(&it);
            if (found != nullptr) {
                out.push_back(std::move(*found));
            }
            return found != nullptr;
        });
        return out;
    }
    query_answer take_answer(); // the only result must be an answer
    failure take_failure();     // the only result must be a failure

    world_settings settings;
    std::map<std::string, config_object> objects;
    std::vector<live_host> hosts;
    std::map<upstream_id, std::vector<index_version>> held;
    std::shared_ptr<routing_view const> view;
    std::uint64_t sequence = 0;
    time_point now{from_ms(5000)};
    query_engine engine;
    query_actions actions;
};

} // namespace snipemill
