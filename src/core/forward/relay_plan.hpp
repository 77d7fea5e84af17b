#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace snipemill {

// A host of the fleet, as its entry in the store describes it.
struct fleet_host
{
    std::string name;
    std::string data_centre;
    std::string ip;
    std::uint16_t relay_port = 0; // 0: runs no queries for other hosts
    double cores = 0;             // processor share

    friend bool operator==(fleet_host const&, fleet_host const&) = default;
};

struct relay_plan_settings
{
    // Fleets up to this size send every query directly. A fleet of 7 hosts has
    // 3 connections to an upstream for each host, one of 67 has less than one.
    std::size_t max_direct_hosts = 12;
    // Part of a data centre's processor share that its relays have. On quiet-1
    // of the first grown site the whole fleet used 9 ms of processor time for
    // each query over 90 shards; 45 of them a second need 0.4 core of the 3
    // that relays have there, which leaves room for bursts and for the loss of
    // a data centre.
    double relay_cores_ratio = 0.25;
    std::size_t min_relays = 2; // of a data centre, so that one may fail
    // Part of the strongest host's processor share that a relay has at least.
    // A weak host in place of a strong one that restarts would need longer
    // than the objective to write the requests of one query.
    double min_cores_ratio = 0.5;
    // Relays of other data centres that a host knows, for the time when those
    // of its own are gone. Bounded, because each is probed.
    std::size_t max_remote_relays = 3;
};

// Who runs queries over many shards.
struct relay_plan
{
    std::size_t relays = 0; // of the fleet; 0: every host sends directly
    bool is_relay = false;  // this host is one of them
    // The ones that this host uses, those of its data centre first.
    std::vector<fleet_host> candidates;

    friend bool operator==(relay_plan const&, relay_plan const&) = default;
};

// Chooses the relays of a fleet. Load pattern: wide queries on many small
// hosts. When each of 67 hosts sends to every shard itself, upstreams have
// fewer connections than there are hosts, each connection idles until it is
// closed, and a host with an eighth of a core needs most of the objective to
// write 90 requests. A few relays, the strongest hosts of each data centre,
// keep the connections busy and learn soon which replica is slow. Every host
// computes the same relays from the same entries. A host that is not listed,
// because it leaves or has just started, uses the others and is none itself.
relay_plan plan_relays(std::vector<fleet_host> const& hosts,
                       std::string const& own,
                       std::string const& own_data_centre,
                       relay_plan_settings const& settings = {});

} // namespace snipemill
