#pragma once

#include "core/owner/handover_store.hpp"
#include "core/owner/owner_engine.hpp"
#include "core/owner/owner_work.hpp"
#include "core/owner/upstream_dispatcher.hpp"
#include "core/owner/upstream_roster.hpp"

#include <memory>
#include <vector>

namespace snipemill {

// Gains and loses upstreams, polls their status and answers describe
// requests; upstream_dispatcher does the work on queries and submits.
class owner_engine::impl
{
public:
    impl(owner_engine_settings const& engine_settings, std::uint32_t lane,
         std::uint32_t lanes, std::uint64_t seed);

    void on_view(time_point now, std::shared_ptr<routing_view const> view,
                 owner_actions& out);
    void on_handover(time_point now, std::vector<upstream_gauge> const& state,
                     owner_actions& out);
    void on_describe(time_point now, peer_handle peer,
                     describe_request const& request, owner_actions& out);
    void on_status(time_point now, upstream_id upstream,
                   upstream_status const& status, owner_actions& out);
    void on_connections_lost(time_point now, upstream_id upstream,
                             owner_actions& out);
    void on_timer(time_point now, owner_actions& out);
    std::vector<upstream_gauge> gauges() const;

    owner_engine_settings const settings;
    owner_counters counters;
    timer_queue timers;
    owner_work work;
    upstream_roster roster;
    upstream_dispatcher dispatcher;

private:
    bool pinned(upstream_id id) const { return id.value % lanes_ == lane_; }
    ownership_role role_in(routing_view const& view, topology_index i) const;
    bool had_other_owner(upstream_id id) const;
    void list(time_point now, routing_view const& view, topology_index i,
              ownership_role role, owner_actions& out);
    void change_listing(time_point now, owned_upstream& u,
                        upstream_listing listed, owner_actions& out);
    void change_role(time_point now, owned_upstream& u, ownership_role role,
                     owner_actions& out);
    void gain(time_point now, owned_upstream& u, owner_actions& out);
    void lose(time_point now, owned_upstream& u, sub_outcome outcome,
              owner_actions& out);
    void lose_unlisted(time_point now, owner_actions& out);
    void connect(owned_upstream const& u, owner_actions& out) const;
    duration poll_interval() const;
    void poll(time_point now, owned_upstream& u, owner_actions& out);
    void on_upstream_timer(time_point now, upstream_id id, owner_actions& out);
    bool describable(describe_request const& request);
    describe_answer describe(describe_request const& request);
    void answer_describes(owner_actions& out);

    std::uint32_t lane_;
    std::uint32_t lanes_;
    rng random_;
    std::shared_ptr<routing_view const> view_;
    // The view before the one that is being adopted.
    std::shared_ptr<routing_view const> previous_;
    std::uint64_t views_ = 0;
    handover_store handovers_;
    std::vector<slot_handle> handles_; // working memory
};

} // namespace snipemill
