#pragma once

#include "adapters/forward/forward_headers.hpp"
#include "adapters/forward/relay_link.hpp"
#include "adapters/forward/upstream_links.hpp"
#include "adapters/http/http_server.hpp"
#include "adapters/settings/forward_settings.hpp"
#include "app/forward/forward_metrics.hpp"
#include "app/forward/forward_snapshot.hpp"
#include "app/forward/host_memory.hpp"
#include "app/forward/relay_service.hpp"
#include "app/forward/request_log.hpp"
#include "app/forward/run_table.hpp"
#include "app/forward/usage_caps.hpp"
#include "app/planned_stop.hpp"
#include "core/accounts/caller_identity.hpp"
#include "core/forward/relay_pool.hpp"
#include "core/forward/request_run.hpp"
#include "core/forward/weighted_rotation.hpp"
#include "core/rollouts/version_counters.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipemill {

// Serves callers on one thread: finds the route of each request and forwards
// the request to the services of the route.
class forward_traffic
{
public:
    forward_traffic(boost::asio::io_context& io,
                    forward_settings const& settings,
                    forward_headers const& names, forward_metrics& metrics,
                    host_memory const& memory);
    forward_traffic(forward_traffic const&) = delete;
    forward_traffic& operator=(forward_traffic const&) = delete;

    void apply_snapshot(std::shared_ptr<forward_snapshot const> snapshot);
    // Sets what is called when this host has seen a request end an upstream
    // (true), and when the request has been answered after all (false).
    void on_crash(std::function<void(crash_entry const&, bool)> f)
    {
        on_crash_ = std::move(f);
    }
    // Sets what claims trials of refused requests; on_trial_claimed() has to
    // follow each call.
    void claim_trials_with(std::function<void(crash_entry const&)> f)
    {
        claim_trial_ = std::move(f);
    }
    void on_trial_claimed(crash_entry const& entry, bool created);
    // Sets how messages reach other hosts.
    void send_with(usage_caps::send_callback f)
    {
        if (caps_) {
            caps_->send_with(std::move(f));
        }
    }
    // Calls reply before it returns, if the message has a response.
    void on_host_message(host_message const& message,
                         std::function<void(host_message const&)> const& reply);
    // Sets which versions of a service get requests, and the target versions
    // whose requests are counted.
    void set_versions(version_shares versions,
                      std::map<std::string, std::string> const& targets);
    std::vector<rollout_report> version_reports() const
    {
        return versions_.reports();
    }
    void set_retry_budget(retry_budget_settings const& settings);
    // Fails readiness checks, asks callers to close their connections, and
    // refuses requests that may not end in time.
    void start_draining(drain_times const& times);
    // Stops accepting connections and closes idle connections.
    void stop_accepting();
    // Answers all open requests as failed.
    void end_requests()
    {
        if (caps_) {
            caps_->end_all();
        }
        runs_.end_all();
    }
    // Idle means that no connection is open: on an idle connection the caller
    // may be sending a request.
    open_work work() const;
    // Copies counters to the metrics.
    void report() const;

private:
    // Where a request goes and for whom, by the manifest at its arrival.
    struct request_place
    {
        std::shared_ptr<indexed_manifest const> manifest;
        forward_route const* route = nullptr;
        caller_identity caller;
        time_point arrival{};
        time_point end{};
    };
    struct capped_request;

    std::function<void()> on_request(http_request request,
                                     http_responder respond);
    // Answers a readiness check. Checks also update cut_off_, unless this host
    // is draining or has no complete snapshot.
    http_response on_readiness();
    std::function<void()> start_run(http_request&& request,
                                    http_responder&& respond,
                                    request_place const& place);
    // Starts the request when its account's usage cap has room.
    std::function<void()> start_within_cap(http_request&& request,
                                           http_responder&& respond,
                                           request_place place);
    void on_cap_decided(capped_request& it, cap_decision const& decision);
    void record_capped(capped_request const& it, unsigned status,
                       std::string const& reason) const;
    // Makes a run without a relay.
    run_ptr make_direct_run(request_run::options o);
    request_run::options with_context(request_run::options o);
    // Whether requests of the route are run by a relay.
    bool uses_relay(forward_route const& route) const;
    std::vector<std::string const*> services_of(forward_route const& route);
    void refuse(http_request const& request, http_responder const& respond,
                unsigned status, errc code, duration retry_after);
    crash_guard_options crash_options();
    void on_reach(upstream_view const& it, bool reachable);
    void update_fleet_sharing(std::vector<fleet_host> const& hosts);
    void probe_relays();
    void preconnect();
    void report_memory(std::string const& kind,
                       receive_budget const& budget) const;
    void record_request(std::string const& id, run_summary const& summary,
                        request_end const& end) const;

    boost::asio::io_context& io_;
    forward_settings const& settings_;
    forward_headers const& names_;
    forward_metrics& metrics_;
    host_memory const& memory_;
    std::function<void(crash_entry const&, bool)> on_crash_;
    std::function<void(crash_entry const&)> claim_trial_;
    std::shared_ptr<forward_snapshot const> snapshot_;
    version_counters versions_;
    upstream_fleet fleet_;
    upstream_links links_;
    fetch_context shared_;
    request_run_settings run_settings_;
    weighted_rotation rotation_;
    relay_link relay_link_;
    relay_pool relays_;
    relay_plan relay_plan_;
    run_table runs_;
    std::optional<usage_caps> caps_; // if the settings ask for them
    std::optional<relay_service> relay_service_;
    boost::asio::steady_timer probe_timer_;
    boost::asio::steady_timer preconnect_timer_;
    bool preconnecting_ = false; // set once the fleet size has settled
    drain_admission admission_;
    bool draining_ = false;
    bool cut_off_ = false;
    http_server callers_;
    http_server readiness_;
};

} // namespace snipemill
