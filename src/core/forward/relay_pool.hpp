#pragma once

#include "core/base/rng.hpp"
#include "core/base/time.hpp"
#include "core/forward/relay_call.hpp"
#include "core/forward/relay_plan.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipemill {

struct relay_pool_settings
{
    std::string data_centre; // of this host
    // A relay is probed this often; one that does not answer gets no queries
    // until it does. A relay that works is found silent by its queries.
    duration probe_interval = from_ms(1000);
    duration failed_probe_interval = from_ms(250);
    // A probe that takes longer counts as failed: a way there and back takes
    // up to 3 ms, a new connection the same, and a busy relay some tens.
    duration probe_timeout = from_ms(200);
    // A relay that does not accept a query in the first time gets no further
    // ones; it is longer than a relay needs to write the 90 requests of another
    // query. The query itself goes elsewhere after the second time: the
    // agreement may wait behind a manifest of 256 KB on this host's link, 84 ms
    // at 25 Mbit/s, and the parts would run at more upstreams than allowed.
    duration suspect_timeout = from_ms(25);
    duration accept_timeout = from_ms(110);
    // A step that comes this late shows that this host itself was held up. What
    // has arrived meanwhile is read first: the step is put off once, by the
    // second figure.
    duration max_timer_delay = from_ms(5);
    duration postpone_time = from_ms(20);
    // Open queries per core by which a relay of another data centre counts as
    // more loaded than one of the own. A query lasts 35 ms and takes 9 ms of
    // processor time, so that this is five times what keeps a core busy.
    double remote_penalty = 20;
};

// One relay, as this host sees it.
struct relay_state
{
    fleet_host host;
    bool usable = false;    // it has answered a probe since it failed last
    bool cut_off = false;   // it said so in its last answer
    std::uint32_t open = 0; // queries that it runs for this host
    time_point next_probe_at{};
    time_point probe_deadline{};  // of the open probe
    bool probe_postponed = false; // since a step came late
    std::shared_ptr<relay_call> probe;
};

using relay_ptr = std::shared_ptr<relay_state>;

// The relays of a host and the choice between them. Load pattern: relays that
// fail, freeze or leave without notice. A relay that fails is left out at
// once and taken back when it answers a probe.
class relay_pool
{
public:
    using state_callback = std::function<void(relay_state const&)>;

    relay_pool(relay_pool_settings settings, relay_port& port,
               std::uint64_t seed, state_callback on_state);
    ~relay_pool();
    relay_pool(relay_pool const&) = delete;
    relay_pool& operator=(relay_pool const&) = delete;

    // Replaces the relays; what is known of those that stay is kept.
    void set(std::vector<fleet_host> const& hosts, time_point now);
    // The usable relay with the least load, or none.
    relay_ptr choose(std::vector<relay_ptr> const& exclude);
    void mark_failed(relay_state& it, time_point now);
    // Whether no relay is usable and one says that its data centre is cut off:
    // this host, which it can reach, is cut off as well.
    bool cut_off() const;
    // Whether a step that was due then comes so late that this host itself was
    // held up.
    bool was_delayed(time_point due, time_point now) const
    {
        return now - due > settings_.max_timer_delay;
    }
    // Sends the probes that are due. Returns when to call again.
    time_point probe(time_point now);

    bool empty() const { return relays_.empty(); }
    relay_pool_settings const& settings() const { return settings_; }
    relay_port& port() { return port_; }

private:
    void start_probe(relay_ptr const& it, time_point now);
    void on_probe_timeout(relay_state& it, time_point now);
    void on_probed(relay_state& it, relay_event const& event);
    void set_usable(relay_state& it, bool usable);

    relay_pool_settings settings_;
    relay_port& port_;
    rng random_;
    state_callback on_state_;
    std::vector<relay_ptr> relays_;
};

} // namespace snipemill
