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
    // Interval of probes. A relay that does not answer a probe gets no queries
    // until it answers one; between probes, queries without an answer show that
    // a relay is unresponsive.
    duration probe_interval = from_ms(1000);
    duration failed_probe_interval = from_ms(250);
    // A round trip takes up to 3 ms, connecting takes as long again, and a busy
    // relay answers after some tens of milliseconds.
    duration probe_timeout = from_ms(200);
    // A relay that has not accepted a query within suspect_timeout gets no
    // further queries; the time is longer than a relay needs to write the 90
    // requests of another query. The query itself goes to another relay only
    // after accept_timeout: the acceptance may be queued behind a manifest of
    // 256 KB on this host's link (84 ms at 25 Mbit/s), and an earlier retry
    // would run shards at more upstreams than the route allows.
    duration suspect_timeout = from_ms(25);
    duration accept_timeout = from_ms(110);
    // A timer that fires later than max_timer_delay shows that this host itself
    // was delayed. Its time-out is postponed once, by postpone_time, so that
    // events that have arrived meanwhile are read first.
    duration max_timer_delay = from_ms(5);
    duration postpone_time = from_ms(20);
    // Added to the load (open queries per core) of a relay in another data
    // centre. A query lasts 35 ms and takes 9 ms of CPU time, so that about 4
    // open queries keep a core busy; the penalty is five times as much.
    double remote_penalty = 20;
};

// State that this host keeps of one relay.
struct relay_state
{
    fleet_host host;
    bool usable = false;       // has answered a probe since its last failure
    bool cut_off = false;      // reported by its last answer to a probe
    bool probe_failed = false; // its last probe got no answer
    std::uint32_t open = 0;    // open queries of this host
    time_point next_probe_at{};
    time_point probe_deadline{}; // of the open probe
    // The time-out of the open probe was postponed.
    bool probe_postponed = false;
    std::shared_ptr<relay_call> probe;
};

using relay_ptr = std::shared_ptr<relay_state>;

// The relays that a host uses and the choice between them. Load pattern: relays
// that fail, freeze or stop without notice. A relay that fails is not chosen
// again until it answers a probe.
class relay_pool
{
public:
    // Called when a relay in the pool becomes usable or stops being usable; not
    // called for relays that set_relays() removes.
    using state_callback = std::function<void(relay_state const&)>;

    relay_pool(relay_pool_settings settings, relay_port& port,
               std::uint64_t seed, state_callback on_state);
    ~relay_pool();
    relay_pool(relay_pool const&) = delete;
    relay_pool& operator=(relay_pool const&) = delete;

    // Replaces the relays; relays whose entry is unchanged keep their state.
    void set_relays(std::vector<fleet_host> const& hosts, time_point now);
    // The usable relay with the least load, or null.
    relay_ptr choose(std::vector<relay_ptr> const& exclude);
    void mark_failed(relay_state& it, time_point now);
    // Whether no relay is usable and one reports that its data centre is cut
    // off: this host reaches that relay, so it is cut off as well. A host whose
    // relays are all in other data centres is cut off when none answers.
    bool cut_off() const;
    // Whether a timer that was due at `due` fires so late that this host itself
    // was delayed.
    bool was_delayed(time_point due, time_point now) const
    {
        return now - due > settings_.max_timer_delay;
    }
    // Sends the probes that are due. Returns the time of the next call.
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
