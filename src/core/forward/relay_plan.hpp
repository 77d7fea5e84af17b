#pragma once

#include "core/forward/upstream_record.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace snipemill {

// A host's entry in the store.
struct fleet_host
{
    std::string name;
    std::string data_centre;
    std::string ip;
    std::uint16_t relay_port = 0; // 0: cannot be a relay
    double cores = 0;             // CPU cores available to the host

    friend bool operator==(fleet_host const&, fleet_host const&) = default;
};

struct relay_plan_settings
{
    // Fleets up to this size use direct runs only: 7 hosts have 3 connections
    // each to an upstream, 67 hosts have less than one.
    std::size_t max_direct_hosts = 12;
    // Share of a data centre's CPU cores that its relays have. A query over 90
    // shards takes 9 ms of CPU time in the fleet; 45 queries/s use 0.4 cores of
    // the 3 cores that the relays have, which leaves room for bursts and for
    // the loss of a data centre.
    double relay_cores_ratio = 0.25;
    std::size_t min_relays = 2; // per data centre, so that one may fail
    // Minimum cores of a relay, relative to the strongest host. A weak host in
    // place of a strong one that restarts would need longer than the objective
    // to write the requests of one query.
    double min_cores_ratio = 0.5;
    // Candidates from other data centres, used when no relay of the own data
    // centre is usable. Bounded, because each candidate is probed.
    std::size_t max_remote_relays = 3;
};

// The data centres that hold shards: those that have at least a quarter as many
// upstreams of shards as the one with the most, so that a data centre that has
// lost a part of its upstreams for a while keeps its relays. Services that are
// not in single_services are shards.
std::set<std::string>
shard_data_centres(std::vector<upstream_record> const& upstreams,
                   std::set<std::string> const& single_services);

// Which hosts run fan-out queries.
struct relay_plan
{
    std::size_t relays = 0; // in the fleet; 0: all hosts use direct runs
    bool is_relay = false;  // this host is a relay
    // Relays that this host may use, those of its data centre first. A host of
    // a data centre without shards has only relays of other data centres.
    std::vector<fleet_host> candidates;

    friend bool operator==(relay_plan const&, relay_plan const&) = default;
};

// Selects the relays of a fleet. Load pattern: fan-out queries on many small
// hosts. If each of 67 hosts sends to every shard itself, upstreams have fewer
// connections than there are hosts, connections are closed as idle between
// queries, and a host with an eighth of a core needs most of the objective to
// write 90 requests. A few relays, the strongest hosts of each data centre,
// keep their connections busy and detect slow replicas early. Every host
// computes the same relays from the same entries. A host without an entry,
// because it is draining or has just started, uses the relays of its data
// centre and is not a relay itself. Only data centres of with_shards have
// relays, so that one query and its merged answer pass between data centres
// instead of a request and an answer for each shard; an empty set stands for
// all data centres.
relay_plan plan_relays(std::vector<fleet_host> const& hosts,
                       std::string const& own,
                       std::string const& own_data_centre,
                       std::set<std::string> const& with_shards = {},
                       relay_plan_settings const& settings = {});

} // namespace snipemill
